package node

import (
	"sort"
	"time"

	"gullrudder/internal/jobs"
	"gullrudder/internal/outbox"
	"gullrudder/internal/place"
	"gullrudder/internal/plan"
	"gullrudder/internal/workers"
)

// makeRoom stops best-effort tasks where a guaranteed job would otherwise miss its
// deadline. For a team's guarantee the protocol would allow it too; that was tried and
// gained nothing, since stopping and saving take as long as waiting. Only tasks that save
// are stopped; the room is held for the job that it was made for.
func (n *Node) makeRoom(now time.Time) {
	l := n.lead
	n.rank(now)
	for _, e := range l.order {
		j := e.Job
		if !e.Planned {
			continue
		}
		want := n.wanted(j)
		if want == 0 || j.Gang || !n.urgent(now, e) {
			continue
		}
		for _, m := range l.fleet.Machines {
			if place.Usable(j, m) && m.Accounted {
				want -= m.Fits(j) + n.leaving(m, j)
			}
		}
		if want > 0 {
			n.stopFor(now, j, want)
		}
	}
}

// urgent reports whether waiting for room that comes free by itself would be too late.
func (n *Node) urgent(now time.Time, e plan.Entry) bool {
	return plan.Due(e.Job).Sub(now) < e.PerTask+2*n.cfg.ReportEvery+5*time.Second
}

// leaving is how many tasks of the job fit into what is being stopped on the machine.
func (n *Node) leaving(m *workers.Machine, j *jobs.Job) int {
	cpus := 0.0
	for _, a := range m.Attempts {
		if !a.Stopping.IsZero() && a.Job != nil {
			cpus += a.Job.CPUs
		}
	}
	if j.CPUs <= 0 {
		return 0
	}
	return int(cpus / j.CPUs)
}

// stopFor stops the newest of the tasks that may be stopped for the job.
func (n *Node) stopFor(now time.Time, j *jobs.Job, want int) {
	l := n.lead
	type victim struct {
		m *workers.Machine
		a *jobs.Attempt
	}
	var list []victim
	for _, m := range l.fleet.Sorted() {
		if !place.Usable(j, m) || !m.Accounted || now.Sub(m.Answered) > 2*n.cfg.ReportEvery || place.ZoneRoom(j, m.Zone) == 0 {
			continue
		}
		for _, a := range m.Attempts {
			if yields(now, a, j) {
				list = append(list, victim{m, a})
			}
		}
	}
	sort.Slice(list, func(x, y int) bool {
		a, b := list[x].a, list[y].a
		if !a.Assigned.Equal(b.Assigned) {
			return a.Assigned.After(b.Assigned)
		}
		return a.Number > b.Number
	})
	for _, v := range list {
		if want <= 0 {
			return
		}
		v.a.Stopping = now
		want -= max(int(v.a.Job.CPUs/max(j.CPUs, 0.1)), 1)
		l.holds[v.m.ID] = j
		n.log.Info("stopping a task for another job", "task", v.a.Key, "machine", v.m.ID, "for", j.ID)
		n.box.Add(outbox.Call{Service: outbox.Worker, Addr: v.m.Addr, Method: "POST", Path: "/commands",
			Body: workers.Direct{Token: l.token, Session: v.m.Session,
				Commands: []workers.Command{workers.Kill(v.a.Key.String(), v.a.Number, v.a.Job.Save.Seconds())}},
			// What became of it the next report tells; that repeats the order if need be.
			Timeout: time.Second, Done: func(time.Time, outbox.Result) {}})
	}
}

// yields reports whether the rules for preemption allow to stop the attempt for the job,
// and whether little is lost by it: it saves.
func yields(now time.Time, a *jobs.Attempt, j *jobs.Job) bool {
	v := a.Job
	if v == nil || a.Stray || a.Unsent || !a.Stopping.IsZero() || a.Running.IsZero() || v.Gang || v.Service || v.Guaranteed ||
		v.Checkpoint <= 0 || now.Sub(a.Running) < v.Save {
		return false
	}
	return v.Priority < j.Priority
}
