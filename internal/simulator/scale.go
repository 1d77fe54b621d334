package simulator

import (
	"fmt"
	"runtime"
	"time"

	"gullrudder/internal/controller/jobs"
)

// ScaleResult is the result of RunScale: what a large cluster costs its leader, in real time, and how it recovers
// from a failure of many machines at once, in virtual time.
type ScaleResult struct {
	Machines, Tasks       int           // that were up, and that ran, before the failure
	Steps                 int           // of all controllers in a minute of load
	MeanStep, LongestStep time.Duration // real time of a step
	CPUShare              float64       // share of one processor that all controllers took together
	WritesPerSecond       float64       // revisions of the state service
	HeapMB                int           // of the whole process, the simulator included
	PlacingAfter          time.Duration // from the failure until a leader places tasks again
	RecoveredAfter        time.Duration // from the failure until 95 % of the tasks run that the remaining machines can hold
}

// The load of RunScale.
const (
	scaleTasksPerJob             = 40
	scaleRunTime                 = 40 * time.Second
	scaleRequestedCPUsPerMachine = 12 // more CPUs are requested than the cluster has, all the time
	scaleRounds                  = 5  // times that the same amount is submitted
	scaleRoundInterval           = 45 * time.Second
	scaleArrivalPeriod           = 30 * time.Second // a round's jobs arrive within it
	scaleRampUp                  = 75 * time.Second
	scaleRecoveryLimit           = 2 * time.Minute
)

// RunScale fills a cluster of a given size, measures a minute of load, and then fails a third of the machines
// and the leader at the same moment.
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
		return result, fmt.Errorf("a rule is broken: %v", sim.Violations)
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

// measureMinute runs for a minute and measures the cost of the controllers.
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
		HeapMB:          int(memory.HeapAlloc >> 20),
	}
}

// measureRecovery runs until a leader places tasks and 95 % of what the remaining machines can hold runs again.
func (sim *Cluster) measureRecovery(result *ScaleResult) {
	remaining, failedAt := result.Tasks*2/3, sim.Now
	for sim.Now.Sub(failedAt) < scaleRecoveryLimit && (result.PlacingAfter == 0 || result.RecoveredAfter == 0) {
		sim.Run(100 * time.Millisecond)
		for i := range sim.controllers {
			if _, placing := sim.leadershipOf(i); placing && result.PlacingAfter == 0 {
				result.PlacingAfter = sim.Now.Sub(failedAt)
			}
		}
		if result.PlacingAfter > 0 && result.RecoveredAfter == 0 && sim.runningTasks() >= remaining*95/100 {
			result.RecoveredAfter = sim.Now.Sub(failedAt)
		}
	}
}

// runningTasks counts the tasks in state running on running machines.
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
