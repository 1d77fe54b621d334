package simulator

import (
	"fmt"
	"time"
)

// Rule names an invariant that a run must not break.
type Rule string

// The rules of the protocol, by the names that it gives them. A run in which nothing ran is found by the tests, which
// count the starts that they expect.
const (
	RuleRanTwice     Rule = "ran_twice"
	RuleQuota        Rule = "quota"
	RuleWrongPlace   Rule = "wrong_place"
	RuleRanCancelled Rule = "ran_cancelled"
	RuleForgotten    Rule = "forgotten"
	RuleInvented     Rule = "invented"
	RuleNotDone      Rule = "not_done"
	RuleWentBack     Rule = "went_back"
	// Rules of dependencies.
	RuleTooEarly Rule = "too_early"
	RuleOrphaned Rule = "orphaned"
)

// Invariants of the controllers that the protocol does not name.
const (
	// RuleAttemptReused is broken if two starts have the same attempt number.
	RuleAttemptReused Rule = "attempt_reused"
	// RuleUnknownTask is broken if a task runs that no submitted job has.
	RuleUnknownTask Rule = "unknown_task"
	// RuleStartRefused is broken if a task is started on a machine that has another attempt of it.
	RuleStartRefused Rule = "in_use"
	// RuleResultLost is broken if a worker is told to forget a result that is not durable.
	RuleResultLost Rule = "result_lost"
	// RuleLeftWaiting is broken if a job waits for long although a machine has capacity for it.
	RuleLeftWaiting Rule = "left_waiting"
	// RuleInvalidAccepted is broken if a submission is not rejected as it has to be.
	RuleInvalidAccepted Rule = "invalid_accepted"
	// RuleSingleLeader is broken if two controllers hold the leader lease at once.
	RuleSingleLeader Rule = "single_leader"
	// RuleMalformed is broken if a message or stored data cannot be encoded or decoded, or is over a limit.
	RuleMalformed Rule = "malformed"
)

// Violation is one breach of a rule.
type Violation struct {
	At     time.Duration // virtual time since the run began
	Rule   Rule
	Detail string
}

// String is the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// reportViolation records that a rule is broken; Run stops then.
func (sim *Cluster) reportViolation(rule Rule, format string, args ...any) {
	sim.Violations = append(sim.Violations, Violation{At: sim.Now.Sub(sim.startedAt), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}
