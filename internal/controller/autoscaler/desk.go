// Package autoscaler decides which machines are rented and which are given back. Its Desk looks at the
// order of the jobs and at the machines that are there or coming; the dealings with the cloud are
// fleet's. It owns when it looks next, and nothing else: it never starts, stops or places a task
// except to empty a machine that is hardly used.
package autoscaler

import (
	"cmp"
	"log/slog"
	"slices"
	"sort"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/client"
)

// Scaler is a leader's renting and returning.
type Scaler struct {
	platform      *config.Platform
	options       *config.Options
	teams         map[string]config.Team
	log           *slog.Logger
	outbox        *client.Outbox
	fencingToken  uint64
	electedAt     time.Time // when the leadership began
	isFirstLeader func() bool
	cloud         *cloud.Client
	workers       *worker.Registry
	estimator     *estimate.Estimator
	placer        *placement.Placer
	stragglers    *straggler.Detector

	lastScaled        time.Time
	nextScale         time.Time
	nextConsolidation time.Time
	zones             *zones.Tracker
	objectives        []objective
	history           []objectiveRecord // by step
	historyUpdated    time.Time
	arrivals          map[[2]string]*arrivalFlow
	instances         []trackedInstance // of the present look
}

// trackedInstance is a machine that is rented, as far as is known.
type trackedInstance struct {
	id           string
	instance     *cloud.Instance
	machineType  *cloud.MachineType // nil if it is not known
	machine      *worker.Machine    // nil before its worker has reported, or the roster named it
	leaseExpired bool               // its lease has ended: nothing is on it
}

