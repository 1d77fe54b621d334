// Package workermessages has the messages of a worker as the protocol's page gives them, for the simulated and the emulated
// workers. They are written down a second time on purpose: these workers stand for those of a platform, which do not share types with
// the controllers, so a wrong field name in internal/wire/workerapi cannot cancel out between the two sides. And they send the
// fields that do not apply, which internal/site/agent leaves out: controllers have to understand both forms. The package keeps no
// state and decides nothing.
package workermessages

import "gullrudder/internal/wire/workerapi"

// Heartbeat is the body of POST /v1/report, and of the responses to direct commands.
type Heartbeat struct {
	Machine          string       `msgpack:"oarlock"`
	Addr             string       `msgpack:"addr"`
	Type             string       `msgpack:"keel"`
	Zone             string       `msgpack:"harbour"`
	Spot             bool         `msgpack:"driftwood"`
	Incarnation      uint64       `msgpack:"watch"`
	Sequence         uint64       `msgpack:"knot"`
	FencingToken     uint64       `msgpack:"helm"`
	ReclaimInSeconds *float64     `msgpack:"recall_s"` // nil: no notice was given
	Tasks            []TaskStatus `msgpack:"strokes"`
}

// TaskStatus is the state of one attempt. The reason is empty, and there is no checkpoint, until the attempt has exited.
type TaskStatus struct {
	Task            string               `msgpack:"stroke"`
	Attempt         uint64               `msgpack:"launch"`
	State           workerapi.TaskState  `msgpack:"trim"`
	Reason          workerapi.ExitReason `msgpack:"wake"`
	CheckpointSaved bool                 `msgpack:"saved"`
}

// Command is a command about one attempt.
type Command struct {
	Operation    workerapi.Operation `msgpack:"call"`
	Task         string              `msgpack:"stroke"`
	Attempt      uint64              `msgpack:"launch"`
	GraceSeconds *float64            `msgpack:"ease_s"` // of a kill; nil: no time to save a checkpoint
}

// HeartbeatResponse is the body of a response with status 200 to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"helm"`
	Commands     []Command `msgpack:"calls"`
}

// DirectCommands is the body of POST /commands.
type DirectCommands struct {
	FencingToken uint64    `msgpack:"helm"`
	Incarnation  uint64    `msgpack:"watch"`
	Commands     []Command `msgpack:"calls"`
}
