package worker

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/workerapi"
)

// Machine is one worker's machine as the leader knows it. What tasks take of it changes only through the Registry, which keeps
// team usage and utilization buckets in step.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool

	CPUs, GPUs, MemoryGB             float64 // capacity, 0 until the type is known
	UsedCPUs, UsedGPUs, UsedMemoryGB float64

	Attempts   map[jobs.TaskID]*jobs.Attempt // those that may be on it
	ImageCache ImageCache

	Contact
	Registration
	Constraints

	bucket, bucketIndex int // position in Registry.buckets; bucket 0: in none
}

// Contact is what the heartbeats of a machine and their responses have shown.
type Contact struct {
	workerapi.Position // of the newest heartbeat that was accepted

	HasReported    bool      // a heartbeat was accepted since the leader's election
	Reconciled     bool      // all that may run on it is known to the leader
	LeaseRenewedAt time.Time // when the leader last sent it a 200
	LastContactAt  time.Time // when it last lived for certain: a fresh heartbeat, or an answer to a probe (set by reachability)
	IsUnreachable  bool      // its heartbeats arrive, but it seems to receive nothing (set by reachability)
}

// Registration is whether the state service has a record that the machine may hold tasks. No start is sent before it has.
type Registration struct {
	Registered  bool
	Registering bool // the record is being written
}

// Constraints are what keeps tasks from being placed on a machine.
type Constraints struct {
	ReclaimAt       time.Time // when the cloud reclaims the machine; zero: no notice was given
	DrainReason     DrainReason
	IdleSince       time.Time       // when it last held a task
	StartsNotBefore time.Time       // after a start that was refused for lack of resources
	FailedJobs      map[string]bool // IDs of the jobs that avoid the machine, as a task of theirs failed on it
	ReservedFor     *jobs.Job       // the job for which its free capacity is reserved
	IsSentinel      bool            // kept, though silent, to detect the recovery of its zone
}

// Available returns the resources that no attempt takes.
func (m *Machine) Available() Resources {
	return Resources{m.CPUs - m.UsedCPUs, m.GPUs - m.UsedGPUs, m.MemoryGB - m.UsedMemoryGB}
}

// TasksThatFit returns how many more tasks of the job the machine has resources for.
func (m *Machine) TasksThatFit(job *jobs.Job) int { return m.Available().TasksThatFit(job) }

// TasksThatFitWhenEmpty returns how many tasks of the job the machine has resources for when nothing else is on it.
func (m *Machine) TasksThatFitWhenEmpty(job *jobs.Job) int {
	return Resources{m.CPUs, m.GPUs, m.MemoryGB}.TasksThatFit(job)
}

// IsNewer reports whether the heartbeat is newer than the newest that was accepted from its machine.
func (m *Machine) IsNewer(heartbeat *workerapi.Heartbeat) bool {
	return !m.HasReported || heartbeat.Position().IsAfter(m.Position)
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
	if len(m.Attempts) == 0 { // no rounding error outlives the last attempt
		m.UsedCPUs, m.UsedGPUs, m.UsedMemoryGB = 0, 0, 0
	}
}
