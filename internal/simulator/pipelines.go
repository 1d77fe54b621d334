package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/controller/jobs"
)

// randomDependencies draws jobs that a new one is to need: accepted ones, in whatever state, and no services.
func (u *Users) randomDependencies(most int) []string {
	var list []string
	for range 3 * most {
		if len(u.jobIDs) == 0 || len(list) == most {
			break
		}
		id := u.jobIDs[u.sim.Rand.IntN(len(u.jobIDs))]
		if j := u.sim.checker.jobs[id]; !j.acceptedAt.IsZero() && !j.spec.IsService && !j.alwaysFails {
			list = append(list, id)
		}
	}
	return list
}

// SubmitPipeline submits jobs one after another, each as soon as those that it needs are accepted. needs has for each job the indexes
// of those. The last one has a deadline.
func (u *Users) SubmitPipeline(name string, needs [][]int, tasks int, run, deadline time.Duration, team string) []string {
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
			x := u.sim.checker.jobs[ids[n]]
			if x == nil || x.acceptedAt.IsZero() {
				u.sim.At(200*time.Millisecond, func() { send(i) })
				return
			}
			s.Dependencies = append(s.Dependencies, ids[n])
		}
		if i == len(needs)-1 {
			s.Deadline, s.Priority = deadline, jobs.High
		}
		u.SubmitJob(s, run)
	}
	for i := range needs {
		u.sim.At(time.Duration(i)*20*time.Millisecond, func() { send(i) })
	}
	return ids
}

// anyDependency reports whether something holds of a job that this one names.
func (m *invariantChecker) anyDependency(id string, holds func(*observedJob) bool) bool {
	for _, need := range m.jobs[id].spec.Dependencies {
		if holds(m.jobs[need]) {
			return true
		}
	}
	return false
}

// anyAncestor reports whether something holds of a job that this one needs, directly or through others.
func (m *invariantChecker) anyAncestor(id string, holds func(*observedJob) bool) bool {
	for _, need := range m.jobs[id].spec.Dependencies {
		if holds(m.jobs[need]) || m.anyAncestor(need, holds) {
			return true
		}
	}
	return false
}

// checkDependenciesDone is called when a task of the job is on a machine.
func (m *invariantChecker) checkDependenciesDone(id string) {
	for _, need := range m.jobs[id].spec.Dependencies {
		x := m.jobs[need]
		if len(x.completedTasks) < x.spec.Tasks {
			m.sim.reportViolation("too_early: a task of %s runs before %s is done", id, need)
			continue
		}
		if kept, err := m.sim.State.durableResults(need); err != nil || !kept(x.spec.Tasks-1) {
			m.sim.reportViolation("too_early: a task of %s runs before it is durable that %s is done", id, need)
		}
	}
}

// checkNotOrphaned is called when a user is told that a job is queued or runs.
func (m *invariantChecker) checkNotOrphaned(id string, asked time.Time) {
	late := func(x *observedJob) bool {
		return !x.cancelledAt.IsZero() && asked.Sub(x.cancelledAt) > m.sim.Options.CancelTimeout
	}
	if len(m.jobs[id].spec.Dependencies) > 0 && m.anyAncestor(id, late) {
		m.sim.reportViolation("orphaned: %s is not called cancelled", id)
	}
}

// PipelineResult is how the pipelines of a day went.
type PipelineResult struct {
	Played, Lost int             // lost: not over in the end, and not cancelled
	Lateness     []time.Duration // by how much the last job of each that was not cancelled missed its deadline; below zero: it had so much left
}

// RunPipelines plays so many pipelines of four kinds of jobs, some of which are called off, while leaders end and are refused, machines
// die and the state service is slow, late or away.
func (sim *Cluster) RunPipelines(count int) PipelineResult {
	var out PipelineResult
	shape := [][]int{nil, {0}, {0}, {1, 2}, {0, 3}}
	all := make([][]string, count)
	for i := range count {
		sim.At(time.Duration(i)*2*time.Second, func() {
			all[i] = sim.Users.SubmitPipeline(fmt.Sprintf("6%03d", i), shape, 2, 6*time.Second, 75*time.Second, "none")
			if sim.Rand.IntN(6) == 0 {
				sim.At(time.Duration(2+sim.Rand.IntN(40))*time.Second, func() {
					if id := all[i][sim.Rand.IntN(len(shape))]; sim.checker.jobs[id] != nil {
						sim.Users.cancel(id)
					}
				})
			}
		})
	}
	for i := range count / 4 {
		sim.At(time.Duration(10+8*i)*time.Second, func() {
			switch l := sim.LeaderIndex(); sim.Rand.IntN(6) {
			case 0:
				sim.State.Outage(6 * time.Second)
			case 1:
				sim.State.DelayTransactions(0.3, 6*time.Second)
			case 2:
				sim.Cloud.FailMachine()
			case 3:
				sim.Cloud.CutOutbound(3, 12*time.Second)
			default:
				if l >= 0 && sim.Rand.IntN(2) == 0 {
					sim.Crash(l, 2*time.Second)
				} else if l >= 0 {
					sim.State.Refuse(controllerName(l), 4*time.Second)
				}
			}
		})
	}
	sim.Run(time.Duration(2*count)*time.Second + 5*time.Minute)
	for _, ids := range all {
		out.Played++
		last := sim.checker.jobs[ids[len(ids)-1]]
		switch {
		case last == nil || last.finishedAt.IsZero() && last.cancelledAt.IsZero():
			out.Lost++
		case !last.finishedAt.IsZero():
			out.Lateness = append(out.Lateness, last.finishedAt.Sub(last.submittedAt.Add(last.spec.Deadline)))
		}
	}
	return out
}
