// Package fairshare keeps any class of jobs and any team from being left unserved in a long shortage (fair sharing). An
// Allocator owns the counts of recently done jobs by class and team, and the set of overdue jobs that have capacity of
// their own. The queue calls it for each order. It never starts, stops or places a task.
//
// A job is overdue if it can meet none of its objectives any more or has waited past the age bound; it is unserved if it
// is overdue by so much that it counts against its class and team. Overdue jobs have two shares of the cluster: a small
// one at all times, and a larger one while a class or team has less than the minimum share of its jobs done. Both go first
// to the class or team that is served least, and there to the job with the least remaining work.
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
	Window         time.Duration // time constant with which the counts of done jobs decay
	MinServedShare float64       // share of the jobs of each class and team that is to be done
	CapacityShare  float64       // of the cluster's CPUs, for classes and teams below MinServedShare
	OverdueShare   float64       // of the cluster's CPUs, for overdue jobs of any class and team
}

// PolicyOf returns the policy that the operators have set.
func PolicyOf(options config.Options) Policy {
	return Policy{
		Window:         options.FairShareWindow,
		MinServedShare: options.MinServedShare,
		CapacityShare:  options.FairShareCapacity,
		OverdueShare:   options.OverdueShare,
	}
}

// largestLeniency is how much less of the largest jobs than of their class is to be done. In a busy period they are the
// first to be overdue, and capacity for them is taken from many others.
const largestLeniency = 0.1

// minServedShareOf is the share of the group's jobs that is to be done.
func (p Policy) minServedShareOf(group Group) float64 {
	if group.IsLargest {
		return p.MinServedShare - largestLeniency
	}
	return p.MinServedShare
}

// cpuShareFor is the share of the cluster's CPUs up to which a group with the given shares gets capacity.
func (p Policy) cpuShareFor(servedShare, minServedShare float64) float64 {
	if servedShare < minServedShare {
		return max(p.CapacityShare, p.OverdueShare)
	}
	return p.OverdueShare
}

// Group is a class of jobs, a team, or the largest jobs of a class.
type Group struct {
	IsTeam    bool // a team; otherwise a class
	Name      string
	IsLargest bool // the largest jobs of the class
}

// compareGroups orders classes before teams before the largest jobs of classes, and these by name.
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

// GroupStatus is how a group was served when capacity was allocated last.
type GroupStatus struct {
	Group
	Done        float64 // jobs done, decayed
	Unserved    int     // unserved jobs
	Allocated   int     // overdue jobs with capacity of their own
	ServedShare float64 // done jobs, of done and unserved ones
}

// Allocator allocates capacity to overdue jobs. Each leadership has its own. It is not safe for concurrent use.
type Allocator struct {
	policy      Policy
	done        map[Group]*decayingCount // jobs done
	recentSizes map[string][]jobSize     // by class, of the jobs done last
	largestFrom map[string]jobSize       // by class, the size from which a job is one of the largest
	allocated   map[*jobs.Job]bool       // have, or had, capacity of their own and still run
	status      map[Group]GroupStatus    // as of the last allocation

	isChanged bool // since the counts were saved last
	nextSave  time.Time
}

// New returns an allocator without counts.
func New(policy Policy) *Allocator {
	return &Allocator{
		policy:      policy,
		done:        map[Group]*decayingCount{},
		recentSizes: map[string][]jobSize{},
		largestFrom: map[string]jobSize{},
		allocated:   map[*jobs.Job]bool{},
		status:      map[Group]GroupStatus{},
	}
}

// SetPolicy replaces the operators' settings.
func (a *Allocator) SetPolicy(policy Policy) { a.policy = policy }

// RecordDone counts a job that is done.
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

// NoneDoneRecently reports whether practically no job of the class was done within the window.
func (a *Allocator) NoneDoneRecently(now time.Time, class string) bool {
	count := a.done[Group{Name: class}]
	return count == nil || count.decayTo(now, a.policy.Window) < 0.5
}

// groupsOf are the groups that a job counts for.
func (a *Allocator) groupsOf(job *jobs.Job) []Group {
	groups := []Group{{Name: job.Class}, {IsTeam: true, Name: job.Team}}
	if a.isLargest(job) {
		groups = append(groups, Group{Name: job.Class, IsLargest: true})
	}
	return groups
}

// ReservedCPUShare is the share of the cluster's CPUs that must not be planned for deadline jobs, since overdue jobs may
// use it now.
func (a *Allocator) ReservedCPUShare() float64 {
	share := 0.0
	for _, status := range a.status {
		if status.Allocated > 0 {
			share = max(share, a.policy.cpuShareFor(status.ServedShare, a.policy.minServedShareOf(status.Group)))
		}
	}
	return share
}

// Status lists how each group was served as of the last allocation, the least served first: the groups with overdue jobs
// and those of which jobs were done recently.
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
