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

// World is everything outside of the controllers, and the controllers.
type World struct {
	Now     time.Time
	Rng     *rand.Rand
	Broken  []string // rules that were broken
	Opt     Options
	events  eventHeap
	seq     int
	nodes   []*controllerProcess
	State   *StateService
	Cloud   *Cloud
	Users   *Users
	model   *model
	cuts    map[string]time.Time // from|to -> until when nothing gets through
	apart   map[string]apart     // controllers that are cut off from far sides
	traps   []trap
	calm    time.Time // when all troubles so far are over
	started time.Time
	stepped time.Duration // real time that the owners have taken
	longest time.Duration // of these steps
	steps   int
	Log     *slog.Logger
}

// Options of a world.
type Options struct {
	Nodes       int
	Teams       []config.Team
	ReportEvery time.Duration
	Lease       time.Duration
	Cancel      time.Duration
	Loss        float64 // share of messages that are lost
	Late        float64 // share of requests that are held back and delivered late, after a cut
	Capacity    int     // machines of a kind that the cloud has; 0: a few
	Arrays      int     // a job has up to this many tasks; 0: a few
	Sound       bool    // no task fails of itself
	AskOnce     bool    // users do not ask about jobs that they know to be over
	Tuning      config.Options
	Unchecked   bool                   // teams' limits and forgotten results are not checked: both walk over very much
	Settings    func(*config.Platform) // changes what controllers are told of their platform
}

type controllerProcess struct {
	index  int
	cfg    *config.Platform
	node   *controller.Controller
	gen    int // outdates everything of an earlier process
	drift  float64
	booted time.Time
	paused time.Time
	queue  []controller.Input
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
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
func New(seed uint64, opt Options, log *slog.Logger) *World {
	start := time.Unix(1_000_000, 0)
	w := &World{
		Now:     start,
		started: start,
		Rng:     rand.New(rand.NewPCG(seed, 7)),
		Opt:     opt,
		cuts:    map[string]time.Time{},
		apart:   map[string]apart{},
		calm:    start,
		Log:     log,
	}
	w.State = newStateService(w)
	w.Cloud = newCloud(w)
	w.model = newModel(w)
	w.Users = newUsers(w)
	w.model.watchWaiting()
	for i := range opt.Nodes {
		c := &controllerProcess{index: i, cfg: w.settings(i), drift: (w.Rng.Float64() - 0.5) * 0.001}
		w.nodes = append(w.nodes, c)
		w.boot(c)
	}
	return w
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func (w *World) settings(i int) *config.Platform {
	p := &config.Platform{
		Name: nodeName(i), Zone: "a", PublicAddr: nodeName(i), PeerListenAddr: nodeName(i),
		Zones: []string{"a", "b"}, Teams: w.Opt.Teams,
		WorkerTiming: config.WorkerTiming{
			HeartbeatInterval: w.Opt.ReportEvery, WorkerLeaseDuration: w.Opt.Lease, CancelTimeout: w.Opt.Cancel,
		},
		StateLimits:  config.StateLimits{StateRequestRate: 200, StateWriteRate: 20, MaxValueBytes: 4096, MaxTransactionOps: 8},
		CloudLimits:  config.CloudLimits{CloudRequestRate: 5, CloudListLag: 2 * time.Second},
		ProcessQuota: config.ProcessQuota{CPUQuota: 1, MemoryQuotaMB: 100, MaxConnections: 1000},
	}
	if w.Opt.Settings != nil {
		w.Opt.Settings(p)
	}
	for j := range w.Opt.Nodes {
		if j != i {
			p.Peers = append(p.Peers, config.Peer{Name: nodeName(j), Addr: nodeName(j)})
		}
	}
	return p
}

// At schedules.
func (w *World) At(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.Now.Add(max(d, 0)), w.seq, do})
}

// Run plays for a span of virtual time or until a rule is broken.
func (w *World) Run(span time.Duration) {
	end := w.Now.Add(span)
	for len(w.events) > 0 && !w.events[0].at.After(end) && len(w.Broken) == 0 {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.do()
	}
	if len(w.Broken) == 0 {
		w.Now = end
	}
}

func (w *World) breakRule(format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%7.3f ", w.Now.Sub(w.started).Seconds())+fmt.Sprintf(format, args...))
}

// local is the controller's own steady clock.
func (w *World) local(c *controllerProcess) time.Time {
	run := w.Now.Sub(w.started)
	return w.Now.Add(time.Duration(float64(run) * c.drift))
}

func (w *World) boot(c *controllerProcess) {
	c.gen++
	c.booted = w.Now
	c.queue = nil
	rng := rand.New(rand.NewPCG(w.Rng.Uint64(), uint64(c.index)))
	c.node = controller.New(c.cfg, w.Opt.Tuning, w.local(c), rng, w.Log.With("node", c.cfg.Name, "at", w.Now.Sub(w.started)))
	gen := c.gen
	var tick func()
	tick = func() {
		if c.gen != gen {
			return
		}
		w.step(c)
		w.At(50*time.Millisecond, tick)
	}
	w.At(time.Duration(w.Rng.IntN(50))*time.Millisecond, tick)
}

