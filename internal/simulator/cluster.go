// Package simulator is a world for the tests: state service, cloud, workers and users in
// virtual time, with crashes, cuts, lost, late and repeated messages. It plays the real
// owner code of several controllers and checks every rule with a slow plain model.
package simulator

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

// Cluster is everything outside of the controllers, and the controllers.
type Cluster struct {
	Now              time.Time
	Rand             *rand.Rand
	Violations       []string // rules that were broken
	Options          Options
	events           eventHeap
	lastSequence     int
	controllers      []*controllerProcess
	State            *StateService
	Cloud            *Cloud
	Users            *Users
	checker          *invariantChecker
	linkCuts         map[string]time.Time // from|to -> until when nothing gets through
	isolations       map[string]isolation // controllers that are cut off from far sides
	electionTriggers []electionTrigger
	faultsUntil      time.Time // when all troubles so far are over
	startedAt        time.Time
	stepDuration     time.Duration // real time that the owners have taken
	longestStep      time.Duration // of these steps
	stepCount        int
	Log              *slog.Logger
}

// Options of a world.
type Options struct {
	Controllers         int
	Teams               []config.Team
	HeartbeatInterval   time.Duration
	WorkerLease         time.Duration
	CancelTimeout       time.Duration
	LossShare           float64 // share of messages that are lost
	LateShare           float64 // share of requests that are held back and delivered late, after a cut
	MachinesPerKind     int     // machines of a kind that the cloud has; 0: a few
	MaxTasks            int     // a job has up to this many tasks; 0: a few
	NoTaskFailures      bool    // no task fails of itself
	StopPollingFinished bool    // users do not ask about jobs that they know to be over
	Tuning              config.Options
	SkipCostlyChecks    bool                   // teams' limits and forgotten results are not checked: both walk over very much
	AdjustPlatform      func(*config.Platform) // changes what controllers are told of their platform
}

type controllerProcess struct {
	index       int
	platform    *config.Platform
	controller  *controller.Controller
	generation  int // outdates everything of an earlier process
	drift       float64
	startedAt   time.Time
	pausedUntil time.Time
	queue       []controller.Command
}

type event struct {
	at       time.Time
	sequence int
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// New makes a world whose controllers have just started.
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

func controllerName(i int) string { return fmt.Sprintf("node-%d", i) }

func (w *Cluster) platformConfig(i int) *config.Platform {
	p := &config.Platform{
		Name: controllerName(i), Zone: "a", PublicAddr: controllerName(i), PeerListenAddr: controllerName(i),
		Zones: []string{"a", "b"}, Teams: w.Options.Teams,
		HeartbeatInterval: w.Options.HeartbeatInterval, WorkerLeaseDuration: w.Options.WorkerLease, CancelTimeout: w.Options.CancelTimeout,
		StateRequestRate: 200, StateWriteRate: 20, MaxValueBytes: 4096, MaxTransactionOps: 8, CloudRequestRate: 5, CloudListLag: 2 * time.Second,
		CPUQuota: 1, MemoryQuotaMB: 100, MaxConnections: 1000,
	}
	if w.Options.AdjustPlatform != nil {
		w.Options.AdjustPlatform(p)
	}
	for j := range w.Options.Controllers {
		if j != i {
			p.Peers = append(p.Peers, config.Peer{Name: controllerName(j), Addr: controllerName(j)})
		}
	}
	return p
}

// At schedules.
func (sim *Cluster) At(d time.Duration, do func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{sim.Now.Add(max(d, 0)), sim.lastSequence, do})
}

// Run plays for a span of virtual time or until a rule is broken.
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

func (sim *Cluster) reportViolation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%7.3f ", sim.Now.Sub(sim.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// localTime is the controller's own steady clock.
func (sim *Cluster) localTime(c *controllerProcess) time.Time {
	run := sim.Now.Sub(sim.startedAt)
	return sim.Now.Add(time.Duration(float64(run) * c.drift))
}

func (sim *Cluster) startController(c *controllerProcess) {
	c.generation++
	c.startedAt = sim.Now
	c.queue = nil
	rng := rand.New(rand.NewPCG(sim.Rand.Uint64(), uint64(c.index)))
	c.controller = controller.New(c.platform, sim.Options.Tuning, sim.localTime(c), rng, sim.Log.With("node", c.platform.Name, "at", sim.Now.Sub(sim.startedAt)))
	gen := c.generation
	var tick func()
	tick = func() {
		if c.generation != gen {
			return
		}
		sim.stepController(c)
		sim.At(50*time.Millisecond, tick)
	}
	sim.At(time.Duration(sim.Rand.IntN(50))*time.Millisecond, tick)
}

// Crash ends a controller and starts it again later.
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

// Pause keeps a controller from doing anything for a while, as when it gets no processor.
func (sim *Cluster) Pause(i int, span time.Duration) {
	sim.controllers[i].pausedUntil = sim.Now.Add(span)
	sim.extendFaults(span)
}

