// Package reachability tracks both directions of the link between the leader and each machine: what a heartbeat proves about
// its machine, and whether the machine receives what the leader sends. A Tracker owns the state of the links. It is made at each
// election and kept in memory only. It decides which heartbeat is stale and whether a machine may get starts. It sends nothing,
// and never says that a task is gone.
//
// A heartbeat may arrive twice and late, so it proves only that its machine lived when it was sent. An answer to a probe, on a
// connection that the leader opened, is certainly fresh. A machine whose heartbeats arrive may still be unreachable (an
// asymmetric partition): its starts never appear, its lease expires although its heartbeats got a 200, its probes fail.
// docs/design/reachability.md has the alternatives that were considered, and the limits.
package reachability

import (
	"log/slog"
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"
)

const (
	// probeInterval is how long a machine has to answer a probe before it is probed again.
	probeInterval = time.Second
	// maxUnansweredProbes is the number of failed probes in a row from which a machine counts as unresponsive.
	maxUnansweredProbes = 2
	// workerResponseTimeout is how long a worker waits for the response to a heartbeat before it tries another controller.
	workerResponseTimeout = 4 * time.Second
	// promptInterval is below workerResponseTimeout, with a margin for the network: a worker that sends two heartbeats to this
	// controller within it received the response to the first.
	promptInterval = 3500 * time.Millisecond
	// maxIneffectiveResponses is the number of responses that did not raise a machine's fencing token which show, together with
	// maxUnansweredProbes, that it does not receive them.
	maxIneffectiveResponses = 2
)

// linkState is what is known of the link to one machine.
type linkState struct {
	suspicion     Suspicion
	suspectSince  time.Time // when the suspicion arose, or the counters were reset
	countersReset bool      // the worker lost its counters: its heartbeats cannot be told from late ones until its incarnation is higher

	position        workerapi.Position // of the newest heartbeat
	lastHeartbeatAt time.Time          // when that arrived
	acknowledged    bool               // it got a 200

	lastProbeAt          time.Time // when a probe was last sent
	lastProbeAnswerAt    time.Time
	unansweredProbes     int // in a row
	ineffectiveResponses int // 200s after which the machine still reported another fencing token
}

// Tracker keeps the state of the links to all machines. Only the event loop may call it.
type Tracker struct {
	fencingToken  uint64
	leaseDuration time.Duration
	log           *slog.Logger
	metrics       *Metrics
	links         map[string]*linkState // by machine ID
	probeRequests []*worker.Machine
}

// NewTracker returns the Tracker of a leader that was elected with this fencing token. lease is the duration of a worker's lease,
// without a margin.
func NewTracker(fencingToken uint64, leaseDuration time.Duration, metrics *Metrics, log *slog.Logger) *Tracker {
	return &Tracker{fencingToken: fencingToken, leaseDuration: leaseDuration, metrics: metrics, log: log, links: map[string]*linkState{}}
}

// Forget drops the link of a machine that is gone.
func (t *Tracker) Forget(machineID string) { delete(t.links, machineID) }

func (t *Tracker) linkOf(machine *worker.Machine) *linkState {
	link := t.links[machine.ID]
	if link == nil {
		link = &linkState{suspicion: Unconfirmed}
		t.links[machine.ID] = link
	}
	return link
}
