// Package fairshare keeps any one class of jobs, or team, from being left unserved in a long shortage. Its
// Book owns how many jobs of each class and team were done of late, and which jobs have room of their
// own at present. It is asked for each order of the jobs and decides nothing else: it never starts,
// stops or places a task.
//
// The rule. A job that can keep none of its aims any more, or is older than the age bound, is late. Late
// jobs have two shares of the fleet (a job is unserved once it is late by a quarter of what it had: on a rough
// day many are late and done soon after): a small one always, so that what was missed is not missed without
// end, and a larger one while a class or a team has been served less than the least share of its jobs.
// Of both goes next whoever would otherwise be served least, and of that class or team the job with the
// least work left. docs/design/fairshare.md has the ways that were weighed, and what breaks it.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Policy are what the operators have set.
type Policy struct {
	Window          time.Duration // what was done longer ago counts ever less
	MinServedShare  float64       // share of the jobs of each class and team that is to be done
	CatchUpCPUShare float64       // of the fleet's CPUs, for classes and teams below that
	OverdueCPUShare float64       // of the fleet's CPUs, for late jobs of any
}

// Group is a class of jobs, a team, or the largest jobs of a class.
type Group struct {
	IsTeam    bool // a team's; otherwise a class's
	Name      string
	IsLargest bool // of the class
}

// What is largest is not defined by who asks for it. Both readings count, by work and by number of tasks: the top
// tenth of the jobs of a class that were seen of late, one at least, if they are larger than the middle one.
const (
	largestQuantile = 0.9
	maxRecentSizes  = 128
	// largestLeniency is how much less of the largest than of a class is to be done: on a rough day they are the ones
	// that are late, and room for them is taken from many others.
	largestLeniency = 0.1
)

// size of a job, by both readings.
type jobSize struct{ work, tasks float64 }

func sizeOf(job *jobs.Job) jobSize {
	return jobSize{float64(job.Tasks) * job.RunTimeEstimate.Seconds() * countedCPUs(job), float64(job.Tasks)}
}

// largestThresholds are from which size on a job is one of its class's largest.
func largestThresholds(sizes []jobSize) jobSize {
	threshold := func(reading func(jobSize) float64) float64 {
		values := make([]float64, len(sizes))
		for i, size := range sizes {
			values[i] = reading(size)
		}
		slices.Sort(values)
		for _, v := range values[min(int(largestQuantile*float64(len(values))), len(values)-1):] {
			if v > values[len(values)/2] || len(values) == 2 && v > values[0] {
				return v
			}
		}
		return math.Inf(1) // all are of one size
	}
	return jobSize{threshold(func(size jobSize) float64 { return size.work }), threshold(func(size jobSize) float64 { return size.tasks })}
}

// decayingCount is how many jobs were done, what is longer ago counting ever less.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

func (t *decayingCount) decayTo(now time.Time, window time.Duration) float64 {
	if elapsed := now.Sub(t.updatedAt); elapsed > 0 && window > 0 {
		t.count *= math.Exp(-elapsed.Seconds() / window.Seconds())
		t.updatedAt = now
	}
	return t.count
}

// OverdueJob is a late job and what it needs.
type OverdueJob struct {
	Job                 *jobs.Job
	RemainingCPUSeconds float64 // CPU seconds that are left
	StartableTasks      int     // its tasks that wait and that its team's limit lets run
	IsUnserved          bool    // it is late by so much that it counts against the share of its class and team
}

// Reason is why a late job has room.
type Reason int

// Standings.
const (
	Overdue       Reason = iota + 1 // within the share that all late jobs have
	BelowMinShare                   // its class or its team is served less than the least
)

// Allocator keeps what was served.
type Allocator struct {
	policy      Policy
	served      map[Group]*decayingCount
	recentSizes map[string][]jobSize  // by class, of jobs that were done of late
	largestFrom map[string]jobSize    // by class, from which size on
	allocated   map[*jobs.Job]bool    // have, or had, room of their own and still run
	lastStatus  map[Group]GroupStatus // as it was looked at last
	dirty       bool
	nextSave    time.Time
}

// GroupStatus is how a class or team was served when it was looked at last.
type GroupStatus struct {
	Group
	Done        float64 // jobs, of late
	Unserved    int     // jobs that are unserved
	Allocated   int     // of these, such that have room of their own
	ServedShare float64 // of its jobs, done
}

// New makes the book of a new leadership.
func New(policy Policy) *Allocator {
	return &Allocator{
		policy:      policy,
		served:      map[Group]*decayingCount{},
		recentSizes: map[string][]jobSize{},
		largestFrom: map[string]jobSize{},
		allocated:   map[*jobs.Job]bool{},
		lastStatus:  map[Group]GroupStatus{},
	}
}

// SetPolicy takes other terms.
func (b *Allocator) SetPolicy(policy Policy) { b.policy = policy }

