package place

import (
	"sort"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
)

// gangPatience is how long a gang may be in part on its machines before it is stopped to
// be started anew as a whole.
const gangPatience = 15 * time.Second

// gangs books places for gangs: all tasks at once or none. The starts go out with the
// machines' next reports; until then the places count as taken.
func (p *Placer) gangs(now time.Time) {
	p.rank(now)
	for _, e := range p.order {
		j := e.Job
		if !j.Gang || !j.Live() || now.Before(j.NotBefore) {
			continue
		}
		if len(j.Active) == 0 {
			p.bookGang(now, j)
			continue
		}
		p.mendGang(now, j)
	}
	// What waits to be sent to a machine that is silent, or for a job that must not
	// start any more, is taken back: it never left.
	for a, m := range p.booked {
		switch {
		case m.Attempts[a.Key] != a:
			delete(p.booked, a) // its machine is gone
		case m.DrainReason != workers.NotDraining || !a.Job.Live() || now.Sub(a.Assigned) > 2*p.cfg.ReportEvery+time.Second:
			delete(p.booked, a)
			p.fleet.Unassign(m, a)
			a.Job.Again(a.Key.Task)
		}
	}
}

// mendGang stops what is left of a gang of which a part has been missing for too long.
func (p *Placer) mendGang(now time.Time, j *jobs.Job) {
	if j.Waiting() == 0 {
		return
	}
	for _, a := range j.Active {
		if !a.Unsent && a.Stopping.IsZero() && now.Sub(a.Assigned) > gangPatience {
			a.Stopping = now
		}
	}
}

// bookGang lays all tasks of a gang on as few machines as can be.
func (p *Placer) bookGang(now time.Time, j *jobs.Job) {
	want := j.Waiting()
	if want == 0 || TeamRoom(j, p.teams[j.Team], p.fleet.TeamUsage(j.Team)) < want {
		return
	}
	byZone := map[string][]*workers.Machine{}
	var zones []string
	for _, m := range p.fleet.MachinesByName() {
		if m.Reconciled && m.Registered && Usable(j, m) && now.Sub(m.LastContactAt) < 2*p.cfg.ReportEvery && m.TasksThatFit(j) > 0 {
			if byZone[m.Zone] == nil {
				zones = append(zones, m.Zone)
			}
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	zoneRoom := func(list []*workers.Machine) int {
		room := 0
		for _, m := range list {
			room += m.TasksThatFit(j)
		}
		return room
	}
	sort.SliceStable(zones, func(a, b int) bool { return zoneRoom(byZone[zones[a]]) > zoneRoom(byZone[zones[b]]) })
	type share struct {
		m     *workers.Machine
		count int
	}
	var shares []share
	left := want
	for _, z := range zones {
		list := byZone[z]
		if j.OneZone && zoneRoom(list) < want {
			continue
		}
		sort.SliceStable(list, func(a, b int) bool { return list[a].TasksThatFit(j) > list[b].TasksThatFit(j) })
		allowed := min(left, ZoneRoom(j, z))
		for _, m := range list {
			if c := min(m.TasksThatFit(j), allowed); c > 0 {
				shares = append(shares, share{m, c})
				allowed -= c
				left -= c
			}
		}
		if left == 0 {
			break
		}
	}
	if left > 0 {
		return
	}
	p.log.Debug("gang booked", "job", j.ID, "tasks", want, "machines", len(shares))
	// The workers bring the tasks of a gang together by their attempt number.
	number := p.nextNumber()
	for _, s := range shares {
		for range s.count {
			t := j.NextTask()
			if t < 0 {
				return
			}
			a := p.attempt(now, s.m, j, t, number)
			a.Unsent = true
			p.booked[a] = s.m
		}
	}
}
