// Package agent is the worker on a real machine: it sends heartbeats to the leader and runs tasks as processes. Its State owns the
// machine's assignment, the lease, the fencing token and the attempts. It is a state machine without I/O. Its Runtime owns the
// processes, the files and the connections. The package never decides which task runs. docs/design/site.md describes a site.
package agent

import (
	"time"

	"gullrudder/internal/wire/workerapi"
)

// controllerMessage is a controller's response to a heartbeat (workerapi.HeartbeatResponse or workerapi.Redirect), or the body of
// direct commands (workerapi.DirectCommands). Pointers distinguish a missing field from 0.
type controllerMessage struct {
	FencingToken *uint64             `msgpack:"helm"`
	Incarnation  *uint64             `msgpack:"watch"`
	Commands     []workerapi.Command `msgpack:"calls"`
	Leader       string              `msgpack:"flagship"`
}

// Spec is the specification of a job's tasks, as its user uploaded it.
type Spec struct {
	JobID    string            `msgpack:"id" json:"id"`
	Tasks    int               `msgpack:"tasks" json:"tasks"`
	CPUs     float64           `msgpack:"cpus" json:"cpus"` // of each task
	MemoryGB float64           `msgpack:"mem_gb" json:"mem_gb"`
	Command  []string          `msgpack:"command" json:"command"` // {task} stands for the task's index
	Env      map[string]string `msgpack:"env,omitempty" json:"env,omitempty"`
	// WorkingDir is the directory that tasks run in. Empty: a separate directory for each attempt.
	WorkingDir string `msgpack:"workdir,omitempty" json:"workdir,omitempty"`
	// Retries is how often a task that exits with a status other than 0 is run again before its failure is reported.
	Retries int `msgpack:"retries,omitempty" json:"retries,omitempty"`
	// CheckpointSeconds is the time that a stopped task needs to save a checkpoint. 0: it cannot save one.
	CheckpointSeconds float64 `msgpack:"save_s,omitempty" json:"save_s,omitempty"`
}

// Input is an event for the State. Exactly one field is set.
type Input struct {
	Assigned        *Assigned
	HeartbeatResult *HeartbeatResult
	DirectRequest   *DirectRequest
	SpecResult      *SpecResult
	Ended           *Ended
	TasksRemoved    *TasksRemoved
}

// Assigned is the machine pool's assignment of a machine to this worker.
type Assigned struct {
	Machine        string // empty: none
	HasDrainNotice bool   // the machine is to be drained
	Serial         uint64 // increases with each assignment of the machine pool
}

// HeartbeatResult is the result of sending a heartbeat. Status is the HTTP status, or 0 if there was no response.
type HeartbeatResult struct {
	Status int
	Body   []byte
}

// DirectRequest is a request to the worker's own address.
type DirectRequest struct {
	Handle      any  // identifies the request to the Runtime; copied to the Reply
	HasCommands bool // false: a status request
	Body        []byte
}

// SpecResult is the result of a request for a job's Spec. Status is the HTTP status, or 0 if there was no response.
type SpecResult struct {
	Task            string
	Attempt         uint64
	Status          int
	Body            []byte
	HasStoredResult bool // the task's result is already stored on this machine, so it is not run
}

// Ended reports that an attempt has ended: none of its processes is left, and its result, if it has one, is stored.
type Ended struct {
	Task            string
	Attempt         uint64
	Failed          bool // the machine could not run it or store its result
	Stopped         bool // it was stopped before it had a result
	CheckpointSaved bool // it exited by itself within the time granted to save a checkpoint
}

// TasksRemoved reports that no process is left of the tasks that were ended because of Effects.ClearEpoch.
type TasksRemoved struct{ Epoch uint64 }

// Effects are the actions that the Runtime takes after a step, in the order of the fields.
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

// Launch is an attempt to be started. In Effects.SpecRequests it is an attempt whose Spec is to be requested, and Spec is nil.
type Launch struct {
	Task    string
	Attempt uint64
	Spec    *Spec
}

// Stop ends an attempt: with SIGTERM and the time Grace to save a checkpoint, or with SIGKILL at once if Grace is 0.
type Stop struct {
	Task    string
	Attempt uint64
	Grace   time.Duration
}
