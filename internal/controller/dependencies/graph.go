// Package dependencies knows which jobs wait for which: whose needs are missing, who is let go when a job is done, whom a
// cancelled job takes along, and by when a job has to be done for those that need it. Its Graph owns the waiting of a
// leadership and is made anew from the ledger at each takeover. It decides; it writes, sends and starts nothing, and it never
// calls a need met: it is told so once that is durable. Work goes by the edges that are touched, never by all jobs.
//
// There are no cycles: a job names only jobs that were accepted before it.
package dependencies

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Graph is who waits for whom.
type Graph struct {
	findJob    func(id string) *jobs.Job     // an unfinished job
	dependents map[string]map[*jobs.Job]bool // by a need that is not done, those that wait for it
	unmet      map[*jobs.Job]map[string]bool // by a job that waits, its needs that are not done
}

// New makes an empty graph.
func New(find func(id string) *jobs.Job) *Graph {
	return &Graph{findJob: find, dependents: map[string]map[*jobs.Job]bool{}, unmet: map[*jobs.Job]map[string]bool{}}
}

// Add lets a job wait for these needs, none of which is known to be done.
func (g *Graph) Add(j *jobs.Job, missing []string) {
	for _, id := range missing {
		if g.unmet[j] == nil {
			g.unmet[j] = map[string]bool{}
		}
		if !g.unmet[j][id] {
			g.unmet[j][id] = true
			if g.dependents[id] == nil {
				g.dependents[id] = map[*jobs.Job]bool{}
			}
			g.dependents[id][j] = true
		}
	}
	j.UnmetDependencies = len(g.unmet[j])
}

// RecordDone takes in that a job is done, durably, and gives back those that wait for nothing any more.
func (g *Graph) RecordDone(now time.Time, id string) []*jobs.Job {
	var free []*jobs.Job
	for j := range g.dependents[id] {
		delete(g.unmet[j], id)
		if j.UnmetDependencies = len(g.unmet[j]); j.UnmetDependencies == 0 {
			delete(g.unmet, j)
			j.ReadyAt = now
			free = append(free, j)
		}
	}
	delete(g.dependents, id)
	return sortByID(free)
}

// Dependents lists all jobs that need this one, directly or through others.
func (g *Graph) Dependents(id string) []*jobs.Job {
	seen := map[*jobs.Job]bool{}
	var list []*jobs.Job
	for next := []string{id}; len(next) > 0; next = next[1:] {
		for j := range g.dependents[next[0]] {
			if !seen[j] {
				seen[j] = true
				list = append(list, j)
				next = append(next, j.ID)
			}
		}
	}
	return sortByID(list)
}

// Unmet lists the needs of a job that are not done.
func (g *Graph) Unmet(j *jobs.Job) []string {
	list := make([]string, 0, len(g.unmet[j]))
	for id := range g.unmet[j] {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Remove takes a job out that waits no more, since it is cancelled. What waits for it stays with its name.
func (g *Graph) Remove(j *jobs.Job) {
	for id := range g.unmet[j] {
		delete(g.dependents[id], j)
		if len(g.dependents[id]) == 0 {
			delete(g.dependents, id)
		}
	}
	delete(g.unmet, j)
}

// ancestors lists the unfinished jobs that a job needs, directly or through others, those that need nothing last.
func (g *Graph) ancestors(j *jobs.Job) []*jobs.Job {
	seen := map[*jobs.Job]bool{}
	var list []*jobs.Job
	var walk func(j *jobs.Job)
	walk = func(j *jobs.Job) {
		for _, id := range g.Unmet(j) {
			if x := g.findJob(id); x != nil && !seen[x] {
				seen[x] = true
				walk(x)
				list = append(list, x)
			}
		}
	}
	walk(j)
	slices.Reverse(list)
	return list
}

// CriticalPath is how long what a job needs takes at least, by the longest way through it, and the jobs on all ways.
func (g *Graph) CriticalPath(j *jobs.Job, perTask func(*jobs.Job) time.Duration) (time.Duration, []*jobs.Job) {
	list := g.ancestors(j)
	ends := map[*jobs.Job]time.Duration{}
	end := func(j *jobs.Job) time.Duration {
		longest := time.Duration(0)
		for id := range g.unmet[j] {
			if x := g.findJob(id); x != nil {
				longest = max(longest, ends[x])
			}
		}
		return longest
	}
	for _, x := range slices.Backward(list) { // needs before those that need them
		ends[x] = end(x) + perTask(x)
	}
	return end(j), list
}

// PropagateDeadline has all that a job with a deadline needs inherit it: each is due so much earlier as those after it take, and has the
// priority of the most urgent that needs it. guaranteed: their terms are held as its own are.
func (g *Graph) PropagateDeadline(j *jobs.Job, perTask func(*jobs.Job) time.Duration, settle time.Duration, guaranteed bool) {
	list := append([]*jobs.Job{j}, g.ancestors(j)...)
	for _, x := range list {
		due, ok := x.DueAt()
		for id := range g.unmet[x] {
			need := g.findJob(id)
			if need == nil {
				continue
			}
			need.InheritedPriority = max(need.InheritedPriority, x.EffectivePriority())
			if !ok {
				continue
			}
			by := due.Add(-perTask(x) - settle)
			if was, has := need.DueAt(); !has || by.Before(was) {
				need.InheritedDeadline = by
			}
			need.RequiredByGuaranteed = need.RequiredByGuaranteed || guaranteed
		}
	}
}

func sortByID(list []*jobs.Job) []*jobs.Job {
	slices.SortFunc(list, func(a, b *jobs.Job) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
