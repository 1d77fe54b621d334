// Package simulator runs the real code of several controllers against a simulated state service, cloud, workers and users, in
// virtual time. It injects crashes, partitions, outages and lost, late and duplicated messages, and checks every rule of the protocol
// against a simple model of the run. Random choices come from the seed. It is for tests and cmd/faulttest only and owns no production
// state. docs/design/fault-combinations.md says which combinations of faults are tested.
package simulator

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

// Cluster is one simulated cluster: the controllers and everything that they talk to. It is used by one goroutine.
type Cluster struct {
	Now              time.Time
	Rand             *rand.Rand
	Violations       []Violation // rules that were broken; Run stops at the first
	Options          Options
	events           eventHeap
	lastSequence     int
	controllers      []*controllerProcess
	State            *StateService
	Cloud            *Cloud
	Users            *Users
	checker          *invariantChecker
	linkCuts         map[string]time.Time // from|to -> until when no message gets through
	isolations       map[string]isolation // controllers that are cut off from groups of hosts
	electionTriggers []electionTrigger
	faultsUntil      time.Time // when all faults that were injected so far are over
	startedAt        time.Time
	stepDuration     time.Duration // real time that all steps of controllers have taken
	longestStep      time.Duration // real time of the longest of these steps
	stepCount        int
	Log              *slog.Logger
}

// Options of a simulated cluster.
type Options struct {
	Controllers         int
	Teams               []config.Team
	HeartbeatInterval   time.Duration
	WorkerLease         time.Duration
	CancelTimeout       time.Duration
	LossShare           float64 // share of messages that are lost
	LateShare           float64 // share of the messages sent during a cut that arrive after it; the others are lost
	MachinesPerKind     int     // machines that the cloud has of each type, zone and kind; 0: six
	MaxTasks            int     // the most tasks of a random job; 0: nine
	NoTaskFailures      bool    // tasks fail only on faulty machines
	StopPollingFinished bool    // users do not poll jobs that they know to be done or cancelled
	Tuning              config.Options
	SkipCostlyChecks    bool                   // no checks of quotas and of the durability of results
	AdjustPlatform      func(*config.Platform) // changes the platform's configuration of each controller
}

// controllerProcess is the process of one controller: it crashes and restarts, and its clock drifts.
type controllerProcess struct {
	index       int
	platform    *config.Platform
	controller  *controller.Controller
	generation  int // invalidates events of an earlier process
	drift       float64
	startedAt   time.Time
	pausedUntil time.Time
	queue       []controller.Input
}

type event struct {
	at       time.Time
	sequence int
	action   func()
}

// eventHeap orders events by time, those of the same moment as they were scheduled. It implements heap.Interface.
type eventHeap []event

// Len is the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether event i comes before event j.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is called by package heap only.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is called by package heap only.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// New returns a cluster whose controllers have just started and that has no machines yet.
func New(seed uint64, opt Options, log *slog.Logger) *Cluster {
	start := time.Unix(1_000_000, 0)
	w := &Cluster{
		Now:         start,
		startedAt:   start,
		Rand:        rand.New(rand.NewPCG(seed, 7)),
		Options:     opt,
		linkCuts:    map[string]time.Time{},
		isolations:  map[string]isolation{},
		faultsUntil: start,
		Log:         log,
	}
	w.State = newStateService(w)
	w.Cloud = newCloud(w)
	w.checker = newInvariantChecker(w)
	w.Users = newUsers(w)
	w.checker.watchQueue()
	for i := range opt.Controllers {
		c := &controllerProcess{index: i, platform: w.platformConfig(i), drift: (w.Rand.Float64() - 0.5) * 0.001}
		w.controllers = append(w.controllers, c)
		w.startController(c)
	}
	return w
}

const ( // names of hosts besides the controllers and machines
	stateHost = "state"
	cloudHost = "cloud"
	userHost  = "user"
)

// controllerName is the name and address of a controller.
func controllerName(i int) string { return fmt.Sprintf("node-%d", i) }

