package rental

import (
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/workers"
)

// forecast is the room of the machines that are there or booting.
type forecast struct {
	cpus  float64
	open  []slot // those on which something may still fit
	kinds map[fleet.Kind]*kindRoom
	least float64 // CPUs of the smallest task that waits
}

type slot struct {
	kind fleet.Kind
	free workers.Resources
}

type kindRoom struct {
	size  workers.Resources
	count int
}

func (d *Desk) forecast() *forecast {
	f := &forecast{kinds: map[fleet.Kind]*kindRoom{}, least: d.placer.SmallestTaskCPUs()}
	for i := range d.held {
		h, t, m := d.held[i].host, d.held[i].typ, d.held[i].m
		if t == nil || h.Deleting || h.State == fleet.Failed {
			continue
		}
		switch {
		case d.zones.Away(h.Kind.Zone):
			// What is needed instead is rented at once, not once its machines are given up.
		case m == nil:
			f.add(h.Kind, t)
		case d.held[i].expired || m.DrainReason != workers.NotDraining:
			// Also one that an earlier leader had: three hundred that had died with it were
			// taken for booting once, for a minute and a half.
		case !m.HasReported:
			f.add(h.Kind, t) // it has said nothing yet: taken for full
			f.open[len(f.open)-1].free = workers.Resources{}
		default:
			f.add(h.Kind, t)
			f.open[len(f.open)-1].free = m.Available()
		}
	}
	return f
}

func (f *forecast) add(k fleet.Kind, t *fleet.Type) {
	f.cpus += t.CPUs
	f.open = append(f.open, slot{k, place.TypeResources(t)})
	r := f.kinds[k]
	if r == nil {
		r = &kindRoom{size: place.TypeResources(t)}
		f.kinds[k] = r
	}
	r.count++
}

func (f *forecast) take(i int, j *jobs.Job, count int) int {
	f.open[i].free = f.open[i].free.AfterPlacing(j, count)
	return count
}

// lay takes room for up to want tasks of the job and returns how many found some. What is
// full is dropped on the way, so that a fleet under load is walked only once.
func (f *forecast) lay(j *jobs.Job, want int) int {
	found, left := 0, 0
	for i := range f.open {
		if found >= want {
			if left == i {
				return found
			}
			left += copy(f.open[left:], f.open[i:])
			f.open = f.open[:left]
			return found
		}
		if fit := f.open[i].free.TasksThatFit(j); fit > 0 && place.KindAllowed(j, f.open[i].kind) {
			found += f.take(i, j, min(fit, want-found))
		}
		if f.open[i].free.CPUs >= f.least-1e-6 {
			f.open[left] = f.open[i]
			left++
		}
	}
	f.open = f.open[:left]
	return found
}

// needed is how many of its tasks must have a place at the same time for a job ever to
// get anywhere.
func needed(j *jobs.Job) int {
	if j.IsGang || j.IsService {
		return j.Tasks
	}
	return 1
}

// capacity is how many tasks of the job the machines would hold if nothing else ran.
// However small the work at hand: what has no place at all gets one.
func (f *forecast) capacity(j *jobs.Job) int {
	n := 0
	for k, r := range f.kinds {
		if place.KindAllowed(j, k) {
			n += r.count * r.size.TasksThatFit(j)
		}
	}
	return n
}
