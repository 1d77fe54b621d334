// Package inbox carries what comes in to the owner loop and the answers that go out: the runtime
// (or the stand-in world of the tests) fills in requests, the slices answer them.
package inbox

import (
	"log/slog"
	"time"

	"gullrudder/internal/wire/packed"
)

// Request is a request that came in. Ref is the runtime's own.
type Request struct {
	Ref    any
	Peer   bool
	Method string
	Target string
	Body   []byte
}

// Reply answers a request.
type Reply struct {
	Ref    any
	Status int
	Body   []byte
	Retry  time.Duration
}

// Answers collects the replies of one step.
type Answers struct {
	Log  *slog.Logger
	list []Reply
}

// Reply answers a request with a body, or none if it is nil.
func (a *Answers) Reply(r *Request, status int, body any, retry time.Duration) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = packed.Marshal(body); err != nil {
			a.Log.Error("an answer cannot be encoded", "error", err)
			status, raw = 503, nil
		}
	}
	a.list = append(a.list, Reply{r.Ref, status, raw, retry})
}

// Refuse answers a request with a reason.
func (a *Answers) Refuse(r *Request, status int, reason string, retry time.Duration) {
	a.Reply(r, status, map[string]string{"error": reason}, retry)
}

// Pass answers a request with bytes that came from elsewhere.
func (a *Answers) Pass(r *Request, status int, body []byte, retry time.Duration) {
	a.list = append(a.list, Reply{r.Ref, status, body, retry})
}

// Take empties the collection.
func (a *Answers) Take() []Reply {
	list := a.list
	a.list = nil
	return list
}
