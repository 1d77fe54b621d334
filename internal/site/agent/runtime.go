package agent

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"gullrudder/internal/site/datadir"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"

	"golang.org/x/sys/unix"
)

// Place is where a worker is and whom it works for.
type Place struct {
	Dir  string              // of this worker alone
	Name string              // among the site's workers
	Pool string              // address of the pool
	As   *syscall.Credential // whom tasks run as; nil: as the worker does
	Free uint64              // bytes of disk below which nothing is started
}

// Runtime connects a State with the clock, the network and the processes.
type Runtime struct {
	opt    Options
	place  Place
	log    *slog.Logger
	state  *State
	runner *Runner
	queue  chan Input
	look   chan struct{} // the pool is to be asked at once
	epoch  uint64
	mu     sync.Mutex
	seen   Greeting          // what the pool is told next
	descs  map[string][]byte // of the jobs that were seen last; they never change
}

// Greeting is what a worker tells the pool, every so often and whenever it changes.
type Greeting struct {
	Name     string   `msgpack:"name"`
	Addr     string   `msgpack:"addr"`
	Type     string   `msgpack:"type"`
	Zone     string   `msgpack:"zone"`
	CPUs     float64  `msgpack:"cpus"`
	MemGB    float64  `msgpack:"mem_gb"`
	Epoch    uint64   `msgpack:"epoch"`    // of the process
	Holding  string   `msgpack:"holding"`  // the machine that it is, or whose tasks may still be there
	Applied  uint64   `msgpack:"applied"`  // the serial of the last charge that was taken in
	Busy     int      `msgpack:"busy"`     // tasks
	FreeDisk uint64   `msgpack:"free"`     // bytes
	Failures []string `msgpack:"failures"` // results, in JSON: nothing binary is sent anywhere
}

// Charge is the pool's answer: what the worker is to be.
type Charge struct {
	Machine string `msgpack:"machine"`
	Notice  bool   `msgpack:"notice"`
	Serial  uint64 `msgpack:"serial"`
}

const (
	greetEvery   = time.Second
	tickEvery    = 50 * time.Millisecond
	mostFailures = 16 // told at a time
	mostDescs    = 256
)

func identity(path string) (string, error) {
	if raw, err := os.ReadFile(path); err == nil && len(raw) >= 16 {
		return strings.TrimSpace(string(raw)), nil
	}
	b := make([]byte, 12)
	if _, err := rand.Read(b); err != nil {
		return "", err
	}
	id := hex.EncodeToString(b)
	return id, os.WriteFile(path, []byte(id), 0o600)
}

// clock tells the time since the machine started, sleep included: a lease ends while a machine sleeps,
// and no change of the time of day moves it.
func clock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// NewRuntime ends what an earlier process left and makes the worker.
func NewRuntime(opt Options, place Place, log *slog.Logger) (*Runtime, error) {
	r := &Runtime{
		opt: opt, place: place, log: log, state: New(opt), queue: make(chan Input, 4096), look: make(chan struct{}, 1),
		epoch: uint64(time.Now().UnixNano()), descs: map[string][]byte{},
	}
	if err := os.MkdirAll(place.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("worker's directory: %w", err)
	}
	var err error
	r.runner, err = newRunner(place.Dir, place.As, log, func(e Ended, failed bool) {
		r.queue <- Input{Ended: &e}
		if failed {
			r.wake()
		}
	})
	if err != nil {
		return nil, err
	}
	r.publish()
	return r, nil
}

// Run works until the server's address cannot be had.
func (r *Runtime) Run() error {
	go r.own()
	go r.greet()
	server := http1.NewServer(
		http1.ServerOptions{
			PublicAddr:     r.opt.Addr,
			MaxConnections: 64,
			IdleTimeout:    75 * time.Second,
			ReadTimeout:    10 * time.Second,
			Handler:        r.handle,
		},
	)
	return server.RunWithRestart(r.log)
}

// Close ends all tasks.
func (r *Runtime) Close() { r.runner.Clear() }

func (r *Runtime) handle(q *http1.Request) {
	path, _, _ := strings.Cut(q.Target, "?")
	switch {
	case path == "/site/look" && q.Method == http.MethodPost:
		select {
		case r.look <- struct{}{}:
		default: // it is going to be asked anyway
		}
		q.Respond(200, nil, 0)
	case path == "/status" && q.Method == http.MethodGet, path == "/commands" && q.Method == http.MethodPost:
		select {
		case r.queue <- Input{Direct: &Direct{Handle: q, HasCommands: path == "/commands", Body: q.Body}}:
		default:
			q.Respond(503, nil, time.Second)
		}
	default:
		q.Respond(404, nil, 0)
	}
}

func (r *Runtime) own() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	reports := http1.NewClient(4, 1, http1.MaxBodyBytes)
	calls := http1.NewClient(64, 4, http1.MaxBodyBytes)
	batch := make([]Input, 0, 64)
	for {
		batch = batch[:0]
		select {
		case in := <-r.queue:
			batch = append(batch, in)
		case <-ticker.C:
		}
		for len(batch) < cap(batch) && len(r.queue) > 0 {
			batch = append(batch, <-r.queue)
		}
		r.do(r.state.Step(clock(), batch), reports, calls)
		r.publish()
	}
}

