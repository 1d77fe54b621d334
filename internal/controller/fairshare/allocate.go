package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

const (
	// minClassShareForLargest is the share of a class that must be done before its largest jobs are served ahead of its
	// other jobs. Without this limit, the longest of six jobs was the third to get capacity. It could not finish by the end
	// of the simulated run, and took the capacity from a job that could. Only two of the six jobs were done (a4e2-15).
	minClassShareForLargest = 0.5
	// maxShareOfOneGroup is the part of a share that one group may use while jobs of other groups wait for the share.
	maxShareOfOneGroup = 0.5
)

// OverdueJob describes an overdue job to Allocate.
type OverdueJob struct {
	Job                 *jobs.Job
	RemainingCPUSeconds float64
	StartableTasks      int  // waiting tasks that the team's quota allows to run
	IsStarved           bool // counts against the served share of its class and team
}

// Reason is why an overdue job has allocated capacity. The zero value means that it has none.
type Reason int

// Reasons for allocated capacity.
const (
	Overdue       Reason = iota + 1 // within Policy.OverdueShare, for all overdue jobs
	BelowMinShare                   // a group of the job is below its minimum served share
)

// groupState is the state of a group during an allocation.
type groupState struct {
	minServedShare float64
	done           float64 // decayed count of done jobs, plus the jobs that got capacity in this allocation
	starved        float64 // starved jobs that did not get capacity in this allocation
	usedCPUs       float64 // CPUs of the allocations to jobs of the group
	waiting        []int   // indexes of the overdue jobs that can start tasks; the least remaining work first
}

func (s *groupState) servedShare() float64 {
	if s.done+s.starved <= 0 {
		return 1
	}
	return s.done / (s.done + s.starved)
}

func (s *groupState) isBelowMinShare() bool { return s.servedShare() < s.minServedShare }

// allocation is the state of one call of Allocate.
type allocation struct {
	allocator *Allocator
	overdue   []OverdueJob // the least remaining work first
	states    map[Group]*groupState
	groups    []Group // keys of states, in the order of compareGroups
	usedCPUs  float64 // CPUs of all allocations
	totalCPUs float64
	reasons   map[*jobs.Job]Reason // the result
}

// Allocate decides which overdue jobs have allocated capacity now, and returns the reason for each of them. live are all
// jobs that may run, and totalCPUs the CPUs of the cluster. The result is nil if no job is overdue.
func (a *Allocator) Allocate(now time.Time, overdue []OverdueJob, live []*jobs.Job, totalCPUs float64) map[*jobs.Job]Reason {
	a.dropFinished(overdue)
	clear(a.status)
	if len(overdue) == 0 {
		return nil
	}
	a.updateThresholds(live)
	allocation := a.newAllocation(now, overdue, totalCPUs)
	for group, state := range allocation.states {
		a.status[group] = GroupStatus{Group: group, Done: state.done, Starved: int(state.starved), ServedShare: state.servedShare()}
	}
	allocation.distribute()
	for job := range allocation.reasons {
		a.allocated[job] = true
		for _, group := range a.groupsOf(job) {
			status := a.status[group]
			status.Allocated++
			a.status[group] = status
		}
	}
	return allocation.reasons
}

// dropFinished ends the allocations of jobs that are no longer overdue or have no active attempt.
func (a *Allocator) dropFinished(overdue []OverdueJob) {
	if len(a.allocated) == 0 {
		return
	}
	isOverdue := make(map[*jobs.Job]bool, len(overdue))
	for _, candidate := range overdue {
		isOverdue[candidate.Job] = true
	}
	maps.DeleteFunc(a.allocated, func(job *jobs.Job, _ bool) bool { return !isOverdue[job] || len(job.ActiveAttempts) == 0 })
}

// newAllocation computes the state of each group. CPUs that earlier allocations still use count as used.
func (a *Allocator) newAllocation(now time.Time, overdue []OverdueJob, totalCPUs float64) *allocation {
	sorted := slices.Clone(overdue)
	slices.SortFunc(sorted, func(x, y OverdueJob) int {
		return cmp.Or(
			cmp.Compare(x.RemainingCPUSeconds, y.RemainingCPUSeconds),
			x.Job.EligibleSince().Compare(y.Job.EligibleSince()),
			cmp.Compare(x.Job.ID, y.Job.ID),
		)
	})
	alloc := &allocation{allocator: a, overdue: sorted, states: map[Group]*groupState{}, totalCPUs: totalCPUs, reasons: map[*jobs.Job]Reason{}}
	for i := range sorted {
		alloc.count(now, i)
	}
	alloc.groups = slices.SortedFunc(maps.Keys(alloc.states), compareGroups)
	return alloc
}

