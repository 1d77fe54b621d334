package placement

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
)

// reservations tracks the machines whose available resources are reserved for a job (worker.Machine.ReservedFor).
type reservations struct {
	machines []*worker.Machine
	jobs     map[*jobs.Job]bool // jobs with reserved machines
}

func newReservations() reservations { return reservations{jobs: map[*jobs.Job]bool{}} }

// reserve reserves the available resources of a machine for a job, in place of an earlier reservation of the machine.
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

// reservationPass is the state of one update of the reservations.
type reservationPass struct {
	unreserved []*worker.Machine // machines with the most available CPUs first; nil until needed
	fits       shapeFits
}

// updateReservations replaces all reservations. In the order of the queue, it reserves machines for the jobs that may
// reserve and do not fit anywhere yet, starting with the machines that have the most available CPUs. Without reservations,
// smaller tasks would keep taking these resources bit by bit.
func (p *Placer) updateReservations(now time.Time) {
	p.reservations.clear()
	pass := reservationPass{fits: newShapeFits(len(p.order.shapes))}
	for i := range p.order.entries {
		entry := &p.order.entries[i]
		tasks := p.tasksToReserve(now, entry)
		if tasks <= 0 {
			continue
		}
		if pass.unreserved == nil {
			pass.unreserved = p.machinesByAvailableCPUs()
		}
		if entry.Job.IsGang {
			tasks -= p.reserveForGang(entry.Job, pass.unreserved, tasks)
		}
		if !p.reserveFor(&pass, entry.Job, p.order.shapeNumbers[i], tasks) {
			return
		}
	}
}

// tasksToReserve returns the number of the job's tasks for which machines may be reserved; zero or less means none. Tasks
// that fit on available resources are not subtracted yet.
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

// reserveFor reserves one machine for each of the tasks that fits on none of the unreserved machines. It returns false once
// no unreserved machine is left.
func (p *Placer) reserveFor(pass *reservationPass, job *jobs.Job, shapeNumber, tasks int) bool {
	if tasks > 0 {
		tasks -= pass.fits.fittingTasks(job, shapeNumber, pass.unreserved, tasks)
	}
	if tasks <= 0 || pass.fits.isExhausted(shapeNumber) {
		return true
	}
	remaining := pass.unreserved[:0]
	reserved := 0
	for _, machine := range pass.unreserved {
		if reserved < tasks && isReservable(machine, job) {
			p.reservations.reserve(machine, job)
			reserved++
		}
		if machine.ReservedFor == nil {
			remaining = append(remaining, machine)
		}
	}
	pass.fits.recordReservation(job, shapeNumber, reserved, len(pass.unreserved)-len(remaining))
	pass.unreserved = remaining
	return len(pass.unreserved) > 0
}

// isReservable reports whether the machine can be reserved for a task of the job: it is eligible and not reserved yet, its zone is allowed,
// it is too full for a task now, and a task will fit once the other tasks have ended, except for the replicas of services.
func isReservable(machine *worker.Machine, job *jobs.Job) bool {
	return machine.ReservedFor == nil && IsEligible(job, machine) && machine.TasksThatFit(job) == 0 &&
		TasksAllowedInZone(job, machine.Zone) > 0 && machine.TasksThatFitBesideServices(job) > 0
}

// reserveForGang reserves machines for a waiting gang by the number of tasks that they hold beside services. It returns the
// number of tasks that the reserved machines hold.
func (p *Placer) reserveForGang(job *jobs.Job, machines []*worker.Machine, tasks int) int {
	covered := 0
	for _, machine := range machines {
		if covered >= tasks {
			break
		}
		if machine.ReservedFor != nil || !IsEligible(job, machine) {
			continue
		}
		if fitting := machine.TasksThatFitBesideServices(job); fitting > 0 {
			p.reservations.reserve(machine, job)
			covered += fitting
		}
	}
	return covered
}

// machinesByAvailableCPUs returns the machines with known capacity, those with the most available CPUs first.
func (p *Placer) machinesByAvailableCPUs() []*worker.Machine {
	machines := p.workers.MachinesWithCapacity()
	slices.SortFunc(machines, func(a, b *worker.Machine) int {
		return cmp.Or(cmp.Compare(b.CPUs-b.UsedCPUs, a.CPUs-a.UsedCPUs), cmp.Compare(b.CPUs, a.CPUs), compareIDs(a, b))
	})
	return machines
}

func compareIDs(a, b *worker.Machine) int { return cmp.Compare(a.ID, b.ID) }
