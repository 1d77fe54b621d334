package placement

import (
	"math"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
)

const (
	// orderingCPUShare is the share of the controller's CPU quota that may be used to order the jobs.
	orderingCPUShare = 0.1
	// orderingCostPerJob is the CPU time per job to compute the order and its reservations. See BenchmarkRefreshOrder.
	orderingCostPerJob = 4 * time.Microsecond
	// minOrderInterval is the minimum time between two computations of the order, however few jobs there are.
	minOrderInterval = 100 * time.Millisecond
)

// candidate is a job of the order that has tasks to start, with the number of its shape. A queue of thousands of jobs has
// only a few shapes, and all jobs of a shape fit on the same machines. The machines are therefore scanned once per shape.
// With one scan per job, the heartbeats of machines with available resources became the first bottleneck at 5,000 machines.
type candidate struct {
	queue.Entry
	shapeNumber int
}

// jobOrder is the last computed order of the jobs, with the data derived from it.
type jobOrder struct {
	entries          []queue.Entry
	computedAt       time.Time
	isStale          bool               // a job was added or removed, or its tasks to start changed
	candidates       []candidate        // the entries with tasks to start, except gangs
	shapes           map[Shape]int      // shape numbers
	shapeNumbers     []int              // by index in entries
	smallestTaskCPUs float64            // of the waiting tasks; +Inf if there are none
	agedFirst        map[*jobs.Job]bool // aged jobs that are served first
}

func newJobOrder() jobOrder {
	return jobOrder{shapes: map[Shape]int{}, agedFirst: map[*jobs.Job]bool{}}
}

// InvalidateOrder marks the order as stale. It must be called when a job was added or removed, or its tasks to start
// changed.
func (p *Placer) InvalidateOrder() { p.order.isStale = true }

// Order returns the jobs that may run, in the order in which they get capacity. A stale order is recomputed first if it is
// old enough. The caller must not modify the result.
func (p *Placer) Order(now time.Time) []queue.Entry {
	p.refreshOrder(now)
	return p.order.entries
}

// LastOrder returns the last computed order, which may be stale. The caller must not modify the result.
func (p *Placer) LastOrder() []queue.Entry { return p.order.entries }

// ShapeNumbers returns the shape number of each entry of the last order. Tasks of jobs with the same number fit on the same
// machines. The caller must not modify the result.
func (p *Placer) ShapeNumbers() []int { return p.order.shapeNumbers }

// SmallestTaskCPUs returns the CPUs of the smallest waiting task as of the last order, or +Inf if no task waits.
func (p *Placer) SmallestTaskCPUs() float64 { return p.order.smallestTaskCPUs }

// orderInterval returns the minimum time between two computations of the order. It keeps ordering within its share of the
// CPU quota.
func (p *Placer) orderInterval() time.Duration {
	cost := float64(len(p.jobs)) * float64(orderingCostPerJob)
	return max(minOrderInterval, time.Duration(cost/(orderingCPUShare*p.platform.CPUQuota)))
}

// refreshOrder recomputes the order and the reservations if the order is stale and old enough.
func (p *Placer) refreshOrder(now time.Time) {
	if !p.order.isStale || now.Sub(p.order.computedAt) < p.orderInterval() {
		return
	}
	p.order.isStale, p.order.computedAt = false, now
	schedulable := make([]*jobs.Job, 0, len(p.jobs))
	for _, job := range p.jobs {
		if job.IsSchedulable() {
			schedulable = append(schedulable, job)
		}
	}
	p.order.set(p.ranker.Order(now, schedulable, p.forecaster.ExpectedCapacity(now)))
	p.updateReservations(now)
}

// set replaces the order and the data derived from it.
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

// shapeNumber returns the number of the job's shape. A shape that is new in this order gets the next number.
func (o *jobOrder) shapeNumber(job *jobs.Job) int {
	key := ShapeOf(job)
	number, ok := o.shapes[key]
	if !ok {
		number = len(o.shapes)
		o.shapes[key] = number
	}
	return number
}
