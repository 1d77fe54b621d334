package simulator

import (
	"fmt"
	"runtime"
	"time"

	"gullrudder/internal/controller/jobs"
)

// ScaleResult is the result of RunScale: what a large fleet costs its leader, in real time, and how it recovers
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

// RunScale fills a fleet of a given size, measures a minute of load, and then fails a third of the machines
// and the leader at the same moment.
func (sim *Cluster) RunScale(machines int) (ScaleResult, error) {
	const tasks, run = 40, 40 * time.Second
	cpus := 0
	for i := 0; cpus < 12*machines; i++ { // always more than the fleet has
		s := jobs.Spec{
			ID: fmt.Sprintf("job-%07d", i), Class: fmt.Sprintf("class-%d", i%5), Team: "t", Priority: jobs.Normal, Tasks: tasks, CPUs: 1,
			MemoryGB: 1, Image: "img", ImageGB: 1, AllowsSpot: true, RunTimeEstimate: run,
		}
		cpus += tasks
		for again := range 5 {
			id := s
			id.ID = fmt.Sprintf("job-%d%06d", again+1, i)
			sim.At(time.Duration(again)*45*time.Second+time.Duration(i)*30*time.Second*40/time.Duration(12*machines), func() { sim.Users.SubmitJob(id, run) })
		}
	}
	sim.Run(75 * time.Second)
	sim.stepDuration, sim.longestStep, sim.stepCount = 0, 0, 0
	wrote, began := sim.State.revision, sim.Now
	sim.Run(time.Minute)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s := ScaleResult{
		Machines: len(
			sim.Cloud.runningMachines(),
		),
		Tasks:           sim.runningTasks(),
		Steps:           sim.stepCount,
		MeanStep:        sim.stepDuration / time.Duration(max(sim.stepCount, 1)),
		LongestStep:     sim.longestStep,
		CPUShare:        sim.stepDuration.Seconds() / sim.Now.Sub(began).Seconds(),
		WritesPerSecond: float64(sim.State.revision-wrote) / 60,
		HeapMB:          int(mem.HeapAlloc >> 20),
	}
	for range s.Machines / 3 {
		sim.Cloud.FailMachine()
	}
	sim.crashActing(8 * time.Second)
	left, failed := s.Tasks*2/3, sim.Now
	for sim.Now.Sub(failed) < 2*time.Minute && (s.PlacingAfter == 0 || s.RecoveredAfter == 0) {
		sim.Run(100 * time.Millisecond)
		for i := range sim.controllers {
			if _, placing := sim.leadershipOf(i); placing && s.PlacingAfter == 0 {
				s.PlacingAfter = sim.Now.Sub(failed)
			}
		}
		if s.PlacingAfter > 0 && s.RecoveredAfter == 0 && sim.runningTasks() >= left*95/100 {
			s.RecoveredAfter = sim.Now.Sub(failed)
		}
	}
	if len(sim.Violations) > 0 {
		return s, fmt.Errorf("a rule is broken: %v", sim.Violations)
	}
	return s, nil
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
