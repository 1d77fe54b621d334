package worker

import (
	"slices"

	"gullrudder/internal/units"
)

// BucketCount is the number of buckets, which group machines by CPU utilization. Machines in the last bucket have no CPUs available.
// The placer searches by bucket, so that its work for a heartbeat does not grow with the number of machines.
const BucketCount = 17

// MachinesInBucket returns the machines in a bucket, from 1 (emptiest) to BucketCount, in no particular order. The caller must
// not change or keep the slice.
func (r *Registry) MachinesInBucket(bucket int) []*Machine { return r.buckets[bucket] }

// MachinesWithCapacity returns the machines that have sent this leader a heartbeat and whose capacity is known, the emptiest buckets
// first. It includes machines whose lease has expired. The caller may change the slice.
func (r *Registry) MachinesWithCapacity() []*Machine { return slices.Concat(r.buckets[1:]...) }

// UtilizationBucket returns the bucket of a machine, or 0 if it is not in any.
func (m *Machine) UtilizationBucket() int { return m.bucket }

// bucketFor returns the bucket of the machine by its present utilization.
func bucketFor(machine *Machine) int {
	switch {
	case !machine.HasSentHeartbeat || machine.CPUs+machine.MemoryGB == 0:
		return 0
	case machine.CPUs-machine.UsedCPUs < units.ResourceTolerance:
		return BucketCount
	}
	return 1 + min(int(max(machine.UsedCPUs, 0)/machine.CPUs*(BucketCount-1)), BucketCount-2)
}

// updateBucket moves a machine into the bucket of its present utilization, in constant time: the last machine of the old bucket takes
// its position there.
func (r *Registry) updateBucket(machine *Machine) {
	bucket := bucketFor(machine)
	if bucket == machine.bucket {
		return
	}
	if machine.bucket > 0 {
		members := r.buckets[machine.bucket]
		last := members[len(members)-1]
		members[machine.bucketIndex], last.bucketIndex = last, machine.bucketIndex
		r.buckets[machine.bucket] = members[:len(members)-1]
	}
	machine.bucket = bucket
	if bucket > 0 {
		machine.bucketIndex = len(r.buckets[bucket])
		r.buckets[bucket] = append(r.buckets[bucket], machine)
	}
}
