package simulator

import (
	"fmt"
	"time"
)

// Rule names an invariant that every run must keep.
type Rule string

// Rules of the protocol, under the names that it gives them. No rule detects a run that starts no tasks: the tests check the number of
// starts.
const (
	RuleRanTwice     Rule = "ran_twice"     // a task ran on two machines at the same time
	RuleQuota        Rule = "quota"         // a team used more CPUs than its limit
	RuleWrongPlace   Rule = "wrong_place"   // a task ran on a machine or in a zone that its job does not allow
	RuleRanCancelled Rule = "ran_cancelled" // a task of a cancelled job ran after CancelTimeout
	RuleForgotten    Rule = "forgotten"     // a request about an accepted job was rejected or got no response
	RuleInvented     Rule = "invented"      // a response gave a state for a job that was never submitted
	RuleNotDone      Rule = "not_done"      // a job was reported as done before all of its tasks were
	RuleWentBack     Rule = "went_back"     // a final state changed, or a job was cancelled without a request
	// Rules of dependencies.
	RuleTooEarly Rule = "too_early" // a task ran before a dependency of its job was durably done
	RuleOrphaned Rule = "orphaned"  // a job stayed queued or running although a dependency was cancelled
)

// Invariants of the controllers that are not rules of the protocol.
const (
	// RuleAttemptReused is broken if two starts use the same attempt number.
	RuleAttemptReused Rule = "attempt_reused"
	// RuleUnknownTask is broken if a task runs that belongs to no submitted job.
	RuleUnknownTask Rule = "unknown_task"
	// RuleStartRefused is broken if a task is started on a machine that still runs another attempt of it.
	RuleStartRefused Rule = "in_use"
	// RuleResultLost is broken if a worker receives a forget command for a result that is not durable.
	RuleResultLost Rule = "result_lost"
	// RuleValidRefused is broken if a submission that the protocol allows gets status 400.
	RuleValidRefused Rule = "valid_refused"
	// RuleStartOutsideResponse is broken if a start command arrives at a machine's own address.
	RuleStartOutsideResponse Rule = "start_outside_response"
	// RuleWorkLost is broken if a task that is to save a checkpoint gets less time than its user submitted.
	RuleWorkLost Rule = "work_lost"
	// RuleLeftWaiting is broken if a job waits longer than maxStartableWait although a machine has capacity for it.
	RuleLeftWaiting Rule = "left_waiting"
	// RuleInvalidAccepted is broken if an invalid submission is not rejected with the expected status.
	RuleInvalidAccepted Rule = "invalid_accepted"
	// RuleSingleLeader is broken if two controllers hold the leader lease at the same time.
	RuleSingleLeader Rule = "single_leader"
	// RuleMalformed is broken if a message or stored data cannot be encoded or decoded, or is over a limit.
	RuleMalformed Rule = "malformed"
)

// Violation describes one broken rule.
type Violation struct {
	At     time.Duration // virtual time since the run began
	Rule   Rule
	Detail string
}

// String formats the violation as one line: seconds since the run began, rule, detail.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// reportViolation records a broken rule. Run stops at the first one.
func (sim *Cluster) reportViolation(rule Rule, format string, args ...any) {
	sim.Violations = append(sim.Violations, Violation{At: sim.Now.Sub(sim.startedAt), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}
