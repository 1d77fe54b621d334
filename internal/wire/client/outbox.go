// Package client carries requests from the owner of a component's state to the outside: the components of a step add calls to an
// Outbox, the runtime (or a simulated cluster) carries them out, and the owner runs each call's Done with its result. The package
// does no I/O and owns nothing but the calls of one step and the levels of its rate limiters.
package client

import "time"

// Destination names the far side of a call.
type Destination int

// The far sides that a controller speaks to.
const (
	StateService   Destination = iota
	CloudAPI                   // of the cloud that machines are requested from
	PeerController             // another controller
	WorkerAgent                // the worker of a machine
)

// Result is what came of a call. A status of 0 means that no response came: it is uncertain whether the request was, or will yet be,
// executed.
type Result struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration // as the far side asked; 0: it did not
	Err        error         // why no response came
}

// IsUncertain reports whether it is uncertain that the request was executed.
func (r Result) IsUncertain() bool { return r.Status == 0 }

// Call is one request.
type Call struct {
	Destination Destination
	Addr        string // host:port, for destinations that have many
	Method      string
	Path        string // with the query
	Body        any    // encoded in MessagePack; nil: none
	Delay       time.Duration
	Timeout     time.Duration
	Done        func(now time.Time, r Result) // runs on the owner's goroutine, exactly once
}

// Outbox collects the calls of one step. It belongs to the goroutine that runs the step.
type Outbox struct{ calls []Call }

// Add adds a call, which is sent after the step.
func (o *Outbox) Add(c Call) { o.calls = append(o.calls, c) }

// TakeCalls returns what has been collected and starts anew.
func (o *Outbox) TakeCalls() []Call {
	calls := o.calls
	o.calls = nil
	return calls
}
