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

// linkMode is what a link does with messages. What is delayed arrives once the link is open again; a response counts
// only if its call has not timed out.
type linkMode int

const (
	linkOpen linkMode = iota
	linkDropping
	linkHolding          // requests wait until the link is open
	linkHoldingResponses // requests arrive at once, responses wait until the link is open
	linkModes            // the number of modes
)

// pendingCall is a call whose Done has not run yet.
type pendingCall struct {
	controller, incarnation int
	call                    client.Call
	expiresAt               time.Time
	isWatch                 bool
	settled                 bool
}

// delayedMessage is one that a link holds. The key distinguishes states of the model.
type delayedMessage struct {
	key     string
	deliver func()
}

// changeLink counts a fault; opening a link is none, and delivers what was delayed.
func (w *electionModel) changeLink(mode linkMode) {
	if mode != linkOpen {
		w.faultsLeft--
		return
	}
	list := w.delayed
	w.delayed = nil
	for _, message := range list {
		message.deliver()
	}
}

// send carries out the calls that a controller has made.
func (w *electionModel) send(controller int) {
	for _, call := range w.outboxes[controller].TakeCalls() {
		p := &pendingCall{
			controller: controller, incarnation: w.incarnations[controller], call: call,
			expiresAt: w.now.Add(call.Timeout), isWatch: strings.HasPrefix(call.Path, "/watch"),
		}
		w.pending = append(w.pending, p)
		if !p.isWatch {
			w.transmit(p)
		}
	}
}

// transmit brings a call to its receiver and the result back, as the link allows.
func (w *electionModel) transmit(pending *pendingCall) {
	mode := w.stateLinks[pending.controller]
	if pending.call.Destination == client.PeerController {
		mode = w.peerLinks[pending.controller]
	}
	switch mode {
	case linkHolding:
		w.delay(pending, func() { w.settle(pending, w.execute(pending.call)) })
	case linkHoldingResponses:
		result := w.execute(pending.call)
		w.delay(pending, func() { w.settle(pending, result) })
	case linkDropping:
	default:
		w.settle(pending, w.execute(pending.call))
	}
}

// execute brings a call to its receiver and returns the response.
func (w *electionModel) execute(call client.Call) client.Result {
	if call.Destination == client.PeerController {
		return w.deliverToPeer(call)
	}
	return w.service.execute(w.now, call)
}

func (w *electionModel) delay(pending *pendingCall, deliver func()) {
	key := fmt.Sprint(pending.controller, pending.call.Path, pending.call.Body)
	w.delayed = append(w.delayed, delayedMessage{key, deliver})
}

// settlePending answers watches of the leader's key once it is absent, and gives up the calls that have timed out.
func (w *electionModel) settlePending() {
	for _, p := range slices.Clone(w.pending) {
		isCurrent := w.incarnations[p.controller] == p.incarnation
		if p.isWatch && isCurrent && w.service.holder.LeaseID == 0 && w.stateLinks[p.controller] == linkOpen {
			w.settle(p, w.service.keyDeleted())
		}
		if !w.now.Before(p.expiresAt) {
			w.settle(p, client.Result{})
		}
	}
	w.pending = slices.DeleteFunc(w.pending, func(p *pendingCall) bool {
		return p.settled || w.incarnations[p.controller] != p.incarnation
	})
}

// settle runs a call's Done, once, unless the process that made it has ended.
func (w *electionModel) settle(pending *pendingCall, result client.Result) {
	if pending.settled {
		return
	}
	pending.settled = true
	if w.incarnations[pending.controller] != pending.incarnation {
		return
	}
	pending.call.Done(w.now, result)
	w.mutateResult(pending, result)
	w.send(pending.controller)
}

// mutateResult makes the mistakes of the mutants that misinterpret a result.
func (w *electionModel) mutateResult(pending *pendingCall, result client.Result) {
	e := w.controllers[pending.controller]
	if result.Status != http.StatusOK || e.role != roleLeader {
		return
	}
	if strings.HasSuffix(pending.call.Path, "/touch") && w.mutant == renewalFromResponse {
		e.lease.validUntil = w.now.Add(e.options.reliedDuration(e.options.LeaseDuration))
	}
	var response PingResponse
	if pending.call.Path != "/peer/hello" || codec.Unmarshal(result.Body, &response) != nil || !response.Granted {
		return
	}
	grant := e.leader.grants[pending.call.Addr]
	switch {
	case grant == nil:
	case w.mutant == grantCountsFromResponse:
		grant.sentAt = w.now
	case w.mutant == oneGrantSuffices:
		for _, other := range e.leader.grants {
			other.sentAt, other.granted = grant.sentAt, grant.granted
		}
	}
}

// deliverToPeer brings a message to another controller. Its response uses the link of that one.
func (w *electionModel) deliverToPeer(call client.Call) client.Result {
	peer := int(call.Addr[0] - '0')
	if w.peerLinks[peer] != linkOpen {
		return client.Result{}
	}
	e := w.controllers[peer]
	if call.Path == "/peer/inquiry" {
		return success(w.t, e.HandleVoteQuery(w.now))
	}
	request := call.Body.(PingRequest)
	if w.mutant == grantByNonFollower && e.role != roleFollower {
		return success(w.t, PingResponse{Granted: true})
	}
	isCurrent := request.StateLoaded && request.FencingToken >= e.follower.grant.fencingToken && request.EchoedNonce != 0
	if w.mutant == ageCountsFromArrival && isCurrent {
		e.renewalLimit.RecordLoaded(w.now.Add(-request.OldestCancellationAge))
	}
	grantedUntil := e.follower.grant.until
	response := e.HandlePing(w.now, request)
	if w.mutant == grantDoesNotBind {
		e.follower.grant.until = grantedUntil
	}
	return success(w.t, response)
}
