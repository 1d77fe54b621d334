package worker

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Machine is one worker's machine as the leader knows it.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	CPUs, GPUs, MemoryGB float64 // 0 until the type is known

	Incarnation, Sequence uint64
	HasReported           bool      // has reported to this leadership
	Reconciled            bool      // its tasks are known to this leadership
	LeaseRenewedAt        time.Time // when we last sent it a 200
	LastContactAt         time.Time // when it last lived for certain: a new report, or an answer to a question (set by reach)
	IsUnreachable         bool      // it reports, and seems to hear nothing of us (set by reach)
	Attempts              map[jobs.TaskID]*jobs.Attempt
	UsedCPUs              float64
	UsedGPUs              float64
	UsedMemoryGB          float64

	Registered      bool      // the ledger says that it may hold tasks
	Registering     bool      // that is on its way into the ledger
	ReclaimAt       time.Time // when the cloud takes it away; zero: no notice
	DrainReason     DrainReason
	IdleSince       time.Time
	StartsNotBefore time.Time       // no start before this, after a refusal for room
	FailedJobs      map[string]bool // jobs that ended here with an error
	ReservedFor     *jobs.Job       // the job that its free room is held for
	IsSentinel      bool            // kept, though silent, to tell of its zone's return
	ImageCache      ImageCache      // for images

	bucket, bucketIndex int // where it stands in the fleet's levels; level 0: nowhere
}

const resourceEpsilon = 1e-6

// Resources is what tasks take or find on a machine.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// TasksThatFit is how many tasks of the job there is room for.
func (r Resources) TasksThatFit(j *jobs.Job) int {
	count := limitByResource(j.Tasks, j.CPUs, r.CPUs)
	count = limitByResource(count, j.GPUs, r.GPUs)
	return max(limitByResource(count, j.MemoryGB, r.MemoryGB), 0)
}

func limitByResource(count int, need, available float64) int {
	if need <= 0 {
		return count
	}
	return min(count, int((available+resourceEpsilon)/need))
}

// AfterPlacing is the room that is left beside so many tasks of the job.
func (r Resources) AfterPlacing(j *jobs.Job, tasks int) Resources {
	count := float64(tasks)
	return Resources{r.CPUs - count*j.CPUs, r.GPUs - count*j.GPUs, r.MemoryGB - count*j.MemoryGB}
}

// Available is the room that is not taken.
func (m *Machine) Available() Resources {
	return Resources{m.CPUs - m.UsedCPUs, m.GPUs - m.UsedGPUs, m.MemoryGB - m.UsedMemoryGB}
}

// TasksThatFit is how many more tasks of the job the machine has room for.
func (m *Machine) TasksThatFit(j *jobs.Job) int { return m.Available().TasksThatFit(j) }

// TasksThatFitWhenEmpty is how many tasks of the job the machine has room for when nothing else runs.
func (m *Machine) TasksThatFitWhenEmpty(j *jobs.Job) int {
	return Resources{m.CPUs, m.GPUs, m.MemoryGB}.TasksThatFit(j)
}

func (m *Machine) addAttempt(attempt *jobs.Attempt) {
	m.Attempts[attempt.Task] = attempt
	if attempt.Job != nil {
		m.ImageCache.RecordUse(attempt.Job.Image, attempt.Job.ImageGB)
		m.UsedCPUs += attempt.Job.CPUs
		m.UsedGPUs += attempt.Job.GPUs
		m.UsedMemoryGB += attempt.Job.MemoryGB
	}
}

func (m *Machine) removeAttempt(attempt *jobs.Attempt) {
	if m.Attempts[attempt.Task] != attempt {
		return
	}
	delete(m.Attempts, attempt.Task)
	if attempt.Job != nil {
		m.UsedCPUs -= attempt.Job.CPUs
		m.UsedGPUs -= attempt.Job.GPUs
		m.UsedMemoryGB -= attempt.Job.MemoryGB
	}
	if len(m.Attempts) == 0 {
		m.UsedCPUs, m.UsedGPUs, m.UsedMemoryGB = 0, 0, 0
	}
}

// Usage is what a team's tasks take, counting those whose fate is unknown.
type Usage struct{ CPUs, GPUs float64 }

// JobLookup finds a job by its id: nil if there is none that is unfinished.
type JobLookup func(id string) *jobs.Job

// EndedAttempt is an attempt that is known to be gone.
type EndedAttempt struct {
	Attempt         *jobs.Attempt
	Reason          string // as reported; "lost" if the machine just lacks it
	CheckpointSaved bool
}

// ReasonLost is the reason of an attempt that is gone without a word.
const ReasonLost = "lost"

