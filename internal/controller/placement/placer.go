package placement

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/client"
)

// Placer decides where tasks start: the order in which jobs get room, what is held for them, and
// what a machine starts when it reports. It owns the order, the holds and the booked places of
// gangs; a leader makes it at its election. Starts leave it as commands for a report's response.
type Placer struct {
	platform       *config.Platform
	teams          map[string]config.Team
	log            *slog.Logger
	outbox         *client.Outbox
	fencingToken   uint64
	attemptCounter uint64
	jobs           map[string]*jobs.Job // the book's, for looking only
	workers        *worker.Registry
	ranker         *queue.Ranker
	capacity       func(time.Time) admission.Capacity

	order              []queue.Entry
	orderedAt          time.Time
	isOrderStale       bool
	candidates         []candidate // those of the order that have tasks to start, gangs aside
	shapes             map[shape]int
	shapeNumbers       []int        // by entry of the order: the number of its job's shape
	shapeChecks        []shapeCheck // by shape, of the machine whose starts are chosen
	smallestTaskCPUs   float64      // the CPUs of the smallest of their tasks
	reservedMachines   []*worker.Machine
	reservingJobs      map[*jobs.Job]bool                // jobs that machines are held for
	agedFirst          map[*jobs.Job]bool                // aged jobs that go before everything else
	pendingGangStarts  map[*jobs.Attempt]*worker.Machine // starts of gangs that wait for their machines' reports
	unseenUsage        UnseenUsage                       // not nil: only jobs of this leader start (partial.go)
	nextPreemption     time.Time
	nextGangScheduling time.Time
}

// Components is what a placer sees of its neighbours.
type Components struct {
	Platform     *config.Platform
	FencingToken uint64
	Jobs         map[string]*jobs.Job // all that are not finished
	Workers      *worker.Registry
	Ranker       *queue.Ranker
	Capacity     func(time.Time) admission.Capacity // the machines that the plan counts on
	Outbox       *client.Outbox
	Log          *slog.Logger
}

// New makes the placer of a new leadership.
func New(components Components) *Placer {
	placer := &Placer{
		platform:          components.Platform,
		teams:             components.Platform.TeamsByName(),
		log:               components.Log,
		outbox:            components.Outbox,
		fencingToken:      components.FencingToken,
		jobs:              components.Jobs,
		workers:           components.Workers,
		ranker:            components.Ranker,
		capacity:          components.Capacity,
		shapes:            map[shape]int{},
		reservingJobs:     map[*jobs.Job]bool{},
		agedFirst:         map[*jobs.Job]bool{},
		pendingGangStarts: map[*jobs.Attempt]*worker.Machine{},
	}
	return placer
}

// Tick does what is due besides the machines' reports: gangs are booked, and room is made for
// guaranteed jobs. Nothing is placed before a takeover is complete.
func (p *Placer) Tick(now time.Time, canPlace bool) {
	if now.Sub(p.orderedAt) > 500*time.Millisecond {
		p.isOrderStale = true
	}
	if !canPlace {
		return
	}
	if !now.Before(p.nextGangScheduling) {
		p.nextGangScheduling = now.Add(200 * time.Millisecond)
		p.scheduleGangs(now)
	}
	if !now.Before(p.nextPreemption) {
		p.nextPreemption = now.Add(500 * time.Millisecond)
		p.preempt(now)
	}
}

// InvalidateOrder says that the order is not what it was: a job came, went or has other tasks to start.
func (p *Placer) InvalidateOrder() { p.isOrderStale = true }

// Order is the jobs that may run, in the order in which they get room. It is for looking only.
func (p *Placer) Order(now time.Time) []queue.Entry {
	p.refreshOrder(now)
	return p.order
}

// ShapeNumbers numbers, by entry of the order that was made last, what decides where the job's tasks fit:
// those of one number fit alike. It is for looking only.
func (p *Placer) ShapeNumbers() []int { return p.shapeNumbers }

// LastOrder is the order as it was made last. It is for looking only.
func (p *Placer) LastOrder() []queue.Entry { return p.order }

// SmallestTaskCPUs is the CPUs of the smallest task that waits.
func (p *Placer) SmallestTaskCPUs() float64 { return p.smallestTaskCPUs }

// rankShare is how much of the processor's share may go into making the order, and rankCost
// what it takes for a job (measured, with its hold: BenchmarkRank).
const (
	orderingCPUShare   = 0.1
	orderingCostPerJob = 4 * time.Microsecond
)

