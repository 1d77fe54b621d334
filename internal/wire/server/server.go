// Package server carries what comes in to the owner loop and the answers that go out: the runtime
// (or the stand-in world of the tests) fills in requests, the slices answer them.
package server

import (
	"log/slog"
	"time"

	"gullrudder/internal/wire/codec"
)

// Request is a request that came in. Ref is the runtime's own.
type Request struct {
	Handle   any
	FromPeer bool
	Method   string
	Target   string
	Body     []byte
}

// Response answers a request.
type Response struct {
	Handle     any
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// Responder collects the replies of one step.
type Responder struct {
	Log       *slog.Logger
	responses []Response
}

// Respond answers a request with a body, or none if it is nil.
func (a *Responder) Respond(r *Request, status int, body any, retryAfter time.Duration) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = codec.Marshal(body); err != nil {
			a.Log.Error("an answer cannot be encoded", "error", err)
			status, raw = 503, nil
		}
	}
	a.responses = append(a.responses, Response{r.Handle, status, raw, retryAfter})
}

// RespondError answers a request with a reason.
func (a *Responder) RespondError(r *Request, status int, message string, retryAfter time.Duration) {
	a.Respond(r, status, map[string]string{"error": message}, retryAfter)
}

// RespondRaw answers a request with bytes that came from elsewhere.
func (a *Responder) RespondRaw(r *Request, status int, body []byte, retryAfter time.Duration) {
	a.responses = append(a.responses, Response{r.Handle, status, body, retryAfter})
}

// TakeResponses empties the collection.
func (a *Responder) TakeResponses() []Response {
	responses := a.responses
	a.responses = nil
	return responses
}
