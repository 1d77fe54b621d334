// Package fairshare ensures that jobs of every class and every team are done during a long shortage (fair sharing). Its
// Allocator owns the counts of recently done jobs by class and team, and the set of overdue jobs with allocated capacity.
// The queue calls it for each order. The package never starts, stops or places a task.
//
// A job is overdue if it can no longer meet any of its objectives, or has waited longer than the age bound. An overdue job
// is starved if it is overdue by so much that it counts against its class and team. Overdue jobs have two shares of the
// cluster: a small one at all times, and a larger one while a class or team has less than the minimum share of its jobs
// done. Both shares go first to the class or team that is served least, and within it to the job with the least remaining
// work.
//
// Design note, with the alternatives and their limits: docs/design/fairshare.md.
package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// Policy holds the operators' settings for fair sharing.
type Policy struct {
	Window         time.Duration // time constant of the exponential decay of the counts of done jobs
	MinServedShare float64       // minimum share of the jobs of each class and team that should be done
	CapacityShare  float64       // share of the cluster's CPUs for classes and teams below MinServedShare
	OverdueShare   float64       // share of the cluster's CPUs for overdue jobs of any class and team
}

// PolicyOf returns the policy that the options set.
func PolicyOf(options config.Options) Policy {
	return Policy{
		Window:         options.FairShareWindow,
		MinServedShare: options.MinServedShare,
		CapacityShare:  options.FairShareCapacity,
		OverdueShare:   options.OverdueShare,
	}
}

// largestMinShareReduction is how much lower the minimum served share of the largest jobs of a class is than that of the
// class. In a busy period these jobs are overdue first, and capacity for them is taken from many other jobs.
const largestMinShareReduction = 0.1

// minServedShareOf returns the minimum share of the group's jobs that should be done.
func (p Policy) minServedShareOf(group Group) float64 {
	if group.IsLargest {
		return p.MinServedShare - largestMinShareReduction
	}
	return p.MinServedShare
}

// cpuShareFor returns the share of the cluster's CPUs up to which a group gets capacity.
func (p Policy) cpuShareFor(servedShare, minServedShare float64) float64 {
	if servedShare < minServedShare {
		return max(p.CapacityShare, p.OverdueShare)
	}
	return p.OverdueShare
}

// Group is a class of jobs, a team, or the largest jobs of a class. It is comparable.
type Group struct {
	IsTeam    bool // the group is a team; otherwise a class
	Name      string
	IsLargest bool // the group is only the largest jobs of the class
}

// compareGroups orders classes before teams, and teams before the largest jobs of classes. Groups of one kind are ordered by
// name.
func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.kind(), b.kind()), cmp.Compare(a.Name, b.Name))
}

func (g Group) kind() int {
	switch {
	case g.IsTeam:
		return 1
	case g.IsLargest:
		return 2
	}
	return 0
}

// GroupStatus describes how a group was served as of the last allocation.
type GroupStatus struct {
	Group
	Done        float64 // decayed count of done jobs
	Starved     int     // starved jobs
	Allocated   int     // overdue jobs with allocated capacity
	ServedShare float64 // done jobs as a fraction of done and starved jobs
}

// Allocator allocates capacity to overdue jobs. Each leadership has its own Allocator. It is not safe for concurrent use.
type Allocator struct {
	policy      Policy
	done        map[Group]*decayingCount // decayed counts of done jobs
	recentSizes map[string][]jobSize     // by class: the sizes of the jobs done last
	thresholds  map[string]jobSize       // by class: the size from which a job is one of the largest
	allocated   map[*jobs.Job]bool       // jobs that have, or had, allocated capacity and still run
	status      map[Group]GroupStatus    // groups with overdue jobs, as of the last allocation

	isChanged bool // the counts have changed since they were last saved
	nextSave  time.Time
}

// New returns an Allocator without counts. Restore sets the counts of an earlier leader.
func New(policy Policy) *Allocator {
	return &Allocator{
		policy:      policy,
		done:        map[Group]*decayingCount{},
		recentSizes: map[string][]jobSize{},
		thresholds:  map[string]jobSize{},
		allocated:   map[*jobs.Job]bool{},
		status:      map[Group]GroupStatus{},
	}
}

// SetPolicy replaces the operators' settings.
func (a *Allocator) SetPolicy(policy Policy) { a.policy = policy }

// RecordDone counts a done job in each of its groups, and ends its allocation.
func (a *Allocator) RecordDone(now time.Time, job *jobs.Job) {
	delete(a.allocated, job)
	a.isChanged = true
	a.recordSize(job)
	for _, group := range a.groupsOf(job) {
		count := a.done[group]
		if count == nil {
			count = &decayingCount{updatedAt: now}
			a.done[group] = count
		}
		count.decayTo(now, a.policy.Window)
		count.count++
	}
}

// NoneDoneRecently reports whether almost no job of the class was done within the window. The decayed count must be below
// one half.
func (a *Allocator) NoneDoneRecently(now time.Time, class string) bool {
	count := a.done[Group{Name: class}]
	return count == nil || count.decayTo(now, a.policy.Window) < 0.5
}

// groupsOf returns the groups for which a job counts.
func (a *Allocator) groupsOf(job *jobs.Job) []Group {
	groups := []Group{{Name: job.Class}, {IsTeam: true, Name: job.Team}}
	if a.isLargest(job) {
		groups = append(groups, Group{Name: job.Class, IsLargest: true})
	}
	return groups
}

// ReservedCPUShare returns the share of the cluster's CPUs that must not be planned for jobs with deadlines, since overdue
// jobs may use it now. It is 0 if no overdue job has allocated capacity.
func (a *Allocator) ReservedCPUShare() float64 {
	share := 0.0
	for _, status := range a.status {
		if status.Allocated > 0 {
			share = max(share, a.policy.cpuShareFor(status.ServedShare, a.policy.minServedShareOf(status.Group)))
		}
	}
	return share
}

// Status returns how each group was served as of the last allocation, the least served group first. It lists the groups with
// overdue jobs and the groups with recently done jobs.
func (a *Allocator) Status(now time.Time) []GroupStatus {
	groups := map[Group]GroupStatus{}
	for group, count := range a.done {
		if done := count.decayTo(now, a.policy.Window); done > minListedCount {
			groups[group] = GroupStatus{Group: group, Done: done, ServedShare: 1}
		}
	}
	maps.Copy(groups, a.status)
	return slices.SortedFunc(maps.Values(groups), func(x, y GroupStatus) int {
		return cmp.Or(cmp.Compare(x.ServedShare, y.ServedShare), cmp.Compare(x.Name, y.Name))
	})
}
