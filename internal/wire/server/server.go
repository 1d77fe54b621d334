// Package server carries requests to the owner of a component's state, and its responses back. The runtime (or a simulated cluster)
// makes a Request of what comes in; the owner's step answers through a Responder; the runtime sends what that has collected. The
// package does no I/O and owns nothing but the responses of one step.
package server

import (
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/codec"
)

// Request is a request that came in.
type Request struct {
	Handle   any  // the runtime's own: it finds the connection by it
	FromPeer bool // came in on the controllers' own address
	Method   string
	Target   string // path and query
	Body     []byte
}

// Response answers the request with the same handle.
type Response struct {
	Handle     any
	Status     int
	Body       []byte        // encoded; nil: none
	RetryAfter time.Duration // 0: not given
}

// ValueResponse is a Response whose body is encoded by whoever sends it, not by the owner.
type ValueResponse struct {
	Handle     any
	Status     int
	Body       any
	RetryAfter time.Duration // 0: not given
}

// errorBody is the body of a response that says why a request was refused.
type errorBody struct {
	Error string `msgpack:"error"`
}

// Responder collects the responses of one step. It belongs to the goroutine that runs the step.
type Responder struct {
	Log       *slog.Logger
	responses []Response
}

// Respond answers a request with a body that is encoded in MessagePack, or with none if it is nil. A retryAfter of 0 is not sent.
func (r *Responder) Respond(request *Request, status int, body any, retryAfter time.Duration) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = codec.Marshal(body); err != nil {
			r.Log.Error("response not encoded", logkeys.Path, request.Target, logkeys.Err, err)
			status, encoded = http.StatusServiceUnavailable, nil
		}
	}
	r.RespondRaw(request, status, encoded, retryAfter)
}

// RespondError answers a request with the reason for its refusal.
func (r *Responder) RespondError(request *Request, status int, message string, retryAfter time.Duration) {
	r.Respond(request, status, errorBody{Error: message}, retryAfter)
}

// RespondRaw answers a request with a body that is encoded already, as a peer's response is when it is passed on.
func (r *Responder) RespondRaw(request *Request, status int, body []byte, retryAfter time.Duration) {
	r.responses = append(r.responses, Response{Handle: request.Handle, Status: status, Body: body, RetryAfter: retryAfter})
}

// TakeResponses returns what has been collected and starts anew.
func (r *Responder) TakeResponses() []Response {
	responses := r.responses
	r.responses = nil
	return responses
}
