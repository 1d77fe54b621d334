package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/controller/jobs"
)

// invariantChecker is the slow plain model of the rules: who is where, and what was told to whom.
type invariantChecker struct {
	sim        *Cluster
	jobs       map[string]*observedJob
	placements map[jobs.TaskID][]*machine
	attempts   map[uint64]string // attempt -> task and machine
	TaskStarts int
}

type observedJob struct {
	spec            jobs.Spec
	runTime         time.Duration
	taskStagger     time.Duration // by how much each task runs longer than the one before
	completedTasks  map[int]bool
	acceptedAt      time.Time // when its user was told; zero: not yet
	cancelledAt     time.Time // when its user was told
	finishedAt      time.Time // when its user was told that it is done
	cancelRequested bool      // its user asked to cancel it
	submittedAt     time.Time // when it was first submitted
	firstStartedAt  time.Time // when its first task ran that was not stopped within startStands
	firstAttempt    uint64    // the attempt that this was
	lastAnsweredAt  time.Time // when a question about it was answered last
	isSubmitted     bool      // it was submitted at least once
	alwaysFails     bool      // all of its tasks fail
	startCount      int
	startableSince  time.Time  // since when it has been left waiting though a machine has room
	fittingMachines []*machine // those that had room for it all the time since then
}

func newInvariantChecker(sim *Cluster) *invariantChecker {
	return &invariantChecker{sim: sim, jobs: map[string]*observedJob{}, placements: map[jobs.TaskID][]*machine{}, attempts: map[uint64]string{}}
}

func (m *invariantChecker) runTime(k jobs.TaskID) time.Duration {
	if j := m.jobs[k.JobID]; j != nil {
		return j.runTime + time.Duration(k.Index)*j.taskStagger
	}
	return time.Second
}

func (m *invariantChecker) taskFails(k jobs.TaskID) bool {
	return m.jobs[k.JobID] != nil && m.jobs[k.JobID].alwaysFails
}

func (m *invariantChecker) hasCheckpoints(k jobs.TaskID) bool {
	j := m.jobs[k.JobID]
	return j != nil && j.spec.CheckpointInterval > 0
}

// mayHoldTasks reports whether the machine's worker can still have tasks: it kills them when its
// lease ends, and while it hangs it executes none beyond that.
func (m *invariantChecker) mayHoldTasks(h *machine) bool {
	return h.isAlive() && m.sim.Now.Sub(h.leaseRenewedAt) <= m.sim.Options.WorkerLease
}

// startReceived is called when a worker takes a start command. No attempt number is used twice,
// not by another leader either (but by the tasks of a gang, of which there are none here).
func (m *invariantChecker) startReceived(h *machine, t *machineTask) {
	if before, ok := m.attempts[t.attempt]; ok {
		m.sim.reportViolation("attempt %d of %s on %s was used before: %s", t.attempt, t.key, h.id, before)
	}
	if j := m.jobs[t.key.JobID]; j != nil {
		j.startCount++
	}
	m.attempts[t.attempt] = fmt.Sprintf("%s on %s", t.key, h.id)
}

// taskStarted is called when a task is on its machine: it has its image.
func (m *invariantChecker) taskStarted(h *machine, t *machineTask) {
	m.TaskStarts++
	j := m.jobs[t.key.JobID]
	if j == nil || !j.isSubmitted {
		m.sim.reportViolation("a task of an unknown job runs: %s", t.key)
		return
	}
	if j.firstStartedAt.IsZero() {
		j.firstStartedAt, j.firstAttempt = m.sim.Now, t.attempt
	}
	if t.key.Index >= j.spec.Tasks {
		m.sim.reportViolation("an impossible task runs: %s", t.key)
	}
	for _, o := range m.placements[t.key] {
		if m.mayHoldTasks(o) {
			m.sim.reportViolation("ran_twice: %s on %s while on %s", t.key, h.id, o.id)
		}
	}
	m.checkDependenciesDone(t.key.JobID)
	m.placements[t.key] = append(m.placements[t.key], h)
	if !j.cancelledAt.IsZero() && m.sim.Now.Sub(j.cancelledAt) > m.sim.Options.CancelTimeout {
		m.sim.reportViolation("ran_cancelled: %s starts %v after its user was told", t.key, m.sim.Now.Sub(j.cancelledAt))
	}
	m.checkPlacement(h, t.key, j)
	if !m.sim.Options.SkipCostlyChecks {
		m.checkQuota(j.spec.Team)
	}
}

func (m *invariantChecker) checkPlacement(h *machine, k jobs.TaskID, j *observedJob) {
	s := j.spec
	if !h.allowsJob(s) {
		m.sim.reportViolation("wrong_place: %s on %s", k, h.id)
	}
	zones := map[string]int{}
	for t := range s.Tasks {
		for _, o := range m.placements[jobs.TaskID{JobID: k.JobID, Index: t}] {
			if m.mayHoldTasks(o) {
				zones[o.zone]++
			}
		}
	}
	if s.SingleZone && len(zones) > 1 {
		m.sim.reportViolation("wrong_place: %s is in %d zones", k.JobID, len(zones))
	}
	for z, n := range zones {
		if s.SpreadAcrossZones && n > (s.Tasks+1)/2 {
			m.sim.reportViolation("wrong_place: %d tasks of %s are in zone %s", n, k.JobID, z)
		}
	}
}

