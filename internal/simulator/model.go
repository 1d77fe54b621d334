package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/controller/jobs"
)

// model is the slow plain model of the rules: who is where, and what was told to whom.
type model struct {
	w     *World
	jobs  map[string]*modelJob
	where map[jobs.TaskID][]*machine
	tries map[uint64]string // attempt -> task and machine
	Ran   int
}

type modelJob struct {
	spec      jobs.Spec
	run       time.Duration
	apart     time.Duration // by how much each task runs longer than the one before
	done      map[int]bool
	accepted  time.Time // when its user was told; zero: not yet
	cancelled time.Time // when its user was told
	finished  time.Time // when its user was told that it is done
	asked     bool      // its user asked to cancel it
	sent      time.Time // when it was first submitted
	began     time.Time // when its first task ran that was not stopped within startStands
	firstBy   uint64    // the attempt that this was
	answered  time.Time // when a question about it was answered last
	tried     bool      // it was submitted at least once
	mistaken  bool      // all of its tasks fail
	starts    int
	left      time.Time  // since when it has been left waiting though a machine has room
	roomy     []*machine // those that had room for it all the time since then
}

func newModel(w *World) *model {
	return &model{w: w, jobs: map[string]*modelJob{}, where: map[jobs.TaskID][]*machine{}, tries: map[uint64]string{}}
}

func (m *model) runTime(k jobs.TaskID) time.Duration {
	if j := m.jobs[k.JobID]; j != nil {
		return j.run + time.Duration(k.Index)*j.apart
	}
	return time.Second
}

func (m *model) fails(k jobs.TaskID) bool { return m.jobs[k.JobID] != nil && m.jobs[k.JobID].mistaken }

func (m *model) saves(k jobs.TaskID) bool {
	j := m.jobs[k.JobID]
	return j != nil && j.spec.CheckpointInterval > 0
}

// holds reports whether the machine's worker can still have tasks: it kills them when its
// lease ends, and while it hangs it executes none beyond that.
func (m *model) holds(h *machine) bool {
	return h.alive() && m.w.Now.Sub(h.granted) <= m.w.Opt.Lease
}

// began is called when a worker takes a start command. No attempt number is used twice,
// not by another leader either (but by the tasks of a gang, of which there are none here).
func (m *model) began(h *machine, t *onMachine) {
	if before, ok := m.tries[t.attempt]; ok {
		m.w.breakRule("attempt %d of %s on %s was used before: %s", t.attempt, t.key, h.id, before)
	}
	if j := m.jobs[t.key.JobID]; j != nil {
		j.starts++
	}
	m.tries[t.attempt] = fmt.Sprintf("%s on %s", t.key, h.id)
}

// on is called when a task is on its machine: it has its image.
func (m *model) on(h *machine, t *onMachine) {
	m.Ran++
	j := m.jobs[t.key.JobID]
	if j == nil || !j.tried {
		m.w.breakRule("a task of an unknown job runs: %s", t.key)
		return
	}
	if j.began.IsZero() {
		j.began, j.firstBy = m.w.Now, t.attempt
	}
	if t.key.Index >= j.spec.Tasks {
		m.w.breakRule("an impossible task runs: %s", t.key)
	}
	for _, o := range m.where[t.key] {
		if m.holds(o) {
			m.w.breakRule("ran_twice: %s on %s while on %s", t.key, h.id, o.id)
		}
	}
	m.needsAreMet(t.key.JobID)
	m.where[t.key] = append(m.where[t.key], h)
	if !j.cancelled.IsZero() && m.w.Now.Sub(j.cancelled) > m.w.Opt.Cancel {
		m.w.breakRule("ran_cancelled: %s starts %v after its user was told", t.key, m.w.Now.Sub(j.cancelled))
	}
	m.kind(h, t.key, j)
	if !m.w.Opt.Unchecked {
		m.quota(j.spec.Team)
	}
}

func (m *model) kind(h *machine, k jobs.TaskID, j *modelJob) {
	s := j.spec
	if !h.allows(s) {
		m.w.breakRule("wrong_place: %s on %s", k, h.id)
	}
	zones := map[string]int{}
	for t := range s.Tasks {
		for _, o := range m.where[jobs.TaskID{JobID: k.JobID, Index: t}] {
			if m.holds(o) {
				zones[o.zone]++
			}
		}
	}
	if s.SingleZone && len(zones) > 1 {
		m.w.breakRule("wrong_place: %s is in %d zones", k.JobID, len(zones))
	}
	for z, n := range zones {
		if s.SpreadAcrossZones && n > (s.Tasks+1)/2 {
			m.w.breakRule("wrong_place: %d tasks of %s are in zone %s", n, k.JobID, z)
		}
	}
}