// groupsOf are those that a job counts for.
func (b *Allocator) groupsOf(job *jobs.Job) []Group {
	list := []Group{{Name: job.Class}, {IsTeam: true, Name: job.Team}}
	threshold, known := b.largestFrom[job.Class]
	if size := sizeOf(job); known && (size.work >= threshold.work || size.tasks >= threshold.tasks) {
		list = append(list, Group{Name: job.Class, IsLargest: true})
	}
	return list
}

// updateThresholds finds anew from which size on the jobs of each class are its largest.
func (b *Allocator) updateThresholds(live []*jobs.Job) {
	sizes := map[string][]jobSize{}
	for class, list := range b.recentSizes {
		sizes[class] = slices.Clone(list)
	}
	for _, job := range live {
		if !job.IsService {
			sizes[job.Class] = append(sizes[job.Class], sizeOf(job))
		}
	}
	clear(b.largestFrom)
	for class, list := range sizes {
		b.largestFrom[class] = largestThresholds(list)
	}
}

// RecordDone takes in a job that is done.
func (b *Allocator) RecordDone(now time.Time, job *jobs.Job) {
	delete(b.allocated, job)
	b.dirty = true
	sizes := append(b.recentSizes[job.Class], sizeOf(job))
	b.recentSizes[job.Class] = sizes[max(len(sizes)-maxRecentSizes, 0):]
	if _, known := b.largestFrom[job.Class]; !known || len(sizes)%16 == 0 {
		b.largestFrom[job.Class] = largestThresholds(b.recentSizes[job.Class])
	}
	for _, g := range b.groupsOf(job) {
		count := b.served[g]
		if count == nil {
			count = &decayingCount{updatedAt: now}
			b.served[g] = count
		}
		count.decayTo(now, b.policy.Window)
		count.count++
	}
}

// NoneDoneRecently reports whether no job of the class was done of late.
func (b *Allocator) NoneDoneRecently(now time.Time, class string) bool {
	count := b.served[Group{Name: class}]
	return count == nil || count.decayTo(now, b.policy.Window) < 0.5
}

// groupState of a class or team while room is given out.
type groupState struct {
	minServedShare float64 // share that is to be done
	done           float64 // with those that were given room, as if they were done
	unserved       float64 // jobs that are unserved
	usedCPUs       float64 // CPUs of the room that was given out
	waiting        []int   // claims of the group, those with the least work first
}

func (s *groupState) servedShare() float64 {
	if s.done+s.unserved <= 0 {
		return 1
	}
	return s.done / (s.done + s.unserved)
}

func (s *groupState) isBelowMinShare() bool { return s.servedShare() < s.minServedShare }

// minServedShare is which share of a group's jobs is to be done.
func (b *Allocator) minServedShare(g Group) float64 {
	if g.IsLargest {
		return b.policy.MinServedShare - largestLeniency
	}
	return b.policy.MinServedShare
}

// groupOrder orders the kinds of groups.
func groupOrder(g Group) int {
	switch {
	case g.IsTeam:
		return 1
	case g.IsLargest:
		return 2
	}
	return 0
}

// Allocate says which late jobs have room of their own now, and why. live are all jobs, cpus the fleet's.
func (b *Allocator) Allocate(now time.Time, overdue []OverdueJob, live []*jobs.Job, totalCPUs float64) map[*jobs.Job]Reason {
	b.dropFinished(overdue)
	clear(b.lastStatus)
	if len(overdue) == 0 {
		return nil
	}
	b.updateThresholds(live)
	list := slices.Clone(overdue)
	slices.SortFunc(list, func(x, y OverdueJob) int {
		return cmp.Or(
			cmp.Compare(x.RemainingCPUSeconds, y.RemainingCPUSeconds),
			x.Job.EligibleSince().Compare(y.Job.EligibleSince()),
			cmp.Compare(x.Job.ID, y.Job.ID),
		)
	})
	states := map[Group]*groupState{}
	usedCPUs := 0.0
	for i, c := range list {
		for _, g := range b.groupsOf(c.Job) {
			s := states[g]
			if s == nil {
				s = &groupState{minServedShare: b.minServedShare(g)}
				if t := b.served[g]; t != nil {
					s.done = t.decayTo(now, b.policy.Window)
				}
				states[g] = s
			}
			if c.IsUnserved {
				s.unserved++
			}
			if c.StartableTasks > 0 {
				s.waiting = append(s.waiting, i)
			}
		}
		if b.allocated[c.Job] {
			running := float64(len(c.Job.ActiveAttempts)) * countedCPUs(c.Job)
			usedCPUs += running
			for _, g := range b.groupsOf(c.Job) {
				states[g].usedCPUs += running
			}
		}
	}
	for g, s := range states {
		b.lastStatus[g] = GroupStatus{Group: g, Done: s.done, Unserved: int(s.unserved), ServedShare: s.servedShare()}
	}
	allocations := b.distribute(list, states, usedCPUs, totalCPUs)
	for j := range allocations {
		b.allocated[j] = true
		for _, g := range b.groupsOf(j) {
			s := b.lastStatus[g]
			s.Allocated++
			b.lastStatus[g] = s
		}
	}
	return allocations
}