func (m *invariantChecker) checkQuota(team string) {
	used := 0.0
	for k, list := range m.placements {
		for _, h := range list {
			if j := m.jobs[k.JobID]; j.spec.Team == team && m.mayHoldTasks(h) {
				used += j.spec.CPUs
			}
		}
	}
	for _, t := range m.sim.Options.Teams {
		if t.Name == team && t.CPULimit > 0 && used > t.CPULimit+1e-6 {
			m.sim.reportViolation("quota: team %s uses %g CPUs of %g", team, used, t.CPULimit)
		}
	}
}

// taskStopped is called when a task leaves its machine.
func (m *invariantChecker) taskStopped(h *machine, t *machineTask) {
	list := m.placements[t.key]
	for i, o := range list {
		if o == h {
			m.placements[t.key] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

func (m *invariantChecker) taskCompleted(k jobs.TaskID) {
	if j := m.jobs[k.JobID]; j != nil {
		again := j.completedTasks[k.Index]
		j.completedTasks[k.Index] = true
		if len(j.completedTasks) == j.spec.Tasks && !again {
			m.sim.Users.jobEnded(k.JobID)
		}
	}
}

// forgetReceived is called when a worker is told to forget a task: its result has to be in the
// state service by then, or nobody may want it any more.
func (m *invariantChecker) forgetReceived(t *machineTask) {
	if !m.sim.Options.SkipCostlyChecks {
		m.sim.Users.checkResultDurable(t)
	}
}

// jobStateAnswered takes in what a user was told. asked is when the user sent the request.
func (m *invariantChecker) jobStateAnswered(id, state string, asked time.Time) {
	j := m.jobs[id]
	if j == nil || !j.isSubmitted {
		m.sim.reportViolation("invented: %s is %s", id, state)
		return
	}
	switch state {
	case "done":
		if len(j.completedTasks) < j.spec.Tasks {
			m.sim.reportViolation("not_done: %s with %d of %d", id, len(j.completedTasks), j.spec.Tasks)
		}
		if !j.cancelledAt.IsZero() {
			m.sim.reportViolation("went_back: %s was cancelled, is done", id)
		}
		if j.finishedAt.IsZero() {
			j.finishedAt = m.sim.Now
		}
	case "cancelled":
		if !j.cancelRequested && !m.anyAncestor(id, func(x *observedJob) bool { return x.cancelRequested }) {
			m.sim.reportViolation("went_back: nobody cancelled %s", id)
		}
		if !j.finishedAt.IsZero() {
			m.sim.reportViolation("went_back: %s was done, is cancelled", id)
		}
		if j.cancelledAt.IsZero() {
			j.cancelledAt = m.sim.Now
			m.sim.At(m.sim.Options.CancelTimeout+time.Millisecond, func() { m.checkTasksStopped(id) })
		}
	default:
		m.checkNotOrphaned(id, asked)
		// An answer to a request that was sent before the newer answer came may be older.
		if over := j.finishedAt; !over.IsZero() && asked.After(over) {
			m.sim.reportViolation("went_back: %s was done, is %s", id, state)
		}
		if over := j.cancelledAt; !over.IsZero() && asked.After(over) {
			m.sim.reportViolation("went_back: %s was cancelled, is %s", id, state)
		}
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = m.sim.Now
	}
	j.lastAnsweredAt = m.sim.Now
}

// startCountsAfter is for how long a task must not be stopped for its start to count.
const startCountsAfter = 30 * time.Second

// killReceived is called when a command stops a task.
func (m *invariantChecker) killReceived(t *machineTask) {
	j := m.jobs[t.key.JobID]
	if j != nil && !j.cancelRequested && !j.firstStartedAt.IsZero() && j.firstAttempt == t.attempt && m.sim.Now.Sub(j.firstStartedAt) < startCountsAfter {
		j.firstStartedAt = time.Time{}
	}
}

// maxUnanswered is how long no question about an accepted job may go unanswered once all troubles are over,
// however others fare.
const maxUnanswered = 75 * time.Second

// pollUnanswered takes in that a question about a job got no answer.
func (m *invariantChecker) pollUnanswered(id string) {
	j := m.jobs[id]
	if j == nil || j.acceptedAt.IsZero() {
		return
	}
	since := j.lastAnsweredAt
	if m.sim.faultsUntil.After(since) {
		since = m.sim.faultsUntil
	}
	if m.sim.Now.Sub(since) > maxUnanswered {
		m.sim.reportViolation("forgotten: no question about %s was answered for %v", id, m.sim.Now.Sub(since).Round(time.Second))
	}
}

func (m *invariantChecker) checkTasksStopped(id string) {
	for t := range m.jobs[id].spec.Tasks {
		for _, h := range m.placements[jobs.TaskID{JobID: id, Index: t}] {
			if m.mayHoldTasks(h) {
				m.sim.reportViolation("ran_cancelled: %s/%d is still on %s", id, t, h.id)
			}
		}
	}
}

// jobRejected takes in a 404, or a refusal of a repeated submission.
func (m *invariantChecker) jobRejected(id string, asked time.Time, status int) {
	if j := m.jobs[id]; j != nil && !j.acceptedAt.IsZero() && asked.After(j.acceptedAt) {
		m.sim.reportViolation("forgotten: %s is answered %d", id, status)
	}
}
