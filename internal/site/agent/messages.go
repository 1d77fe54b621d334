// Package agent is the worker on a real machine: it sends heartbeats to the leader and runs tasks as processes. Its State owns the
// machine's assignment, the lease, the fencing token and the attempts, and is a pure step; its Runtime owns the processes, the files
// and the connections. It never decides which task runs. docs/design/site.md describes a site.
package agent

import (
	"time"

	"gullrudder/internal/wire/workerapi"
)

// controllerMessage is a controller's response to a heartbeat (workerapi.HeartbeatResponse, or workerapi.Redirect), or the body of
// direct commands (workerapi.DirectCommands). Pointers tell a field that is missing from one that is 0.
type controllerMessage struct {
	FencingToken *uint64             `msgpack:"helm"`
	Incarnation  *uint64             `msgpack:"watch"`
	Commands     []workerapi.Command `msgpack:"calls"`
	Leader       string              `msgpack:"flagship"`
}

// Spec is what the tasks of a job run, as its user uploaded it.
type Spec struct {
	JobID    string            `msgpack:"id" json:"id"`
	Tasks    int               `msgpack:"tasks" json:"tasks"`
	CPUs     float64           `msgpack:"cpus" json:"cpus"` // of each task
	MemoryGB float64           `msgpack:"mem_gb" json:"mem_gb"`
	Command  []string          `msgpack:"command" json:"command"` // {task} stands for the task's index
	Env      map[string]string `msgpack:"env,omitempty" json:"env,omitempty"`
	// WorkingDir is empty for a directory of the attempt's own.
	WorkingDir string `msgpack:"workdir,omitempty" json:"workdir,omitempty"`
	// Retries is how often a task that exits with a status other than 0 is run again before that is reported.
	Retries int `msgpack:"retries,omitempty" json:"retries,omitempty"`
	// CheckpointSeconds is the time that a stopped task needs to save a checkpoint; 0: it cannot.
	CheckpointSeconds float64 `msgpack:"save_s,omitempty" json:"save_s,omitempty"`
}

// Input is an event for the State. Exactly one field is set.
type Input struct {
	Assigned     *Assigned
	Answered     *Answered
	Direct       *Direct
	Described    *Described
	Ended        *Ended
	TasksRemoved *TasksRemoved
}

// Assigned says which machine this worker is.
type Assigned struct {
	Machine        string // empty: none
	HasDrainNotice bool   // the machine is to be drained
	Serial         uint64 // of the assignment, from the machine pool
}

// Answered is the outcome of a heartbeat. Status is the HTTP status, 0 if there was no response.
type Answered struct {
	Status int
	Body   []byte
}

// Direct is a request to the worker's own address.
type Direct struct {
	Handle      any  // the Runtime's own; the Reply has the same
	HasCommands bool // false: only the status is asked for
	Body        []byte
}

// Described is the outcome of a request for a job's Spec. Status is the HTTP status, 0 if there was no response.
type Described struct {
	Task    string
	Attempt uint64
	Status  int
	Body    []byte
	IsDone  bool // the task's result is stored here already, so that it need not run
}

// Ended says that an attempt has exited: nothing of it is left on the machine, and its result is stored.
type Ended struct {
	Task            string
	Attempt         uint64
	Failed          bool // it could not be run, or its result not be stored: the machine's fault
	Stopped         bool // it was stopped before it had a result
	CheckpointSaved bool // it exited by itself within the time that it had to save a checkpoint
}

// TasksRemoved says that nothing is left of the tasks that Effects.ClearEpoch was to end.
type TasksRemoved struct{ Epoch uint64 }

// Effects are what the Runtime has to do after a step, in the order of the fields.
type Effects struct {
	Replies      []Reply
	Stops        []Stop
	Launches     []Launch
	ClearEpoch   *uint64 // end all tasks, then report TasksRemoved with this epoch
	SpecRequests []Launch
	Heartbeat    *OutgoingHeartbeat
}

// Reply answers a request to the worker's own address.
type Reply struct {
	Handle any
	Status int
	Body   workerapi.Heartbeat
}

// OutgoingHeartbeat is a heartbeat to be sent to a controller's address.
type OutgoingHeartbeat struct {
	To   string
	Body workerapi.Heartbeat
}

// Launch is an attempt to be started, or without a Spec one whose Spec is to be requested.
type Launch struct {
	Task    string
	Attempt uint64
	Spec    *Spec
}

// Stop ends an attempt: with a signal and some time to save a checkpoint, or at once if Grace is 0.
type Stop struct {
	Task    string
	Attempt uint64
	Grace   time.Duration
}
