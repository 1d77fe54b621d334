// Package dependencies has the graph of which unfinished job depends on which: what a job still waits for, which jobs become
// ready when one is done, which are cancelled together with one, and by when a job has to be done for those that depend on it.
// A Graph belongs to one leadership; it is rebuilt from storage at each failover.
//
// The package writes, sends and starts nothing, and it never decides that a dependency is met: the caller reports that once it is
// durable. The cost of an operation grows with the edges it follows, not with the number of jobs. Design note:
// docs/design/dependencies.md.
//
// There are no cycles: a job names only jobs that were accepted before it.
package dependencies

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// TaskRunTime estimates how long a task of the job runs.
type TaskRunTime func(job *jobs.Job) time.Duration

// Graph is the graph of unmet dependencies. Each edge is kept twice, by
// either end: dependents[id] has job exactly if unmet[job] has id. A job's UnmetDependencies is the number of its edges.
type Graph struct {
	findJob    func(id string) *jobs.Job     // an unfinished job; nil if there is none of that ID
	dependents map[string]map[*jobs.Job]bool // jobs that wait for an unfinished job, by its ID
	unmet      map[*jobs.Job]map[string]bool // IDs of the unfinished jobs that a job waits for
}

// New returns an empty graph. findJob returns an unfinished job by its ID, or nil.
func New(findJob func(id string) *jobs.Job) *Graph {
	return &Graph{findJob: findJob, dependents: map[string]map[*jobs.Job]bool{}, unmet: map[*jobs.Job]map[string]bool{}}
}

// Add makes a job wait for the given jobs, which are not done durably yet.
func (g *Graph) Add(job *jobs.Job, unmet []string) {
	for _, id := range unmet {
		g.addEdge(job, id)
	}
	job.UnmetDependencies = len(g.unmet[job])
}

func (g *Graph) addEdge(job *jobs.Job, id string) {
	if g.unmet[job] == nil {
		g.unmet[job] = map[string]bool{}
	}
	if g.dependents[id] == nil {
		g.dependents[id] = map[*jobs.Job]bool{}
	}
	g.unmet[job][id] = true
	g.dependents[id][job] = true
}

// RecordDone records that a job is done durably. It returns the jobs that wait for nothing any more, by ID, and sets their
// ReadyAt.
func (g *Graph) RecordDone(now time.Time, jobID string) []*jobs.Job {
	var ready []*jobs.Job
	for job := range g.dependents[jobID] {
		delete(g.unmet[job], jobID)
		job.UnmetDependencies = len(g.unmet[job])
		if job.UnmetDependencies == 0 {
			delete(g.unmet, job)
			job.ReadyAt = now
			ready = append(ready, job)
		}
	}
	delete(g.dependents, jobID)
	return sortByID(ready)
}

// Remove removes the edges from a cancelled job to its dependencies. The edges of the jobs that wait for it stay, under its ID.
func (g *Graph) Remove(job *jobs.Job) {
	for id := range g.unmet[job] {
		delete(g.dependents[id], job)
		if len(g.dependents[id]) == 0 {
			delete(g.dependents, id)
		}
	}
	delete(g.unmet, job)
}

// Dependents returns all jobs that depend on this one, directly or through others, by ID.
func (g *Graph) Dependents(jobID string) []*jobs.Job {
	found := map[*jobs.Job]bool{}
	var list []*jobs.Job
	for queue := []string{jobID}; len(queue) > 0; queue = queue[1:] {
		for job := range g.dependents[queue[0]] {
			if !found[job] {
				found[job] = true
				list = append(list, job)
				queue = append(queue, job.ID)
			}
		}
	}
	return sortByID(list)
}

// Unmet returns the IDs of the jobs that a job waits for directly, in order.
func (g *Graph) Unmet(job *jobs.Job) []string {
	ids := make([]string, 0, len(g.unmet[job]))
	for id := range g.unmet[job] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ancestors returns the unfinished jobs that a job depends on, directly or through others. Each stands before those that it
// depends on itself.
func (g *Graph) ancestors(job *jobs.Job) []*jobs.Job {
	found := map[*jobs.Job]bool{}
	var list []*jobs.Job
	var visit func(job *jobs.Job)
	visit = func(job *jobs.Job) {
		for _, id := range g.Unmet(job) {
			if dependency := g.findJob(id); dependency != nil && !found[dependency] {
				found[dependency] = true
				visit(dependency)
				list = append(list, dependency)
			}
		}
	}
	visit(job)
	slices.Reverse(list)
	return list
}

// CriticalPath returns the least time that the jobs take on which a job depends: the longest sum of run times along any chain of
// dependencies. It also returns all of these jobs.
func (g *Graph) CriticalPath(job *jobs.Job, runTime TaskRunTime) (time.Duration, []*jobs.Job) {
	ancestors := g.ancestors(job)
	finish := map[*jobs.Job]time.Duration{}
	earliestStart := func(job *jobs.Job) time.Duration {
		latest := time.Duration(0)
		for id := range g.unmet[job] {
			if dependency := g.findJob(id); dependency != nil {
				latest = max(latest, finish[dependency])
			}
		}
		return latest
	}
	for _, ancestor := range slices.Backward(ancestors) { // dependencies before their dependents
		finish[ancestor] = earliestStart(ancestor) + runTime(ancestor)
	}
	return earliestStart(job), ancestors
}

// PropagateDeadline passes a job's deadline and priority on to all jobs that it depends on. Each of them is due early enough that
// its dependents can run before their own deadlines; startDelay is the time between the end of one job and the start of the
// next. If guaranteed is set, the jobs that inherit a deadline are treated as guaranteed too.
func (g *Graph) PropagateDeadline(job *jobs.Job, runTime TaskRunTime, startDelay time.Duration, guaranteed bool) {
	dependents := append([]*jobs.Job{job}, g.ancestors(job)...)
	for _, dependent := range dependents { // dependents before their dependencies
		due := dependent.DueAt()
		latestFinish := due.Add(-runTime(dependent) - startDelay)
		for id := range g.unmet[dependent] {
			dependency := g.findJob(id)
			if dependency == nil {
				continue
			}
			dependency.InheritedPriority = max(dependency.InheritedPriority, dependent.EffectivePriority())
			if !due.IsZero() {
				inheritDeadline(dependency, latestFinish, guaranteed)
			}
		}
	}
}

func inheritDeadline(job *jobs.Job, deadline time.Time, guaranteed bool) {
	if due := job.DueAt(); due.IsZero() || deadline.Before(due) {
		job.InheritedDeadline = deadline
	}
	job.RequiredByGuaranteed = job.RequiredByGuaranteed || guaranteed
}

func sortByID(list []*jobs.Job) []*jobs.Job {
	slices.SortFunc(list, func(a, b *jobs.Job) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
