package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/controller/jobs"
)

// someNeeds draws jobs that a new one is to need: accepted ones, in whatever state, and no services.
func (u *Users) someNeeds(most int) []string {
	var list []string
	for range 3 * most {
		if len(u.ids) == 0 || len(list) == most {
			break
		}
		id := u.ids[u.w.Rng.IntN(len(u.ids))]
		if j := u.w.model.jobs[id]; !j.accepted.IsZero() && !j.spec.IsService && !j.mistaken {
			list = append(list, id)
		}
	}
	return list
}

// Pipeline submits jobs one after another, each as soon as those that it needs are accepted. needs has for each job the indexes
// of those. The last one has a deadline.
func (u *Users) Pipeline(name string, needs [][]int, tasks int, run, deadline time.Duration, team string) []string {
	ids := make([]string, len(needs))
	for i := range needs {
		ids[i] = fmt.Sprintf("job-%s%04d", name, i)
	}
	var send func(i int)
	send = func(i int) {
		s := jobs.Spec{
			ID:              ids[i],
			Class:           "pipeline",
			Team:            team,
			Tasks:           tasks,
			CPUs:            1,
			MemoryGB:        1,
			Image:           "i",
			AllowsSpot:      true,
			RunTimeEstimate: run,
		}
		for _, n := range needs[i] {
			x := u.w.model.jobs[ids[n]]
			if x == nil || x.accepted.IsZero() {
				u.w.At(200*time.Millisecond, func() { send(i) })
				return
			}
			s.Dependencies = append(s.Dependencies, ids[n])
		}
		if i == len(needs)-1 {
			s.Deadline, s.Priority = deadline, jobs.High
		}
		u.Send(s, run)
	}
	for i := range needs {
		u.w.At(time.Duration(i)*20*time.Millisecond, func() { send(i) })
	}
	return ids
}

// anyNeed reports whether something holds of a job that this one names.
func (m *model) anyNeed(id string, holds func(*modelJob) bool) bool {
	for _, need := range m.jobs[id].spec.Dependencies {
		if holds(m.jobs[need]) {
			return true
		}
	}
	return false
}

// anyAbove reports whether something holds of a job that this one needs, directly or through others.
func (m *model) anyAbove(id string, holds func(*modelJob) bool) bool {
	for _, need := range m.jobs[id].spec.Dependencies {
		if holds(m.jobs[need]) || m.anyAbove(need, holds) {
			return true
		}
	}
	return false
}

// needsAreMet is called when a task of the job is on a machine.
func (m *model) needsAreMet(id string) {
	for _, need := range m.jobs[id].spec.Dependencies {
		x := m.jobs[need]
		if len(x.done) < x.spec.Tasks {
			m.w.breakRule("too_early: a task of %s runs before %s is done", id, need)
			continue
		}
		if kept, err := m.w.State.results(need); err != nil || !kept(x.spec.Tasks-1) {
			m.w.breakRule("too_early: a task of %s runs before it is durable that %s is done", id, need)
		}
	}
}

// mustNotBeOrphaned is called when a user is told that a job is queued or runs.
func (m *model) mustNotBeOrphaned(id string, asked time.Time) {
	late := func(x *modelJob) bool { return !x.cancelled.IsZero() && asked.Sub(x.cancelled) > m.w.Opt.Cancel }
	if len(m.jobs[id].spec.Dependencies) > 0 && m.anyAbove(id, late) {
		m.w.breakRule("orphaned: %s is not called cancelled", id)
	}
}

// Pipelines is how the pipelines of a day went.
type Pipelines struct {
	Played, Lost int             // lost: not over in the end, and not cancelled
	Late         []time.Duration // by how much the last job of each that was not cancelled missed its deadline; below zero: it had so much left
}

// PipelineDay plays so many pipelines of four kinds of jobs, some of which are called off, while leaders end and are refused, machines
// die and the state service is slow, late or away.
func (w *World) PipelineDay(count int) Pipelines {
	var out Pipelines
	shape := [][]int{nil, {0}, {0}, {1, 2}, {0, 3}}
	all := make([][]string, count)
	for i := range count {
		w.At(time.Duration(i)*2*time.Second, func() {
			all[i] = w.Users.Pipeline(fmt.Sprintf("6%03d", i), shape, 2, 6*time.Second, 75*time.Second, "none")
			if w.Rng.IntN(6) == 0 {
				w.At(time.Duration(2+w.Rng.IntN(40))*time.Second, func() {
					if id := all[i][w.Rng.IntN(len(shape))]; w.model.jobs[id] != nil {
						w.Users.cancel(id)
					}
				})
			}
		})
	}
	for i := range count / 4 {
		w.At(time.Duration(10+8*i)*time.Second, func() {
			switch l := w.Leader(); w.Rng.IntN(6) {
			case 0:
				w.State.Outage(6 * time.Second)
			case 1:
				w.State.Late(0.3, 6*time.Second)
			case 2:
				w.Cloud.Die()
			case 3:
				w.Cloud.Mute(3, 12*time.Second)
			default:
				if l >= 0 && w.Rng.IntN(2) == 0 {
					w.Crash(l, 2*time.Second)
				} else if l >= 0 {
					w.State.Refuse(nodeName(l), 4*time.Second)
				}
			}
		})
	}
	w.Run(time.Duration(2*count)*time.Second + 5*time.Minute)
	for _, ids := range all {
		out.Played++
		last := w.model.jobs[ids[len(ids)-1]]
		switch {
		case last == nil || last.finished.IsZero() && last.cancelled.IsZero():
			out.Lost++
		case !last.finished.IsZero():
			out.Late = append(out.Late, last.finished.Sub(last.sent.Add(last.spec.Deadline)))
		}
	}
	return out
}
