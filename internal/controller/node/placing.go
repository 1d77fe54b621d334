package node

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/standing"
	"gullrudder/internal/controller/workers"
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

// rankShare is how much of the processor's share may go into making the order, and rankCost
// what it takes for a job (measured, with its hold: BenchmarkRank).
const (
	rankShare = 0.1
	rankCost  = 4 * time.Microsecond
)

// rankEvery is how often the order is made anew at most.
func (n *Node) rankEvery() time.Duration {
	return max(100*time.Millisecond, time.Duration(float64(len(n.lead.jobs))*float64(rankCost)/(rankShare*n.cfg.CPUShare)))
}

// rank makes the order and the holds anew if something has changed.
func (n *Node) rank(now time.Time) {
	l := n.lead
	if !l.stale || now.Sub(l.ordered) < n.rankEvery() {
		return
	}
	l.stale, l.ordered = false, now
	list := make([]*jobs.Job, 0, len(l.jobs))
	for _, j := range l.jobs {
		if j.Live() {
			list = append(list, j)
		}
	}
	l.order = l.planner.Order(now, list, n.room(now))
	l.waiting, l.least = l.waiting[:0], math.Inf(1)
	clear(l.firsts)
	for _, e := range l.order {
		if e.First {
			l.firsts[e.Job] = true
		}
		if e.Job.Waiting() == 0 {
			continue
		}
		l.least = min(l.least, e.Job.CPUs)
		if !e.Job.Gang {
			l.waiting = append(l.waiting, e)
		}
	}
	n.hold(now)
}

// holdFor keeps the free room of a machine for a job.
func (n *Node) holdFor(m *workers.Machine, j *jobs.Job) {
	if m.HeldFor == nil {
		n.lead.held = append(n.lead.held, m)
	}
	m.HeldFor = j
}

// hold keeps free room for the jobs that go first but fit nowhere yet, on the machines
// with the most room, so that smaller tasks do not take it bit by bit.
func (n *Node) hold(now time.Time) {
	l := n.lead
	for _, m := range l.held {
		m.HeldFor = nil
	}
	l.held = l.held[:0]
	var free []*workers.Machine // not held for a job, the most room first
	rooms := newRoomFor()
	for _, e := range l.order {
		j := e.Job
		if !e.Hold || j.Waiting() == 0 || now.Before(j.NotBefore) {
			continue
		}
		want := n.wanted(j)
		if want == 0 || j.Gang && want < j.Waiting() {
			continue
		}
		if free == nil {
			free = n.byRoom()
		}
		if j.Gang {
			want -= n.holdWhole(j, free, want)
		}
		if want > 0 {
			want -= rooms.fit(j, free, want)
		}
		if want > 0 && !rooms.barren(j) {
			left := free[:0]
			before := want
			for _, m := range free {
				if want > 0 && m.HeldFor == nil && place.Usable(j, m) && m.Fits(j) == 0 && m.CPUs >= j.CPUs && m.Mem >= j.Mem {
					n.holdFor(m, j)
					want--
				}
				if m.HeldFor == nil {
					left = append(left, m)
				}
			}
			rooms.held(j, before-want, len(free)-len(left))
			if free = left; len(free) == 0 {
				return
			}
		}
	}
}

// shape is all of a job that decides where its tasks fit, as long as none of them has failed.
type shape struct {
	cpus, cards, mem float64
	zone, types      string
	spot             bool
}

// roomFor is how many tasks of a shape fit on the machines that are free. Most jobs of a queue
// have one of a few shapes: without it each of them walks the machines anew.
type roomFor struct {
	fits    map[shape]int
	nothing map[shape]bool // no machine is left that could be held for these
}

func newRoomFor() roomFor { return roomFor{map[shape]int{}, map[shape]bool{}} }

func shapeOf(j *jobs.Job) shape {
	return shape{j.CPUs, j.Cards, j.Mem, j.Zone, strings.Join(j.Types, " "), j.Spot}
}

// barren reports that holding was tried for a job of the same shape and no machine was found.
// The machines that are free only become fewer, so none is found for this one either.
func (r roomFor) barren(j *jobs.Job) bool { return j.Errors == 0 && r.nothing[shapeOf(j)] }

// held is told how many machines were held for a job, and how many are not free any more.
func (r roomFor) held(j *jobs.Job, machines, gone int) {
	if gone > 0 {
		clear(r.fits)
	}
	if machines == 0 && j.Errors == 0 {
		r.nothing[shapeOf(j)] = true
	}
}

// fit is how many tasks of the job fit on the free machines, which are sorted by what is free;
// more than it wants are not counted.
func (r roomFor) fit(j *jobs.Job, free []*workers.Machine, want int) int {
	if j.Errors > 0 {
		return fitting(j, free, want) // some machines may be left out for this job alone
	}
	key := shapeOf(j)
	total, known := r.fits[key]
	if !known {
		probe := *j
		probe.Tasks = jobs.MaxTasks
		total = fitting(&probe, free, math.MaxInt)
		r.fits[key] = total
	}
	return min(total, want)
}

func fitting(j *jobs.Job, free []*workers.Machine, want int) int {
	room := 0
	for _, m := range free {
		if room >= want || j.CPUs > 0 && m.CPUs-m.UsedCPU < j.CPUs-1e-6 {
			break // sorted: the rest has less
		}
		if place.Usable(j, m) {
			room += m.Fits(j)
		}
	}
	return min(room, want)
}

