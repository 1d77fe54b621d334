package placement

import (
	"math"
	"time"

	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
	"gullrudder/internal/wire/workerapi"
)

// maxMachinesExamined bounds the fuller machines that are examined for one job in one heartbeat, so that the cost of a
// heartbeat does not grow with the cluster. Packing hardly suffers: if so many fuller machines have no resources for the
// job, few resources are available in the cluster.
const maxMachinesExamined = 64

// shapeCheck caches the results for tasks of one shape on the machine that StartTasks was called for.
type shapeCheck struct {
	isRejected      bool // no task fits, or the machine's kind is not allowed
	isFullerCounted bool
	tasksOnFuller   int // number of tasks that fit on fuller machines; valid if isFullerCounted
}

// startBatch collects the start commands for the response to one heartbeat.
type startBatch struct {
	now         time.Time
	machine     *worker.Machine
	maxCommands int
	commands    []workerapi.Command
}

// StartTasks returns up to maxStarts start commands for the response to the machine's heartbeat: first those of gangs that
// were placed on the machine, then those of waiting tasks, which it assigns to the machine. The result is nil if the machine
// may not start tasks now.
func (p *Placer) StartTasks(now time.Time, machine *worker.Machine, maxStarts int) []workerapi.Command {
	if !machine.Reconciled || !machine.Registered || machine.DrainReason != worker.NotDraining ||
		machine.CPUs+machine.MemoryGB == 0 || now.Before(machine.StartsNotBefore) {
		return nil
	}
	p.refreshOrder(now)
	batch := &startBatch{now: now, machine: machine, maxCommands: maxStarts, commands: p.gangStarts(now, machine, maxStarts)}
	p.resetShapeChecks()
	for rest := p.order.candidates; len(rest) > 0 && !p.isFull(batch); {
		count := countSameRank(rest)
		p.startSameRank(batch, rest[:count])
		rest = rest[count:]
	}
	if len(batch.commands) > 0 {
		machine.IdleSince = now
	}
	return batch.commands
}

// isFull reports whether no more starts are possible: the batch is full, or not even the smallest waiting task fits.
func (p *Placer) isFull(batch *startBatch) bool {
	machine := batch.machine
	return len(batch.commands) >= batch.maxCommands || machine.CPUs-machine.UsedCPUs < p.order.smallestTaskCPUs-units.ResourceTolerance
}

// countSameRank returns how many candidates at the start of the list have the rank of the first one.
func countSameRank(candidates []candidate) int {
	count := 1
	for count < len(candidates) && candidates[count].Rank == candidates[0].Rank {
		count++
	}
	return count
}

// startSameRank starts tasks of candidates of one rank: first of the jobs for which prefersMachine is true, then of the
// others.
func (p *Placer) startSameRank(batch *startBatch, candidates []candidate) {
	for _, withImage := range [...]bool{true, false} {
		for i := range candidates {
			if p.isFull(batch) {
				return
			}
			entry := &candidates[i]
			if p.rejects(batch.machine, entry) {
				continue // the most frequent case in a long queue
			}
			if prefersMachine(batch.now, entry.Job, batch.machine) == withImage {
				p.startTasksOf(batch, entry)
			} else if withImage && entry.Job.AwaitingImageSince.IsZero() {
				entry.Job.AwaitingImageSince = batch.now
			}
		}
	}
}

// prefersMachine reports whether the job's tasks start on the machine before those of other jobs of the same rank. Their
// image is cached on the machine, or they have waited for a machine with the image for as long as fetching it takes.
func prefersMachine(now time.Time, job *jobs.Job, machine *worker.Machine) bool {
	return machine.ImageCache.Has(job.Image) ||
		!job.AwaitingImageSince.IsZero() && now.Sub(job.AwaitingImageSince) >= machine.ImageCache.FetchTime(job.ImageGB)
}

// startTasksOf starts as many tasks of one job as fit on the machine and are allowed.
func (p *Placer) startTasksOf(batch *startBatch, entry *candidate) {
	job, started := entry.Job, len(batch.commands)
	for range p.tasksToStart(batch, entry) {
		task := job.TakeNextTask()
		if task < 0 {
			break
		}
		attempt := p.newAttempt(batch.now, batch.machine, job, task, p.nextAttemptNumber())
		batch.commands = append(batch.commands, workerapi.Start(attempt.Task.String(), attempt.Number))
		job.AwaitingImageSince = time.Time{}
	}
	if len(batch.commands) > started {
		p.invalidateFullerCounts()
	}
}

// tasksToStart returns how many of the job's tasks start on the machine now. Zero or less means none.
func (p *Placer) tasksToStart(batch *startBatch, entry *candidate) int {
	job, machine := entry.Job, batch.machine
	count := min(machine.TasksThatFit(job), job.WaitingTasks(), batch.maxCommands-len(batch.commands))
	if count <= 0 || !job.IsSchedulable() || !p.canStart(job) || batch.now.Before(job.NotBefore) || !IsEligible(job, machine) {
		return 0
	}
	if !p.mayUseReserved(machine, entry) {
		return 0
	}
	if entry.MaxTasks > 0 {
		count = min(count, entry.MaxTasks-len(job.ActiveAttempts)) // the maximum holds until the order is recomputed
	}
	count = min(count, TasksAllowedInZone(job, machine.Zone), p.tasksAllowedByQuota(job))
	if count > 0 {
		count = min(count, job.WaitingTasks()-p.tasksLeftToFuller(batch.now, entry, machine))
	}
	return count
}