// minOrderInterval is how often the order is made anew at most.
func (p *Placer) minOrderInterval() time.Duration {
	return max(100*time.Millisecond, time.Duration(float64(len(p.jobs))*float64(orderingCostPerJob)/(orderingCPUShare*p.platform.CPUQuota)))
}

// refreshOrder makes the order and the holds anew if something has changed.
func (p *Placer) refreshOrder(now time.Time) {
	if !p.isOrderStale || now.Sub(p.orderedAt) < p.minOrderInterval() {
		return
	}
	p.isOrderStale, p.orderedAt = false, now
	schedulable := make([]*jobs.Job, 0, len(p.jobs))
	for _, job := range p.jobs {
		if job.IsSchedulable() {
			schedulable = append(schedulable, job)
		}
	}
	p.order = p.ranker.Order(now, schedulable, p.capacity(now))
	p.candidates, p.shapeNumbers, p.smallestTaskCPUs = p.candidates[:0], p.shapeNumbers[:0], math.Inf(1)
	clear(p.agedFirst)
	clear(p.shapes)
	for _, entry := range p.order {
		number := p.shapeNumber(entry.Job)
		p.shapeNumbers = append(p.shapeNumbers, number)
		if entry.IsAgedFirst() {
			p.agedFirst[entry.Job] = true
		}
		if entry.Job.WaitingTasks() == 0 {
			continue
		}
		p.smallestTaskCPUs = min(p.smallestTaskCPUs, entry.Job.CPUs)
		if !entry.Job.IsGang {
			p.candidates = append(p.candidates, candidate{entry, number})
		}
	}
	p.updateReservations(now)
}

// reserveMachine keeps the free room of a machine for a job.
func (p *Placer) reserveMachine(machine *worker.Machine, job *jobs.Job) {
	if machine.ReservedFor == nil {
		p.reservedMachines = append(p.reservedMachines, machine)
	}
	machine.ReservedFor = job
	p.reservingJobs[job] = true
}

// updateReservations keeps free room for the jobs that go first but fit nowhere yet, on the machines
// with the most room, so that smaller tasks do not take it bit by bit.
func (p *Placer) updateReservations(now time.Time) {
	for _, machine := range p.reservedMachines {
		machine.ReservedFor = nil
	}
	p.reservedMachines = p.reservedMachines[:0]
	clear(p.reservingJobs)
	var free []*worker.Machine // not held for a job, the most room first
	fits := newShapeFits(len(p.shapes))
	for i := range p.order {
		entry, number := &p.order[i], p.shapeNumbers[i]
		job := entry.Job
		if !entry.MayReserve || job.WaitingTasks() == 0 || now.Before(job.NotBefore) {
			continue
		}
		want := p.StartableTasksOf(job)
		if entry.MaxTasks > 0 {
			want = min(want, entry.MaxTasks-len(job.ActiveAttempts))
		}
		if want <= 0 || job.IsGang && want < job.WaitingTasks() {
			continue
		}
		if free == nil {
			free = p.machinesByFreeCPUs()
		}
		if job.IsGang {
			want -= p.reserveForGang(job, free, want)
		}
		if want > 0 {
			want -= fits.fittingTasks(job, number, free, want)
		}
		if want > 0 && !fits.isExhausted(job, number) {
			unreserved := free[:0]
			before := want
			for _, machine := range free {
				if want > 0 && machine.ReservedFor == nil && IsEligible(job, machine) && machine.TasksThatFit(job) == 0 && machine.CPUs >= job.CPUs &&
					machine.MemoryGB >= job.MemoryGB {
					p.reserveMachine(machine, job)
					want--
				}
				if machine.ReservedFor == nil {
					unreserved = append(unreserved, machine)
				}
			}
			fits.recordReservation(job, number, before-want, len(free)-len(unreserved))
			if free = unreserved; len(free) == 0 {
				return
			}
		}
	}
}

// shape is all of a job that decides where its tasks fit, as long as none of them has failed.
type shape struct {
	cpus, gpus, memoryGB float64
	zone, machineTypes   string
	spot                 bool
}

// shapeFits is how many tasks of a shape fit on the machines that are free. Most jobs of a queue
// have one of a few shapes: without it each of them walks the machines anew.
// They go by the numbers of the shapes.
type shapeFits []struct {
	known   bool
	fits    int
	nothing bool // no machine is left that could be held for these
}

func newShapeFits(shapes int) shapeFits { return make(shapeFits, shapes) }

func shapeOf(job *jobs.Job) shape {
	return shape{job.CPUs, job.GPUs, job.MemoryGB, job.Zone, strings.Join(job.MachineTypes, " "), job.AllowsSpot}
}

