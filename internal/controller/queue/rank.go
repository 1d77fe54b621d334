package queue

// Rank is the first sort key of the order. Jobs of a lower rank go first.
type Rank int

// The ranks, in serving order.
const (
	RankAgedFirst        Rank = iota // aged, within the share for aged jobs that is served first
	RankService                      // services
	RankInitialTasks                 // no task was started within StartBound; limited to the initial tasks
	RankBelowMinShare                // overdue, and its class or team is served less than the minimum share
	RankPlanned                      // guaranteed, and its work fits before its deadline
	RankQuotaInTime                  // within the team's guaranteed quota, and can still start in time
	RankQuotaOverdue                 // within the team's guaranteed quota, but past the objective for starting
	RankOverdue                      // overdue, within the share of overdue jobs
	RankAged                         // past the age bound, or past two thirds of its start objective
	RankLimitBound                   // of a team whose work is delayed by its quota
	RankBestEffort                   // shortest remaining time first
	RankObjectivesMissed             // can no longer meet any of its objectives
	RankCrashLooping                 // its tasks fail on every machine
)

// reasons are the explanations that users see, by rank.
var reasons = [...]string{
	RankAgedFirst:        "aged, within the share that is kept",
	RankService:          "service",
	RankInitialTasks:     "to begin, after a long wait",
	RankBelowMinShare:    "late, and of a class or team that is served least",
	RankPlanned:          "guaranteed, its plan fits",
	RankQuotaInTime:      "within its team's guarantee",
	RankQuotaOverdue:     "within its team's guarantee, late",
	RankOverdue:          "late, within the share that is kept",
	RankAged:             "aged",
	RankLimitBound:       "its team is bound by its limit",
	RankBestEffort:       "shortest remaining time",
	RankObjectivesMissed: "its aims are missed",
	RankCrashLooping:     "its tasks fail wherever they are tried",
}

// Reason returns the explanation of the rank that users see. The texts are part of the API.
func (r Rank) Reason() string { return reasons[r] }