// mayUseReserved reports whether the job may start on the machine despite a reservation for another job. This requires that
// the job may itself reserve machines. If the reservation is for an aged job that is served first, the job must also be an
// aged job that is served first, and older.
func (p *Placer) mayUseReserved(machine *worker.Machine, entry *candidate) bool {
	reservedFor := machine.ReservedFor
	if reservedFor == nil || reservedFor == entry.Job {
		return true
	}
	if !entry.MayReserve {
		return false
	}
	return !p.order.agedFirst[reservedFor] || entry.IsAgedFirst() && ageing.IsOlder(entry.Job, reservedFor)
}

// gangStarts returns the start commands of placed gangs that waited for the machine's heartbeat.
func (p *Placer) gangStarts(now time.Time, machine *worker.Machine, maxStarts int) []workerapi.Command {
	if len(p.pendingGangStarts) == 0 {
		return nil
	}
	var commands []workerapi.Command
	for _, attempt := range machine.Attempts {
		if attempt.IsUnsent && !attempt.IsOrphan && attempt.Job.IsSchedulable() && len(commands) < maxStarts {
			attempt.IsUnsent, attempt.AssignedAt = false, now
			delete(p.pendingGangStarts, attempt)
			commands = append(commands, workerapi.Start(attempt.Task.String(), attempt.Number))
		}
	}
	return commands
}

// resetShapeChecks clears the cache, whose results are for another machine.
func (p *Placer) resetShapeChecks() {
	shapes := len(p.order.shapes)
	if cap(p.shapeChecks) < shapes {
		p.shapeChecks = make([]shapeCheck, shapes)
	}
	p.shapeChecks = p.shapeChecks[:shapes]
	clear(p.shapeChecks)
}

// invalidateFullerCounts drops the cached counts after tasks were assigned to the machine: fewer other machines are fuller
// than it now. Cached rejections stay valid.
func (p *Placer) invalidateFullerCounts() {
	for i := range p.shapeChecks {
		p.shapeChecks[i].isFullerCounted = false
	}
}

// rejects reports whether no task of the job can start on the machine, because none fits or the machine's kind is not
// allowed.
func (p *Placer) rejects(machine *worker.Machine, entry *candidate) bool {
	check := &p.shapeChecks[entry.shapeNumber]
	check.isRejected = check.isRejected || machine.TasksThatFit(entry.Job) == 0 || !KindAllowed(entry.Job, MachineKind(machine))
	return check.isRejected
}

// tasksLeftToFuller returns how many of the job's waiting tasks are left to fuller machines.
func (p *Placer) tasksLeftToFuller(now time.Time, entry *candidate, machine *worker.Machine) int {
	job := entry.Job
	if !FitsAsShape(job) || p.reservations.jobs[job] {
		// The result for such a job may differ from that for other jobs of its shape.
		return p.tasksOnFuller(now, job, machine, job.WaitingTasks(), maxMachinesExamined)
	}
	check := &p.shapeChecks[entry.shapeNumber]
	if !check.isFullerCounted {
		check.isFullerCounted, check.tasksOnFuller = true, p.tasksOnFuller(now, representativeOf(job), machine, math.MaxInt, maxMachinesExamined)
	}
	return min(check.tasksOnFuller, job.WaitingTasks())
}

// tasksOnFuller returns how many of the job's tasks, up to maxTasks, fit on fuller machines that will send a heartbeat soon.
// It examines up to maxMachines machines. Those tasks are left to the fuller machines.
func (p *Placer) tasksOnFuller(now time.Time, job *jobs.Job, machine *worker.Machine, maxTasks, maxMachines int) int {
	tasks := 0
	highestBucket := worker.BucketCount
	if job.CPUs > 0 {
		highestBucket-- // machines in the last bucket have no available CPU
	}
	ownBucket := machine.UtilizationBucket()
	for bucket := highestBucket; bucket >= ownBucket; bucket-- {
		for _, other := range p.workers.MachinesInBucket(bucket) {
			if maxMachines--; maxMachines < 0 || tasks >= maxTasks {
				return min(tasks, maxTasks)
			}
			if other != machine && (bucket > ownBucket || IsFuller(other, machine)) && p.takesTasksSoon(now, job, other) {
				tasks += min(other.TasksThatFit(job), TasksAllowedInZone(job, other.Zone))
			}
		}
	}
	return min(tasks, maxTasks)
}

// takesTasksSoon reports whether the machine may start tasks of the job with its next heartbeat.
func (p *Placer) takesTasksSoon(now time.Time, job *jobs.Job, machine *worker.Machine) bool {
	return machine.Reconciled && machine.Registered && p.contactIsRecent(now, machine) && !now.Before(machine.StartsNotBefore) &&
		(machine.ReservedFor == nil || machine.ReservedFor == job) && IsEligible(job, machine)
}
