// Package worker is the leader's view of the machines of its workers. A Registry owns the machines, the attempts on them and the
// usage of each team. A Registry is created at each election and kept in memory only. The heartbeat handler stores a record of each
// machine that may hold tasks in the state service. Only the event loop may call the package.
//
// An attempt whose start command was sent leaves the Registry only when it has certainly ended: it has exited or is missing in a newer
// heartbeat, the deletion of its machine was confirmed, or the worker's lease has expired with its margin. The package does not decide
// which tasks start. Only SendCommands sends anything. Design notes: docs/architecture.md, docs/design/reachability.md.
package worker

import (
	"log/slog"
	"sort"
	"time"

	"gullrudder/internal/controller/clockdrift"
	"gullrudder/internal/controller/jobs"
)

// leaseMargin allows for delays that are not measured, such as the time in which tasks end after the worker's lease has expired.
const leaseMargin = 500 * time.Millisecond

// LeaseExpiry returns how long a worker's tasks may still run after the leader's last response with status 200. lease is the duration
// of the worker's lease, which begins when the worker sends the heartbeat, before the response. The result allows for a slow clock of
// the worker.
func LeaseExpiry(lease time.Duration) time.Duration {
	return lease + clockdrift.Bound(lease) + leaseMargin
}

// Registry has all machines that the leader knows. Machines are added by GetOrAdd and removed by Remove only.
type Registry struct {
	Machines       map[string]*Machine         // by ID
	UsageByTeam    map[string]*Usage           // by name of the team
	buckets        [BucketCount + 1][]*Machine // MachinesWithCapacity by utilization; index 0 is not used
	reconcileCount uint64                      // number of reconciled heartbeats; see jobs.Attempt.LastSeenReconcile
	leaseExpiry    time.Duration
	log            *slog.Logger
}

// NewRegistry returns an empty Registry. leaseExpiry is the result of the function LeaseExpiry.
func NewRegistry(leaseExpiry time.Duration, log *slog.Logger) *Registry {
	return &Registry{Machines: map[string]*Machine{}, UsageByTeam: map[string]*Usage{}, leaseExpiry: leaseExpiry, log: log}
}

// LeaseExpiry returns the time after Contact.LeaseRenewedAt at which the lease of a machine has certainly expired.
func (r *Registry) LeaseExpiry() time.Duration { return r.leaseExpiry }

// GetOrAdd returns the machine with this ID. It adds one if there is none.
func (r *Registry) GetOrAdd(id string) *Machine {
	machine := r.Machines[id]
	if machine == nil {
		machine = &Machine{ID: id, Attempts: map[jobs.TaskID]*jobs.Attempt{}}
		machine.FailedJobs = map[string]bool{}
		r.Machines[id] = machine
	}
	return machine
}

// SortedMachines returns all machines, sorted by ID.
func (r *Registry) SortedMachines() []*Machine {
	machines := make([]*Machine, 0, len(r.Machines))
	for _, machine := range r.Machines {
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].ID < machines[j].ID })
	return machines
}

// SetCapacity sets the resources of a machine, the size of its image cache and the rate in GB/s at which it fetches images.
func (r *Registry) SetCapacity(machine *Machine, capacity Resources, cacheGB, fetchRate float64) {
	machine.CPUs, machine.GPUs, machine.MemoryGB = capacity.CPUs, capacity.GPUs, capacity.MemoryGB
	machine.ImageCache.SizeGB, machine.ImageCache.FetchRate = cacheGB, fetchRate
	r.updateBucket(machine)
}

// Remove drops a machine that no longer exists. The caller must have released its attempts (ReleaseAll).
func (r *Registry) Remove(machine *Machine) {
	machine.HasSentHeartbeat = false
	r.updateBucket(machine)
	delete(r.Machines, machine.ID)
}

// TeamUsage returns the usage of a team, which is never nil. The Registry updates it with each attempt. The caller must not change it.
func (r *Registry) TeamUsage(name string) *Usage {
	usage := r.UsageByTeam[name]
	if usage == nil {
		usage = &Usage{}
		r.UsageByTeam[name] = usage
	}
	return usage
}

// Assign records an attempt on a machine. The attempt uses resources of the machine and of its team's quota until it is released.
func (r *Registry) Assign(machine *Machine, attempt *jobs.Attempt) {
	machine.addAttempt(attempt)
	r.updateBucket(machine)
	if attempt.Job == nil {
		return
	}
	usage := r.TeamUsage(attempt.Job.Team)
	usage.CPUs += attempt.Job.CPUs
	usage.GPUs += attempt.Job.GPUs
	if !attempt.IsOrphan {
		attempt.Job.AddAttempt(attempt)
	}
}

// Unassign reverts Assign for an attempt whose start command was not sent.
func (r *Registry) Unassign(machine *Machine, attempt *jobs.Attempt) { r.release(machine, attempt) }

// ReleaseAll releases all attempts of a machine on which none can be left. It returns them with ReasonLost.
func (r *Registry) ReleaseAll(machine *Machine) []EndedAttempt {
	var ended []EndedAttempt
	for _, attempt := range machine.Attempts {
		ended = append(ended, r.releaseLost(machine, attempt))
	}
	return ended
}

// release removes an attempt from its machine, its job and the usage of its team.
func (r *Registry) release(machine *Machine, attempt *jobs.Attempt) {
	machine.removeAttempt(attempt)
	r.updateBucket(machine)
	if attempt.Job == nil {
		return
	}
	usage := r.TeamUsage(attempt.Job.Team)
	usage.CPUs -= attempt.Job.CPUs
	usage.GPUs -= attempt.Job.GPUs
	attempt.Job.RemoveAttempt(attempt)
}

// IsLeaseExpired reports whether the worker's lease has certainly expired, so that no task is left on the machine.
func (r *Registry) IsLeaseExpired(now time.Time, machine *Machine) bool {
	return now.Sub(machine.LeaseRenewedAt) > r.leaseExpiry
}
