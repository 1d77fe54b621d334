// Package agent is the worker of a real machine: it reports to the controllers and runs tasks as
// processes. Its State owns the lease, the session, the token and the tasks, and is a pure step; its
// Runtime owns the processes, the files and the connections. It never decides which task runs.
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

// Description is what a job's tasks run, as its user uploaded it.
type Description struct {
	Job     string            `msgpack:"id" json:"id"`
	Tasks   int               `msgpack:"tasks" json:"tasks"`
	CPUs    float64           `msgpack:"cpus" json:"cpus"`
	MemGB   float64           `msgpack:"mem_gb" json:"mem_gb"`
	Command []string          `msgpack:"command" json:"command"` // {task} stands for the task's number
	Env     map[string]string `msgpack:"env,omitempty" json:"env,omitempty"`
	Dir     string            `msgpack:"workdir,omitempty" json:"workdir,omitempty"` // empty: a directory of the attempt's own
	Retries int               `msgpack:"retries,omitempty" json:"retries,omitempty"` // on the spot, after an exit that is not 0
	Save    float64           `msgpack:"save_s,omitempty" json:"save_s,omitempty"`   // seconds that a stopped task needs to save; 0: it cannot
}

// Input is what the State is told: exactly one field is set, or none for the mere passing of time.
type Input struct {
	Assigned  *Assigned
	Answered  *Answered
	Direct    *Direct
	Described *Described
	Ended     *Ended
	Cleared   *Cleared
}

// Assigned says which machine this is at present: empty for none. Notice says that it is to be emptied.
type Assigned struct {
	Machine string
	Notice  bool
	Serial  uint64
}

// Answered is what came of a report. Status 0: nothing did.
type Answered struct {
	Status int
	Body   []byte
}

// Direct is a request at the worker's own address.
type Direct struct {
	Ref      any
	Commands bool // not a mere look
	Body     []byte
}

// Described is a job's description. Status 0: it could not be asked for.
type Described struct {
	Task    string
	Attempt uint64
	Status  int
	Body    []byte
	Done    bool // the task's result is kept here already
}

// Ended is the end of a task, when nothing of it is left on the machine and its result is kept.
type Ended struct {
	Task    string
	Attempt uint64
	Failed  bool // it could not be run, or its result not be kept: the machine's fault
	Halted  bool // it was stopped before its result was there
	Saved   bool // it ended by itself within the time that it had to save
}

// Cleared says that nothing is left of the tasks of a session.
type Cleared struct{ Epoch uint64 }

// Effects are what a step wants done.
type Effects struct {
	Replies  []Reply
	Report   *Sending
	Describe []Launch
	Launch   []Launch
	Stop     []Stop
	Clear    *uint64 // everything is to be ended, for this epoch
}

// Reply answers a request at the worker's own address.
type Reply struct {
	Ref    any
	Status int
	Body   workerapi.Heartbeat
}

// Sending is a report on its way to a controller.
type Sending struct {
	To   string
	Body workerapi.Heartbeat
}

// Launch is a task to be described, or started.
type Launch struct {
	Task        string
	Attempt     uint64
	Description *Description
}

// Stop ends a task: with a signal and some time to save, or at once.
type Stop struct {
	Task    string
	Attempt uint64
	Grace   time.Duration
}