// count adds an overdue job to the states of its groups.
func (alloc *allocation) count(now time.Time, index int) {
	candidate := &alloc.overdue[index]
	running := 0.0
	if alloc.allocator.allocated[candidate.Job] {
		running = float64(len(candidate.Job.ActiveAttempts)) * estimate.CountedCPUs(candidate.Job)
	}
	alloc.usedCPUs += running
	for _, group := range alloc.allocator.groupsOf(candidate.Job) {
		state := alloc.state(now, group)
		state.usedCPUs += running
		if candidate.IsStarved {
			state.starved++
		}
		if candidate.StartableTasks > 0 {
			state.waiting = append(state.waiting, index)
		}
	}
}

// state returns the state of a group, and creates it if it does not exist.
func (alloc *allocation) state(now time.Time, group Group) *groupState {
	state := alloc.states[group]
	if state == nil {
		state = &groupState{minServedShare: alloc.allocator.policy.minServedShareOf(group)}
		if count := alloc.allocator.done[group]; count != nil {
			state.done = count.decayTo(now, alloc.allocator.policy.Window)
		}
		alloc.states[group] = state
	}
	return state
}

// distribute allocates capacity to the least served groups until the shares are used up.
func (alloc *allocation) distribute() {
	for {
		state := alloc.next()
		if state == nil || alloc.usedCPUs >= alloc.shareFor(state)*alloc.totalCPUs {
			return
		}
		alloc.allocateNext(state)
	}
}

// next returns the group that gets capacity next: the least served one, or nil if no job waits. A group that floods the
// queue is always served least. A group that uses maxShareOfOneGroup therefore goes behind the other groups with waiting
// jobs. However, a group below its minimum share never goes behind a group that has at least its minimum share.
func (alloc *allocation) next() *groupState {
	var least, leastBelowCap *groupState
	for _, group := range alloc.groups {
		state := alloc.states[group]
		alloc.skipAllocated(state)
		if len(state.waiting) == 0 || alloc.waitsForClass(group) {
			continue
		}
		if least == nil || state.servedShare() < least.servedShare() {
			least = state
		}
		isBelowCap := state.usedCPUs < maxShareOfOneGroup*alloc.shareFor(state)*alloc.totalCPUs
		if isBelowCap && (leastBelowCap == nil || state.servedShare() < leastBelowCap.servedShare()) {
			leastBelowCap = state
		}
	}
	if leastBelowCap != nil && (leastBelowCap.isBelowMinShare() || !least.isBelowMinShare()) {
		return leastBelowCap
	}
	return least
}

// skipAllocated drops the group's first waiting jobs that already got capacity through another group.
func (alloc *allocation) skipAllocated(state *groupState) {
	for len(state.waiting) > 0 && alloc.reasons[alloc.overdue[state.waiting[0]].Job] != 0 {
		state.waiting = state.waiting[1:]
	}
}

// waitsForClass reports whether a group of largest jobs has to wait for the other jobs of its class.
func (alloc *allocation) waitsForClass(group Group) bool {
	if !group.IsLargest {
		return false
	}
	class := alloc.states[Group{Name: group.Name}]
	return len(class.waiting) > 0 && class.servedShare() < minClassShareForLargest
}

// shareFor returns the share of the cluster's CPUs up to which the group gets capacity.
func (alloc *allocation) shareFor(state *groupState) float64 {
	return alloc.allocator.policy.cpuShareFor(state.servedShare(), state.minServedShare)
}

// allocateNext allocates capacity to the first waiting job of the group.
func (alloc *allocation) allocateNext(state *groupState) {
	candidate := alloc.overdue[state.waiting[0]]
	reason := Overdue
	if state.isBelowMinShare() {
		reason = BelowMinShare
	}
	alloc.reasons[candidate.Job] = reason
	cpus := float64(candidate.StartableTasks) * estimate.CountedCPUs(candidate.Job)
	alloc.usedCPUs += cpus
	for _, group := range alloc.allocator.groupsOf(candidate.Job) {
		groupState := alloc.states[group]
		groupState.usedCPUs += cpus
		groupState.done++
		if candidate.IsStarved {
			groupState.starved--
		}
	}
}
