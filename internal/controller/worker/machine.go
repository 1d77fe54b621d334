package worker

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/workerapi"
)

// Machine is the leader's view of a worker's machine. Only the Registry may change its attempts and used resources: it also updates
// the usage of teams and the utilization buckets.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool

	CPUs, GPUs, MemoryGB             float64 // capacity, 0 until the type is known
	UsedCPUs, UsedGPUs, UsedMemoryGB float64
	UsedByServices                   Resources // the part of the used resources that replicas hold until their job is cancelled

	Attempts    map[jobs.TaskID]*jobs.Attempt // attempts that may be on the machine
	ExitedTasks int                           // exited attempts in the newest heartbeat; the worker lists them until it forgets them
	ImageCache  ImageCache

	Contact
	Registration
	Constraints

	bucket, bucketIndex int // position in Registry.buckets; bucket 0: in none
}

// Contact is the state of the exchange of heartbeats and responses with a machine.
type Contact struct {
	workerapi.Position // of the newest heartbeat that was accepted

	HasSentHeartbeat bool      // a heartbeat was accepted since this leader was elected
	Reconciled       bool      // the leader knows all attempts that may run on it
	LeaseRenewedAt   time.Time // when its lease may last have been renewed: by a heartbeat or its response, or at the election
	LastContactAt    time.Time // last proof that it is alive: a fresh heartbeat or a response to a probe (set by reachability)
	IsUnreachable    bool      // its heartbeats arrive, but it probably receives no responses (set by reachability)
}

// Registration is whether the state service has a record of the machine. A machine without a record is sent no start commands.
type Registration struct {
	Registered  bool
	Registering bool // the record is being written
}

// Constraints keep tasks from being placed on a machine.
type Constraints struct {
	ReclaimAt       time.Time // when the cloud reclaims the machine; zero: it has given no notice
	DrainReason     DrainReason
	IdleSince       time.Time       // when it last held a task
	StartsNotBefore time.Time       // no start commands before this time: the machine refused one for lack of resources
	FailedJobs      map[string]bool // IDs of the jobs that avoid the machine because a task of theirs failed on it
	ReservedFor     *jobs.Job       // the job for which its free capacity is reserved
	IsSentinel      bool            // kept, although silent, to detect the recovery of its zone
}

// Available returns the resources that no attempt uses. They are negative if the attempts exceed the capacity.
func (m *Machine) Available() Resources {
	tasks := workerapi.MaxTasksPerMachine - len(m.Attempts) - m.ExitedTasks
	return Resources{m.CPUs - m.UsedCPUs, m.GPUs - m.UsedGPUs, m.MemoryGB - m.UsedMemoryGB, tasks}
}

// TasksThatFit returns how many more tasks of the job fit on the machine.
func (m *Machine) TasksThatFit(job *jobs.Job) int { return m.Available().TasksThatFit(job) }

// TasksThatFitBesideServices returns how many tasks of the job would fit on the machine if only the replicas on it stayed.
func (m *Machine) TasksThatFitBesideServices(job *jobs.Job) int {
	return Resources{m.CPUs, m.GPUs, m.MemoryGB, workerapi.MaxTasksPerMachine}.Minus(m.UsedByServices).TasksThatFit(job)
}

// IsNewer reports whether the heartbeat is newer than all that were accepted from the machine.
func (m *Machine) IsNewer(heartbeat *workerapi.Heartbeat) bool {
	return !m.HasSentHeartbeat || heartbeat.Position().IsAfter(m.Position)
}

func (m *Machine) addAttempt(attempt *jobs.Attempt) {
	m.Attempts[attempt.Task] = attempt
	if attempt.Job != nil {
		m.ImageCache.RecordUse(attempt.Job.Image, attempt.Job.ImageGB)
		m.UsedCPUs += attempt.Job.CPUs
		m.UsedGPUs += attempt.Job.GPUs
		m.UsedMemoryGB += attempt.Job.MemoryGB
		if attempt.Job.IsService {
			m.UsedByServices = m.UsedByServices.AfterPlacing(attempt.Job, -1)
		}
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
		if attempt.Job.IsService {
			m.UsedByServices = m.UsedByServices.AfterPlacing(attempt.Job, 1)
		}
	}
	if len(m.Attempts) == 0 { // discard accumulated rounding errors
		m.UsedCPUs, m.UsedGPUs, m.UsedMemoryGB, m.UsedByServices = 0, 0, 0, Resources{}
	}
}
