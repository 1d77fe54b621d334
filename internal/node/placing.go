package node

import (
	"sort"
	"time"

	"gullrudder/internal/fleet"
	"gullrudder/internal/jobs"
	"gullrudder/internal/place"
	"gullrudder/internal/workers"
)

func kindOf(t *fleet.Type, zone string, spot bool) fleet.Kind {
	return fleet.Kind{Type: t.Name, Zone: zone, Spot: spot}
}

// enrolWait is how long a new machine's report may wait for its place on the roster.
const enrolWait = 700 * time.Millisecond

// answerReports answers the reports of this batch; what starts where is decided now.
func (n *Node) answerReports(now time.Time) {
	l := n.lead
	list := l.reports
	l.reports = nil
	for _, p := range list {
		if p.fresh && p.m.Enrolling && l.placing && now.Sub(p.at) < enrolWait {
			// Its place on the roster is being written; with that it gets tasks at once.
			l.reports = append(l.reports, p)
			continue
		}
		// The same machine may have reported twice; only its newest report gets starts.
		ans := workers.Answer{Token: l.token, Commands: []workers.Command{}}
		if p.fresh {
			n.saveBeforeNotice(now, p.m)
			ans.Commands = append(ans.Commands, n.orders(now, p.m, p.rep)...)
			if p.rep.Seq == p.m.Seq && p.rep.Session == p.m.Session {
				ans.Commands = append(ans.Commands, n.starts(now, p.m, mostCommands-len(ans.Commands))...)
			}
		}
		n.reply(p.req, 200, ans, 0)
	}
}

// rank makes the order and the holds anew if something has changed.
func (n *Node) rank(now time.Time) {
	l := n.lead
	if !l.stale || now.Sub(l.ordered) < 100*time.Millisecond {
		return
	}
	l.stale, l.ordered = false, now
	live := l.jobs
	list := make([]*jobs.Job, 0, len(live))
	for _, j := range live {
		if j.Live() {
			list = append(list, j)
		}
	}
	l.order = l.planner.Order(now, list, n.room(now))
	n.hold(now)
}

// hold keeps free room for the jobs that go first but fit nowhere yet, on the machines
// with the most room, so that smaller tasks do not take it bit by bit.
func (n *Node) hold(now time.Time) {
	l := n.lead
	clear(l.holds)
	var free []*workers.Machine
	for _, e := range l.order {
		j := e.Job
		want := n.wanted(j)
		if !e.Hold || want == 0 || j.Gang && want < j.Waiting() || now.Before(j.NotBefore) {
			continue
		}
		if free == nil {
			free = l.fleet.Sorted()
			sort.SliceStable(free, func(a, b int) bool { return free[a].CPUs-free[a].UsedCPU > free[b].CPUs-free[b].UsedCPU })
		}
		if j.Gang {
			want -= n.holdWhole(j, free, want)
		}
		for _, m := range free {
			if place.Usable(j, m) && l.holds[m.ID] == nil {
				want -= m.Fits(j)
			}
		}
		for _, m := range free {
			if want <= 0 {
				break
			}
			if l.holds[m.ID] == nil && place.Usable(j, m) && m.Fits(j) == 0 && m.CPUs >= j.CPUs && m.Mem >= j.Mem {
				l.holds[m.ID] = j
				want--
			}
		}
	}
}

// wanted is how many tasks of the job need room now: those that wait, less what the
// team's limit forbids.
func (n *Node) wanted(j *jobs.Job) int {
	return min(j.Waiting(), place.TeamRoom(j, n.teams[j.Team], n.lead.fleet.Team(j.Team)))
}

// holdWhole holds machines for a gang that waits, by what they hold when empty, and
// returns how many of its tasks that covers.
func (n *Node) holdWhole(j *jobs.Job, free []*workers.Machine, want int) int {
	covered := 0
	for _, m := range free {
		if covered >= want {
			break
		}
		if n.lead.holds[m.ID] == nil && place.Usable(j, m) {
			if c := m.Holds(j); c > 0 {
				n.lead.holds[m.ID] = j
				covered += c
			}
		}
	}
	return covered
}

// starts picks what the machine starts now.
func (n *Node) starts(now time.Time, m *workers.Machine, most int) []workers.Command {
	l := n.lead
	if !l.placing || !m.Accounted || !m.Rostered || m.Draining != "" || m.CPUs+m.Mem == 0 || now.Before(m.RoomFrom) {
		return nil
	}
	n.rank(now)
	var list []workers.Command
	for _, a := range m.Attempts {
		if a.Unsent && !a.Stray && a.Job.Live() && len(list) < most {
			a.Unsent, a.Assigned = false, now
			list = append(list, workers.Start(a.Key.String(), a.Number))
		}
	}
	for _, e := range l.order {
		if len(list) >= most || m.UsedCPU >= m.CPUs-1e-6 && m.UsedMem >= m.Mem-1e-6 {
			break
		}
		j := e.Job
		if j.Gang || j.Waiting() == 0 || !j.Live() || now.Before(j.NotBefore) || !place.Usable(j, m) {
			continue
		}
		if h := l.holds[m.ID]; h != nil && h != j && !e.Hold {
			continue
		}
		count := min(m.Fits(j), place.ZoneRoom(j, m.Zone), place.TeamRoom(j, n.teams[j.Team], l.fleet.Team(j.Team)), most-len(list))
		if count > 0 {
			count = min(count, j.Waiting()-n.fuller(now, j, m))
		}
		for ; count > 0; count-- {
			t := j.NextTask()
			if t < 0 {
				break
			}
			a := n.attempt(now, m, j, t, n.nextNumber())
			list = append(list, workers.Start(a.Key.String(), a.Number))
		}
	}
	if len(list) > 0 {
		m.IdleSince = now
	}
	return list
}

// nextNumber is a new attempt number. It derives from the token, so no other leader ever
// uses it.
func (n *Node) nextNumber() uint64 {
	n.lead.counter++
	return n.lead.token<<24 | n.lead.counter
}

// attempt records a new attempt on the machine.
func (n *Node) attempt(now time.Time, m *workers.Machine, j *jobs.Job, task int, number uint64) *jobs.Attempt {
	l := n.lead
	a := &jobs.Attempt{Key: jobs.Key{Job: j.ID, Task: task}, Number: number, Machine: m.ID, Zone: m.Zone, Job: j, Assigned: now}
	l.fleet.Place(m, a)
	return a
}

// fuller is how many tasks of the job fit on machines that are fuller than m and report
// soon: those are left to them.
func (n *Node) fuller(now time.Time, j *jobs.Job, m *workers.Machine) int {
	l := n.lead
	room := 0
	for _, o := range l.fleet.Machines {
		if o != m && o.Accounted && o.Rostered && now.Sub(o.Answered) < 2*n.cfg.ReportEvery && !now.Before(o.RoomFrom) &&
			place.Fuller(o, m) && place.Usable(j, o) && (l.holds[o.ID] == nil || l.holds[o.ID] == j) {
			room += min(o.Fits(j), place.ZoneRoom(j, o.Zone))
		}
	}
	return room
}
