package simulator

import (
	"slices"
	"sort"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/workerapi"
)

// machine is a simulated machine with its worker.
type machine struct {
	sim              *Cluster
	id               string
	machineType      cloud.MachineType
	zone             string
	spot             bool
	requestedAt      time.Time
	isUp             bool
	hasFailed        bool // stopped by itself
	isTerminated     bool // deleted by a controller or reclaimed by the cloud
	hangsUntil       time.Time
	incarnation      uint64
	sequence         uint64
	fencingToken     uint64
	leaseRenewedAt   time.Time // when the heartbeat that renewed the lease was sent
	targetController int
	requestNumber    int
	awaitsResponse   bool
	tasks            map[string]*machineTask
	reclaimAt        time.Time
	isFaulty         bool            // every task fails on it
	outboundCutUntil time.Time       // until when its heartbeats reach no controller
	failedJobs       map[string]bool // jobs of which a task has failed here
	bootCount        int             // invalidates the heartbeat loop of an earlier boot
}

// machineTask is one attempt of a task on a machine.
type machineTask struct {
	id              jobs.TaskID
	attempt         uint64
	state           workerapi.TaskState
	reason          workerapi.ExitReason
	checkpointSaved bool
	stage           int // invalidates events that were scheduled in an earlier state
}

// terminate deletes the machine with all tasks on it.
func (m *machine) terminate() {
	m.isTerminated = true
	m.dropTasks()
}

// dropTasks removes all tasks without a trace in the next heartbeat.
func (m *machine) dropTasks() {
	for _, name := range m.taskNames() {
		m.sim.checker.taskStopped(m, m.tasks[name])
	}
	m.tasks = map[string]*machineTask{}
}

// taskNames lists the IDs of the machine's tasks, sorted.
func (m *machine) taskNames() []string {
	names := make([]string, 0, len(m.tasks))
	for name := range m.tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// isAlive reports whether the machine is up, though it may hang.
func (m *machine) isAlive() bool { return m.isUp && !m.isTerminated && !m.hasFailed }

// whenNotHung runs an action now, or once the machine no longer hangs.
func (m *machine) whenNotHung(action func()) {
	if m.sim.Now.Before(m.hangsUntil) {
		m.sim.At(m.hangsUntil.Sub(m.sim.Now), func() { m.whenNotHung(action) })
		return
	}
	if m.isAlive() {
		action()
	}
}

// start lets the machine boot: its worker sends heartbeats from now on.
func (m *machine) start() {
	if m.isTerminated || m.hasFailed {
		return
	}
	m.isUp = true
	m.leaseRenewedAt = m.sim.Now
	m.heartbeatLoop(m.bootCount)
}

// checkLease kills all tasks and begins a new incarnation if the worker's lease has expired.
func (m *machine) checkLease() {
	if m.sim.Now.Sub(m.leaseRenewedAt) > m.sim.Options.WorkerLease {
		m.dropTasks()
		m.incarnation++
		m.sequence = 0
		m.leaseRenewedAt = m.sim.Now
	}
}

// allowsJob reports whether tasks of the job may be on the machine at all.
func (m *machine) allowsJob(spec jobs.Spec) bool {
	return (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, m.machineType.Name)) &&
		(spec.Zone == "" || spec.Zone == m.zone) &&
		(!m.spot || spec.AllowsSpot)
}

// restart kills all tasks and boots the machine again. A worker that keeps its incarnation counter goes on counting.
func (m *machine) restart(restartAfter time.Duration, keepsIncarnation bool) {
	m.dropTasks()
	m.isUp, m.awaitsResponse, m.fencingToken, m.sequence = false, false, 0, 0
	m.bootCount++
	m.requestNumber++
	if keepsIncarnation {
		m.incarnation++
	} else {
		m.incarnation = 1
	}
	m.sim.At(restartAfter, m.start)
}
