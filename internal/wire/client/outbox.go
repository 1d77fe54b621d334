// Package client defines the calls from an event loop to other services. The components of a step add calls to an Outbox. The runtime (or a
// simulated cluster) executes them, and the event loop runs each call's Done with its result. The package does no I/O. It owns only the
// calls of one step and the tokens of its rate limiters. Design note: docs/design.md.
package client

import "time"

// Destination is the kind of service that a call goes to.
type Destination int

// The destinations of a controller's calls.
const (
	StateService   Destination = iota
	CloudAPI                   // the API of the cloud provider
	PeerController             // another controller
	WorkerAgent                // the worker of a machine
)

// Result is the result of a call. A status of 0 means that there was no response: it is uncertain whether the request was executed or will
// still be executed.
type Result struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration // of the response; 0: none
	Err        error         // why there was no response; nil if there was one
}

// IsUncertain reports whether it is unknown if the request was executed.
func (r Result) IsUncertain() bool { return r.Status == 0 }

// Call is one request.
type Call struct {
	Destination Destination
	Addr        string // host:port, for destinations with several addresses
	Method      string
	Path        string        // with the query
	Body        any           // encoded in MessagePack; nil: none
	Delay       time.Duration // time to wait before the request is sent
	Timeout     time.Duration
	Done        func(now time.Time, r Result) // runs on the event loop's goroutine, exactly once
}

// Outbox collects the calls of one step. It is not safe for concurrent use: only the goroutine that runs the step uses it.
type Outbox struct{ calls []Call }

// Add adds a call, which is sent after the step.
func (o *Outbox) Add(c Call) { o.calls = append(o.calls, c) }

// TakeCalls returns the collected calls and removes them from the Outbox.
func (o *Outbox) TakeCalls() []Call {
	calls := o.calls
	o.calls = nil
	return calls
}
