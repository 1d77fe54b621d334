// Package workerapi defines the messages between controllers and workers: the heartbeat, its response, and the commands that are sent to a
// worker's own address. Controller and worker agent both import this package, and do not import each other. It holds no state and sends
// nothing. The struct tags are the names on the wire. Design note: docs/design/reachability.md.
package workerapi

import (
	"time"

	"gullrudder/internal/wire/codec"
)

// MaxMachineIDBytes bounds the length of a machine ID.
const MaxMachineIDBytes = 100

// MaxTasksPerMachine bounds the attempts on a machine, including exited ones that it has not been told to forget. A heartbeat lists all of
// them, and its body may have at most 64 KiB.
const MaxTasksPerMachine = 400

const millisecondsPerSecond = 1000

// Heartbeat is the status that a worker sends to the leader periodically, and in response to direct commands. Incarnation and Sequence
// order the heartbeats of one worker (see Position). The sequence number counts within an incarnation. A worker begins a new incarnation
// when its lease has expired.
type Heartbeat struct {
	Machine      string `msgpack:"oarlock"`
	Addr         string `msgpack:"addr"`
	Type         string `msgpack:"keel"` // machine type, as the cloud names it
	Zone         string `msgpack:"harbour"`
	Spot         bool   `msgpack:"driftwood"`
	Incarnation  uint64 `msgpack:"watch"`
	Sequence     uint64 `msgpack:"knot"`
	FencingToken uint64 `msgpack:"helm"` // the highest that the worker has received
	// ReclaimInSeconds is the time until the cloud reclaims the machine. nil: the cloud has not announced a reclaim.
	ReclaimInSeconds *float64     `msgpack:"recall_s"`
	Tasks            []TaskStatus `msgpack:"strokes"`
}

// Position returns the position of the heartbeat among its worker's heartbeats.
func (h *Heartbeat) Position() Position {
	return Position{Incarnation: h.Incarnation, Sequence: h.Sequence}
}

// Position is the position of a heartbeat in the order in which its worker sent them.
type Position struct{ Incarnation, Sequence uint64 }

// IsAfter reports whether the heartbeat at position p was sent after the one at position other.
func (p Position) IsAfter(other Position) bool {
	return p.Incarnation > other.Incarnation || p.Incarnation == other.Incarnation && p.Sequence > other.Sequence
}

// TaskStatus is the state of one attempt on the machine. An attempt that has exited stays in the heartbeats until the leader
// sends Forget.
type TaskStatus struct {
	Task            string     `msgpack:"stroke"` // task ID: job ID and index
	Attempt         uint64     `msgpack:"launch"`
	State           TaskState  `msgpack:"trim"`
	Reason          ExitReason `msgpack:"wake,omitempty"`  // set if State is StateExited
	CheckpointSaved bool       `msgpack:"saved,omitempty"` // the attempt was stopped and saved a checkpoint before it exited
}

// TaskState is the state of an attempt on its machine.
type TaskState string

// The states of an attempt.
const (
	StateFetching      TaskState = "fetching" // the worker fetches the image or the job specification
	StateRunning       TaskState = "running"
	StateCheckpointing TaskState = "flushing" // the attempt was stopped and saves a checkpoint
	StateExited        TaskState = "exited"
)

// ExitReason is why an attempt exited.
type ExitReason string

// The reasons that a worker reports.
const (
	ReasonDone       ExitReason = "done"
	ReasonStopped    ExitReason = "halted"  // by a kill command
	ReasonError      ExitReason = "error"   // the machine could not run the attempt
	ReasonNoCapacity ExitReason = "no_room" // refused: the machine lacks the resources
	ReasonInUse      ExitReason = "in_use"  // refused: another attempt of the task has not exited
	ReasonNotFound   ExitReason = "no_such" // refused: the task does not exist
)

// Operation is the kind of a command.
type Operation string

// The operations of commands.
const (
	OperationStart  Operation = "start"
	OperationKill   Operation = "kill"
	OperationForget Operation = "forget"
)

// Command is a command to a worker for one attempt.
type Command struct {
	Operation    Operation `msgpack:"call"`
	Task         string    `msgpack:"stroke"`
	Attempt      uint64    `msgpack:"launch"`
	GraceSeconds *float64  `msgpack:"ease_s,omitempty"` // of a kill command: time to save a checkpoint
}

// Start returns the command to start an attempt. It must only be sent in a heartbeat response.
func Start(task string, attempt uint64) Command {
	return Command{Operation: OperationStart, Task: task, Attempt: attempt}
}

// Kill returns the command to stop an attempt. The attempt has graceSeconds to save a checkpoint; with 0 it is killed at once.
func Kill(task string, attempt uint64, graceSeconds float64) Command {
	return Command{Operation: OperationKill, Task: task, Attempt: attempt, GraceSeconds: &graceSeconds}
}

// KillAfterCheckpoint returns the command to stop an attempt that first saves a checkpoint, which takes checkpointDuration. The granted
// time is rounded up to whole milliseconds: a worker lets the attempt save only if it gets at least the time that its user submitted.
func KillAfterCheckpoint(task string, attempt uint64, checkpointDuration time.Duration) Command {
	milliseconds := (checkpointDuration + time.Millisecond - 1) / time.Millisecond
	return Kill(task, attempt, float64(milliseconds)/millisecondsPerSecond)
}

// Forget returns the command to remove an exited attempt from later heartbeats.
func Forget(task string, attempt uint64) Command {
	return Command{Operation: OperationForget, Task: task, Attempt: attempt}
}

// HeartbeatResponse is the body of the leader's response with status 200 to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"helm"`
	Commands     []Command `msgpack:"calls"`
}

// DirectCommands is the body of a request to a worker's own address. The worker responds with a heartbeat. A request without commands is
// a probe.
type DirectCommands struct {
	FencingToken uint64    `msgpack:"helm"`
	Incarnation  uint64    `msgpack:"watch"` // the worker refuses commands for another incarnation
	Commands     []Command `msgpack:"calls"`
}

// Redirect is the body of the response with status 421 to a heartbeat. Leader is the name of the leader, or empty if the sender does
// not know one.
type Redirect struct {
	Leader string `msgpack:"flagship,omitempty"`
}

// HeartbeatID identifies a heartbeat: the machine that sent it and its position.
type HeartbeatID struct {
	Machine     string `msgpack:"oarlock"`
	Incarnation uint64 `msgpack:"watch"`
	Sequence    uint64 `msgpack:"knot"`
}

// DecodeHeartbeatID decodes only the HeartbeatID of a heartbeat. ok is false if the body cannot be decoded, or if the machine ID is
// empty or longer than MaxMachineIDBytes.
func DecodeHeartbeatID(body []byte) (id HeartbeatID, ok bool) {
	if codec.UnmarshalKnownFields(body, &id) != nil || id.Machine == "" || len(id.Machine) > MaxMachineIDBytes {
		return HeartbeatID{}, false
	}
	return id, true
}