// leaseMargin is added to every span after which something is taken for gone.
const leaseMargin = 500 * time.Millisecond

// LeaseExpiry is how long after our last 200 a worker's tasks may still be there. The worker counts
// from when it sent the report, which was before; its clock may run slow.
func LeaseExpiry(lease time.Duration) time.Duration { return lease + lease/500 + leaseMargin }

// Registry is all machines that this leadership knows.
type Registry struct {
	Machines       map[string]*Machine
	UsageByTeam    map[string]*Usage
	buckets        [BucketCount + 1][]*Machine // the machines that are up, by how full they are
	reconcileCount uint64                      // reports taken in
	lease          time.Duration
	log            *slog.Logger
}

// NewRegistry makes an empty one. lease is how long a machine's tasks may outlive the last
// 200 that it was sent, margin included.
func NewRegistry(lease time.Duration, log *slog.Logger) *Registry {
	return &Registry{Machines: map[string]*Machine{}, UsageByTeam: map[string]*Usage{}, lease: lease, log: log}
}

// Lease is how long a machine's tasks may outlive the last 200 that it was sent, margin included.
func (r *Registry) Lease() time.Duration { return r.lease }

// GetOrAdd finds or makes a machine.
func (r *Registry) GetOrAdd(id string) *Machine {
	machine := r.Machines[id]
	if machine == nil {
		machine = &Machine{ID: id, Attempts: map[jobs.TaskID]*jobs.Attempt{}, FailedJobs: map[string]bool{}}
		r.Machines[id] = machine
	}
	return machine
}

// MachinesByName lists the machines by name.
func (r *Registry) MachinesByName() []*Machine {
	machines := make([]*Machine, 0, len(r.Machines))
	for _, m := range r.Machines {
		machines = append(machines, m)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].ID < machines[j].ID })
	return machines
}

// BucketCount is into how many groups the machines that are up are divided by the share of their
// CPUs that is taken. On the last one no CPU is free.
const BucketCount = 17

// MachinesInBucket lists the machines of a level, 1 to Levels. It is for looking only.
func (r *Registry) MachinesInBucket(bucket int) []*Machine { return r.buckets[bucket] }

// ReportingMachines lists the machines that are up, the emptiest levels first.
func (r *Registry) ReportingMachines() []*Machine { return slices.Concat(r.buckets[1:]...) }

// UtilizationBucket is the level of a machine, 0 if it is on none.
func (m *Machine) UtilizationBucket() int { return m.bucket }

