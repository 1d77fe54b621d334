package placement

import (
	"math"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
)

// candidate is a job of the order that has tasks to start, with the number of its shape. A queue of
// thousands has a few shapes only: what is found for one on a machine holds for the others. Without
// it each report of a machine with room that nobody may take walked the machines for every job, which
// was the first limit at 5,000 machines.
type candidate struct {
	queue.Entry
	shapeNumber int
}

// shapeCheck is what is known of a shape on the machine whose starts are chosen.
type shapeCheck struct {
	isRejected    bool // it has no room for any task of it, or may not have one
	isFullerKnown bool
	fullerTasks   int // tasks that machines that are fuller have room for, once known
}

// shapeNumber numbers the shape of a job of the order.
func (p *Placer) shapeNumber(job *jobs.Job) int {
	key := shapeOf(job)
	number, ok := p.shapes[key]
	if !ok {
		number = len(p.shapes)
		p.shapes[key] = number
	}
	return number
}

// resetShapeChecks forgets what was known of another machine.
func (p *Placer) resetShapeChecks() {
	if cap(p.shapeChecks) < len(p.shapes) {
		p.shapeChecks = make([]shapeCheck, len(p.shapes))
	}
	p.shapeChecks = p.shapeChecks[:len(p.shapes)]
	clear(p.shapeChecks)
}

// forgetFuller is told that the machine has got tasks: fewer others are fuller now, and what was refused
// is refused still.
func (p *Placer) forgetFuller() {
	for i := range p.shapeChecks {
		p.shapeChecks[i].isFullerKnown = false
	}
}

// rejects reports that no task of the job may start on the machine for lack of room or by its kind.
func (p *Placer) rejects(machine *worker.Machine, entry *candidate) bool {
	check := &p.shapeChecks[entry.shapeNumber]
	check.isRejected = check.isRejected || machine.TasksThatFit(entry.Job) == 0 || !KindAllowed(entry.Job, MachineKind(machine))
	return check.isRejected
}

// tasksLeftToFuller is how many of the job's waiting tasks are left to fuller machines.
func (p *Placer) tasksLeftToFuller(now time.Time, entry *candidate, machine *worker.Machine) int {
	job := entry.Job
	if job.SingleZone || job.SpreadAcrossZones || job.FailureCount > 0 || p.reservingJobs[job] {
		return p.tasksOnFuller(now, job, machine, job.WaitingTasks(), maxMachinesExamined) // not as others of its shape
	}
	check := &p.shapeChecks[entry.shapeNumber]
	if !check.isFullerKnown {
		probe := *job
		probe.Tasks = jobs.MaxTasks // as others of the shape may have
		check.isFullerKnown, check.fullerTasks = true, p.tasksOnFuller(now, &probe, machine, math.MaxInt, maxMachinesExamined)
	}
	return min(check.fullerTasks, job.WaitingTasks())
}
