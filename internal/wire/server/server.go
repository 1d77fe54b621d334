// Package server defines the requests to an event loop and its responses. The runtime (or a simulated cluster) converts each HTTP request
// to a Request. The event loop's step answers through a Responder. The runtime then sends the collected responses. The package does no I/O
// and owns only the responses of one step. Design note: docs/design.md.
package server

import (
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/codec"
)

// Request is a received request.
type Request struct {
	Handle   any  // identifies the request to the runtime
	FromPeer bool // received on the address that only the controllers use
	Method   string
	Target   string // path and query
	Body     []byte
}

// Response answers the request with the same handle.
type Response struct {
	Handle     any
	Status     int
	Body       []byte        // encoded in MessagePack; nil: none
	RetryAfter time.Duration // 0: not sent
}

// ValueResponse is a Response whose body is not encoded yet. The sender encodes it outside of the event loop's goroutine.
type ValueResponse struct {
	Handle     any
	Status     int
	Body       any
	RetryAfter time.Duration // 0: not sent
}

// ErrorResponse is the body of the response to a refused request.
type ErrorResponse struct {
	Error string `msgpack:"error"`
}

// Responder collects the responses of one step. It is not safe for concurrent use: only the goroutine that runs the step uses it.
type Responder struct {
	Log       *slog.Logger
	responses []Response
}

// Respond answers a request. The body is encoded in MessagePack; nil: no body. A retryAfter of 0 is not sent. If the body cannot be
// encoded, an error is logged and the status is 503.
func (r *Responder) Respond(request *Request, status int, body any, retryAfter time.Duration) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = codec.Marshal(body); err != nil {
			r.Log.Error("response encoding failed", logkeys.Path, request.Target, logkeys.Err, err)
			status, encoded = http.StatusServiceUnavailable, nil
		}
	}
	r.RespondRaw(request, status, encoded, retryAfter)
}

// RespondError answers a request with the reason for its refusal.
func (r *Responder) RespondError(request *Request, status int, message string, retryAfter time.Duration) {
	r.Respond(request, status, ErrorResponse{Error: message}, retryAfter)
}

// RespondRaw answers a request with a body that is already encoded, such as a forwarded response of a peer.
func (r *Responder) RespondRaw(request *Request, status int, body []byte, retryAfter time.Duration) {
	r.responses = append(r.responses, Response{Handle: request.Handle, Status: status, Body: body, RetryAfter: retryAfter})
}

// TakeResponses returns the collected responses and removes them from the Responder.
func (r *Responder) TakeResponses() []Response {
	responses := r.responses
	r.responses = nil
	return responses
}
