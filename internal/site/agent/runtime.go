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

	"gullrudder/internal/eventloop"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/poolapi"

	"golang.org/x/sys/unix"
)

// RuntimeOptions are the settings of a Runtime beside those of its State.
type RuntimeOptions struct {
	DataDir         string              // of this worker alone
	Name            string              // among the site's workers
	MachinePoolAddr string              // address of the machine pool
	Credential      *syscall.Credential // the user that tasks run as; nil: the worker's
	MinFreeDisk     uint64              // in bytes; with less, nothing is started
}

// Runtime connects a State with the clock, the network and the processes. One goroutine owns the State and steps it; calls and
// processes run in goroutines of their own and put their outcomes into the queue.
type Runtime struct {
	options         Options
	runtimeOptions  RuntimeOptions
	log             *slog.Logger
	state           *State
	runner          *Runner
	queue           chan Input
	reportRequested chan struct{} // the next report to the machine pool is due at once
	epoch           uint64

	mu     sync.Mutex           // guards what follows
	status poolapi.WorkerReport // the next report to the machine pool
	specs  map[string][]byte    // encoded, by job ID; they never change
}

const (
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	tickInterval   = 50 * time.Millisecond
	maxFailures    = 16 // in one report
	maxSpecs       = 256
	queueSize      = 4096 // inputs for the State
	maxBatchInputs = 64   // inputs of one step
)

// identity returns the worker's ID in the file, which is made if there is none.
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

// clock returns the time since the machine booted, including sleep: a lease expires while the machine sleeps, and a change of the
// time of day does not affect it.
func clock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// NewRuntime ends what an earlier process of the worker left, and returns a Runtime for Run.
func NewRuntime(options Options, runtimeOptions RuntimeOptions, log *slog.Logger) (*Runtime, error) {
	r := &Runtime{
		options: options, runtimeOptions: runtimeOptions, log: log, state: NewState(options),
		queue: make(chan Input, queueSize), reportRequested: make(chan struct{}, 1),
		epoch: uint64(time.Now().UnixNano()), specs: map[string][]byte{},
	}
	if err := os.MkdirAll(runtimeOptions.DataDir, 0o755); err != nil {
		return nil, fmt.Errorf("worker's directory: %w", err)
	}
	var err error
	r.runner, err = newRunner(runtimeOptions.DataDir, runtimeOptions.Credential, log, func(e Ended, failed bool) {
		r.queue <- Input{Ended: &e}
		if failed {
			r.requestReport()
		}
	})
	if err != nil {
		return nil, err
	}
	r.publishStatus()
	return r, nil
}

