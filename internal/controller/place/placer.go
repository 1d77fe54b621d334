package place

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/wire/outbox"
)

// Placer decides where tasks start: the order in which jobs get room, what is held for them, and
// what a machine starts when it reports. It owns the order, the holds and the booked places of
// gangs; a leader makes it at its election. Starts leave it as commands for a report's response.
type Placer struct {
	cfg     *config.Platform
	teams   map[string]config.Team
	log     *slog.Logger
	box     *outbox.Box
	token   uint64
	counter uint64
	jobs    map[string]*jobs.Job // the book's, for looking only
	fleet   *workers.Registry
	planner *plan.Planner
	room    func(time.Time) plan.Room

	order    []plan.Entry
	ordered  time.Time
	stale    bool
	waiting  []candidate // those of the order that have tasks to start, gangs aside
	shapes   map[shape]int
	numbers  []int   // by entry of the order: the number of its job's shape
	looks    []look  // by shape, of the machine whose starts are chosen
	least    float64 // the CPUs of the smallest of their tasks
	held     []*workers.Machine
	holding  map[*jobs.Job]bool                 // jobs that machines are held for
	firsts   map[*jobs.Job]bool                 // aged jobs that go before everything else
	booked   map[*jobs.Attempt]*workers.Machine // starts of gangs that wait for their machines' reports
	hidden   Hidden                             // not nil: only jobs of this leader start (partial.go)
	nextRoom time.Time
	nextGang time.Time
}

// World is what a placer sees of its neighbours.
type World struct {
	Platform *config.Platform
	Token    uint64
	Jobs     map[string]*jobs.Job // all that are not finished
	Fleet    *workers.Registry
	Planner  *plan.Planner
	Room     func(time.Time) plan.Room // the machines that the plan counts on
	Box      *outbox.Box
	Log      *slog.Logger
}

// NewPlacer makes the placer of a new leadership.
func NewPlacer(w World) *Placer {
	p := &Placer{cfg: w.Platform, teams: w.Platform.TeamsByName(), log: w.Log, box: w.Box, token: w.Token, jobs: w.Jobs, fleet: w.Fleet,
		planner: w.Planner, room: w.Room, shapes: map[shape]int{}, holding: map[*jobs.Job]bool{}, firsts: map[*jobs.Job]bool{}, booked: map[*jobs.Attempt]*workers.Machine{}}
	return p
}

// Tick does what is due besides the machines' reports: gangs are booked, and room is made for
// guaranteed jobs. Nothing is placed before a takeover is complete.
func (p *Placer) Tick(now time.Time, placing bool) {
	if now.Sub(p.ordered) > 500*time.Millisecond {
		p.stale = true
	}
	if !placing {
		return
	}
	if !now.Before(p.nextGang) {
		p.nextGang = now.Add(200 * time.Millisecond)
		p.gangs(now)
	}
	if !now.Before(p.nextRoom) {
		p.nextRoom = now.Add(500 * time.Millisecond)
		p.makeRoom(now)
	}
}

// Changed says that the order is not what it was: a job came, went or has other tasks to start.
func (p *Placer) Changed() { p.stale = true }

// Order is the jobs that may run, in the order in which they get room. It is for looking only.
func (p *Placer) Order(now time.Time) []plan.Entry {
	p.rank(now)
	return p.order
}

// Shapes numbers, by entry of the order that was made last, what decides where the job's tasks fit:
// those of one number fit alike. It is for looking only.
func (p *Placer) Shapes() []int { return p.numbers }

// Last is the order as it was made last. It is for looking only.
func (p *Placer) Last() []plan.Entry { return p.order }

// Least is the CPUs of the smallest task that waits.
func (p *Placer) Least() float64 { return p.least }

// rankShare is how much of the processor's share may go into making the order, and rankCost
// what it takes for a job (measured, with its hold: BenchmarkRank).
const (
	rankShare = 0.1
	rankCost  = 4 * time.Microsecond
)

// rankEvery is how often the order is made anew at most.
func (p *Placer) rankEvery() time.Duration {
	return max(100*time.Millisecond, time.Duration(float64(len(p.jobs))*float64(rankCost)/(rankShare*p.cfg.CPUShare)))
}

// rank makes the order and the holds anew if something has changed.
func (p *Placer) rank(now time.Time) {
	if !p.stale || now.Sub(p.ordered) < p.rankEvery() {
		return
	}
	p.stale, p.ordered = false, now
	list := make([]*jobs.Job, 0, len(p.jobs))
	for _, j := range p.jobs {
		if j.Live() {
			list = append(list, j)
		}
	}
	p.order = p.planner.Order(now, list, p.room(now))
	p.waiting, p.numbers, p.least = p.waiting[:0], p.numbers[:0], math.Inf(1)
	clear(p.firsts)
	clear(p.shapes)
	for _, e := range p.order {
		number := p.shapeOf(e.Job)
		p.numbers = append(p.numbers, number)
		if e.First {
			p.firsts[e.Job] = true
		}
		if e.Job.Waiting() == 0 {
			continue
		}
		p.least = min(p.least, e.Job.CPUs)
		if !e.Job.Gang {
			p.waiting = append(p.waiting, candidate{e, number})
		}
	}
	p.hold(now)
}

// holdFor keeps the free room of a machine for a job.
func (p *Placer) holdFor(m *workers.Machine, j *jobs.Job) {
	if m.ReservedFor == nil {
		p.held = append(p.held, m)
	}
	m.ReservedFor = j
	p.holding[j] = true
}

