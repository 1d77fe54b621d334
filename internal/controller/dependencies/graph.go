// Package dependencies keeps the graph of dependencies between unfinished jobs. The graph answers four questions:
//   - which jobs a job still waits for;
//   - which jobs become ready when a job is done;
//   - which jobs are cancelled together with a job;
//   - when a job has to be done so that its dependents meet their deadlines.
//
// A Graph belongs to one leader and is rebuilt from storage at each failover. The package does no I/O and starts no tasks. It
// never decides that a dependency is met: the caller reports that once the completion is durable. The cost of an operation
// grows with the number of edges that it follows, not with the number of jobs.
//
// The graph has no cycles, since a job can only depend on jobs that were accepted before it.
//
// Design note: docs/design/dependencies.md.
package dependencies

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/units"
)

// TaskRunTime returns the estimated run time of one task of the job.
type TaskRunTime func(job *jobs.Job) time.Duration

// Graph is the graph of unmet dependencies. It stores each edge under both ends: dependents[id] contains job if and only if
// unmet[job] contains id. It sets Job.UnmetDependencies to the number of the job's unmet dependencies. A Graph is not safe for
// concurrent use.
type Graph struct {
	findJob    func(id string) *jobs.Job     // returns an unfinished job; nil: no unfinished job has this ID
	dependents map[string]map[*jobs.Job]bool // by ID of an unfinished job, the jobs that wait for it
	unmet      map[*jobs.Job]map[string]bool // by job, the IDs of the unfinished jobs that it waits for
}

// New returns an empty graph. findJob returns the unfinished job with the given ID, or nil if there is none.
func New(findJob func(id string) *jobs.Job) *Graph {
	return &Graph{findJob: findJob, dependents: map[string]map[*jobs.Job]bool{}, unmet: map[*jobs.Job]map[string]bool{}}
}

// Add makes a job wait for the given jobs, whose completion is not durable yet. It sets UnmetDependencies of the job.
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

// RecordDone records that the completion of a job is durable. It returns the dependents that have no unmet dependencies left, sorted
// by ID, and sets their ReadyAt to now.
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

// Remove removes the edges from a cancelled job to its dependencies. The edges from its dependents to the job stay.
func (g *Graph) Remove(job *jobs.Job) {
	for id := range g.unmet[job] {
		delete(g.dependents[id], job)
		if len(g.dependents[id]) == 0 {
			delete(g.dependents, id)
		}
	}
	delete(g.unmet, job)
}

// Dependents returns all jobs that depend on this job, directly or indirectly, sorted by ID.
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

// Unmet returns the IDs of the unfinished jobs that a job depends on directly, sorted.
func (g *Graph) Unmet(job *jobs.Job) []string {
	ids := make([]string, 0, len(g.unmet[job]))
	for id := range g.unmet[job] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ancestors returns the unfinished jobs that a job depends on, directly or indirectly. Each job comes before its own
// dependencies.
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

// CriticalPath returns the shortest time in which the unfinished dependencies of a job can finish: the largest sum of run times
// along any chain of dependencies. It also returns these jobs, dependents before their dependencies.
func (g *Graph) CriticalPath(job *jobs.Job, runTime TaskRunTime) (time.Duration, []*jobs.Job) {
	ancestors := g.ancestors(job)
	finishTimes := map[*jobs.Job]time.Duration{}
	earliestStart := func(job *jobs.Job) time.Duration {
		latest := time.Duration(0)
		for id := range g.unmet[job] {
			if dependency := g.findJob(id); dependency != nil {
				latest = max(latest, finishTimes[dependency])
			}
		}
		return latest
	}
	for _, ancestor := range slices.Backward(ancestors) { // dependencies before their dependents
		finishTimes[ancestor] = units.Add(earliestStart(ancestor), runTime(ancestor))
	}
	return earliestStart(job), ancestors
}

// PropagateDeadline passes a job's deadline and priority on to all jobs that it depends on. Each of them is due early enough for
// its dependents to meet their own deadlines. startDelay is the time from the end of a job to the start of its dependents. If
// guaranteed is set, the jobs that inherit a deadline are treated as guaranteed, too.
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
