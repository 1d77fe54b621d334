package place

import (
	"slices"
	"sort"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
)

// victim is a running task that may be stopped for another job.
type victim struct {
	m *workers.Machine
	a *jobs.Attempt
}

// opening is a machine that has free room or where room is about to come free.
type opening struct {
	m       *workers.Machine
	leaving float64 // CPUs of what is being stopped
}

// makeRoom stops best-effort tasks where a guaranteed job would otherwise miss its
// deadline. For a team's guarantee the protocol would allow it too; that was tried and
// gained nothing, since stopping and saving take as long as waiting. Only tasks that save
// are stopped; the room is held for the job that it was made for.
func (p *Placer) makeRoom(now time.Time) {
	p.rank(now)
	var victims []victim
	var open []opening
	looked := false
	for _, e := range p.waiting {
		j := e.Job
		if !e.Planned || !urgent(now, e.Entry, p.cfg.ReportEvery) {
			continue
		}
		want := p.Wanted(j)
		if want == 0 {
			continue
		}
		if !looked {
			looked = true
			open, victims = p.lookForRoom(now)
		}
		for _, o := range open {
			if want <= 0 {
				break
			}
			if Usable(j, o.m) {
				want -= o.m.TasksThatFit(j)
				if j.CPUs > 0 {
					want -= int(o.leaving / j.CPUs)
				}
			}
		}
		if want > 0 {
			p.stopFor(now, j, want, victims)
		}
	}
}

// urgent reports whether waiting for room that comes free by itself would be too late.
func urgent(now time.Time, e plan.Entry, reportEvery time.Duration) bool {
	return plan.Due(e.Job).Sub(now) < e.PerTask+2*reportEvery+5*time.Second
}

// lookForRoom walks the machines once for all jobs that need room: where it is or is about
// to be, and what may be stopped, the newest first.
func (p *Placer) lookForRoom(now time.Time) ([]opening, []victim) {
	var open []opening
	var victims []victim
	for _, m := range p.fleet.Machines {
		if !m.Reconciled {
			continue
		}
		fresh := now.Sub(m.LastContactAt) <= 2*p.cfg.ReportEvery
		o := opening{m: m}
		for _, a := range m.Attempts {
			switch {
			case !a.Stopping.IsZero() && a.Job != nil:
				o.leaving += a.Job.CPUs
			case fresh && a.Stoppable(now):
				victims = append(victims, victim{m, a})
			}
		}
		if o.leaving > 0 || m.UtilizationBucket() < workers.BucketCount {
			open = append(open, o)
		}
	}
	slices.SortFunc(open, func(x, y opening) int { return compareIDs(x.m, y.m) })
	sort.Slice(victims, func(x, y int) bool {
		a, b := victims[x].a, victims[y].a
		if !a.Assigned.Equal(b.Assigned) {
			return a.Assigned.After(b.Assigned)
		}
		return a.Number > b.Number
	})
	return open, victims
}

// stopFor stops the newest of the tasks that may be stopped for the job.
func (p *Placer) stopFor(now time.Time, j *jobs.Job, want int, victims []victim) {
	for _, v := range victims {
		if want <= 0 {
			return
		}
		if !v.a.Stopping.IsZero() || v.a.Job.Effective() >= j.Effective() || !Usable(j, v.m) || ZoneRoom(j, v.m.Zone) == 0 {
			continue
		}
		v.a.Stopping = now
		want -= max(int(v.a.Job.CPUs/max(j.CPUs, 0.1)), 1)
		p.holdFor(v.m, j)
		p.log.Info("stopping a task for another job", "task", v.a.Key, "machine", v.m.ID, "for", j.ID)
		workers.SendCommands(p.box, p.token, v.m, []workers.Command{workers.Kill(v.a.Key.String(), v.a.Number, v.a.Job.Save.Seconds())})
	}
}