// enqueue hands a command to a controller's queue.
func (sim *Cluster) enqueue(c *controllerProcess, cmd controller.Command) {
	if c.controller == nil {
		return
	}
	c.queue = append(c.queue, cmd)
	gen := c.generation
	sim.At(time.Millisecond, func() {
		if c.generation == gen && len(c.queue) > 0 {
			sim.stepController(c)
		}
	})
}

func (sim *Cluster) stepController(c *controllerProcess) {
	if sim.Now.Before(c.pausedUntil) {
		gen := c.generation
		sim.At(c.pausedUntil.Sub(sim.Now), func() {
			if c.generation == gen {
				sim.stepController(c)
			}
		})
		return
	}
	cmds := c.queue
	c.queue = nil
	began := time.Now()
	e := c.controller.Step(sim.localTime(c), cmds)
	took := time.Since(began)
	sim.stepDuration += took
	sim.longestStep = max(sim.longestStep, took)
	sim.stepCount++
	for _, r := range e.Replies {
		if f, ok := r.Handle.(func(server.Response)); ok {
			f(r)
		}
	}
	for _, call := range e.Calls {
		sim.At(call.Delay, func() { sim.performCall(c, c.generation, call) })
	}
}

// CutLink holds everything between two hosts back for a while.
func (sim *Cluster) CutLink(a, b string, span time.Duration) {
	sim.CutLinkOneWay(a, b, span)
	sim.CutLinkOneWay(b, a, span)
}

// messageDelay is how long a message takes, or false if it never comes. What is sent into a cut
// is lost or comes after the cut, however late that is.
func (sim *Cluster) messageDelay(from, to string) (time.Duration, bool) {
	d := time.Duration(200+sim.Rand.IntN(3000)) * time.Microsecond
	if until := sim.linkCutUntil(from, to); sim.Now.Before(until) {
		if sim.Rand.Float64() < sim.Options.LateShare {
			return until.Sub(sim.Now) + d, true
		}
		return 0, false
	}
	if sim.Rand.Float64() < sim.Options.LossShare {
		return 0, false
	}
	if sim.Rand.IntN(40) == 0 {
		d += time.Duration(sim.Rand.IntN(400)) * time.Millisecond
	}
	return d, true
}

// performCall carries one of a controller's calls out. The far side may execute it although the
// caller has given up, or is dead.
func (sim *Cluster) performCall(c *controllerProcess, gen int, call client.Call) {
	if c.generation != gen || c.controller == nil {
		return
	}
	settled := false
	settle := func(r client.Result) {
		if !settled && c.generation == gen {
			settled = true
			sim.enqueue(c, controller.Command{Outcome: &controller.Outcome{Call: call, Result: r}})
		}
	}
	sim.At(call.Timeout, func() { settle(client.Result{}) })
	host := map[client.Destination]string{client.StateService: "state", client.CloudAPI: "cloud"}[call.Destination]
	if host == "" {
		host = call.Addr
	}
	body, err := encode(call.Body)
	if err != nil {
		sim.reportViolation("a body cannot be encoded: %v", err)
		return
	}
	there, ok := sim.messageDelay(c.platform.Name, host)
	if !ok {
		return
	}
	moment := electionEventOf(call, body)
	answer := func(status int, body any) {
		switch moment {
		case keyWritten:
			if status == 200 {
				sim.electionEventReached(keyWritten, c.platform.Name)
			}
		case grantSent:
			sim.electionEventReached(grantSent, call.Addr)
		}
		raw, err := encode(body)
		if err != nil {
			sim.reportViolation("an answer cannot be encoded: %v", err)
			return
		}
		if back, ok := sim.messageDelay(host, c.platform.Name); ok {
			sim.At(back, func() { settle(client.Result{Status: status, Body: raw}) })
		}
	}
	if moment == campaignSent || moment == leadershipReleased {
		sim.electionEventReached(moment, c.platform.Name)
	}
	sim.At(there, func() {
		switch call.Destination {
		case client.StateService:
			sim.State.serve(c.platform.Name, call.Method, call.Path, body, answer)
		case client.CloudAPI:
			sim.Cloud.serve(call.Method, call.Path, body, answer)
		case client.WorkerAgent:
			sim.Cloud.serveDirect(call.Addr, body, answer)
		case client.PeerController:
			sim.deliverRequest(call.Addr, true, call.Method, call.Path, body, answer)
		}
	})
}

// deliverRequest brings a request to a controller. False: no process is there, and the
// connection is refused.
func (sim *Cluster) deliverRequest(name string, peer bool, method, path string, body []byte, answer func(int, any)) bool {
	for _, c := range sim.controllers {
		if c.platform.Name != name || c.controller == nil {
			continue
		}
		reply := func(r server.Response) { answer(r.Status, preEncoded(r.Body)) }
		sim.enqueue(c, controller.Command{Request: &server.Request{Handle: reply, FromPeer: peer, Method: method, Target: path, Body: body}})
		return true
	}
	return false
}

// preEncoded is a body that is encoded already.
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
