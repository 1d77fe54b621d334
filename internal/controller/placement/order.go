package placement

import (
	"math"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
)

const (
	// orderingCPUShare is the share of the controller's CPU quota that may go into ordering the jobs.
	orderingCPUShare = 0.1
	// orderingCostPerJob is the CPU time that the order with its reservations takes for a job (measured:
	// BenchmarkRefreshOrder).
	orderingCostPerJob = 4 * time.Microsecond
	// minOrderInterval is the least time between two orders, however few jobs there are.
	minOrderInterval = 100 * time.Millisecond
)

// candidate is a job of the order that has tasks to start, with the number of its shape. A queue of thousands of jobs has
// only a few shapes, and all jobs of a shape fit on the same machines, so the machines are walked once for each shape. With
// a walk for each job, the heartbeats of machines with free resources were the first limit at 5,000 machines.
type candidate struct {
	queue.Entry
	shapeNumber int
}

// jobOrder is the order of the jobs as it was made last, with what derives from it.
type jobOrder struct {
	entries          []queue.Entry
	madeAt           time.Time
	isStale          bool        // a job came, went, or has other tasks to start
	candidates       []candidate // the entries that have tasks to start, without gangs
	shapes           map[Shape]int
	shapeNumbers     []int   // by entry
	smallestTaskCPUs float64 // of the tasks that wait
	agedFirst        map[*jobs.Job]bool
}

func newJobOrder() jobOrder {
	return jobOrder{shapes: map[Shape]int{}, agedFirst: map[*jobs.Job]bool{}}
}

// InvalidateOrder marks the order as stale. It is called when a job came, went, or has other tasks to start.
func (p *Placer) InvalidateOrder() { p.order.isStale = true }

// Order is the jobs that may run, in the order in which they get capacity. The result must not be changed.
func (p *Placer) Order(now time.Time) []queue.Entry {
	p.refreshOrder(now)
	return p.order.entries
}

// LastOrder is the order as it was made last. The result must not be changed.
func (p *Placer) LastOrder() []queue.Entry { return p.order.entries }

// ShapeNumbers is, by entry of the last order, the number of the job's shape: the tasks of jobs with the same number fit
// on the same machines. The result must not be changed.
func (p *Placer) ShapeNumbers() []int { return p.order.shapeNumbers }

// SmallestTaskCPUs is the CPUs of the smallest task that waits; infinite if none does.
func (p *Placer) SmallestTaskCPUs() float64 { return p.order.smallestTaskCPUs }

// orderInterval is the least time between two orders, so that ordering keeps to its share of the CPU quota.
func (p *Placer) orderInterval() time.Duration {
	cost := float64(len(p.jobs)) * float64(orderingCostPerJob)
	return max(minOrderInterval, time.Duration(cost/(orderingCPUShare*p.platform.CPUQuota)))
}

// refreshOrder makes the order and the reservations anew if they are stale and old enough.
func (p *Placer) refreshOrder(now time.Time) {
	if !p.order.isStale || now.Sub(p.order.madeAt) < p.orderInterval() {
		return
	}
	p.order.isStale, p.order.madeAt = false, now
	schedulable := make([]*jobs.Job, 0, len(p.jobs))
	for _, job := range p.jobs {
		if job.IsSchedulable() {
			schedulable = append(schedulable, job)
		}
	}
	p.order.set(p.ranker.Order(now, schedulable, p.forecaster.ExpectedCapacity(now)))
	p.updateReservations(now)
}

// set takes a new order.
func (o *jobOrder) set(entries []queue.Entry) {
	o.entries = entries
	o.candidates, o.shapeNumbers, o.smallestTaskCPUs = o.candidates[:0], o.shapeNumbers[:0], math.Inf(1)
	clear(o.agedFirst)
	clear(o.shapes)
	for _, entry := range entries {
		number := o.shapeNumber(entry.Job)
		o.shapeNumbers = append(o.shapeNumbers, number)
		if entry.IsAgedFirst() {
			o.agedFirst[entry.Job] = true
		}
		if entry.Job.WaitingTasks() == 0 {
			continue
		}
		o.smallestTaskCPUs = min(o.smallestTaskCPUs, entry.Job.CPUs)
		if !entry.Job.IsGang {
			o.candidates = append(o.candidates, candidate{entry, number})
		}
	}
}

// shapeNumber returns the number of the job's shape, a new one if the shape is new in this order.
func (o *jobOrder) shapeNumber(job *jobs.Job) int {
	key := ShapeOf(job)
	number, ok := o.shapes[key]
	if !ok {
		number = len(o.shapes)
		o.shapes[key] = number
	}
	return number
}