// distribute hands out room, to whoever is served least, until the shares are used up. Who floods is served
// least: a class or team that has half of a share gets more of it only if nobody else wants it.
func (b *Allocator) distribute(overdue []OverdueJob, states map[Group]*groupState, usedCPUs, totalCPUs float64) map[*jobs.Job]Reason {
	allocations := map[*jobs.Job]Reason{}
	order := slices.SortedFunc(maps.Keys(states), func(x, y Group) int {
		return cmp.Or(cmp.Compare(groupOrder(x), groupOrder(y)), cmp.Compare(x.Name, y.Name))
	})
	for {
		var least, modest *groupState
		for _, g := range order {
			s := states[g]
			for len(s.waiting) > 0 && allocations[overdue[s.waiting[0]].Job] != 0 {
				s.waiting = s.waiting[1:]
			}
			if len(s.waiting) == 0 {
				continue
			}
			if class := states[Group{Name: g.Name}]; g.IsLargest && len(class.waiting) > 0 && class.servedShare() < minClassShareForLargest {
				continue
			}
			if least == nil || s.servedShare() < least.servedShare() {
				least = s
			}
			if s.usedCPUs < maxShareOfOneGroup*b.cpuShareLimit(s.servedShare(), s.minServedShare)*totalCPUs &&
				(modest == nil || s.servedShare() < modest.servedShare()) {
				modest = s
			}
		}
		if least == nil {
			return allocations
		}
		if modest != nil && (modest.isBelowMinShare() || !least.isBelowMinShare()) {
			least = modest // nobody who is served well enough goes before one who floods and is not
		}
		if usedCPUs >= b.cpuShareLimit(least.servedShare(), least.minServedShare)*totalCPUs {
			return allocations
		}
		reason := Overdue
		if least.isBelowMinShare() {
			reason = BelowMinShare
		}
		job := overdue[least.waiting[0]]
		allocations[job.Job] = reason
		needs := float64(job.StartableTasks) * countedCPUs(job.Job)
		usedCPUs += needs
		for _, g := range b.groupsOf(job.Job) {
			states[g].usedCPUs += needs
			states[g].done++
			if job.IsUnserved {
				states[g].unserved--
			}
		}
	}
}

// minClassShareForLargest of a class is to be served before its largest go ahead of the others. Of six jobs of four to ten minutes the longest had room
// as the third, could not be done by the end of the day, and kept it from one that could: two were served (hunt day a4e2-15).
const minClassShareForLargest = 0.5

// maxShareOfOneGroup is which part of a share one class or team gets while others want some of it.
const maxShareOfOneGroup = 0.5

// cpuShareLimit is the share of the fleet up to which a class or team that was served so much is given room.
func (b *Allocator) cpuShareLimit(servedShare, minServedShare float64) float64 {
	if servedShare < minServedShare {
		return max(b.policy.CatchUpCPUShare, b.policy.OverdueCPUShare)
	}
	return b.policy.OverdueCPUShare
}

// countedCPUs is what a task counts in a share; one that takes no CPU counts a little.
func countedCPUs(job *jobs.Job) float64 { return max(job.CPUs, 0.1) }

// dropFinished drops from those with room what is not late any more, and what has nothing of it left.
func (b *Allocator) dropFinished(overdue []OverdueJob) {
	if len(b.allocated) == 0 {
		return
	}
	isOverdue := make(map[*jobs.Job]bool, len(overdue))
	for _, c := range overdue {
		isOverdue[c.Job] = true
	}
	maps.DeleteFunc(b.allocated, func(j *jobs.Job, _ bool) bool { return !isOverdue[j] || len(j.ActiveAttempts) == 0 })
}

// ReservedCPUShare is the share of the fleet that is not to be promised to others: what late jobs may take now.
func (b *Allocator) ReservedCPUShare() float64 {
	share := 0.0
	for _, s := range b.lastStatus {
		if s.Allocated > 0 {
			share = max(share, b.cpuShareLimit(s.ServedShare, b.minServedShare(s.Group)))
		}
	}
	return share
}

// Status lists how each class and team was served, as of the last look: those with late jobs, and
// those of which jobs were done of late.
func (b *Allocator) Status(now time.Time) []GroupStatus {
	groups := map[Group]GroupStatus{}
	for g, count := range b.served {
		if d := count.decayTo(now, b.policy.Window); d > 0.01 {
			groups[g] = GroupStatus{Group: g, Done: d, ServedShare: 1}
		}
	}
	maps.Copy(groups, b.lastStatus)
	return slices.SortedFunc(maps.Values(groups), func(x, y GroupStatus) int {
		return cmp.Or(cmp.Compare(x.ServedShare, y.ServedShare), cmp.Compare(x.Name, y.Name))
	})
}
