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
	// freeCPUShare is the share of the CPUs that stays free for jobs that arrive.
	freeCPUShare = 0.1
	// minRunBeforeMove is how long a task runs on a machine before it may be moved.
	minRunBeforeMove = 30 * time.Second
	// moveGain is how many times its cost a move must save. The cost is that of the CPUs which are unused while the task
	// checkpoints and its image is fetched.
	moveGain = 3
	// maxDrainedDivisor is the part of the machines that are drained at a time: tasks that are moved have to start again.
	maxDrainedDivisor = 10
	// maxConsolidatedBucket is the utilization bucket beyond which a machine is not drained.
	maxConsolidatedBucket = worker.BucketCount / 2
)

// consolidate drains machines that are hardly used, if fuller ones have capacity for their tasks and the cluster stays large enough
// for the waiting tasks and some arrivals. Without this a few long tasks keep many machines. Only tasks with checkpoints are moved.
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

// consolidationCandidates returns the machines in use, the emptiest first, and the CPUs that can be spared of them.
func (s *Scaler) consolidationCandidates(now time.Time) (machines []*worker.Machine, freeCPUs float64) {
	for _, machine := range s.workers.ReportingMachines() {
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

// isMovable reports whether all tasks on the machine can be moved and doing so saves more than it costs.
func (s *Scaler) isMovable(now time.Time, machine *worker.Machine) bool {
	var untilEmpty time.Duration // without a move
	cost := 0.0                  // CPU seconds that are not used
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

// fitOnOthers places all tasks of the machine on what is available on others, the last ones first. If not all fit, it changes
// nothing.
func fitOnOthers(machine *worker.Machine, others []*worker.Machine, available []worker.Resources) bool {
	type move struct {
		target int
		job    *jobs.Job
	}
	var moves []move
	for _, attempt := range machine.Attempts {
		target := findTarget(attempt.Job, others, available)
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

// findTarget returns the index of the last machine that can take a task of the job, -1 if none can.
func findTarget(job *jobs.Job, machines []*worker.Machine, available []worker.Resources) int {
	for i, machine := range slices.Backward(machines) {
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
		attempt.StopSentAt = now
		commands = append(commands, workerapi.Kill(attempt.Task.String(), attempt.Number, attempt.Job.CheckpointDuration.Seconds()))
	}
	worker.SendCommands(s.outbox, s.fencingToken, machine, commands)
}