func (m *model) quota(team string) {
	used := 0.0
	for k, list := range m.where {
		for _, h := range list {
			if j := m.jobs[k.JobID]; j.spec.Team == team && m.holds(h) {
				used += j.spec.CPUs
			}
		}
	}
	for _, t := range m.w.Opt.Teams {
		if t.Name == team && t.CPULimit > 0 && used > t.CPULimit+1e-6 {
			m.w.breakRule("quota: team %s uses %g CPUs of %g", team, used, t.CPULimit)
		}
	}
}

// off is called when a task leaves its machine.
func (m *model) off(h *machine, t *onMachine) {
	list := m.where[t.key]
	for i, o := range list {
		if o == h {
			m.where[t.key] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

func (m *model) taskDone(k jobs.TaskID) {
	if j := m.jobs[k.JobID]; j != nil {
		again := j.done[k.Index]
		j.done[k.Index] = true
		if len(j.done) == j.spec.Tasks && !again {
			m.w.Users.ended(k.JobID)
		}
	}
}

// forgotten is called when a worker is told to forget a task: its result has to be in the
// state service by then, or nobody may want it any more.
func (m *model) forgotten(t *onMachine) {
	if !m.w.Opt.Unchecked {
		m.w.Users.mustSurvive(t)
	}
}

// told takes in what a user was told. asked is when the user sent the request.
func (m *model) told(id, state string, asked time.Time) {
	j := m.jobs[id]
	if j == nil || !j.tried {
		m.w.breakRule("invented: %s is %s", id, state)
		return
	}
	switch state {
	case "done":
		if len(j.done) < j.spec.Tasks {
			m.w.breakRule("not_done: %s with %d of %d", id, len(j.done), j.spec.Tasks)
		}
		if !j.cancelled.IsZero() {
			m.w.breakRule("went_back: %s was cancelled, is done", id)
		}
		if j.finished.IsZero() {
			j.finished = m.w.Now
		}
	case "cancelled":
		if !j.asked && !m.anyAbove(id, func(x *modelJob) bool { return x.asked }) {
			m.w.breakRule("went_back: nobody cancelled %s", id)
		}
		if !j.finished.IsZero() {
			m.w.breakRule("went_back: %s was done, is cancelled", id)
		}
		if j.cancelled.IsZero() {
			j.cancelled = m.w.Now
			m.w.At(m.w.Opt.Cancel+time.Millisecond, func() { m.mustBeGone(id) })
		}
	default:
		m.mustNotBeOrphaned(id, asked)
		// An answer to a request that was sent before the newer answer came may be older.
		if over := j.finished; !over.IsZero() && asked.After(over) {
			m.w.breakRule("went_back: %s was done, is %s", id, state)
		}
		if over := j.cancelled; !over.IsZero() && asked.After(over) {
			m.w.breakRule("went_back: %s was cancelled, is %s", id, state)
		}
	}
	if j.accepted.IsZero() {
		j.accepted = m.w.Now
	}
	j.answered = m.w.Now
}

// startStands is for how long a task must not be stopped for its start to count.
const startStands = 30 * time.Second

// stopped is called when a command stops a task.
func (m *model) stopped(t *onMachine) {
	j := m.jobs[t.key.JobID]
	if j != nil && !j.asked && !j.began.IsZero() && j.firstBy == t.attempt && m.w.Now.Sub(j.began) < startStands {
		j.began = time.Time{}
	}
}

// answeredWithin is how long no question about an accepted job may go unanswered once all troubles are over,
// however others fare.
const answeredWithin = 75 * time.Second

// unanswered takes in that a question about a job got no answer.
func (m *model) unanswered(id string) {
	j := m.jobs[id]
	if j == nil || j.accepted.IsZero() {
		return
	}
	since := j.answered
	if m.w.calm.After(since) {
		since = m.w.calm
	}
	if m.w.Now.Sub(since) > answeredWithin {
		m.w.breakRule("forgotten: no question about %s was answered for %v", id, m.w.Now.Sub(since).Round(time.Second))
	}
}

func (m *model) mustBeGone(id string) {
	for t := range m.jobs[id].spec.Tasks {
		for _, h := range m.where[jobs.TaskID{JobID: id, Index: t}] {
			if m.holds(h) {
				m.w.breakRule("ran_cancelled: %s/%d is still on %s", id, t, h.id)
			}
		}
	}
}

// missing takes in a 404, or a refusal of a repeated submission.
func (m *model) missing(id string, asked time.Time, status int) {
	if j := m.jobs[id]; j != nil && !j.accepted.IsZero() && asked.After(j.accepted) {
		m.w.breakRule("forgotten: %s is answered %d", id, status)
	}
}
