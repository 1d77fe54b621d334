package election

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// linkMode is what a link does with messages. Delayed messages arrive once the link is open again. A delayed response is
// ignored if its call has timed out.
type linkMode int

const (
	linkOpen linkMode = iota
	linkDropping
	linkDelaying          // requests are delayed until the link is open
	linkDelayingResponses // requests arrive without delay, responses are delayed until the link is open
	linkModeCount         // number of modes
)

// pendingCall is a call whose Done has not run yet.
type pendingCall struct {
	controller, incarnation int
	call                    client.Call
	expiresAt               time.Time
	isWatch                 bool
	settled                 bool
}

// delayedMessage is a message that a link delays. The key identifies it in the state of the model.
type delayedMessage struct {
	key     string
	deliver func()
}

// changeLink counts a fault if the new mode is not linkOpen. Opening a link delivers all delayed messages.
func (m *electionModel) changeLink(mode linkMode) {
	if mode != linkOpen {
		m.faultsLeft--
		return
	}
	list := m.delayed
	m.delayed = nil
	for _, message := range list {
		message.deliver()
	}
}

// send transmits the calls that a controller has made, except watches, which settlePending completes.
func (m *electionModel) send(controller int) {
	for _, call := range m.outboxes[controller].TakeCalls() {
		p := &pendingCall{
			controller: controller, incarnation: m.incarnations[controller], call: call,
			expiresAt: m.now.Add(call.Timeout), isWatch: strings.HasPrefix(call.Path, "/watch"),
		}
		m.pending = append(m.pending, p)
		if !p.isWatch {
			m.transmit(p)
		}
	}
}

// transmit delivers a call and its result according to the mode of the link.
func (m *electionModel) transmit(pending *pendingCall) {
	mode := m.stateLinks[pending.controller]
	if pending.call.Destination == client.PeerController {
		mode = m.peerLinks[pending.controller]
	}
	switch mode {
	case linkDelaying:
		m.delay(pending, func() { m.settle(pending, m.execute(pending.call)) })
	case linkDelayingResponses:
		result := m.execute(pending.call)
		m.delay(pending, func() { m.settle(pending, result) })
	case linkDropping:
	default:
		m.settle(pending, m.execute(pending.call))
	}
}

// execute delivers a call to its receiver and returns the result.
func (m *electionModel) execute(call client.Call) client.Result {
	if call.Destination == client.PeerController {
		return m.deliverToPeer(call)
	}
	return m.service.execute(m.now, call)
}

func (m *electionModel) delay(pending *pendingCall, deliver func()) {
	key := fmt.Sprint(pending.controller, pending.call.Path, pending.call.Body)
	m.delayed = append(m.delayed, delayedMessage{key, deliver})
}

// settlePending completes watches of the leader's key once the key is absent, and fails the calls that have timed out.
func (m *electionModel) settlePending() {
	for _, p := range slices.Clone(m.pending) {
		isCurrent := m.incarnations[p.controller] == p.incarnation
		if p.isWatch && isCurrent && m.service.holder.LeaseID == 0 && m.stateLinks[p.controller] == linkOpen {
			m.settle(p, m.service.keyDeleted())
		}
		if !m.now.Before(p.expiresAt) {
			m.settle(p, client.Result{})
		}
	}
	m.pending = slices.DeleteFunc(m.pending, func(p *pendingCall) bool {
		return p.settled || m.incarnations[p.controller] != p.incarnation
	})
}

// settle runs Done of a call, at most once, and only if the process that made the call has not restarted.
func (m *electionModel) settle(pending *pendingCall, result client.Result) {
	if pending.settled {
		return
	}
	pending.settled = true
	if m.incarnations[pending.controller] != pending.incarnation {
		return
	}
	pending.call.Done(m.now, result)
	m.mutateResult(pending, result)
	m.send(pending.controller)
}

// mutateResult changes the state of the leader like a mutant that misinterprets the result of a call.
func (m *electionModel) mutateResult(pending *pendingCall, result client.Result) {
	e := m.controllers[pending.controller]
	if result.Status != http.StatusOK || e.role != roleLeader {
		return
	}
	if strings.HasSuffix(pending.call.Path, "/touch") && m.mutant == leaseCountsFromResponse {
		e.lease.validUntil = m.now.Add(e.options.shortenForDrift(e.options.LeaseDuration))
	}
	var response PingResponse
	if pending.call.Path != "/peer/hello" || codec.Unmarshal(result.Body, &response) != nil || !response.Granted {
		return
	}
	grant := e.leader.grants[pending.call.Addr]
	switch {
	case grant == nil:
	case m.mutant == grantCountsFromResponse:
		grant.sentAt = m.now
	case m.mutant == singleGrantExtendsLease:
		for _, other := range e.leader.grants {
			other.sentAt, other.granted = grant.sentAt, grant.granted
		}
	}
}

// deliverToPeer delivers a call to another controller and returns its result. The call fails unless the receiver's link to
// its peers is open.
func (m *electionModel) deliverToPeer(call client.Call) client.Result {
	peer := int(call.Addr[0] - '0')
	if m.peerLinks[peer] != linkOpen {
		return client.Result{}
	}
	e := m.controllers[peer]
	if call.Path == "/peer/inquiry" {
		return success(m.t, e.HandleLeaderQuery(m.now))
	}
	request := call.Body.(PingRequest)
	if m.mutant == grantByNonFollower && e.role != roleFollower {
		return success(m.t, PingResponse{Granted: true})
	}
	isCurrent := request.StateLoaded && request.FencingToken >= e.follower.grant.fencingToken && request.EchoedNonce != 0
	if m.mutant == ageCountsFromArrival && isCurrent {
		e.renewalLimit.RecordLoaded(m.now.Add(-request.OldestCancellationAge))
	}
	grantedUntil := e.follower.grant.until
	response := e.HandlePing(m.now, request)
	if m.mutant == grantNotRecorded {
		e.follower.grant.until = grantedUntil
	}
	return success(m.t, response)
}
