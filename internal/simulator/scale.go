package simulator

import (
	"fmt"
	"runtime"
	"time"

	"gullrudder/internal/controller/jobs"
)

// ScaleResult is the result of RunScale. The cost of a large cluster for its controllers is in real time. Its recovery from the failure of
// many machines at the same time is in virtual time.
type ScaleResult struct {
	Machines, Tasks       int           // machines up and tasks running before the failure
	Steps                 int           // steps of all controllers in a minute of load
	MeanStep, LongestStep time.Duration // real time of a step
	CPUShare              float64       // real time of the steps of all controllers per second of virtual time; about the number of CPUs used
	WritesPerSecond       float64       // increase of the state service's revision per second
	HeapMiB               int           // heap of the whole process, including the simulator
	PlacementAfter        time.Duration // from the failure until a leader places tasks again
	RecoveredAfter        time.Duration // from the failure until the remaining machines run 95 % of the tasks that they can hold
}

// Load of RunScale.
const (
	scaleTasksPerJob             = 40
	scaleRunTime                 = 40 * time.Second
	scaleRequestedCPUsPerMachine = 12 // more than a machine has on average, so that the cluster is always full
	scaleRounds                  = 5  // number of times that the same jobs are submitted
	scaleRoundInterval           = 45 * time.Second
	scaleArrivalPeriod           = 30 * time.Second // the jobs of a round arrive within it
	scaleRampUp                  = 75 * time.Second
	scaleRecoveryLimit           = 2 * time.Minute
)

// RunScale fills a cluster of a given size, measures a minute of load, then fails a third of the machines and the leader at the same time.
// It returns an error if a rule is broken.
func (sim *Cluster) RunScale(machines int) (ScaleResult, error) {
	sim.scheduleScaleJobs(machines)
	sim.Run(scaleRampUp)
	result := sim.measureMinute()
	for range result.Machines / 3 {
		sim.Cloud.FailMachine()
	}
	sim.crashLeaseHolders(8 * time.Second)
	sim.measureRecovery(&result)
	if len(sim.Violations) > 0 {
		return result, fmt.Errorf("rules were broken: %v", sim.Violations)
	}
	return result, nil
}

func (sim *Cluster) scheduleScaleJobs(machines int) {
	requestedCPUs := scaleRequestedCPUsPerMachine * machines
	submittedCPUs := 0
	for i := 0; submittedCPUs < requestedCPUs; i++ {
		submittedCPUs += scaleTasksPerJob
		for round := range scaleRounds {
			spec := jobs.Spec{
				ID: fmt.Sprintf("job-%d%06d", round+1, i), Class: fmt.Sprintf("class-%d", i%5), Team: "t", Priority: jobs.Normal,
				Tasks: scaleTasksPerJob, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowsSpot: true, RunTimeEstimate: scaleRunTime,
			}
			at := time.Duration(round)*scaleRoundInterval + time.Duration(i)*scaleArrivalPeriod*scaleTasksPerJob/time.Duration(requestedCPUs)
			sim.At(at, func() { sim.Users.SubmitJob(spec, scaleRunTime) })
		}
	}
}

// measureMinute simulates a minute and measures the cost of the controllers.
func (sim *Cluster) measureMinute() ScaleResult {
	sim.totalStepTime, sim.longestStep, sim.stepCount = 0, 0, 0
	revision, began := sim.State.revision, sim.Now
	sim.Run(time.Minute)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return ScaleResult{
		Machines:        len(sim.Cloud.runningMachines()),
		Tasks:           sim.runningTasks(),
		Steps:           sim.stepCount,
		MeanStep:        sim.totalStepTime / time.Duration(max(sim.stepCount, 1)),
		LongestStep:     sim.longestStep,
		CPUShare:        sim.totalStepTime.Seconds() / sim.Now.Sub(began).Seconds(),
		WritesPerSecond: float64(sim.State.revision-revision) / time.Minute.Seconds(),
		HeapMiB:         int(memory.HeapAlloc >> 20),
	}
}

// measureRecovery simulates until a leader places tasks and the remaining machines run 95 % of the tasks that they can hold, at most for
// scaleRecoveryLimit.
func (sim *Cluster) measureRecovery(result *ScaleResult) {
	remaining, failedAt := result.Tasks*2/3, sim.Now
	for sim.Now.Sub(failedAt) < scaleRecoveryLimit && (result.PlacementAfter == 0 || result.RecoveredAfter == 0) {
		sim.Run(100 * time.Millisecond)
		for i := range sim.controllers {
			if _, placing := sim.leadershipOf(i); placing && result.PlacementAfter == 0 {
				result.PlacementAfter = sim.Now.Sub(failedAt)
			}
		}
		if result.PlacementAfter > 0 && result.RecoveredAfter == 0 && sim.runningTasks() >= remaining*95/100 {
			result.RecoveredAfter = sim.Now.Sub(failedAt)
		}
	}
}

// runningTasks returns the number of tasks in state running on running machines.
func (sim *Cluster) runningTasks() int {
	n := 0
	for _, m := range sim.Cloud.runningMachines() {
		for _, t := range m.tasks {
			if t.state == "running" {
				n++
			}
		}
	}
	return n
}
