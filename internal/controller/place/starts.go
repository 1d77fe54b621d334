package place

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/standing"
	"gullrudder/internal/controller/workers"
)

// Starts picks what the machine starts now.
func (p *Placer) Starts(now time.Time, m *workers.Machine, most int) []workers.Command {
	if !m.Reconciled || !m.Registered || m.DrainReason != workers.NotDraining || m.CPUs+m.MemoryGB == 0 || now.Before(m.StartsNotBefore) {
		return nil
	}
	p.rank(now)
	list := p.bookedStarts(now, m, most)
	p.lookAnew()
	full := func() bool { return len(list) >= most || m.CPUs-m.UsedCPUs < p.least-1e-6 }
	for rest := p.waiting; len(rest) > 0 && !full(); {
		same := 1
		for same < len(rest) && rest[same].Rank == rest[0].Rank {
			same++
		}
		// Among jobs of one rank those go first whose image is here.
		for _, near := range [...]bool{true, false} {
			for i := range rest[:same] {
				if full() {
					break
				}
				e := &rest[i]
				if p.refuses(m, e) {
					continue // before anything is looked up: most of a long queue
				}
				if p.near(now, e.Job, m) == near {
					before := len(list)
					if list = p.startSome(now, m, e, list, most); len(list) > before {
						p.filled()
					}
				} else if near && e.Job.Passed.IsZero() {
					e.Job.Passed = now
				}
			}
		}
		rest = rest[same:]
	}
	if len(list) > 0 {
		m.IdleSince = now
	}
	return list
}

// near reports whether the job's tasks lose nothing by starting on the machine: their image
// is there, or they have waited for such a machine as long as fetching takes.
func (p *Placer) near(now time.Time, j *jobs.Job, m *workers.Machine) bool {
	return m.ImageCache.Has(j.Image) || !j.Passed.IsZero() && now.Sub(j.Passed) >= m.ImageCache.FetchTime(j.ImageGB)
}

// startSome starts as many tasks of one job on the machine as there is room for.
func (p *Placer) startSome(now time.Time, m *workers.Machine, e *candidate, list []workers.Command, most int) []workers.Command {
	j := e.Job
	count := min(m.TasksThatFit(j), j.Waiting(), most-len(list))
	if count <= 0 || !j.Live() || !p.mayStart(j) || now.Before(j.NotBefore) || !Usable(j, m) {
		return list
	}
	if h := m.ReservedFor; h != nil && h != j && (!e.Hold || p.firsts[h] && !(e.First && standing.Older(j, h))) {
		// What is held for the oldest is not taken bit by bit by those that are planned.
		return list
	}
	if e.Most > 0 {
		count = min(count, e.Most-len(j.Active)) // of a beginning, until the next order
	}
	count = min(count, ZoneRoom(j, m.Zone), p.teamRoom(j))
	if count > 0 {
		count = min(count, j.Waiting()-p.elsewhere(now, e, m))
	}
	for ; count > 0; count-- {
		t := j.NextTask()
		if t < 0 {
			break
		}
		a := p.attempt(now, m, j, t, p.nextNumber())
		list = append(list, workers.Start(a.Key.String(), a.Number))
		j.Passed = time.Time{}
	}
	return list
}

// bookedStarts are the starts of gangs that have waited for the machine's report.
func (p *Placer) bookedStarts(now time.Time, m *workers.Machine, most int) []workers.Command {
	var list []workers.Command
	if len(p.booked) == 0 {
		return nil
	}
	for _, a := range m.Attempts {
		if a.Unsent && !a.Stray && a.Job.Live() && len(list) < most {
			a.Unsent, a.Assigned = false, now
			delete(p.booked, a)
			list = append(list, workers.Start(a.Key.String(), a.Number))
		}
	}
	return list
}

// nextNumber is a new attempt number. It derives from the token, so no other leader ever
// uses it.
func (p *Placer) nextNumber() uint64 {
	p.counter++
	return p.token<<24 | p.counter
}

// attempt records a new attempt on the machine.
func (p *Placer) attempt(now time.Time, m *workers.Machine, j *jobs.Job, task int, number uint64) *jobs.Attempt {
	a := &jobs.Attempt{Key: jobs.Key{Job: j.ID, Task: task}, Number: number, Machine: m.ID, Zone: m.Zone, Job: j, Assigned: now}
	p.fleet.Assign(m, a)
	return a
}

// mostLooked bounds the machines that are looked at for one job of one report: the cost of
// a report must not grow with the fleet. Packing loses little by it: where so many fuller
// machines have no room for the job, there is little room at all.
const mostLooked = 64

// fuller is how many tasks of the job fit on machines that are fuller than m and report
// soon: those are left to them. More than it wants are not counted.
func (p *Placer) fuller(now time.Time, j *jobs.Job, m *workers.Machine, want, most int) int {
	room := 0
	from := workers.BucketCount
	if j.CPUs > 0 {
		from-- // on the last level no CPU is free
	}
	for level := from; level >= m.UtilizationBucket(); level-- {
		for _, o := range p.fleet.MachinesInBucket(level) {
			if most--; most < 0 || room >= want {
				return min(room, want)
			}
			if o != m && o.Reconciled && o.Registered && now.Sub(o.LastContactAt) < 2*p.cfg.ReportEvery && !now.Before(o.StartsNotBefore) &&
				(level > m.UtilizationBucket() || Fuller(o, m)) && Usable(j, o) && (o.ReservedFor == nil || o.ReservedFor == j) {
				room += min(o.TasksThatFit(j), ZoneRoom(j, o.Zone))
			}
		}
	}
	return min(room, want)
}
