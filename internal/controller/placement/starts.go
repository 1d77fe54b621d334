package placement

import (
	"time"

	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"
)

// StartTasks picks what the machine starts now.
func (p *Placer) StartTasks(now time.Time, machine *worker.Machine, maxStarts int) []workerapi.Command {
	if !machine.Reconciled || !machine.Registered || machine.DrainReason != worker.NotDraining || machine.CPUs+machine.MemoryGB == 0 ||
		now.Before(machine.StartsNotBefore) {
		return nil
	}
	p.refreshOrder(now)
	commands := p.gangStarts(now, machine, maxStarts)
	p.resetShapeChecks()
	full := func() bool {
		return len(commands) >= maxStarts || machine.CPUs-machine.UsedCPUs < p.smallestTaskCPUs-1e-6
	}
	for rest := p.candidates; len(rest) > 0 && !full(); {
		sameRank := 1
		for sameRank < len(rest) && rest[sameRank].Rank == rest[0].Rank {
			sameRank++
		}
		// Among jobs of one rank those go first whose image is here.
		for _, withImage := range [...]bool{true, false} {
			for i := range rest[:sameRank] {
				if full() {
					break
				}
				entry := &rest[i]
				if p.rejects(machine, entry) {
					continue // before anything is looked up: most of a long queue
				}
				if p.isImageNear(now, entry.Job, machine) == withImage {
					before := len(commands)
					if commands = p.startTasksOf(now, machine, entry, commands, maxStarts); len(commands) > before {
						p.forgetFuller()
					}
				} else if withImage && entry.Job.PassedOverSince.IsZero() {
					entry.Job.PassedOverSince = now
				}
			}
		}
		rest = rest[sameRank:]
	}
	if len(commands) > 0 {
		machine.IdleSince = now
	}
	return commands
}

// isImageNear reports whether the job's tasks lose nothing by starting on the machine: their image
// is there, or they have waited for such a machine as long as fetching takes.
func (p *Placer) isImageNear(now time.Time, job *jobs.Job, machine *worker.Machine) bool {
	return machine.ImageCache.Has(job.Image) ||
		!job.PassedOverSince.IsZero() && now.Sub(job.PassedOverSince) >= machine.ImageCache.FetchTime(job.ImageGB)
}

// startTasksOf starts as many tasks of one job on the machine as there is room for.
func (p *Placer) startTasksOf(
	now time.Time,
	machine *worker.Machine,
	entry *candidate,
	commands []workerapi.Command,
	maxStarts int,
) []workerapi.Command {
	job := entry.Job
	count := min(machine.TasksThatFit(job), job.WaitingTasks(), maxStarts-len(commands))
	if count <= 0 || !job.IsSchedulable() || !p.canStart(job) || now.Before(job.NotBefore) || !IsEligible(job, machine) {
		return commands
	}
	if reservedFor := machine.ReservedFor; reservedFor != nil && reservedFor != job &&
		(!entry.MayReserve || p.agedFirst[reservedFor] && !(entry.AgedFirst && ageing.IsOlder(job, reservedFor))) {
		// What is held for the oldest is not taken bit by bit by those that are planned.
		return commands
	}
	if entry.MaxTasks > 0 {
		count = min(count, entry.MaxTasks-len(job.ActiveAttempts)) // of a beginning, until the next order
	}
	count = min(count, TasksAllowedInZone(job, machine.Zone), p.tasksAllowedByQuota(job))
	if count > 0 {
		count = min(count, job.WaitingTasks()-p.tasksLeftToFuller(now, entry, machine))
	}
	for ; count > 0; count-- {
		task := job.TakeNextTask()
		if task < 0 {
			break
		}
		attempt := p.newAttempt(now, machine, job, task, p.nextAttemptNumber())
		commands = append(commands, workerapi.Start(attempt.Task.String(), attempt.Number))
		job.PassedOverSince = time.Time{}
	}
	return commands
}

// gangStarts are the starts of gangs that have waited for the machine's report.
func (p *Placer) gangStarts(now time.Time, machine *worker.Machine, maxStarts int) []workerapi.Command {
	var commands []workerapi.Command
	if len(p.pendingGangStarts) == 0 {
		return nil
	}
	for _, attempt := range machine.Attempts {
		if attempt.IsUnsent && !attempt.IsOrphan && attempt.Job.IsSchedulable() && len(commands) < maxStarts {
			attempt.IsUnsent, attempt.AssignedAt = false, now
			delete(p.pendingGangStarts, attempt)
			commands = append(commands, workerapi.Start(attempt.Task.String(), attempt.Number))
		}
	}
	return commands
}

// nextAttemptNumber is a new attempt number. It derives from the token, so no other leader ever
// uses it.
func (p *Placer) nextAttemptNumber() uint64 {
	p.attemptCounter++
	return p.fencingToken<<24 | p.attemptCounter
}

// newAttempt records a new attempt on the machine.
func (p *Placer) newAttempt(now time.Time, machine *worker.Machine, job *jobs.Job, task int, number uint64) *jobs.Attempt {
	attempt := &jobs.Attempt{
		Task:       jobs.TaskID{JobID: job.ID, Index: task},
		Number:     number,
		MachineID:  machine.ID,
		Zone:       machine.Zone,
		Job:        job,
		AssignedAt: now,
	}
	p.workers.Assign(machine, attempt)
	return attempt
}

// maxMachinesExamined bounds the machines that are looked at for one job of one report: the cost of
// a report must not grow with the fleet. Packing loses little by it: where so many fuller
// machines have no room for the job, there is little room at all.
const maxMachinesExamined = 64

// tasksOnFuller is how many tasks of the job fit on machines that are fuller than m and report
// soon: those are left to them. More than it wants are not counted.
func (p *Placer) tasksOnFuller(now time.Time, job *jobs.Job, machine *worker.Machine, want, maxMachines int) int {
	tasks := 0
	highestLevel := worker.BucketCount
	if job.CPUs > 0 {
		highestLevel-- // on the last level no CPU is free
	}
	for level := highestLevel; level >= machine.UtilizationBucket(); level-- {
		for _, other := range p.workers.MachinesInBucket(level) {
			if maxMachines--; maxMachines < 0 || tasks >= want {
				return min(tasks, want)
			}
			if other != machine && other.Reconciled && other.Registered && now.Sub(other.LastContactAt) < 2*p.platform.HeartbeatInterval && !now.Before(other.StartsNotBefore) &&
				(level > machine.UtilizationBucket() || IsFuller(other, machine)) && IsEligible(job, other) &&
				(other.ReservedFor == nil || other.ReservedFor == job) {
				tasks += min(other.TasksThatFit(job), TasksAllowedInZone(job, other.Zone))
			}
		}
	}
	return min(tasks, want)
}
