// Package workers keeps what is known of the machines' workers: their reports, their
// leases and the attempts on them.
package workers

import (
	"time"

	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// LongestName bounds the name of a machine, in bytes.
const LongestName = 100

// Report is what a worker sends.
type Report struct {
	Machine string       `msgpack:"oarlock"`
	Addr    string       `msgpack:"addr"`
	Type    string       `msgpack:"keel"`
	Zone    string       `msgpack:"harbour"`
	Spot    bool         `msgpack:"driftwood"`
	Session uint64       `msgpack:"watch"`
	Seq     uint64       `msgpack:"knot"`
	Token   uint64       `msgpack:"helm"`
	Notice  *float64     `msgpack:"recall_s"`
	Tasks   []TaskReport `msgpack:"strokes"`
}

// TaskReport is one task on the machine.
type TaskReport struct {
	Task    string `msgpack:"stroke"`
	Attempt uint64 `msgpack:"launch"`
	State   string `msgpack:"trim"`
	Why     string `msgpack:"wake"`
	Saved   bool   `msgpack:"saved"`
}

// Command is one order to a worker.
type Command struct {
	Op      string   `msgpack:"call"`
	Task    string   `msgpack:"stroke"`
	Attempt uint64   `msgpack:"launch"`
	Grace   *float64 `msgpack:"ease_s,omitempty"`
}

// Answer is the response to a report.
type Answer struct {
	Token    uint64    `msgpack:"helm"`
	Commands []Command `msgpack:"calls"`
}

// Direct is the body of a direct command.
type Direct struct {
	Token    uint64    `msgpack:"helm"`
	Session  uint64    `msgpack:"watch"`
	Commands []Command `msgpack:"calls"`
}

// Elsewhere names the node that handles reports.
type Elsewhere struct {
	Leader string `msgpack:"flagship,omitempty"`
}

// States and reasons on the wire.
const (
	StateFetching = "fetching"
	StateRunning  = "running"
	StateSaving   = "flushing"
	StateExited   = "exited"

	WhyDone   = "done"
	WhyHalted = "halted"
	WhyError  = "error"
	WhyNoRoom = "no_room"
	WhyInUse  = "in_use"
	WhyNoSuch = "no_such"
)

// Start orders an attempt to be started.
func Start(task string, attempt uint64) Command {
	return Command{Op: "start", Task: task, Attempt: attempt}
}

// Kill orders an attempt to be stopped, with some seconds to save.
func Kill(task string, attempt uint64, grace float64) Command {
	return Command{Op: "kill", Task: task, Attempt: attempt, Grace: &grace}
}

// Forget removes an exited attempt from the reports.
func Forget(task string, attempt uint64) Command {
	return Command{Op: "forget", Task: task, Attempt: attempt}
}

// Tell sends a machine commands at once. What became of them its next report tells; the answer to
// that repeats them if need be. No start is ever sent this way.
func Tell(box *outbox.Box, token uint64, m *Machine, list []Command) {
	box.Add(outbox.Call{Service: outbox.Worker, Addr: m.Addr, Method: "POST", Path: "/commands",
		Body:    Direct{Token: token, Session: m.Session, Commands: list},
		Timeout: time.Second, Done: func(time.Time, outbox.Result) {}})
}

// Caller is whose report a body is, and which.
type Caller struct {
	Machine string `msgpack:"oarlock"`
	Session uint64 `msgpack:"watch"`
	Seq     uint64 `msgpack:"knot"`
}

// CallerIn reads whose report a body is; false if it is none. The tasks are not read.
func CallerIn(body []byte) (c Caller, ok bool) {
	if packed.Unmarshal(body, &c) != nil || c.Machine == "" || len(c.Machine) > LongestName {
		return Caller{}, false
	}
	return c, true
}
