package place

import (
	"math"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
)

// candidate is a job of the order that has tasks to start, with the number of its shape. A queue of
// thousands has a few shapes only: what is found for one on a machine holds for the others. Without
// it each report of a machine with room that nobody may take walked the machines for every job, which
// was the first limit at 5,000 machines.
type candidate struct {
	plan.Entry
	shape int
}

// look is what is known of a shape on the machine whose starts are chosen.
type look struct {
	refused bool // it has no room for any task of it, or may not have one
	known   bool
	fuller  int // tasks that machines that are fuller have room for, once known
}

// shapeOf numbers the shape of a job of the order.
func (p *Placer) shapeOf(j *jobs.Job) int {
	key := shapeOf(j)
	n, ok := p.shapes[key]
	if !ok {
		n = len(p.shapes)
		p.shapes[key] = n
	}
	return n
}

// lookAnew forgets what was known of another machine.
func (p *Placer) lookAnew() {
	if cap(p.looks) < len(p.shapes) {
		p.looks = make([]look, len(p.shapes))
	}
	p.looks = p.looks[:len(p.shapes)]
	clear(p.looks)
}

// filled is told that the machine has got tasks: fewer others are fuller now, and what was refused
// is refused still.
func (p *Placer) filled() {
	for i := range p.looks {
		p.looks[i].known = false
	}
}

// refuses reports that no task of the job may start on the machine for lack of room or by its kind.
func (p *Placer) refuses(m *workers.Machine, e *candidate) bool {
	l := &p.looks[e.shape]
	l.refused = l.refused || m.TasksThatFit(e.Job) == 0 || !KindAllowed(e.Job, Kind(m))
	return l.refused
}

// elsewhere is how many of the job's waiting tasks are left to fuller machines.
func (p *Placer) elsewhere(now time.Time, e *candidate, m *workers.Machine) int {
	j := e.Job
	if j.OneZone || j.Spread || j.Errors > 0 || p.holding[j] {
		return p.fuller(now, j, m, j.Waiting(), mostLooked) // not as others of its shape
	}
	l := &p.looks[e.shape]
	if !l.known {
		probe := *j
		probe.Tasks = jobs.MaxTasks // as others of the shape may have
		l.known, l.fuller = true, p.fuller(now, &probe, m, math.MaxInt, mostLooked)
	}
	return min(l.fuller, j.Waiting())
}