// refreshInstances looks each machine up once for all that a look does.
func (d *Scaler) refreshInstances(now time.Time) {
	d.instances = d.instances[:0]
	awaited := map[string][]time.Duration{}
	for id, h := range d.cloud.Instances {
		m := d.workers.Machines[id]
		if m == nil && !h.Deleting && h.State != cloud.StateFailed && !d.zones.IsUnavailable(h.Kind.Zone) {
			awaited[h.Kind.Type] = append(awaited[h.Kind.Type], now.Sub(h.RequestedAt))
		}
		d.instances = append(
			d.instances,
			trackedInstance{id, h, d.cloud.MachineTypes[h.Kind.Type], m, m != nil && d.workers.IsLeaseExpired(now, m)},
		)
	}
	for _, list := range awaited {
		slices.SortFunc(list, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	}
	d.cloud.ObserveAwaited(awaited)
}

// Components is what a desk sees of its neighbours.
type Components struct {
	Platform      *config.Platform
	Options       *config.Options
	FencingToken  uint64
	ElectedAt     time.Time   // when the leadership began
	IsFirstLeader func() bool // nobody has led before: the ledger was empty
	Cloud         *cloud.Client
	Workers       *worker.Registry
	Estimator     *estimate.Estimator
	Placer        *placement.Placer
	Stragglers    *straggler.Detector
	Zones         *zones.Tracker
	Outbox        *client.Outbox
	Log           *slog.Logger
}

// New makes the desk of a new leadership.
func New(w Components) *Scaler {
	d := &Scaler{
		platform:       w.Platform,
		options:        w.Options,
		teams:          w.Platform.TeamsByName(),
		log:            w.Log,
		outbox:         w.Outbox,
		fencingToken:   w.FencingToken,
		electedAt:      w.ElectedAt,
		isFirstLeader:  w.IsFirstLeader,
		cloud:          w.Cloud,
		workers:        w.Workers,
		estimator:      w.Estimator,
		placer:         w.Placer,
		stragglers:     w.Stragglers,
		zones:          w.Zones,
		objectives:     objectivesOf(w.Platform.Objectives),
		arrivals:       map[[2]string]*arrivalFlow{},
		historyUpdated: w.ElectedAt,
	}
	d.history = make([]objectiveRecord, len(d.objectives))
	return d
}

// Tick looks at what is due. Answers of the cloud make it look at once.
func (d *Scaler) Tick(now time.Time) {
	if !now.Before(d.nextConsolidation) {
		d.nextConsolidation = now.Add(5 * time.Second)
		d.cordonStragglers(now)
		d.consolidate(now)
	}
	if !now.Before(d.nextScale) || d.cloud.TakeRequestAnswered() {
		d.lastScaled, d.nextScale = now, now.Add(time.Second)
		d.scale(now)
	}
}

// JobAccepted has what a new job needs asked for soon: machines take long to boot.
func (d *Scaler) JobAccepted(now time.Time, j *jobs.Job) {
	d.recordArrival(now, j)
	if soon := d.lastScaled.Add(300 * time.Millisecond); soon.Before(d.nextScale) {
		d.nextScale = soon
	}
}

// offering is a kind of machine that can be rented, with its price per CPU.
type offering struct {
	kind        cloud.InstanceKind
	machineType *cloud.MachineType
	price       float64
}

// expectedService is how long a rented machine is expected to be of use.
const expectedService = 3 * time.Minute

func (d *Scaler) offerings() []offering {
	var list []offering
	for _, t := range d.cloud.MachineTypes {
		size := max(t.CPUs, t.GPUs*8, 0.1)
		// A machine is paid for while it boots: spread over the time it is likely to serve.
		size *= expectedService.Seconds() / (expectedService + d.cloud.ExpectedBootTime(t)).Seconds()
		for _, z := range t.Zones {
			list = append(
				list,
				offering{cloud.InstanceKindOf(t, z, false), t, t.HourlyPrice / size},
				offering{cloud.InstanceKindOf(t, z, true), t, t.SpotHourlyPrice / size},
			)
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

// scale rents what the waiting work justifies and gives back what stands idle.
func (d *Scaler) scale(now time.Time) {
	order := d.placer.Order(now)
	d.refreshInstances(now)
	wants := d.placer.StartableTasks(order)
	d.terminateUnneeded(now, wants)
	// What an earlier leader has rented last is not listed yet; only where the ledger
	// holds nothing at all is there no earlier leader.
	if len(d.cloud.MachineTypes) == 0 ||
		!d.isFirstLeader() && (d.cloud.CompletedLists == 0 || now.Sub(d.electedAt) < d.platform.CloudListLag) {
		return
	}
	opts := d.offerings()
	if len(opts) == 0 {
		return
	}
	cheapest := opts[0].price
	// Room that is there or coming, per machine; the waiting tasks are laid into it.
	f := d.projectCapacity()
	work := d.backlogByTeam(order)
	pays := d.weighExpensive(now, opts, order, work)
	asked, most := map[cloud.InstanceKind]int{}, map[cloud.InstanceKind]int{}
	for _, o := range opts {
		most[o.kind] = d.maxRequestable(now, o.kind)
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
		if want -= f.fill(j, want); want <= 0 {
			continue
		}
		nothing := want == had
		lacking := requiredTasks(j) - f.taskCapacity(j)
		if j.HasGuarantee() && !j.AllowsSpot {
			// The fleet is mostly cheap machines, on which it may not run: how long the work at hand lasts says nothing of when it
			// gets room. Such jobs had one machine between them and stood in line before it past their deadlines.
			lacking = max(lacking, want)
		}
		for _, o := range opts {
			per := placement.TasksPerMachine(j, o.machineType)
			if want <= 0 {
				break
			}
			if per == 0 || !placement.KindAllowed(j, o.kind) || most[o.kind] == 0 {
				continue
			}
			worth := d.requiredBacklog(o.price, cheapest)
			total := work.completableWithin(worth)
			pay, weighed := pays[o.kind]
			for want > 0 && asked[o.kind] < most[o.kind] && (lacking > 0 || weighed && asked[o.kind] < pay || total > f.totalCPUs*worth) {
				asked[o.kind]++
				nothing = false
				clear(settled)
				if d.zones.IsUnavailable(o.kind.Zone) {
					break // to learn of its return; no room to count on
				}
				f.add(o.kind, o.machineType)
				lacking -= per
				want -= f.reserve(len(f.slots)-1, j, min(per, want))
			}
		}
		settled[shapes[i]] = alike && nothing
	}
	for _, o := range opts {
		if asked[o.kind] > 0 {
			d.zones.RecordRequest(now, o.kind.Zone, asked[o.kind])
			d.cloud.RequestInstances(now, o.kind, asked[o.kind])
		}
	}
}

// maxRequestable is how many machines of a kind may be asked for now.
func (d *Scaler) maxRequestable(now time.Time, k cloud.InstanceKind) int {
	if !d.cloud.CanRequest(now, k) {
		return 0
	}
	return d.zones.MaxRequestable(now, k.Zone, d.cloud.MaxRequestable())
}

// teamBacklogs is the work at hand, in CPU seconds, by team.
type teamBacklogs []teamBacklog

type teamBacklog struct{ work, cpuLimit float64 }

func (d *Scaler) backlogByTeam(order []queue.Entry) teamBacklogs {
	at := map[string]int{}
	var list teamBacklogs
	for k := range order {
		e := &order[k]
		i, ok := at[e.Job.Team]
		if !ok {
			i = len(list)
			at[e.Job.Team] = i
			list = append(list, teamBacklog{cpuLimit: d.teams[e.Job.Team].CPULimit})
		}
		list[i].work += e.RemainingCPUSeconds
	}
	return list
}

// completableWithin is how much of the work could be done in so many seconds with any number of
// machines: no team gets further than its limit.
func (a teamBacklogs) completableWithin(seconds float64) float64 {
	sum := 0.0
	for _, t := range a {
		if t.cpuLimit > 0 {
			t.work = min(t.work, t.cpuLimit*seconds)
		}
		sum += t.work
	}
	return sum
}

// requiredBacklog is how long, in seconds, the work at hand must last for a kind to be rented: the
// dearer it is, the longer. Where the platform states aims, that is for the cheap kinds only.
func (d *Scaler) requiredBacklog(price, cheapest float64) float64 {
	return d.options.ScaleOutBacklog.Seconds() * priceRatio(price, cheapest) / 3
}

// priceRatio is how many times as dear a price is; what costs nothing is not dearer than anything.
func priceRatio(price, cheapest float64) float64 {
	if cheapest <= 0 {
		return 1
	}
	return price / cheapest
}