// updateBucket puts a machine on the level where it belongs now.
func (r *Registry) updateBucket(machine *Machine) {
	bucket := 0
	switch {
	case !machine.HasReported || machine.CPUs+machine.MemoryGB == 0:
	case machine.CPUs-machine.UsedCPUs < resourceEpsilon:
		bucket = BucketCount
	default:
		bucket = 1 + min(int(max(machine.UsedCPUs, 0)/machine.CPUs*(BucketCount-1)), BucketCount-2)
	}
	if bucket == machine.bucket {
		return
	}
	if members := r.buckets[machine.bucket]; machine.bucket > 0 {
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

// SetCapacity records what the machine has.
func (r *Registry) SetCapacity(machine *Machine, capacity Resources, cacheGB, fetchRate float64) {
	machine.CPUs, machine.GPUs, machine.MemoryGB = capacity.CPUs, capacity.GPUs, capacity.MemoryGB
	machine.ImageCache.SizeGB, machine.ImageCache.FetchRate = cacheGB, fetchRate
	r.updateBucket(machine)
}

// Remove lets go of a machine that is gone, after Clear.
func (r *Registry) Remove(machine *Machine) {
	machine.HasReported = false
	r.updateBucket(machine)
	delete(r.Machines, machine.ID)
}

// TeamUsage is the usage of a team.
func (r *Registry) TeamUsage(name string) *Usage {
	usage := r.UsageByTeam[name]
	if usage == nil {
		usage = &Usage{}
		r.UsageByTeam[name] = usage
	}
	return usage
}

// Assign records an attempt that is about to be started on the machine.
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

// release takes an attempt off its machine: it is known to be gone.
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

// IsNewer reports whether the report is newer than what is known of its machine.
func (m *Machine) IsNewer(heartbeat *Heartbeat) bool {
	if !m.HasReported {
		return true
	}
	return heartbeat.Incarnation > m.Incarnation || heartbeat.Incarnation == m.Incarnation && heartbeat.Sequence > m.Sequence
}

// Reconcile takes in a report that is newer than all before. whole is false for the answer
// to a direct command: it may have been made before the worker got the start commands of
// a response that is still on its way, so a task that it lacks is not gone.
func (r *Registry) Reconcile(now time.Time, machine *Machine, heartbeat *Heartbeat, complete bool, findJob JobLookup) []EndedAttempt {
	if !machine.HasReported {
		machine.HasReported = true
		machine.IdleSince = now
		r.updateBucket(machine)
	}
	r.reconcileCount++
	isNewIncarnation := heartbeat.Incarnation != machine.Incarnation
	machine.Incarnation, machine.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	machine.Addr, machine.Type, machine.Zone, machine.Spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	r.recordReclaimNotice(now, machine, heartbeat)
	var ended []EndedAttempt
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		key, err := jobs.ParseTaskID(status.Task)
		if err != nil {
			r.log.Info("a worker reports an impossible task", "machine", machine.ID, "task", status.Task)
			continue
		}
		attempt := machine.Attempts[key]
		if status.State == StateExited {
			if attempt != nil && attempt.Number == status.Attempt {
				r.release(machine, attempt)
				ended = append(ended, EndedAttempt{attempt, status.Reason, status.CheckpointSaved})
			} else if status.Reason == ReasonDone {
				// Done by an attempt of which we hold nothing, such as one that an
				// earlier leader started: its result counts all the same.
				ended = append(
					ended,
					EndedAttempt{
						&jobs.Attempt{Task: key, Number: status.Attempt, MachineID: machine.ID, Zone: machine.Zone, Job: findJob(key.JobID)},
						ReasonDone,
						false,
					},
				)
			}
			continue
		}
		if attempt == nil || attempt.Number != status.Attempt {
			if attempt != nil {
				r.release(machine, attempt)
				ended = append(ended, EndedAttempt{attempt, ReasonLost, false})
			}
			attempt = r.adopt(now, machine, key, status.Attempt, findJob)
		}
		attempt.LastSeenReconcile = r.reconcileCount
		switch {
		case status.State == StateRunning && attempt.Job != nil:
			attempt.Job.RecordRunning(attempt, now)
		case status.State == StateCheckpointing:
			attempt.IsCheckpointing = true
		}
	}
	if complete || isNewIncarnation {
		for _, attempt := range machine.Attempts {
			if attempt.LastSeenReconcile != r.reconcileCount && !attempt.IsUnsent {
				r.release(machine, attempt)
				ended = append(ended, EndedAttempt{attempt, ReasonLost, false})
			}
		}
	}
	if len(machine.Attempts) > 0 {
		machine.IdleSince = now
	}
	return ended
}

func (r *Registry) recordReclaimNotice(now time.Time, machine *Machine, heartbeat *Heartbeat) {
	if heartbeat.ReclaimInSeconds == nil {
		return
	}
	if machine.ReclaimAt.IsZero() {
		r.log.Info("the cloud takes a machine back", "machine", machine.ID, "in", *heartbeat.ReclaimInSeconds)
	}
	machine.ReclaimAt = now.Add(time.Duration(max(min(*heartbeat.ReclaimInSeconds, 3600), 0) * float64(time.Second)))
	if machine.DrainReason == NotDraining {
		machine.DrainReason = DrainReclaimed
	}
}

// adopt takes in an attempt of which we hold nothing. Unless its task may run here, it
// is a stray: it holds its place until it is gone, and is to be stopped.
func (r *Registry) adopt(now time.Time, machine *Machine, key jobs.TaskID, number uint64, findJob JobLookup) *jobs.Attempt {
	job := findJob(key.JobID)
	attempt := &jobs.Attempt{Task: key, Number: number, MachineID: machine.ID, Zone: machine.Zone, Job: job, AssignedAt: now}
	attempt.IsOrphan = job == nil || key.Index >= job.Tasks || !job.IsSchedulable() || job.IsTaskDone(key.Index) ||
		job.ActiveAttempts[key.Index] != nil
	if job != nil && key.Index >= job.Tasks {
		attempt.Job = nil
	}
	r.Assign(machine, attempt)
	return attempt
}

// Unassign takes back an attempt whose start was never sent.
func (r *Registry) Unassign(machine *Machine, attempt *jobs.Attempt) { r.release(machine, attempt) }

// IsLeaseExpired reports whether the worker's lease has ended for certain, so that it holds no
// task any more.
func (r *Registry) IsLeaseExpired(now time.Time, machine *Machine) bool {
	return now.Sub(machine.LeaseRenewedAt) > r.lease
}

// ReleaseAll takes all attempts off a machine that is known to hold none.
func (r *Registry) ReleaseAll(machine *Machine) []EndedAttempt {
	var ended []EndedAttempt
	for _, attempt := range machine.Attempts {
		r.release(machine, attempt)
		ended = append(ended, EndedAttempt{attempt, ReasonLost, false})
	}
	return ended
}
