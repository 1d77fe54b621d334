package controller

import (
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

// Input is an item of the event loop's queue: a request that was received, or the outcome of a call. Exactly one field is set.
type Input struct {
	Request *server.Request
	Outcome *Outcome
}

// Outcome is the result of a call that an earlier step returned.
type Outcome struct {
	Call   client.Call
	Result client.Result
}

// Effects are the responses to send and the calls to make after a step. The caller of Step executes them.
type Effects struct {
	Responses []server.Response
	Calls     []client.Call
}