// hold keeps free room for the jobs that go first but fit nowhere yet, on the machines
// with the most room, so that smaller tasks do not take it bit by bit.
func (p *Placer) hold(now time.Time) {
	for _, m := range p.held {
		m.ReservedFor = nil
	}
	p.held = p.held[:0]
	clear(p.holding)
	var free []*workers.Machine // not held for a job, the most room first
	rooms := newRoomFor(len(p.shapes))
	for i := range p.order {
		e, number := &p.order[i], p.numbers[i]
		j := e.Job
		if !e.Hold || j.Waiting() == 0 || now.Before(j.NotBefore) {
			continue
		}
		want := p.Wanted(j)
		if e.Most > 0 {
			want = min(want, e.Most-len(j.Active))
		}
		if want <= 0 || j.Gang && want < j.Waiting() {
			continue
		}
		if free == nil {
			free = p.byRoom()
		}
		if j.Gang {
			want -= p.holdWhole(j, free, want)
		}
		if want > 0 {
			want -= rooms.fit(j, number, free, want)
		}
		if want > 0 && !rooms.barren(j, number) {
			left := free[:0]
			before := want
			for _, m := range free {
				if want > 0 && m.ReservedFor == nil && Usable(j, m) && m.TasksThatFit(j) == 0 && m.CPUs >= j.CPUs && m.MemoryGB >= j.Mem {
					p.holdFor(m, j)
					want--
				}
				if m.ReservedFor == nil {
					left = append(left, m)
				}
			}
			rooms.held(j, number, before-want, len(free)-len(left))
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
// They go by the numbers of the shapes.
type roomFor []struct {
	known   bool
	fits    int
	nothing bool // no machine is left that could be held for these
}

func newRoomFor(shapes int) roomFor { return make(roomFor, shapes) }

func shapeOf(j *jobs.Job) shape {
	return shape{j.CPUs, j.Cards, j.Mem, j.Zone, strings.Join(j.Types, " "), j.Spot}
}

// barren reports that holding was tried for a job of the same shape and no machine was found.
// The machines that are free only become fewer, so none is found for this one either.
func (r roomFor) barren(j *jobs.Job, number int) bool { return j.Errors == 0 && r[number].nothing }

// held is told how many machines were held for a job, and how many are not free any more.
func (r roomFor) held(j *jobs.Job, number, machines, gone int) {
	for i := range r {
		r[i].known = r[i].known && gone == 0
	}
	if machines == 0 && j.Errors == 0 {
		r[number].nothing = true
	}
}

// fit is how many tasks of the job fit on the free machines, which are sorted by what is free;
// more than it wants are not counted.
func (r roomFor) fit(j *jobs.Job, number int, free []*workers.Machine, want int) int {
	if j.Errors > 0 {
		return fitting(j, free, want) // some machines may be left out for this job alone
	}
	s := &r[number]
	if !s.known {
		probe := *j
		probe.Tasks = jobs.MaxTasks
		s.known, s.fits = true, fitting(&probe, free, math.MaxInt)
	}
	return min(s.fits, want)
}

func fitting(j *jobs.Job, free []*workers.Machine, want int) int {
	room := 0
	for _, m := range free {
		if room >= want || j.CPUs > 0 && m.CPUs-m.UsedCPUs < j.CPUs-1e-6 {
			break // sorted: the rest has less
		}
		if Usable(j, m) {
			room += m.TasksThatFit(j)
		}
	}
	return min(room, want)
}

// byRoom lists the machines that are up, those with the most free CPUs first.
func (p *Placer) byRoom() []*workers.Machine {
	list := p.fleet.ReportingMachines()
	slices.SortFunc(list, func(a, b *workers.Machine) int {
		return cmp.Or(cmp.Compare(b.CPUs-b.UsedCPUs, a.CPUs-a.UsedCPUs), cmp.Compare(b.CPUs, a.CPUs), compareIDs(a, b))
	})
	return list
}

func compareIDs(a, b *workers.Machine) int { return cmp.Compare(a.ID, b.ID) }

// noLimit is more than any fleet has.
const noLimit = 1e12

// Wants is, by entry of an order, how many of its tasks need room now. What a team's limit still
// allows is shared by its jobs, the first in the order first: each for itself would want all of it.
func (p *Placer) Wants(order []plan.Entry) []int {
	left := map[string]workers.Resources{}
	list := make([]int, len(order))
	for i := range order {
		j := order[i].Job
		list[i] = j.Waiting()
		t := p.teams[j.Team]
		if list[i] == 0 || t.CPULimit <= 0 && t.CardsLimit <= 0 {
			continue
		}
		room, ok := left[j.Team]
		if !ok {
			used := p.fleet.TeamUsage(j.Team)
			room = workers.Resources{CPUs: noLimit, GPUs: noLimit, MemoryGB: noLimit}
			if t.CPULimit > 0 {
				room.CPUs = t.CPULimit - used.CPUs
			}
			if t.CardsLimit > 0 {
				room.GPUs = t.CardsLimit - used.GPUs
			}
		}
		list[i] = min(list[i], room.TasksThatFit(j))
		left[j.Team] = room.AfterPlacing(j, list[i])
	}
	return list
}

// Wanted is how many tasks of the job need room now: those that wait, less what the
// team's limit forbids.
func (p *Placer) Wanted(j *jobs.Job) int {
	return min(j.Waiting(), TeamRoom(j, p.teams[j.Team], p.fleet.TeamUsage(j.Team)))
}

// holdWhole holds machines for a gang that waits, by what they hold when empty, and
// returns how many of its tasks that covers.
func (p *Placer) holdWhole(j *jobs.Job, free []*workers.Machine, want int) int {
	covered := 0
	for _, m := range free {
		if covered >= want {
			break
		}
		if m.ReservedFor == nil && Usable(j, m) {
			if c := m.TasksThatFitWhenEmpty(j); c > 0 {
				p.holdFor(m, j)
				covered += c
			}
		}
	}
	return covered
}