// Crash ends a controller and starts it again later.
func (w *World) Crash(i int, back time.Duration) {
	c := w.nodes[i]
	if c.node == nil {
		return
	}
	c.node = nil
	c.gen++
	w.trouble(back)
	w.At(back, func() { w.boot(c) })
}

// Pause keeps a controller from doing anything for a while, as when it gets no processor.
func (w *World) Pause(i int, span time.Duration) {
	w.nodes[i].paused = w.Now.Add(span)
	w.trouble(span)
}

// deliver hands a command to a controller's queue.
func (w *World) deliver(c *controllerProcess, input controller.Input) {
	if c.node == nil {
		return
	}
	c.queue = append(c.queue, input)
	gen := c.gen
	w.At(time.Millisecond, func() {
		if c.gen == gen && len(c.queue) > 0 {
			w.step(c)
		}
	})
}

func (w *World) step(c *controllerProcess) {
	if w.Now.Before(c.paused) {
		gen := c.gen
		w.At(c.paused.Sub(w.Now), func() {
			if c.gen == gen {
				w.step(c)
			}
		})
		return
	}
	cmds := c.queue
	c.queue = nil
	began := time.Now()
	e := c.node.Step(w.local(c), cmds)
	took := time.Since(began)
	w.stepped += took
	w.longest = max(w.longest, took)
	w.steps++
	for _, r := range e.Responses {
		if f, ok := r.Handle.(func(server.Response)); ok {
			f(r)
		}
	}
	for _, call := range e.Calls {
		w.At(call.Delay, func() { w.call(c, c.gen, call) })
	}
}

// Cut holds everything between two hosts back for a while.
func (w *World) Cut(a, b string, span time.Duration) {
	w.CutOneWay(a, b, span)
	w.CutOneWay(b, a, span)
}

// travel is how long a message takes, or false if it never comes. What is sent into a cut
// is lost or comes after the cut, however late that is.
func (w *World) travel(from, to string) (time.Duration, bool) {
	d := time.Duration(200+w.Rng.IntN(3000)) * time.Microsecond
	if until := w.cutUntil(from, to); w.Now.Before(until) {
		if w.Rng.Float64() < w.Opt.Late {
			return until.Sub(w.Now) + d, true
		}
		return 0, false
	}
	if w.Rng.Float64() < w.Opt.Loss {
		return 0, false
	}
	if w.Rng.IntN(40) == 0 {
		d += time.Duration(w.Rng.IntN(400)) * time.Millisecond
	}
	return d, true
}

// call carries one of a controller's calls out. The far side may execute it although the
// caller has given up, or is dead.
func (w *World) call(c *controllerProcess, gen int, call client.Call) {
	if c.gen != gen || c.node == nil {
		return
	}
	settled := false
	settle := func(r client.Result) {
		if !settled && c.gen == gen {
			settled = true
			w.deliver(c, controller.Input{Outcome: &controller.Outcome{Call: call, Result: r}})
		}
	}
	w.At(call.Timeout, func() { settle(client.Result{}) })
	host := map[client.Destination]string{client.StateService: "state", client.CloudAPI: "cloud"}[call.Destination]
	if host == "" {
		host = call.Addr
	}
	body, err := encode(call.Body)
	if err != nil {
		w.breakRule("a body cannot be encoded: %v", err)
		return
	}
	there, ok := w.travel(c.cfg.Name, host)
	if !ok {
		return
	}
	moment := momentOf(call, body)
	answer := func(status int, body any) {
		switch moment {
		case keyWritten:
			if status == 200 {
				w.came(keyWritten, c.cfg.Name)
			}
		case promiseGiven:
			w.came(promiseGiven, call.Addr)
		}
		raw, err := encode(body)
		if err != nil {
			w.breakRule("an answer cannot be encoded: %v", err)
			return
		}
		if back, ok := w.travel(host, c.cfg.Name); ok {
			w.At(back, func() { settle(client.Result{Status: status, Body: raw}) })
		}
	}
	if moment == campaignSent || moment == yieldSent {
		w.came(moment, c.cfg.Name)
	}
	w.At(there, func() {
		switch call.Destination {
		case client.StateService:
			w.State.serve(c.cfg.Name, call.Method, call.Path, body, answer)
		case client.CloudAPI:
			w.Cloud.serve(call.Method, call.Path, body, answer)
		case client.WorkerAgent:
			w.Cloud.direct(call.Addr, body, answer)
		case client.PeerController:
			w.request(call.Addr, true, call.Method, call.Path, body, answer)
		}
	})
}

// request brings a request to a controller. False: no process is there, and the
// connection is refused.
func (w *World) request(name string, peer bool, method, path string, body []byte, answer func(int, any)) bool {
	for _, c := range w.nodes {
		if c.cfg.Name != name || c.node == nil {
			continue
		}
		reply := func(r server.Response) { answer(r.Status, encoded(r.Body)) }
		w.deliver(c, controller.Input{Request: &server.Request{Handle: reply, FromPeer: peer, Method: method, Target: path, Body: body}})
		return true
	}
	return false
}

// encoded is a body that is encoded already.
type encoded []byte

func encode(body any) ([]byte, error) {
	switch b := body.(type) {
	case nil:
		return nil, nil
	case encoded:
		return b, nil
	}
	if raw, ok := controller.ForwardedBody(body); ok {
		return raw, nil
	}
	return codec.Marshal(body)
}
