// Package rental decides which machines are rented and which are given back. Its Desk looks at the
// order of the jobs and at the machines that are there or coming; the dealings with the cloud are
// fleet's. It owns when it looks next, and nothing else: it never starts, stops or places a task
// except to empty a machine that is hardly used.
package rental

import (
	"cmp"
	"log/slog"
	"slices"
	"sort"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/pace"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/outbox"
)

// Desk is a leader's renting and returning.
type Desk struct {
	cfg     *config.Platform
	opt     *config.Options
	teams   map[string]config.Team
	log     *slog.Logger
	box     *outbox.Box
	token   uint64
	since   time.Time // when the leadership began
	first   func() bool
	cloud   *fleet.Cloud
	fleet   *workers.Registry
	planner *plan.Planner
	placer  *place.Placer
	pace    *pace.Detector

	sized    time.Time
	nextSize time.Time
	nextThin time.Time
	zones    *zones.Book
	steps    []step
	records  []record // by step
	recorded time.Time
	flows    map[[2]string]*flow
	held     []held // of the present look
}

// held is a machine that is rented, as far as is known.
type held struct {
	id      string
	host    *fleet.Host
	typ     *fleet.Type      // nil if it is not known
	m       *workers.Machine // nil before its worker has reported, or the roster named it
	expired bool             // its lease has ended: nothing is on it
}

// gather looks each machine up once for all that a look does.
func (d *Desk) gather(now time.Time) {
	d.held = d.held[:0]
	awaited := map[string][]time.Duration{}
	for id, h := range d.cloud.Hosts {
		m := d.fleet.Machines[id]
		if m == nil && !h.Deleting && h.State != fleet.Failed && !d.zones.Away(h.Kind.Zone) {
			awaited[h.Kind.Type] = append(awaited[h.Kind.Type], now.Sub(h.Born))
		}
		d.held = append(d.held, held{id, h, d.cloud.Types[h.Kind.Type], m, m != nil && d.fleet.IsLeaseExpired(now, m)})
	}
	for _, list := range awaited {
		slices.SortFunc(list, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	}
	d.cloud.Awaits(awaited)
}

// World is what a desk sees of its neighbours.
type World struct {
	Platform *config.Platform
	Options  *config.Options
	Token    uint64
	Since    time.Time   // when the leadership began
	First    func() bool // nobody has led before: the ledger was empty
	Cloud    *fleet.Cloud
	Fleet    *workers.Registry
	Planner  *plan.Planner
	Placer   *place.Placer
	Pace     *pace.Detector
	Zones    *zones.Book
	Box      *outbox.Box
	Log      *slog.Logger
}

// NewDesk makes the desk of a new leadership.
func NewDesk(w World) *Desk {
	d := &Desk{cfg: w.Platform, opt: w.Options, teams: w.Platform.TeamsByName(), log: w.Log, box: w.Box, token: w.Token, since: w.Since,
		first: w.First, cloud: w.Cloud, fleet: w.Fleet, planner: w.Planner, placer: w.Placer, pace: w.Pace, zones: w.Zones, steps: stepsOf(w.Platform.Objectives),
		flows: map[[2]string]*flow{}, recorded: w.Since}
	d.records = make([]record, len(d.steps))
	return d
}

// Tick looks at what is due. Answers of the cloud make it look at once.
func (d *Desk) Tick(now time.Time) {
	if !now.Before(d.nextThin) {
		d.nextThin = now.Add(5 * time.Second)
		d.setSlowAside(now)
		d.thinOut(now)
	}
	if !now.Before(d.nextSize) || d.cloud.TakeSettled() {
		d.sized, d.nextSize = now, now.Add(time.Second)
		d.size(now)
	}
}

// Accepted has what a new job needs asked for soon: machines take long to boot.
func (d *Desk) Accepted(now time.Time, j *jobs.Job) {
	d.took(now, j)
	if soon := d.sized.Add(300 * time.Millisecond); soon.Before(d.nextSize) {
		d.nextSize = soon
	}
}

// option is a kind of machine that can be rented, with its price per CPU.
type option struct {
	kind  fleet.Kind
	typ   *fleet.Type
	price float64
}

// serving is how long a rented machine is expected to be of use.
const serving = 3 * time.Minute

func (d *Desk) options() []option {
	var list []option
	for _, t := range d.cloud.Types {
		size := max(t.CPUs, t.Cards*8, 0.1)
		// A machine is paid for while it boots: spread over the time it is likely to serve.
		size *= serving.Seconds() / (serving + d.cloud.Boot(t)).Seconds()
		for _, z := range t.Zones {
			list = append(list, option{fleet.KindOf(t, z, false), t, t.Price / size}, option{fleet.KindOf(t, z, true), t, t.SpotPrice / size})
		}
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.price != y.price {
			return x.price < y.price
		}
		if x.kind.Type != y.kind.Type {
			return x.kind.Type < y.kind.Type
		}
		return x.kind.Zone < y.kind.Zone
	})
	return list
}

