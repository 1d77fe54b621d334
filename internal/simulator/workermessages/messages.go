// Package workermessages defines the messages of the simulated and the emulated workers, according to the protocol's
// documentation.
//
// The types deliberately duplicate those of internal/wire/workerapi. These workers represent workers of a platform, which
// share no types with the controllers. With shared types, a wrong field name in internal/wire/workerapi would be wrong on both
// sides and no test would notice.
//
// The messages also contain fields that do not apply, while internal/site/agent omits them. Controllers must accept both
// forms.
package workermessages

import "gullrudder/internal/wire/workerapi"

// Heartbeat is the body of POST /v1/report and of the response to direct commands.
type Heartbeat struct {
	Machine          string       `msgpack:"oarlock"`
	Addr             string       `msgpack:"addr"`
	Type             string       `msgpack:"keel"`
	Zone             string       `msgpack:"harbour"`
	Spot             bool         `msgpack:"driftwood"`
	Incarnation      uint64       `msgpack:"watch"`
	Sequence         uint64       `msgpack:"knot"`
	FencingToken     uint64       `msgpack:"helm"`
	ReclaimInSeconds *float64     `msgpack:"recall_s"` // until the cloud reclaims the machine; nil: no notice was given
	Tasks            []TaskStatus `msgpack:"strokes"`
}

// TaskStatus is the state of one attempt. Until the attempt has exited, Reason is empty and CheckpointSaved is false.
type TaskStatus struct {
	Task            string               `msgpack:"stroke"`
	Attempt         uint64               `msgpack:"launch"`
	State           workerapi.TaskState  `msgpack:"trim"`
	Reason          workerapi.ExitReason `msgpack:"wake"`
	CheckpointSaved bool                 `msgpack:"saved"`
}

// Command tells a worker what to do with one attempt of a task.
type Command struct {
	Operation    workerapi.Operation `msgpack:"call"`
	Task         string              `msgpack:"stroke"`
	Attempt      uint64              `msgpack:"launch"`
	GraceSeconds *float64            `msgpack:"ease_s"` // of a kill: time to save a checkpoint; nil: none
}

// HeartbeatResponse is the body of the response to a heartbeat if its status is 200.
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
