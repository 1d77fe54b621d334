package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/controller/jobs"
)

// randomDependencies returns up to limit random dependencies for a new job: accepted job arrays in any state. It may return duplicates.
func (u *Users) randomDependencies(limit int) []string {
	var list []string
	for range 3 * limit {
		if len(u.jobIDs) == 0 || len(list) == limit {
			break
		}
		id := u.jobIDs[u.sim.Rand.IntN(len(u.jobIDs))]
		if j := u.sim.checker.jobs[id]; !j.acceptedAt.IsZero() && !j.spec.IsService && !j.alwaysFails {
			list = append(list, id)
		}
	}
	return list
}

// Pipeline describes a set of jobs of one team that depend on each other.
type Pipeline struct {
	Name         string        // part of the jobs' IDs
	Dependencies [][]int       // indexes of the jobs that each job depends on
	TasksPerJob  int           // tasks of each job
	RunTime      time.Duration // run time of each task
	Deadline     time.Duration // deadline of the last job; the others have none
}

// jobID returns the ID of the job with an index.
func (p Pipeline) jobID(index int) string { return fmt.Sprintf("job-%s%04d", p.Name, index) }

// jobSpec returns the job with an index.
func (p Pipeline) jobSpec(index int) jobs.Spec {
	spec := jobs.Spec{
		ID:              p.jobID(index),
		Class:           "pipeline",
		Team:            noTeam,
		Tasks:           p.TasksPerJob,
		CPUs:            1,
		MemoryGB:        1,
		Image:           "i",
		AllowsSpot:      true,
		RunTimeEstimate: p.RunTime,
	}
	for _, dependency := range p.Dependencies[index] {
		spec.Dependencies = append(spec.Dependencies, p.jobID(dependency))
	}
	if index == len(p.Dependencies)-1 {
		spec.Deadline, spec.Priority = p.Deadline, jobs.High
	}
	return spec
}

// pipelineRetryInterval is the time between checks whether the dependencies of a job are accepted, so that it can be submitted.
const pipelineRetryInterval = 200 * time.Millisecond

// SubmitPipeline schedules the submission of the jobs of a pipeline, each as soon as its dependencies are accepted. It returns their IDs
// immediately.
func (u *Users) SubmitPipeline(pipeline Pipeline) []string {
	jobIDs := make([]string, len(pipeline.Dependencies))
	for i := range jobIDs {
		spec := pipeline.jobSpec(i)
		jobIDs[i] = spec.ID
		u.sim.At(time.Duration(i)*20*time.Millisecond, func() { u.submitWhenAccepted(spec, pipeline.RunTime) })
	}
	return jobIDs
}

// submitWhenAccepted submits a job as soon as its dependencies are accepted.
func (u *Users) submitWhenAccepted(spec jobs.Spec, runTime time.Duration) {
	for _, dependency := range spec.Dependencies {
		if job := u.sim.checker.jobs[dependency]; job == nil || job.acceptedAt.IsZero() {
			u.sim.At(pipelineRetryInterval, func() { u.submitWhenAccepted(spec, runTime) })
			return
		}
	}
	u.SubmitJob(spec, runTime)
}

// PipelineResult is the result of RunPipelines. It counts pipelines by the state of their last job.
type PipelineResult struct {
	Total, Unfinished int             // all pipelines, and those that were neither done nor cancelled at the end
	Lateness          []time.Duration // of each pipeline that was done; negative if it met its deadline
}

// pipelineShape lists the indexes of the dependencies of each job of a pipeline.
var pipelineShape = [][]int{nil, {0}, {0}, {1, 2}, {0, 3}}

// RunPipelines simulates pipelines of five jobs, some of which are cancelled. Meanwhile leaders crash or are refused by the state service,
// machines fail or are cut off, and the state service delays transactions or has an outage.
func (sim *Cluster) RunPipelines(count int) PipelineResult {
	pipelines := make([][]string, count)
	for i := range count {
		sim.At(time.Duration(i)*2*time.Second, func() {
			pipelines[i] = sim.Users.SubmitPipeline(Pipeline{
				Name:         fmt.Sprintf("6%03d", i),
				Dependencies: pipelineShape,
				TasksPerJob:  2,
				RunTime:      6 * time.Second,
				Deadline:     75 * time.Second,
			})
			if sim.Rand.IntN(6) == 0 {
				sim.At(time.Duration(2+sim.Rand.IntN(40))*time.Second, func() { sim.cancelOneOf(pipelines[i]) })
			}
		})
	}
	for i := range count / 4 {
		sim.At(time.Duration(10+8*i)*time.Second, sim.injectPipelineFault)
	}
	sim.Run(time.Duration(2*count)*time.Second + 5*time.Minute)
	return sim.pipelineResult(pipelines)
}

// cancelOneOf cancels a random job of the list. It does nothing if that job was not submitted yet.
func (sim *Cluster) cancelOneOf(jobIDs []string) {
	if id := jobIDs[sim.Rand.IntN(len(jobIDs))]; sim.checker.jobs[id] != nil {
		sim.Users.cancel(id)
	}
}

// injectPipelineFault injects a random fault of RunPipelines. It may inject none if there is no leader.
func (sim *Cluster) injectPipelineFault() {
	switch leader := sim.LeaderIndex(); sim.Rand.IntN(6) {
	case 0:
		sim.State.Outage(6 * time.Second)
	case 1:
		sim.State.DelayTransactions(0.3, 6*time.Second)
	case 2:
		sim.Cloud.FailMachine()
	case 3:
		sim.Cloud.CutOutbound(3, 12*time.Second)
	default:
		if leader >= 0 && sim.Rand.IntN(2) == 0 {
			sim.Crash(leader, 2*time.Second)
		} else if leader >= 0 {
			sim.State.Refuse(controllerName(leader), 4*time.Second)
		}
	}
}

func (sim *Cluster) pipelineResult(pipelines [][]string) PipelineResult {
	var result PipelineResult
	for _, jobIDs := range pipelines {
		result.Total++
		last := sim.checker.jobs[jobIDs[len(jobIDs)-1]]
		switch {
		case last == nil || last.finishedAt.IsZero() && last.cancelledAt.IsZero():
			result.Unfinished++
		case !last.finishedAt.IsZero():
			result.Lateness = append(result.Lateness, last.finishedAt.Sub(last.submittedAt.Add(last.spec.Deadline)))
		}
	}
	return result
}