func (sim *Cluster) platformConfig(index int) *config.Platform {
	platform := &config.Platform{
		Name: controllerName(index), Zone: "a", PublicAddr: controllerName(index), PeerListenAddr: controllerName(index),
		Zones: []string{"a", "b"}, Teams: sim.Options.Teams,
		WorkerTiming: config.WorkerTiming{
			HeartbeatInterval:   sim.Options.HeartbeatInterval,
			WorkerLeaseDuration: sim.Options.WorkerLease,
			CancelTimeout:       sim.Options.CancelTimeout,
		},
		StateLimits:  config.StateLimits{StateRequestRate: 200, StateWriteRate: 20, MaxValueBytes: 4096, MaxTransactionOps: 8},
		CloudLimits:  config.CloudLimits{CloudRequestRate: 5, CloudListLag: 2 * time.Second},
		ProcessQuota: config.ProcessQuota{CPUQuota: 1, MemoryQuotaMB: 100, MaxConnections: 1000},
	}
	if sim.Options.AdjustPlatform != nil {
		sim.Options.AdjustPlatform(platform)
	}
	for j := range sim.Options.Controllers {
		if j != index {
			platform.Peers = append(platform.Peers, config.Peer{Name: controllerName(j), Addr: controllerName(j)})
		}
	}
	return platform
}

// At schedules action after a delay in virtual time. Actions of the same moment run in the order in which they were scheduled.
func (sim *Cluster) At(d time.Duration, do func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{sim.Now.Add(max(d, 0)), sim.lastSequence, do})
}

// Run simulates a span of virtual time, or until a rule is broken.
func (sim *Cluster) Run(span time.Duration) {
	end := sim.Now.Add(span)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) && len(sim.Violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.Now = e.at
		e.action()
	}
	if len(sim.Violations) == 0 {
		sim.Now = end
	}
}

// localTime is the controller's own monotonic clock, which drifts.
func (sim *Cluster) localTime(process *controllerProcess) time.Time {
	run := sim.Now.Sub(sim.startedAt)
	return sim.Now.Add(time.Duration(float64(run) * process.drift))
}

func (sim *Cluster) startController(process *controllerProcess) {
	process.generation++
	process.startedAt = sim.Now
	process.queue = nil
	rng := rand.New(rand.NewPCG(sim.Rand.Uint64(), uint64(process.index)))
	process.controller = controller.New(
		process.platform,
		sim.Options.Tuning,
		sim.localTime(process),
		rng,
		sim.Log.With("node", process.platform.Name, "at", sim.Now.Sub(sim.startedAt)),
	)
	gen := process.generation
	var tick func()
	tick = func() {
		if process.generation != gen {
			return
		}
		sim.stepController(process)
		sim.At(50*time.Millisecond, tick)
	}
	sim.At(time.Duration(sim.Rand.IntN(50))*time.Millisecond, tick)
}

// Crash kills a controller and starts it again after a while, without its memory.
func (sim *Cluster) Crash(i int, back time.Duration) {
	c := sim.controllers[i]
	if c.controller == nil {
		return
	}
	c.controller = nil
	c.generation++
	sim.extendFaults(back)
	sim.At(back, func() { sim.startController(c) })
}

// Pause suspends a controller, as when it gets no processor.
func (sim *Cluster) Pause(i int, span time.Duration) {
	sim.controllers[i].pausedUntil = sim.Now.Add(span)
	sim.extendFaults(span)
}

// enqueue appends a command to a controller's queue.
func (sim *Cluster) enqueue(process *controllerProcess, cmd controller.Input) {
	if process.controller == nil {
		return
	}
	process.queue = append(process.queue, cmd)
	gen := process.generation
	sim.At(time.Millisecond, func() {
		if process.generation == gen && len(process.queue) > 0 {
			sim.stepController(process)
		}
	})
}

