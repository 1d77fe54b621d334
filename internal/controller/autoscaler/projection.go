package autoscaler

import (
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
)

// capacityProjection is the room of the machines that are there or booting.
type capacityProjection struct {
	totalCPUs        float64
	slots            []slot // those on which something may still fit
	byKind           map[cloud.InstanceKind]*kindCapacity
	smallestTaskCPUs float64 // CPUs of the smallest task that waits
}

type slot struct {
	kind cloud.InstanceKind
	free worker.Resources
}

type kindCapacity struct {
	machineCapacity worker.Resources
	count           int
}

func (d *Scaler) projectCapacity() *capacityProjection {
	f := &capacityProjection{byKind: map[cloud.InstanceKind]*kindCapacity{}, smallestTaskCPUs: d.placer.SmallestTaskCPUs()}
	for i := range d.instances {
		h, t, m := d.instances[i].instance, d.instances[i].machineType, d.instances[i].machine
		if t == nil || h.Deleting || h.State == cloud.StateFailed {
			continue
		}
		switch {
		case d.zones.IsUnavailable(h.Kind.Zone):
			// What is needed instead is rented at once, not once its machines are given up.
		case m == nil:
			f.add(h.Kind, t)
		case d.instances[i].leaseExpired || m.DrainReason != worker.NotDraining:
			// Also one that an earlier leader had: three hundred that had died with it were
			// taken for booting once, for a minute and a half.
		case !m.HasReported:
			f.add(h.Kind, t) // it has said nothing yet: taken for full
			f.slots[len(f.slots)-1].free = worker.Resources{}
		default:
			f.add(h.Kind, t)
			f.slots[len(f.slots)-1].free = m.Available()
		}
	}
	return f
}

func (f *capacityProjection) add(k cloud.InstanceKind, t *cloud.MachineType) {
	f.totalCPUs += t.CPUs
	f.slots = append(f.slots, slot{k, placement.TypeResources(t)})
	r := f.byKind[k]
	if r == nil {
		r = &kindCapacity{machineCapacity: placement.TypeResources(t)}
		f.byKind[k] = r
	}
	r.count++
}

func (f *capacityProjection) reserve(i int, j *jobs.Job, count int) int {
	f.slots[i].free = f.slots[i].free.AfterPlacing(j, count)
	return count
}

// fill takes room for up to want tasks of the job and returns how many found some. What is
// full is dropped on the way, so that a fleet under load is walked only once.
func (f *capacityProjection) fill(job *jobs.Job, want int) int {
	found, left := 0, 0
	for i := range f.slots {
		if found >= want {
			if left == i {
				return found
			}
			left += copy(f.slots[left:], f.slots[i:])
			f.slots = f.slots[:left]
			return found
		}
		if fit := f.slots[i].free.TasksThatFit(job); fit > 0 && placement.KindAllowed(job, f.slots[i].kind) {
			found += f.reserve(i, job, min(fit, want-found))
		}
		if f.slots[i].free.CPUs >= f.smallestTaskCPUs-1e-6 {
			f.slots[left] = f.slots[i]
			left++
		}
	}
	f.slots = f.slots[:left]
	return found
}

// requiredTasks is how many of its tasks must have a place at the same time for a job ever to
// get anywhere.
func requiredTasks(j *jobs.Job) int {
	if j.IsGang || j.IsService {
		return j.Tasks
	}
	return 1
}

// taskCapacity is how many tasks of the job the machines would hold if nothing else ran.
// However small the work at hand: what has no place at all gets one.
func (f *capacityProjection) taskCapacity(j *jobs.Job) int {
	n := 0
	for k, r := range f.byKind {
		if placement.KindAllowed(j, k) {
			n += r.count * r.machineCapacity.TasksThatFit(j)
		}
	}
	return n
}