// size rents what the waiting work justifies and gives back what stands idle.
func (d *Desk) size(now time.Time) {
	order := d.placer.Order(now)
	d.gather(now)
	wants := d.placer.StartableTasks(order)
	d.giveBack(now, wants)
	// What an earlier leader has rented last is not listed yet; only where the ledger
	// holds nothing at all is there no earlier leader.
	if len(d.cloud.Types) == 0 || !d.first() && (d.cloud.Lists == 0 || now.Sub(d.since) < d.cfg.ListLag) {
		return
	}
	opts := d.options()
	if len(opts) == 0 {
		return
	}
	cheapest := opts[0].price
	// Room that is there or coming, per machine; the waiting tasks are laid into it.
	f := d.forecast()
	work := d.workAhead(order)
	pays := d.dearer(now, opts, order, work)
	asked, most := map[fleet.Kind]int{}, map[fleet.Kind]int{}
	for _, o := range opts {
		most[o.kind] = d.mayAsk(now, o.kind)
	}
	shapes := d.placer.ShapeNumbers()
	settled := map[int]bool{} // shapes for which there is no room, and nothing to be asked
	for i, want := range wants {
		j := order[i].Job
		alike := !j.IsGang && !j.IsService
		if want == 0 || alike && settled[shapes[i]] {
			continue
		}
		had := want
		if want -= f.lay(j, want); want <= 0 {
			continue
		}
		nothing := want == had
		lacking := needed(j) - f.capacity(j)
		if j.HasGuarantee() && !j.AllowsSpot {
			// The fleet is mostly cheap machines, on which it may not run: how long the work at hand lasts says nothing of when it
			// gets room. Such jobs had one machine between them and stood in line before it past their deadlines.
			lacking = max(lacking, want)
		}
		for _, o := range opts {
			per := place.TasksPerMachine(j, o.typ)
			if want <= 0 {
				break
			}
			if per == 0 || !place.KindAllowed(j, o.kind) || most[o.kind] == 0 {
				continue
			}
			worth := d.worth(o.price, cheapest)
			total := work.within(worth)
			pay, weighed := pays[o.kind]
			for want > 0 && asked[o.kind] < most[o.kind] && (lacking > 0 || weighed && asked[o.kind] < pay || total > f.cpus*worth) {
				asked[o.kind]++
				nothing = false
				clear(settled)
				if d.zones.Away(o.kind.Zone) {
					break // to learn of its return; no room to count on
				}
				f.add(o.kind, o.typ)
				lacking -= per
				want -= f.take(len(f.open)-1, j, min(per, want))
			}
		}
		settled[shapes[i]] = alike && nothing
	}
	for _, o := range opts {
		if asked[o.kind] > 0 {
			d.zones.Asked(now, o.kind.Zone, asked[o.kind])
			d.cloud.Rent(now, o.kind, asked[o.kind])
		}
	}
}

// mayAsk is how many machines of a kind may be asked for now.
func (d *Desk) mayAsk(now time.Time, k fleet.Kind) int {
	if !d.cloud.Askable(now, k) {
		return 0
	}
	return d.zones.May(now, k.Zone, d.cloud.MostAsked())
}

// ahead is the work at hand, in CPU seconds, by team.
type ahead []teamWork

type teamWork struct{ work, limit float64 }

func (d *Desk) workAhead(order []plan.Entry) ahead {
	at := map[string]int{}
	var list ahead
	for k := range order {
		e := &order[k]
		i, ok := at[e.Job.Team]
		if !ok {
			i = len(list)
			at[e.Job.Team] = i
			list = append(list, teamWork{limit: d.teams[e.Job.Team].CPULimit})
		}
		list[i].work += e.RemainingCPUSeconds
	}
	return list
}

// within is how much of the work could be done in so many seconds with any number of
// machines: no team gets further than its limit.
func (a ahead) within(seconds float64) float64 {
	sum := 0.0
	for _, t := range a {
		if t.limit > 0 {
			t.work = min(t.work, t.limit*seconds)
		}
		sum += t.work
	}
	return sum
}

// worth is how long, in seconds, the work at hand must last for a kind to be rented: the
// dearer it is, the longer. Where the platform states aims, that is for the cheap kinds only.
func (d *Desk) worth(price, cheapest float64) float64 {
	return d.opt.Backlog.Seconds() * ratio(price, cheapest) / 3
}

// ratio is how many times as dear a price is; what costs nothing is not dearer than anything.
func ratio(price, cheapest float64) float64 {
	if cheapest <= 0 {
		return 1
	}
	return price / cheapest
}