// isExhausted reports that holding was tried for a job of the same shape and no machine was found.
// The machines that are free only become fewer, so none is found for this one either.
func (r shapeFits) isExhausted(job *jobs.Job, number int) bool {
	return job.FailureCount == 0 && r[number].nothing
}

// recordReservation is told how many machines were held for a job, and how many are not free any more.
func (r shapeFits) recordReservation(job *jobs.Job, number, machines, removed int) {
	for i := range r {
		r[i].known = r[i].known && removed == 0
	}
	if machines == 0 && job.FailureCount == 0 {
		r[number].nothing = true
	}
}

// fittingTasks is how many tasks of the job fit on the free machines, which are sorted by what is free;
// more than it wants are not counted.
func (r shapeFits) fittingTasks(job *jobs.Job, number int, free []*worker.Machine, want int) int {
	if job.FailureCount > 0 {
		return countFittingTasks(job, free, want) // some machines may be left out for this job alone
	}
	entry := &r[number]
	if !entry.known {
		probe := *job
		probe.Tasks = jobs.MaxTasks
		entry.known, entry.fits = true, countFittingTasks(&probe, free, math.MaxInt)
	}
	return min(entry.fits, want)
}

func countFittingTasks(job *jobs.Job, free []*worker.Machine, want int) int {
	tasks := 0
	for _, machine := range free {
		if tasks >= want || job.CPUs > 0 && machine.CPUs-machine.UsedCPUs < job.CPUs-1e-6 {
			break // sorted: the rest has less
		}
		if IsEligible(job, machine) {
			tasks += machine.TasksThatFit(job)
		}
	}
	return min(tasks, want)
}

// machinesByFreeCPUs lists the machines that are up, those with the most free CPUs first.
func (p *Placer) machinesByFreeCPUs() []*worker.Machine {
	list := p.workers.ReportingMachines()
	slices.SortFunc(list, func(a, b *worker.Machine) int {
		return cmp.Or(cmp.Compare(b.CPUs-b.UsedCPUs, a.CPUs-a.UsedCPUs), cmp.Compare(b.CPUs, a.CPUs), compareIDs(a, b))
	})
	return list
}

func compareIDs(a, b *worker.Machine) int { return cmp.Compare(a.ID, b.ID) }

// unlimitedResource is more than any fleet has.
const unlimitedResource = 1e12

// StartableTasks is, by entry of an order, how many of its tasks need room now. What a team's limit still
// allows is shared by its jobs, the first in the order first: each for itself would want all of it.
func (p *Placer) StartableTasks(order []queue.Entry) []int {
	quotaLeft := map[string]worker.Resources{}
	tasks := make([]int, len(order))
	for i := range order {
		job := order[i].Job
		tasks[i] = job.WaitingTasks()
		team := p.teams[job.Team]
		if tasks[i] == 0 || team.CPULimit <= 0 && team.GPULimit <= 0 {
			continue
		}
		quota, ok := quotaLeft[job.Team]
		if !ok {
			used := p.workers.TeamUsage(job.Team)
			quota = worker.Resources{CPUs: unlimitedResource, GPUs: unlimitedResource, MemoryGB: unlimitedResource}
			if team.CPULimit > 0 {
				quota.CPUs = team.CPULimit - used.CPUs
			}
			if team.GPULimit > 0 {
				quota.GPUs = team.GPULimit - used.GPUs
			}
		}
		tasks[i] = min(tasks[i], quota.TasksThatFit(job))
		quotaLeft[job.Team] = quota.AfterPlacing(job, tasks[i])
	}
	return tasks
}

// StartableTasksOf is how many tasks of the job need room now: those that wait, less what the
// team's limit forbids.
func (p *Placer) StartableTasksOf(job *jobs.Job) int {
	return min(job.WaitingTasks(), TasksAllowedByQuota(job, p.teams[job.Team], p.workers.TeamUsage(job.Team)))
}

// reserveForGang holds machines for a gang that waits, by what they hold when empty, and
// returns how many of its tasks that covers.
func (p *Placer) reserveForGang(job *jobs.Job, free []*worker.Machine, want int) int {
	covered := 0
	for _, machine := range free {
		if covered >= want {
			break
		}
		if machine.ReservedFor == nil && IsEligible(job, machine) {
			if c := machine.TasksThatFitWhenEmpty(job); c > 0 {
				p.reserveMachine(machine, job)
				covered += c
			}
		}
	}
	return covered
}
