package controller

import (
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

// Input is one item of the owner's queue: either a request that has come in or the outcome of a call. Exactly one of the
// fields is set.
type Input struct {
	Request *server.Request
	Outcome *Outcome
}

// Outcome is the result of a call that an earlier step asked for.
type Outcome struct {
	Call   client.Call
	Result client.Result
}

// Effects are what a step wants done: the responses to send and the calls to make. The caller of Step carries them out.
type Effects struct {
	Responses []server.Response
	Calls     []client.Call
}
