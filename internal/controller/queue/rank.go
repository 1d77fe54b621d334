package queue

// Rank is the first sort key of the order: jobs of a lower rank go first.
type Rank int

// The ranks, in the order in which they are served.
const (
	RankAgedFirst        Rank = iota // aged, within the share that is served before everything else
	RankService                      // service
	RankInitialTasks                 // nothing of the job was started for long: its first few tasks
	RankBelowMinShare                // overdue, of a class or team that is served less than the minimum share
	RankPlanned                      // guaranteed, and its work fits before its deadline
	RankQuotaInTime                  // within the team's guaranteed quota, and can still start in time
	RankQuotaOverdue                 // within the team's guaranteed quota
	RankOverdue                      // overdue, within the share of overdue jobs
	RankAged                         // past the age bound, or about to miss its start objective
	RankLimitBound                   // of a team whose work is delayed by its quota
	RankBestEffort                   // shortest remaining time first
	RankObjectivesMissed             // all objectives missed
	RankCrashLooping                 // its tasks fail on every machine
)

// reasons are the users' texts, by rank.
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

// Reason returns the text that explains the rank to users. The texts are part of the API.
func (r Rank) Reason() string { return reasons[r] }
