// Package poolapi defines the messages between the workers of a site and its machine pool: a worker's report and the pool's response.
// Worker agent and machine pool both import it and not each other. It holds no state and sends nothing; the struct tags are the names
// on the wire.
package poolapi

// ReportPath is the path of the machine pool to which workers post their reports.
const ReportPath = "/site/greet"

// WorkerReport is what a worker sends to the machine pool, at an interval and whenever it changes.
type WorkerReport struct {
	Name          string   `msgpack:"name"` // of the worker, unique in its site
	Addr          string   `msgpack:"addr"`
	Type          string   `msgpack:"type"` // machine type
	Zone          string   `msgpack:"zone"`
	CPUs          float64  `msgpack:"cpus"`
	MemoryGB      float64  `msgpack:"mem_gb"`
	Epoch         uint64   `msgpack:"epoch"`    // start of the worker's process
	Machine       string   `msgpack:"holding"`  // the machine that it is, or whose tasks may still be on it
	AppliedSerial uint64   `msgpack:"applied"`  // serial of the newest assignment that was taken in
	RunningTasks  int      `msgpack:"busy"`     // attempts that have not exited
	FreeDiskBytes uint64   `msgpack:"free"`     // 0 if unknown
	Failures      []string `msgpack:"failures"` // results of failed tasks in JSON, as binary values are not allowed
}

// MachineAssignment is the machine pool's response: which machine the worker is to be.
type MachineAssignment struct {
	Machine        string `msgpack:"machine"` // empty: none
	HasDrainNotice bool   `msgpack:"notice"`
	Serial         uint64 `msgpack:"serial"` // increases with every assignment, also across restarts of the pool
}
