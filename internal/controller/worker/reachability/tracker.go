// Package reachability tracks both directions of the link between the leader and each machine: what a heartbeat proves about
// its machine, and whether the machine receives the leader's messages. A Tracker owns the state of the links. It is created at
// each election and kept in memory only. It decides which heartbeats are stale and whether a machine may be sent start commands. It
// sends nothing, and does not decide whether a task has ended.
//
// A heartbeat may be duplicated and delayed, so it proves only that its machine was alive when it was sent. A response to a probe
// arrives on a connection that the leader opened and is certainly fresh. A machine whose heartbeats arrive may still be unreachable (an
// asymmetric partition). Then the attempts that it should start never appear, its lease expires although its heartbeats were answered
// with status 200, or its probes fail. Design note, with alternatives and limits: docs/design/reachability.md.
package reachability

import (
	"log/slog"
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"
)

const (
	// probeInterval is the minimum time between two probes of a machine.
	probeInterval = time.Second
	// maxUnansweredProbes is the number of failed probes in a row after which a machine counts as unresponsive.
	maxUnansweredProbes = 2
	// workerResponseTimeout is how long a worker waits for the response to a heartbeat before it tries another controller.
	workerResponseTimeout = 4 * time.Second
	// promptInterval is below workerResponseTimeout, with a margin for the network. A worker that sends two heartbeats to this
	// controller within it has received the response to the first.
	promptInterval = 3500 * time.Millisecond
	// maxIneffectiveResponses is the number of responses after which a machine still reports another fencing token. With
	// maxUnansweredProbes failed probes in addition, the machine counts as not receiving responses.
	maxIneffectiveResponses = 2
)

// linkState is the state of the link to one machine.
type linkState struct {
	suspicion     suspicionReason
	suspectSince  time.Time // when the suspicion arose, or the counters were reset
	countersReset bool      // the worker lost its counters, see showsCountersReset

	position        workerapi.Position // of the newest heartbeat
	lastHeartbeatAt time.Time          // when the newest heartbeat arrived
	acknowledged    bool               // the newest heartbeat was answered with status 200

	lastProbeAt          time.Time // when the last probe was sent
	lastProbeResponseAt  time.Time
	unansweredProbes     int // in a row
	ineffectiveResponses int // responses with status 200 after which the machine still reported another fencing token
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

// New returns the Tracker of a leader that was elected with this fencing token. leaseDuration is the duration of a worker's lease
// without a margin.
func New(fencingToken uint64, leaseDuration time.Duration, metrics *Metrics, log *slog.Logger) *Tracker {
	return &Tracker{fencingToken: fencingToken, leaseDuration: leaseDuration, metrics: metrics, log: log, links: map[string]*linkState{}}
}

// Forget drops the link of a machine that no longer exists.
func (t *Tracker) Forget(machineID string) { delete(t.links, machineID) }

func (t *Tracker) linkOf(machine *worker.Machine) *linkState {
	link := t.links[machine.ID]
	if link == nil {
		link = &linkState{suspicion: unconfirmed}
		t.links[machine.ID] = link
	}
	return link
}
