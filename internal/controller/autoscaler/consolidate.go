package autoscaler

import (
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/workerapi"
)

const (
	// freeCPUShare is the share of the CPUs that stays free for arriving jobs.
	freeCPUShare = 0.1
	// minRunBeforeMove is how long a task must have been assigned to a machine before it may be moved.
	minRunBeforeMove = 30 * time.Second
	// moveGain is the least ratio of what a move saves to what it costs. The cost is the CPU time that is unused while the task
	// saves a checkpoint and its image is fetched.
	moveGain = 3
	// maxDrainedDivisor limits the machines that are drained at a time to about one in ten, since the moved tasks have to start
	// again.
	maxDrainedDivisor = 10
	// maxConsolidatedBucket is the highest utilization bucket from which machines are drained.
	maxConsolidatedBucket = worker.BucketCount / 2
)

// consolidate drains machines with low utilization if fuller ones have capacity for their tasks. The cluster must stay large
// enough for the waiting tasks and some arrivals. Without consolidation a few long tasks keep many machines. Only tasks with
// checkpoints are moved.
func (s *Scaler) consolidate(now time.Time) {
	machines, freeCPUs := s.consolidationCandidates(now)
	if freeCPUs <= 0 {
		return
	}
	available := make([]worker.Resources, len(machines))
	for i, machine := range machines {
		available[i] = machine.Available()
	}
	drained := 0
	for i, machine := range machines {
		if drained > len(machines)/maxDrainedDivisor || machine.UtilizationBucket() > maxConsolidatedBucket {
			return
		}
		if freeCPUs < machine.CPUs || s.prepaidTime(now, machine.ID) > 0 {
			continue
		}
		switch {
		case len(machine.Attempts) == 0:
			if now.Sub(machine.IdleSince) > s.options.IdleTimeout/2 {
				freeCPUs -= machine.CPUs
				machine.DrainReason = worker.DrainConsolidated
			}
		case s.isMovable(now, machine) && fitOnOthers(machine, machines[i+1:], available[i+1:]):
			freeCPUs -= machine.CPUs
			drained++
			s.drain(now, machine)
		}
	}
}

// consolidationCandidates returns the machines in use, the emptiest first, and how many of their CPUs are not needed. It returns
// nil and 0 if all are needed.
func (s *Scaler) consolidationCandidates(now time.Time) (machines []*worker.Machine, freeCPUs float64) {
	for _, machine := range s.workers.MachinesWithCapacity() {
		if machine.DrainReason == worker.NotDraining && machine.Reconciled && !s.workers.IsLeaseExpired(now, machine) {
			machines = append(machines, machine)
			freeCPUs += (1-freeCPUShare)*machine.CPUs - machine.UsedCPUs
		}
	}
	order := s.placer.Order(now)
	for i, tasks := range s.placer.StartableTasks(order) {
		freeCPUs -= float64(tasks) * order[i].Job.CPUs
	}
	if freeCPUs <= 0 {
		return nil, 0
	}
	slices.SortStableFunc(machines, func(a, b *worker.Machine) int {
		if placement.IsFuller(b, a) {
			return -1
		}
		return 1
	})
	return machines, freeCPUs
}

// isMovable reports whether all tasks on the machine can be moved and the move saves more than it costs.
func (s *Scaler) isMovable(now time.Time, machine *worker.Machine) bool {
	var untilEmpty time.Duration // how long the tasks would stay without a move
	cost := 0.0                  // CPU seconds that the move leaves unused
	for _, attempt := range machine.Attempts {
		if !attempt.CanBePreempted(now) || now.Sub(attempt.AssignedAt) < minRunBeforeMove {
			return false
		}
		job := attempt.Job
		runTime := s.estimator.TaskRunTime(job)
		untilEmpty = max(untilEmpty, runTime-now.Sub(attempt.RunningSince), runTime/4)
		interruption := job.CheckpointDuration + machine.ImageCache.FetchTime(job.ImageGB) + s.platform.HeartbeatInterval
		cost += job.CPUs * interruption.Seconds()
	}
	return untilEmpty.Seconds()*machine.CPUs > moveGain*cost
}

// fitOnOthers reports whether all tasks of the machine fit on others. It tries the last of the others first and subtracts the
// tasks from what is available there. If not all fit, available stays unchanged.
func fitOnOthers(machine *worker.Machine, others []*worker.Machine, available []worker.Resources) bool {
	type move struct {
		target int
		job    *jobs.Job
	}
	var moves []move
	for _, attempt := range machine.Attempts {
		target := findTarget(attempt, others, available)
		if target < 0 {
			for _, m := range moves {
				available[m.target] = available[m.target].AfterPlacing(m.job, -1)
			}
			return false
		}
		available[target] = available[target].AfterPlacing(attempt.Job, 1)
		moves = append(moves, move{target: target, job: attempt.Job})
	}
	return true
}

// findTarget returns the index of the last machine that can take the task of the attempt, or -1 if none can. A task of a job with zone
// rules stays in its zone.
func findTarget(attempt *jobs.Attempt, machines []*worker.Machine, available []worker.Resources) int {
	job := attempt.Job
	for i, machine := range slices.Backward(machines) {
		if placement.HasZoneRules(job) && machine.Zone != attempt.Zone {
			continue
		}
		if available[i].TasksThatFit(job) > 0 && placement.IsEligible(job, machine) && machine.ReservedFor == nil {
			return i
		}
	}
	return -1
}

// drain stops all tasks of a machine after a checkpoint. The machine is terminated once they have stopped.
func (s *Scaler) drain(now time.Time, machine *worker.Machine) {
	machine.DrainReason = worker.DrainConsolidated
	s.log.Info("machine drained", logkeys.Machine, machine.ID, logkeys.Tasks, len(machine.Attempts))
	var commands []workerapi.Command
	for _, attempt := range machine.Attempts {
		attempt.StopRequestedAt = now
		commands = append(commands, workerapi.KillAfterCheckpoint(attempt.Task.String(), attempt.Number, attempt.Job.CheckpointDuration))
	}
	worker.SendCommands(s.outbox, s.fencingToken, machine, commands)
}