// Run serves the worker's address and returns when that is not possible.
func (r *Runtime) Run() error {
	go r.runOwner()
	go r.sendReports()
	server := http1.NewServer(
		http1.ServerOptions{
			PublicAddr:     r.options.Addr,
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

// handle answers the requests to the worker's own address: the machine pool's, and commands and status for the State.
func (r *Runtime) handle(request *http1.Request) {
	path, _, _ := strings.Cut(request.Target, "?")
	switch {
	case path == "/site/look" && request.Method == http.MethodPost:
		select {
		case r.reportRequested <- struct{}{}:
		default: // a report is due already
		}
		request.Respond(200, nil, 0)
	case path == "/status" && request.Method == http.MethodGet, path == "/commands" && request.Method == http.MethodPost:
		select {
		case r.queue <- Input{Direct: &Direct{Handle: request, HasCommands: path == "/commands", Body: request.Body}}:
		default:
			request.Respond(503, nil, time.Second)
		}
	default:
		request.Respond(404, nil, 0)
	}
}

// runOwner steps the State with what is in the queue, as long as the process runs.
func (r *Runtime) runOwner() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	reports := http1.NewClient(4, 1, http1.MaxBodyBytes)
	calls := http1.NewClient(64, 4, http1.MaxBodyBytes)
	batch := make([]Input, 0, maxBatchInputs)
	for {
		batch = batch[:0]
		select {
		case in := <-r.queue:
			batch = append(batch, in)
		case <-ticker.C:
		}
		batch = eventloop.Drain(r.queue, batch)
		r.apply(r.state.Step(clock(), batch), reports, calls)
		r.publishStatus()
	}
}

// apply does what a step wants done. What takes long runs in a goroutine that puts its outcome into the queue.
func (r *Runtime) apply(effects Effects, reports, calls *http1.Client) {
	for _, p := range effects.Replies {
		raw, err := codec.Marshal(p.Body)
		if err != nil {
			r.log.Error("heartbeat encoding failed", logkeys.Err, err)
			continue
		}
		if q, ok := p.Handle.(*http1.Request); ok {
			q.Respond(p.Status, raw, 0)
		}
	}
	for _, s := range effects.Stops {
		r.runner.Stop(s)
	}
	for _, l := range effects.Launches {
		r.runner.Launch(l)
	}
	if effects.ClearEpoch != nil {
		epoch := *effects.ClearEpoch
		go func() {
			r.runner.Clear()
			r.queue <- Input{TasksRemoved: &TasksRemoved{epoch}}
			r.requestReport()
		}()
	}
	for _, l := range effects.SpecRequests {
		go func() { r.queue <- Input{Described: r.fetchSpec(l, calls)} }()
	}
	if s := effects.Heartbeat; s != nil {
		go func() { r.queue <- Input{Answered: r.send(s, reports)} }()
	}
}

// fetchSpec gets the Spec of an attempt, from memory or from the machine pool. It gets none if the task's result is stored here.
func (r *Runtime) fetchSpec(launch Launch, calls *http1.Client) *Described {
	described := &Described{Task: launch.Task, Attempt: launch.Attempt}
	switch _, err := r.runner.results.get(launch.Task); {
	case err == nil:
		described.IsDone = true
		return described
	case !errors.Is(err, errNoResult):
		r.log.Error("result not readable", logkeys.Task, launch.Task, logkeys.Err, err)
		return described
	}
	if r.freeDisk() < r.runtimeOptions.MinFreeDisk {
		return described // requested again later: nothing is started on a full disk
	}
	job, _, _ := strings.Cut(launch.Task, "/")
	r.mu.Lock()
	described.Body = r.specs[job]
	r.mu.Unlock()
	if described.Body != nil {
		described.Status = 200
		return described
	}
	msg, err := calls.Do(r.runtimeOptions.MachinePoolAddr, "GET", "/descriptions/"+job, nil, reportTimeout)
	if err != nil {
		r.log.Debug("spec request failed", logkeys.Job, job, logkeys.Err, err)
		return described
	}
	described.Status, described.Body = msg.Status, msg.Body
	if described.Status == 200 {
		r.mu.Lock()
		if len(r.specs) >= maxSpecs {
			clear(r.specs)
		}
		r.specs[job] = described.Body
		r.mu.Unlock()
	}
	return described
}

// send sends a heartbeat and waits for its response.
func (r *Runtime) send(heartbeat *OutgoingHeartbeat, client *http1.Client) *Answered {
	raw, err := codec.Marshal(heartbeat.Body)
	if err != nil {
		r.log.Error("heartbeat encoding failed", logkeys.Err, err)
		return &Answered{}
	}
	msg, err := client.Do(heartbeat.To, "POST", "/v1/report", raw, responseTimeout)
	if err != nil {
		r.log.Debug("heartbeat not answered", logkeys.Controller, heartbeat.To, logkeys.Err, err)
		return &Answered{}
	}
	return &Answered{msg.Status, msg.Body}
}

// requestReport has the next report to the machine pool sent at once.
func (r *Runtime) requestReport() {
	select {
	case r.reportRequested <- struct{}{}:
	default:
	}
}

// freeDisk returns the free disk space in bytes, 0 if it is unknown.
func (r *Runtime) freeDisk() uint64 {
	left, err := datadir.FreeDisk(r.runtimeOptions.DataDir)
	if err != nil {
		r.log.Error("free disk space unknown", logkeys.Err, err)
	}
	return left
}

// publishStatus updates the report to the machine pool. The event loop calls it after each step.
func (r *Runtime) publishStatus() {
	name, applied := r.state.Machine()
	r.mu.Lock()
	r.status = poolapi.WorkerReport{
		Name: r.runtimeOptions.Name, Addr: r.options.Addr, Type: r.options.Type, Zone: r.options.Zone,
		CPUs: r.options.CPUs, MemoryGB: r.options.MemoryGB,
		Epoch: r.epoch, Machine: name, AppliedSerial: applied, RunningTasks: r.state.ActiveTasks(),
	}
	r.mu.Unlock()
}

// sendReports reports to the machine pool as long as the process runs, and takes in which machine the worker is to be. While the
// pool is unavailable nothing changes: the lease is the controllers'.
func (r *Runtime) sendReports() {
	client := http1.NewClient(1, 1, http1.MaxBodyBytes)
	for {
		r.mu.Lock()
		report := r.status
		r.mu.Unlock()
		report.FreeDiskBytes = r.freeDisk()
		failures := r.runner.results.unreported(maxFailures)
		for _, res := range failures {
			if raw, err := json.Marshal(res); err == nil {
				report.Failures = append(report.Failures, string(raw))
			}
		}
		if raw, err := codec.Marshal(report); err == nil {
			msg, err := client.Do(r.runtimeOptions.MachinePoolAddr, "POST", poolapi.ReportPath, raw, reportTimeout)
			var assignment poolapi.MachineAssignment
			if err == nil && msg.Status == 200 && codec.Unmarshal(msg.Body, &assignment) == nil {
				if err := r.runner.results.setReported(failures); err != nil {
					r.log.Error("failures not marked as reported", logkeys.Err, err)
				}
				r.queue <- Input{Assigned: &Assigned{assignment.Machine, assignment.HasDrainNotice, assignment.Serial}}
			}
		}
		select {
		case <-r.reportRequested:
		case <-time.After(reportInterval):
		}
	}
}