func (r *Runtime) do(e Effects, reports, calls *http1.Client) {
	for _, p := range e.Replies {
		raw, err := codec.Marshal(p.Body)
		if err != nil {
			r.log.Error("a report cannot be encoded", "error", err)
			continue
		}
		if q, ok := p.Handle.(*http1.Request); ok {
			q.Respond(p.Status, raw, 0)
		}
	}
	for _, s := range e.Stops {
		r.runner.Stop(s)
	}
	for _, l := range e.Launches {
		r.runner.Launch(l)
	}
	if e.ClearEpoch != nil {
		epoch := *e.ClearEpoch
		go func() {
			r.runner.Clear()
			r.queue <- Input{TasksRemoved: &TasksRemoved{epoch}}
			r.wake()
		}()
	}
	for _, l := range e.SpecRequests {
		go func() { r.queue <- Input{Described: r.describe(l, calls)} }()
	}
	if s := e.Heartbeat; s != nil {
		go func() { r.queue <- Input{Answered: r.send(s, reports)} }()
	}
}

// describe finds what a task runs: nothing, if its result is kept here already.
func (r *Runtime) describe(l Launch, calls *http1.Client) *Described {
	d := &Described{Task: l.Task, Attempt: l.Attempt}
	switch _, err := r.runner.results.get(l.Task); {
	case err == nil:
		d.IsDone = true
		return d
	case !errors.Is(err, errUnknown):
		r.log.Error("a result cannot be read", "task", l.Task, "error", err)
		return d
	}
	if r.freeDisk() < r.place.Free {
		return d // asked for again: nothing is started on a full disk
	}
	job, _, _ := strings.Cut(l.Task, "/")
	r.mu.Lock()
	d.Body = r.descs[job]
	r.mu.Unlock()
	if d.Body != nil {
		d.Status = 200
		return d
	}
	msg, err := calls.Do(r.place.Pool, "GET", "/descriptions/"+job, nil, 2*time.Second)
	if err != nil {
		r.log.Debug("no description", "job", job, "error", err)
		return d
	}
	d.Status, d.Body = msg.Status, msg.Body
	if d.Status == 200 {
		r.mu.Lock()
		if len(r.descs) >= mostDescs {
			clear(r.descs)
		}
		r.descs[job] = d.Body
		r.mu.Unlock()
	}
	return d
}

func (r *Runtime) send(s *OutgoingHeartbeat, client *http1.Client) *Answered {
	raw, err := codec.Marshal(s.Body)
	if err != nil {
		r.log.Error("a report cannot be encoded", "error", err)
		return &Answered{}
	}
	msg, err := client.Do(s.To, "POST", "/v1/report", raw, responseTimeout)
	if err != nil {
		r.log.Debug("a report is not answered", "to", s.To, "error", err)
		return &Answered{}
	}
	return &Answered{msg.Status, msg.Body}
}

func (r *Runtime) wake() {
	select {
	case r.look <- struct{}{}:
	default:
	}
}

func (r *Runtime) freeDisk() uint64 {
	left, err := datadir.FreeDisk(r.place.Dir)
	if err != nil {
		r.log.Error("the disk counts as full", "error", err)
	}
	return left
}

// publish notes what the pool is told. The owner calls it after each step.
func (r *Runtime) publish() {
	name, applied := r.state.Machine()
	r.mu.Lock()
	r.seen = Greeting{
		Name: r.place.Name, Addr: r.opt.Addr, Type: r.opt.Type, Zone: r.opt.Zone, CPUs: r.opt.CPUs, MemGB: r.opt.MemoryGB,
		Epoch: r.epoch, Holding: name, Applied: applied, Busy: r.state.ActiveTasks(),
	}
	r.mu.Unlock()
}

// greet tells the pool what this is, and learns what it is to be. While the pool is away everything
// stays as it is: the lease is the controllers'.
func (r *Runtime) greet() {
	client := http1.NewClient(1, 1, http1.MaxBodyBytes)
	for {
		r.mu.Lock()
		g := r.seen
		r.mu.Unlock()
		g.FreeDisk = r.freeDisk()
		told := r.runner.results.untold(mostFailures)
		for _, res := range told {
			if raw, err := json.Marshal(res); err == nil {
				g.Failures = append(g.Failures, string(raw))
			}
		}
		if raw, err := codec.Marshal(g); err == nil {
			msg, err := client.Do(r.place.Pool, "POST", "/site/greet", raw, 2*time.Second)
			var c Charge
			if err == nil && msg.Status == 200 && codec.Unmarshal(msg.Body, &c) == nil {
				if err := r.runner.results.told(told); err != nil {
					r.log.Error("failures will be told again", "error", err)
				}
				r.queue <- Input{Assigned: &Assigned{c.Machine, c.Notice, c.Serial}}
			}
		}
		select {
		case <-r.look:
		case <-time.After(greetEvery):
		}
	}
}
