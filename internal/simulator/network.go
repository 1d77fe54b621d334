package simulator

import (
	"net/http"
	"time"

	"gullrudder/internal/controller"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/server"
)

// Host names of everything except controllers and machines.
const (
	stateHost = "state"
	cloudHost = "cloud"
	userHost  = "user"
)

// CutLink cuts the link between two hosts in both directions for a span.
func (sim *Cluster) CutLink(a, b string, span time.Duration) {
	sim.CutLinkOneWay(a, b, span)
	sim.CutLinkOneWay(b, a, span)
}

// messageDelay returns the delivery delay of a message, or false if the message is lost. A message sent during a cut is lost or arrives
// after the end of the cut.
func (sim *Cluster) messageDelay(source, destination string) (time.Duration, bool) {
	delay := time.Duration(200+sim.Rand.IntN(3000)) * time.Microsecond
	if until := sim.linkCutUntil(source, destination); sim.Now.Before(until) {
		if sim.Rand.Float64() < sim.Options.LateShare {
			return until.Sub(sim.Now) + delay, true
		}
		return 0, false
	}
	if sim.Rand.Float64() < sim.Options.LossShare {
		return 0, false
	}
	if sim.Rand.IntN(40) == 0 {
		delay += time.Duration(sim.Rand.IntN(400)) * time.Millisecond
	}
	return delay, true
}

// performCall sends a controller's call. The receiver may execute it even if the caller has timed out or crashed.
func (sim *Cluster) performCall(process *controllerProcess, generation int, call client.Call) {
	if process.generation != generation || process.controller == nil {
		return
	}
	settled := false
	settle := func(result client.Result) {
		if !settled && process.generation == generation {
			settled = true
			sim.enqueue(process, controller.Input{Outcome: &controller.Outcome{Call: call, Result: result}})
		}
	}
	sim.At(call.Timeout, func() { settle(client.Result{}) })
	host := hostOf(call)
	body, err := encode(call.Body)
	if err != nil {
		sim.reportViolation(RuleMalformed, "a body cannot be encoded: %v", err)
		return
	}
	requestDelay, ok := sim.messageDelay(process.platform.Name, host)
	if !ok {
		return
	}
	event := electionEventOf(call, body)
	respond := func(status int, body any) {
		switch {
		case event == keyWritten && status == http.StatusOK:
			sim.electionEventReached(keyWritten, process.platform.Name)
		case event == grantSent:
			sim.electionEventReached(grantSent, call.Addr)
		}
		raw, err := encode(body)
		if err != nil {
			sim.reportViolation(RuleMalformed, "a response cannot be encoded: %v", err)
			return
		}
		if responseDelay, ok := sim.messageDelay(host, process.platform.Name); ok {
			sim.At(responseDelay, func() { settle(client.Result{Status: status, Body: raw}) })
		}
	}
	if event == campaignSent || event == leadershipReleased {
		sim.electionEventReached(event, process.platform.Name)
	}
	sim.At(requestDelay, func() { sim.serveCall(process.platform.Name, call, body, respond) })
}

// hostOf returns the name of the destination host of a call.
func hostOf(call client.Call) string {
	switch call.Destination {
	case client.StateService:
		return stateHost
	case client.CloudAPI:
		return cloudHost
	default:
		return call.Addr
	}
}

// serveCall executes a call at its destination.
func (sim *Cluster) serveCall(caller string, call client.Call, body []byte, respond responder) {
	switch call.Destination {
	case client.StateService:
		sim.State.serve(caller, call.Method, call.Path, body, respond)
	case client.CloudAPI:
		sim.Cloud.serve(call.Method, call.Path, body, respond)
	case client.WorkerAgent:
		sim.Cloud.serveDirect(call.Addr, body, respond)
	case client.PeerController:
		sim.deliverRequest(
			controllerRequest{controller: call.Addr, fromPeer: true, method: call.Method, path: call.Path, body: body},
			respond,
		)
	}
}

// responder receives the response to a request. encode encodes the body.
type responder func(status int, body any)

// ignoreResponse is a responder that drops the response.
func ignoreResponse(int, any) {}

// controllerRequest is a request to a controller.
type controllerRequest struct {
	controller string // name of the receiver
	fromPeer   bool   // it arrives at the listener for other controllers
	method     string
	path       string
	body       []byte
}

// deliverRequest delivers a request to a controller. It returns false if the controller does not run.
func (sim *Cluster) deliverRequest(request controllerRequest, respond responder) bool {
	for _, process := range sim.controllers {
		if process.platform.Name != request.controller || process.controller == nil {
			continue
		}
		reply := func(response server.Response) { respond(response.Status, preEncoded(response.Body)) }
		sim.enqueue(process, controller.Input{Request: &server.Request{
			Handle:   reply,
			FromPeer: request.fromPeer,
			Method:   request.method,
			Target:   request.path,
			Body:     request.body,
		}})
		return true
	}
	return false
}

// deliverHeartbeat delivers an encoded heartbeat to a controller, whose server refuses one that is too large. It returns false if the
// controller does not run.
func (sim *Cluster) deliverHeartbeat(controller string, heartbeat []byte, respond responder) bool {
	if len(heartbeat) > http1.MaxBodyBytes {
		respond(http.StatusRequestEntityTooLarge, nil)
		return true
	}
	return sim.deliverRequest(
		controllerRequest{controller: controller, method: http.MethodPost, path: "/v1/report", body: heartbeat},
		respond,
	)
}

// preEncoded is a body that is already encoded.
type preEncoded []byte

// encode encodes a body the way a controller's server does. A nil body stays nil.
func encode(body any) ([]byte, error) {
	switch body := body.(type) {
	case nil:
		return nil, nil
	case preEncoded:
		return body, nil
	}
	if raw, ok := controller.ForwardedBody(body); ok {
		return raw, nil
	}
	return codec.Marshal(body)
}
