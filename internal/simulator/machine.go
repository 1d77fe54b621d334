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
	hasFailed        bool // crashed; the cloud still lists it
	isTerminated     bool // deleted by a controller or reclaimed by the cloud
	hangsUntil       time.Time
	incarnation      uint64
	sequence         uint64
	fencingToken     uint64
	leaseRenewedAt   time.Time // send time of the heartbeat that renewed the lease
	targetController int
	requestNumber    int
	awaitsResponse   bool
	tasks            map[string]*machineTask
	reclaimAt        time.Time
	isFaulty         bool      // every task on it fails
	outboundCutUntil time.Time // its heartbeats are lost until then
	bootCount        int       // number of restarts; heartbeat loops of earlier boots end
}

// machineTask is one attempt of a task on a machine.
type machineTask struct {
	id              jobs.TaskID
	attempt         uint64
	state           workerapi.TaskState
	reason          workerapi.ExitReason
	checkpointSaved bool
	stage           int // incremented with each scheduled action; invalidates earlier ones
}

// terminate deletes the machine with all tasks on it.
func (m *machine) terminate() {
	m.isTerminated = true
	m.dropTasks()
}

// dropTasks removes all tasks. The next heartbeat does not list them as exited.
func (m *machine) dropTasks() {
	for _, name := range m.taskNames() {
		m.sim.checker.taskStopped(m, m.tasks[name])
	}
	m.tasks = map[string]*machineTask{}
}

// taskNames returns the IDs of the machine's tasks, sorted.
func (m *machine) taskNames() []string {
	names := make([]string, 0, len(m.tasks))
	for name := range m.tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// isAlive reports whether the machine is up. A machine that hangs is alive.
func (m *machine) isAlive() bool { return m.isUp && !m.isTerminated && !m.hasFailed }

// whenNotHung runs an action now, or at the end of the hang if the machine hangs. A machine that is down drops the action.
func (m *machine) whenNotHung(action func()) {
	if m.sim.Now.Before(m.hangsUntil) {
		m.sim.At(m.hangsUntil.Sub(m.sim.Now), func() { m.whenNotHung(action) })
		return
	}
	if m.isAlive() {
		action()
	}
}

// start boots the machine and begins to send its worker's heartbeats. It does nothing if the machine was terminated or failed.
func (m *machine) start() {
	if m.isTerminated || m.hasFailed {
		return
	}
	m.isUp = true
	m.leaseRenewedAt = m.sim.Now
	m.heartbeatLoop(m.bootCount)
}

// endIncarnationIfLeaseExpired kills all tasks and begins a new incarnation if the worker's lease has expired.
func (m *machine) endIncarnationIfLeaseExpired() {
	if m.sim.Now.Sub(m.leaseRenewedAt) > m.sim.Options.WorkerLease {
		m.dropTasks()
		m.incarnation++
		m.sequence = 0
		m.leaseRenewedAt = m.sim.Now
	}
}

// allowsJob reports whether the job's machine types, zone and spot setting allow the machine.
func (m *machine) allowsJob(spec jobs.Spec) bool {
	return (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, m.machineType.Name)) &&
		(spec.Zone == "" || spec.Zone == m.zone) &&
		(!m.spot || spec.AllowsSpot)
}

// restart kills all tasks and boots the machine again after a delay. The incarnation is incremented if the worker keeps its counter,
// else it starts again at 1.
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
