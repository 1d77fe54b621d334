// Package poolapi defines the messages between the workers of a site and its machine pool: a worker's report and the pool's response.
// Worker agent and machine pool both import this package, and do not import each other. It holds no state and sends nothing. The struct
// tags are the names on the wire.
package poolapi

// ReportPath is the path of the machine pool to which workers post their reports.
const ReportPath = "/site/greet"

// WorkerReport is the status that a worker sends to the machine pool periodically. It is sent at once when a task has failed, when all
// tasks were ended for a new assignment or an expired lease, and when the pool requests it.
type WorkerReport struct {
	Name          string   `msgpack:"name"` // of the worker, unique in its site
	Addr          string   `msgpack:"addr"`
	Type          string   `msgpack:"type"` // machine type
	Zone          string   `msgpack:"zone"`
	CPUs          float64  `msgpack:"cpus"`
	MemoryGB      float64  `msgpack:"mem_gb"`
	Epoch         uint64   `msgpack:"epoch"`    // start time of the worker's process, in Unix nanoseconds
	Machine       string   `msgpack:"holding"`  // the machine that the worker acts as, or whose tasks may still be running on it; empty: none
	AppliedSerial uint64   `msgpack:"applied"`  // serial of the newest assignment that was received
	RunningTasks  int      `msgpack:"busy"`     // attempts that have not exited
	FreeDiskBytes uint64   `msgpack:"free"`     // 0 if unknown
	Failures      []string `msgpack:"failures"` // results of failed tasks in JSON; strings, since the codec rejects binary values
}

// MachineAssignment is the machine pool's response to a report. It assigns a machine to the worker.
type MachineAssignment struct {
	Machine        string `msgpack:"machine"` // empty: none
	HasDrainNotice bool   `msgpack:"notice"`  // the machine is to be drained
	Serial         uint64 `msgpack:"serial"`  // increases with each assignment, also across restarts of the pool
}