// byRoom lists the machines that are up, those with the most free CPUs first.
func (n *Node) byRoom() []*workers.Machine {
	list := n.lead.fleet.Up()
	slices.SortFunc(list, func(a, b *workers.Machine) int {
		return cmp.Or(cmp.Compare(b.CPUs-b.UsedCPU, a.CPUs-a.UsedCPU), cmp.Compare(b.CPUs, a.CPUs), compareIDs(a, b))
	})
	return list
}

func compareIDs(a, b *workers.Machine) int { return cmp.Compare(a.ID, b.ID) }

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
		if m.HeldFor == nil && place.Usable(j, m) {
			if c := m.Holds(j); c > 0 {
				n.holdFor(m, j)
				covered += c
			}
		}
	}
	return covered
}

// starts picks what the machine starts now.
func (n *Node) starts(now time.Time, m *workers.Machine, most int) []workers.Command {
	l := n.lead
	if !l.placing || !m.Accounted || !m.Rostered || m.Draining != workers.InUse || m.CPUs+m.Mem == 0 || now.Before(m.RoomFrom) {
		return nil
	}
	n.rank(now)
	list := n.bookedStarts(now, m, most)
	full := func() bool { return len(list) >= most || m.CPUs-m.UsedCPU < l.least-1e-6 }
	for rest := l.waiting; len(rest) > 0 && !full(); {
		same := 1
		for same < len(rest) && rest[same].Rank == rest[0].Rank {
			same++
		}
		// Among jobs of one rank those go first whose image is here.
		for _, near := range [...]bool{true, false} {
			for _, e := range rest[:same] {
				if full() {
					break
				}
				if n.near(now, e.Job, m) == near {
					list = n.startSome(now, m, e, list, most)
				} else if near && e.Job.Passed.IsZero() && m.Fits(e.Job) > 0 {
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
func (n *Node) near(now time.Time, j *jobs.Job, m *workers.Machine) bool {
	return m.Store.Has(j.Image) || !j.Passed.IsZero() && now.Sub(j.Passed) >= m.Store.Fetch(j.ImageGB)
}

// startSome starts as many tasks of one job on the machine as there is room for.
func (n *Node) startSome(now time.Time, m *workers.Machine, e plan.Entry, list []workers.Command, most int) []workers.Command {
	l, j := n.lead, e.Job
	count := min(m.Fits(j), j.Waiting(), most-len(list))
	if count <= 0 || !j.Live() || now.Before(j.NotBefore) || !place.Usable(j, m) {
		return list
	}
	if h := m.HeldFor; h != nil && h != j && (!e.Hold || l.firsts[h] && !(e.First && standing.Older(j, h))) {
		// What is held for the oldest is not taken bit by bit by those that are planned.
		return list
	}
	count = min(count, place.ZoneRoom(j, m.Zone), place.TeamRoom(j, n.teams[j.Team], l.fleet.Team(j.Team)))
	if count > 0 {
		count = min(count, j.Waiting()-n.fuller(now, j, m, mostLooked))
	}
	for ; count > 0; count-- {
		t := j.NextTask()
		if t < 0 {
			break
		}
		a := n.attempt(now, m, j, t, n.nextNumber())
		list = append(list, workers.Start(a.Key.String(), a.Number))
		j.Passed = time.Time{}
	}
	return list
}

// bookedStarts are the starts of gangs that have waited for the machine's report.
func (n *Node) bookedStarts(now time.Time, m *workers.Machine, most int) []workers.Command {
	l := n.lead
	var list []workers.Command
	if len(l.booked) == 0 {
		return nil
	}
	for _, a := range m.Attempts {
		if a.Unsent && !a.Stray && a.Job.Live() && len(list) < most {
			a.Unsent, a.Assigned = false, now
			delete(l.booked, a)
			list = append(list, workers.Start(a.Key.String(), a.Number))
		}
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

// mostLooked bounds the machines that are looked at for one job of one report: the cost of
// a report must not grow with the fleet. Packing loses little by it: where so many fuller
// machines have no room for the job, there is little room at all.
const mostLooked = 64

// fuller is how many tasks of the job fit on machines that are fuller than m and report
// soon: those are left to them. More than the job's waiting tasks are not counted.
func (n *Node) fuller(now time.Time, j *jobs.Job, m *workers.Machine, most int) int {
	l := n.lead
	room, want := 0, j.Waiting()
	from := workers.Levels
	if j.CPUs > 0 {
		from-- // on the last level no CPU is free
	}
	for level := from; level >= m.LevelOf(); level-- {
		for _, o := range l.fleet.Level(level) {
			if most--; most < 0 || room >= want {
				return min(room, want)
			}
			if o != m && o.Accounted && o.Rostered && now.Sub(o.Answered) < 2*n.cfg.ReportEvery && !now.Before(o.RoomFrom) &&
				(level > m.LevelOf() || place.Fuller(o, m)) && place.Usable(j, o) && (o.HeldFor == nil || o.HeldFor == j) {
				room += min(o.Fits(j), place.ZoneRoom(j, o.Zone))
			}
		}
	}
	return min(room, want)
}