func (sim *Cluster) stepController(process *controllerProcess) {
	if sim.Now.Before(process.pausedUntil) {
		gen := process.generation
		sim.At(process.pausedUntil.Sub(sim.Now), func() {
			if process.generation == gen {
				sim.stepController(process)
			}
		})
		return
	}
	commands := process.queue
	process.queue = nil
	began := time.Now()
	effects := process.controller.Step(sim.localTime(process), commands)
	took := time.Since(began)
	sim.stepDuration += took
	sim.longestStep = max(sim.longestStep, took)
	sim.stepCount++
	for _, reply := range effects.Responses {
		if f, ok := reply.Handle.(func(server.Response)); ok {
			f(reply)
		}
	}
	for _, call := range effects.Calls {
		sim.At(call.Delay, func() { sim.performCall(process, process.generation, call) })
	}
}

// CutLink cuts two hosts off from each other in both directions.
func (sim *Cluster) CutLink(a, b string, span time.Duration) {
	sim.CutLinkOneWay(a, b, span)
	sim.CutLinkOneWay(b, a, span)
}

// messageDelay is how long a message travels, false if it is lost. What is sent during a cut is lost or arrives after it, however late.
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

// performCall carries out a controller's call. The receiver may execute it although the caller has timed out or crashed.
func (sim *Cluster) performCall(process *controllerProcess, gen int, call client.Call) {
	if process.generation != gen || process.controller == nil {
		return
	}
	settled := false
	settle := func(r client.Result) {
		if !settled && process.generation == gen {
			settled = true
			sim.enqueue(process, controller.Input{Outcome: &controller.Outcome{Call: call, Result: r}})
		}
	}
	sim.At(call.Timeout, func() { settle(client.Result{}) })
	host := hostOf(call)
	body, err := encode(call.Body)
	if err != nil {
		sim.reportViolation(RuleMalformed, "a body cannot be encoded: %v", err)
		return
	}
	there, ok := sim.messageDelay(process.platform.Name, host)
	if !ok {
		return
	}
	event := electionEventOf(call, body)
	respond := func(status int, body any) {
		switch {
		case event == keyWritten && status == 200:
			sim.electionEventReached(keyWritten, process.platform.Name)
		case event == grantSent:
			sim.electionEventReached(grantSent, call.Addr)
		}
		raw, err := encode(body)
		if err != nil {
			sim.reportViolation(RuleMalformed, "a response cannot be encoded: %v", err)
			return
		}
		if back, ok := sim.messageDelay(host, process.platform.Name); ok {
			sim.At(back, func() { settle(client.Result{Status: status, Body: raw}) })
		}
	}
	if event == campaignSent || event == leadershipReleased {
		sim.electionEventReached(event, process.platform.Name)
	}
	sim.At(there, func() { sim.serveCall(process.platform.Name, call, body, respond) })
}

// hostOf is the name of the host that a call goes to.
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

// serveCall executes a call at its receiver.
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

// responder receives the response to a request. The body is encoded by encode.
type responder func(status int, body any)

// ignoreResponse is the responder of requests whose response nobody reads.
func ignoreResponse(int, any) {}

// controllerRequest is a request as it arrives at a controller.
type controllerRequest struct {
	controller string // name of the receiver
	fromPeer   bool   // it came over the listener for other controllers
	method     string
	path       string
	body       []byte
}

// deliverRequest delivers a request to a controller. It returns false if no process runs there.
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

// deliverHeartbeat delivers an encoded heartbeat to a controller. It returns false if no process runs there.
func (sim *Cluster) deliverHeartbeat(controller string, heartbeat []byte, respond responder) bool {
	return sim.deliverRequest(
		controllerRequest{controller: controller, method: http.MethodPost, path: "/v1/report", body: heartbeat},
		respond,
	)
}

// preEncoded is a body that needs no encoding.
type preEncoded []byte

func encode(body any) ([]byte, error) {
	switch b := body.(type) {
	case nil:
		return nil, nil
	case preEncoded:
		return b, nil
	}
	if raw, ok := controller.ForwardedBody(body); ok {
		return raw, nil
	}
	return codec.Marshal(body)
}
