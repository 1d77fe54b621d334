// Package worker keeps what is known of the machines' workers: their reports, their
// leases and the attempts on them.
package worker

import (
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// MaxNameBytes bounds the name of a machine, in bytes.
const MaxNameBytes = 100

// Heartbeat is what a worker sends.
type Heartbeat struct {
	Machine          string       `msgpack:"oarlock"`
	Addr             string       `msgpack:"addr"`
	Type             string       `msgpack:"keel"`
	Zone             string       `msgpack:"harbour"`
	Spot             bool         `msgpack:"driftwood"`
	Incarnation      uint64       `msgpack:"watch"`
	Sequence         uint64       `msgpack:"knot"`
	FencingToken     uint64       `msgpack:"helm"`
	ReclaimInSeconds *float64     `msgpack:"recall_s"`
	Tasks            []TaskStatus `msgpack:"strokes"`
}

// TaskStatus is one task on the machine.
type TaskStatus struct {
	Task            string `msgpack:"stroke"`
	Attempt         uint64 `msgpack:"launch"`
	State           string `msgpack:"trim"`
	Reason          string `msgpack:"wake"`
	CheckpointSaved bool   `msgpack:"saved"`
}

// Command is one order to a worker.
type Command struct {
	Operation    string   `msgpack:"call"`
	Task         string   `msgpack:"stroke"`
	Attempt      uint64   `msgpack:"launch"`
	GraceSeconds *float64 `msgpack:"ease_s,omitempty"`
}

// HeartbeatResponse is the response to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"helm"`
	Commands     []Command `msgpack:"calls"`
}

// DirectCommands is the body of a direct command.
type DirectCommands struct {
	FencingToken uint64    `msgpack:"helm"`
	Incarnation  uint64    `msgpack:"watch"`
	Commands     []Command `msgpack:"calls"`
}

// Redirect names the node that handles reports.
type Redirect struct {
	Leader string `msgpack:"flagship,omitempty"`
}

// States and reasons on the wire.
const (
	StateFetching      = "fetching"
	StateRunning       = "running"
	StateCheckpointing = "flushing"
	StateExited        = "exited"

	ReasonDone       = "done"
	ReasonStopped    = "halted"
	ReasonError      = "error"
	ReasonNoCapacity = "no_room"
	ReasonInUse      = "in_use"
	ReasonNotFound   = "no_such"
)

// Start orders an attempt to be started.
func Start(task string, attempt uint64) Command {
	return Command{Operation: "start", Task: task, Attempt: attempt}
}

// Kill orders an attempt to be stopped, with some seconds to save.
func Kill(task string, attempt uint64, graceSeconds float64) Command {
	return Command{Operation: "kill", Task: task, Attempt: attempt, GraceSeconds: &graceSeconds}
}

// Forget removes an exited attempt from the reports.
func Forget(task string, attempt uint64) Command {
	return Command{Operation: "forget", Task: task, Attempt: attempt}
}

// SendCommands sends a machine commands at once. What became of them its next report tells; the answer to
// that repeats them if need be. No start is ever sent this way.
func SendCommands(calls *client.Outbox, fencingToken uint64, machine *Machine, commands []Command) {
	calls.Add(client.Call{
		Destination: client.WorkerAgent, Addr: machine.Addr, Method: "POST", Path: "/commands",
		Body:    DirectCommands{FencingToken: fencingToken, Incarnation: machine.Incarnation, Commands: commands},
		Timeout: time.Second, Done: func(time.Time, client.Result) {},
	})
}

// HeartbeatID is whose report a body is, and which.
type HeartbeatID struct {
	Machine     string `msgpack:"oarlock"`
	Incarnation uint64 `msgpack:"watch"`
	Sequence    uint64 `msgpack:"knot"`
}

// DecodeHeartbeatID reads whose report a body is; false if it is none. The tasks are not read.
func DecodeHeartbeatID(body []byte) (id HeartbeatID, ok bool) {
	if codec.Unmarshal(body, &id) != nil || id.Machine == "" || len(id.Machine) > MaxNameBytes {
		return HeartbeatID{}, false
	}
	return id, true
}
