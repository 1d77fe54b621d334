package placement

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
)

// reservations are the machines whose free resources are reserved for a job (worker.Machine.ReservedFor).
type reservations struct {
	machines []*worker.Machine
	jobs     map[*jobs.Job]bool // jobs that machines are reserved for
}

func newReservations() reservations { return reservations{jobs: map[*jobs.Job]bool{}} }

// reserve reserves the free resources of a machine for a job.
func (r *reservations) reserve(machine *worker.Machine, job *jobs.Job) {
	if machine.ReservedFor == nil {
		r.machines = append(r.machines, machine)
	}
	machine.ReservedFor = job
	r.jobs[job] = true
}

// clear ends all reservations.
func (r *reservations) clear() {
	for _, machine := range r.machines {
		machine.ReservedFor = nil
	}
	r.machines = r.machines[:0]
	clear(r.jobs)
}

// reservationPass is the state of one pass over the order.
type reservationPass struct {
	free []*worker.Machine // not reserved, the most free CPUs first; nil until it is needed
	fits shapeFits
}

// updateReservations reserves machines anew for the jobs that may reserve but fit nowhere yet, in their order and on the
// machines with the most free CPUs, so that smaller tasks do not take their free resources bit by bit.
func (p *Placer) updateReservations(now time.Time) {
	p.reservations.clear()
	pass := reservationPass{fits: newShapeFits(len(p.order.shapes))}
	for i := range p.order.entries {
		entry := &p.order.entries[i]
		tasks := p.tasksToReserve(now, entry)
		if tasks <= 0 {
			continue
		}
		if pass.free == nil {
			pass.free = p.machinesByFreeCPUs()
		}
		if entry.Job.IsGang {
			tasks -= p.reserveForGang(entry.Job, pass.free, tasks)
		}
		if !p.reserveFor(&pass, entry.Job, p.order.shapeNumbers[i], tasks) {
			return
		}
	}
}

// tasksToReserve is the number of the job's tasks for which machines may be reserved, besides those that have free
// resources for them; 0 or less: none.
func (p *Placer) tasksToReserve(now time.Time, entry *queue.Entry) int {
	job := entry.Job
	if !entry.MayReserve || job.WaitingTasks() == 0 || now.Before(job.NotBefore) {
		return 0
	}
	tasks := p.startableTasksOf(job)
	if entry.MaxTasks > 0 {
		tasks = min(tasks, entry.MaxTasks-len(job.ActiveAttempts))
	}
	if job.IsGang && tasks < job.WaitingTasks() {
		return 0
	}
	return tasks
}

// reserveFor reserves a machine for each of the tasks that fits on none of the free machines. It reports false once no
// machine is free any more.
func (p *Placer) reserveFor(pass *reservationPass, job *jobs.Job, shapeNumber, tasks int) bool {
	if tasks > 0 {
		tasks -= pass.fits.fittingTasks(job, shapeNumber, pass.free, tasks)
	}
	if tasks <= 0 || pass.fits.isExhausted(job, shapeNumber) {
		return true
	}
	unreserved := pass.free[:0]
	reserved := 0
	for _, machine := range pass.free {
		if reserved < tasks && couldHold(machine, job) {
			p.reservations.reserve(machine, job)
			reserved++
		}
		if machine.ReservedFor == nil {
			unreserved = append(unreserved, machine)
		}
	}
	pass.fits.recordReservation(job, shapeNumber, reserved, len(pass.free)-len(unreserved))
	pass.free = unreserved
	return len(pass.free) > 0
}

// couldHold reports whether the machine is too full for a task of the job now but could hold one when empty.
func couldHold(machine *worker.Machine, job *jobs.Job) bool {
	return machine.ReservedFor == nil && IsEligible(job, machine) && machine.TasksThatFit(job) == 0 &&
		machine.CPUs >= job.CPUs && machine.MemoryGB >= job.MemoryGB
}

// reserveForGang reserves machines for a waiting gang by what they hold when empty, and returns the number of tasks that
// this covers.
func (p *Placer) reserveForGang(job *jobs.Job, free []*worker.Machine, tasks int) int {
	covered := 0
	for _, machine := range free {
		if covered >= tasks {
			break
		}
		if machine.ReservedFor != nil || !IsEligible(job, machine) {
			continue
		}
		if fitting := machine.TasksThatFitWhenEmpty(job); fitting > 0 {
			p.reservations.reserve(machine, job)
			covered += fitting
		}
	}
	return covered
}

// machinesByFreeCPUs lists the machines that are up, those with the most free CPUs first.
func (p *Placer) machinesByFreeCPUs() []*worker.Machine {
	machines := p.workers.ReportingMachines()
	slices.SortFunc(machines, func(a, b *worker.Machine) int {
		return cmp.Or(cmp.Compare(b.CPUs-b.UsedCPUs, a.CPUs-a.UsedCPUs), cmp.Compare(b.CPUs, a.CPUs), compareIDs(a, b))
	})
	return machines
}

func compareIDs(a, b *worker.Machine) int { return cmp.Compare(a.ID, b.ID) }
