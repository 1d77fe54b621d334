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

// RuntimeOptions are the settings of a Runtime in addition to those of its State.
type RuntimeOptions struct {
	DataDir         string              // used by this worker only
	Name            string              // unique among the site's workers
	MachinePoolAddr string              // address of the machine pool
	Credential      *syscall.Credential // the user that tasks run as; nil: the worker's
	MinFreeDisk     uint64              // in bytes; with less free space no task is started
}

// Runtime connects a State with the clock, the network and the processes. One goroutine owns the State and steps it. Calls and
// processes run in goroutines of their own and put their results into the queue.
type Runtime struct {
	options         Options
	runtimeOptions  RuntimeOptions
	log             *slog.Logger
	state           *State
	runner          *Runner
	queue           chan Input
	reportRequested chan struct{} // the next report to the machine pool is due at once
	epoch           uint64        // start time of this process, in Unix nanoseconds

	mu        sync.Mutex           // guards the fields below
	status    poolapi.WorkerReport // the next report to the machine pool
	specCache map[string][]byte    // encoded, by job ID; the Spec of a job never changes
}

const (
	reportInterval      = time.Second
	requestTimeout      = 2 * time.Second // for the response of the machine pool to a report or a request for a Spec
	tickInterval        = 50 * time.Millisecond
	maxReportedFailures = 16 // in one report
	maxCachedSpecs      = 256
	inputQueueSize      = 4096 // inputs for the State
	maxBatchInputs      = 64   // inputs of one step
)

// loadOrCreateWorkerID returns the worker's ID from the file. It creates the file with a random ID if there is none.
func loadOrCreateWorkerID(path string) (string, error) {
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

// clock returns the time since the machine booted, including the time that it was suspended. A lease therefore also expires while the
// machine is suspended, and setting the time of day does not affect it.
func clock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// NewRuntime returns a Runtime that is started with Run. It first ends the tasks that an earlier process of the worker left running.
func NewRuntime(options Options, runtimeOptions RuntimeOptions, log *slog.Logger) (*Runtime, error) {
	r := &Runtime{
		options: options, runtimeOptions: runtimeOptions, log: log, state: NewState(options),
		queue: make(chan Input, inputQueueSize), reportRequested: make(chan struct{}, 1),
		epoch: uint64(time.Now().UnixNano()), specCache: map[string][]byte{},
	}
	if err := os.MkdirAll(runtimeOptions.DataDir, 0o755); err != nil {
		return nil, fmt.Errorf("create worker directory: %w", err)
	}
	var err error
	r.runner, err = newRunner(runtimeOptions.DataDir, runtimeOptions.Credential, log, func(ended Ended, hasFailed bool) {
		r.queue <- Input{Ended: &ended}
		if hasFailed {
			r.requestReport()
		}
	})
	if err != nil {
		return nil, err
	}
	r.publishStatus()
	return r, nil
}

// Run starts the event loop and serves the worker's address. It returns an error if it cannot listen on the address.
func (r *Runtime) Run() error {
	go r.runEventLoop()
	go r.sendReports()
	server := http1.NewServer(
		http1.ServerOptions{
			PublicAddr:     r.options.Addr,
			MaxConnections: 64,
			IdleTimeout:    75 * time.Second,
			ReadTimeout:    10 * time.Second,
			Handler:        r.handle,
			Log:            r.log,
		},
	)
	return server.RunWithRestart(r.log)
}

// Close ends all tasks.
func (r *Runtime) Close() { r.runner.Clear() }

// handle handles the requests to the worker's own address: the machine pool's request for a report, and commands and status requests,
// which the State answers.
func (r *Runtime) handle(request *http1.Request) {
	path, _, _ := strings.Cut(request.Target, "?")
	switch {
	case path == "/site/look" && request.Method == http.MethodPost:
		select {
		case r.reportRequested <- struct{}{}:
		default: // a report is already due
		}
		request.Respond(200, nil, 0)
	case path == "/status" && request.Method == http.MethodGet, path == "/commands" && request.Method == http.MethodPost:
		select {
		case r.queue <- Input{DirectRequest: &DirectRequest{Handle: request, HasCommands: path == "/commands", Body: request.Body}}:
		default:
			request.Respond(503, nil, time.Second)
		}
	default:
		request.Respond(404, nil, 0)
	}
}

// runEventLoop steps the State with the inputs in the queue, and at least every tickInterval. It never returns.
func (r *Runtime) runEventLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	heartbeatClient := http1.NewClient(4, 1, http1.MaxBodyBytes)
	specClient := http1.NewClient(64, 4, http1.MaxBodyBytes)
	batch := make([]Input, 0, maxBatchInputs)
	for {
		batch = batch[:0]
		select {
		case in := <-r.queue:
			batch = append(batch, in)
		case <-ticker.C:
		}
		batch = eventloop.Drain(r.queue, batch)
		r.apply(r.state.Step(clock(), batch), heartbeatClient, specClient)
		r.publishStatus()
	}
}

// apply executes the effects of a step. Slow operations run in goroutines that put their results into the queue.
func (r *Runtime) apply(effects Effects, heartbeatClient, specClient *http1.Client) {
	for _, reply := range effects.Replies {
		raw, err := codec.Marshal(reply.Body)
		if err != nil {
			r.log.Error("heartbeat encoding failed", logkeys.Err, err)
			continue
		}
		if request, ok := reply.Handle.(*http1.Request); ok {
			request.Respond(reply.Status, raw, 0)
		}
	}
	for _, stop := range effects.Stops {
		r.runner.Stop(stop)
	}
	for _, launch := range effects.Launches {
		r.runner.Launch(launch)
	}
	if effects.ClearEpoch != nil {
		epoch := *effects.ClearEpoch
		go func() {
			r.runner.Clear()
			r.queue <- Input{TasksRemoved: &TasksRemoved{epoch}}
			r.requestReport()
		}()
	}
	for _, specRequest := range effects.SpecRequests {
		go func() { r.queue <- Input{SpecResult: r.fetchSpec(specRequest, specClient)} }()
	}
	if heartbeat := effects.Heartbeat; heartbeat != nil {
		go func() { r.queue <- Input{HeartbeatResult: r.postHeartbeat(heartbeat, heartbeatClient)} }()
	}
}

// fetchSpec returns the Spec of an attempt, from the cache or from the machine pool. It returns none if the result of the task is
// already stored on this machine.
func (r *Runtime) fetchSpec(launch Launch, client *http1.Client) *SpecResult {
	result := &SpecResult{Task: launch.Task, Attempt: launch.Attempt}
	switch _, err := r.runner.results.get(launch.Task); {
	case err == nil:
		result.HasStoredResult = true
		return result
	case !errors.Is(err, errNoResult):
		r.log.Error("result not readable", logkeys.Task, launch.Task, logkeys.Err, err)
		return result
	}
	if r.freeDisk() < r.runtimeOptions.MinFreeDisk {
		return result // no task is started on a full disk; the State requests the Spec again later
	}
	job, _, _ := strings.Cut(launch.Task, "/")
	r.mu.Lock()
	result.Body = r.specCache[job]
	r.mu.Unlock()
	if result.Body != nil {
		result.Status = 200
		return result
	}
	msg, err := client.Do(r.runtimeOptions.MachinePoolAddr, "GET", "/descriptions/"+job, nil, requestTimeout)
	if err != nil {
		r.log.Debug("spec request failed", logkeys.Job, job, logkeys.Err, err)
		return result
	}
	result.Status, result.Body = msg.Status, msg.Body
	if result.Status == 200 {
		r.mu.Lock()
		if len(r.specCache) >= maxCachedSpecs {
			clear(r.specCache)
		}
		r.specCache[job] = result.Body
		r.mu.Unlock()
	}
	return result
}

// postHeartbeat sends a heartbeat and waits for its response.
func (r *Runtime) postHeartbeat(heartbeat *OutgoingHeartbeat, client *http1.Client) *HeartbeatResult {
	raw, err := codec.Marshal(heartbeat.Body)
	if err != nil {
		r.log.Error("heartbeat encoding failed", logkeys.Err, err)
		return &HeartbeatResult{}
	}
	msg, err := client.Do(heartbeat.To, "POST", "/v1/report", raw, responseTimeout)
	if err != nil {
		r.log.Debug("heartbeat not answered", logkeys.Controller, heartbeat.To, logkeys.Err, err)
		return &HeartbeatResult{}
	}
	return &HeartbeatResult{msg.Status, msg.Body}
}

// requestReport makes the next report to the machine pool due at once.
func (r *Runtime) requestReport() {
	select {
	case r.reportRequested <- struct{}{}:
	default:
	}
}

// freeDisk returns the free disk space in bytes, or 0 if it is unknown.
func (r *Runtime) freeDisk() uint64 {
	freeBytes, err := datadir.FreeDisk(r.runtimeOptions.DataDir)
	if err != nil {
		r.log.Error("free disk space unknown", logkeys.Err, err)
	}
	return freeBytes
}

// publishStatus updates the report to the machine pool. The event loop calls it after each step.
func (r *Runtime) publishStatus() {
	machine, applied := r.state.Machine()
	r.mu.Lock()
	r.status = poolapi.WorkerReport{
		Name: r.runtimeOptions.Name, Addr: r.options.Addr, Type: r.options.Type, Zone: r.options.Zone,
		CPUs: r.options.CPUs, MemoryGB: r.options.MemoryGB,
		Epoch: r.epoch, Machine: machine, AppliedSerial: applied, RunningTasks: r.state.ActiveAttempts(),
	}
	r.mu.Unlock()
}

// sendReports reports to the machine pool at an interval and passes the assignments in the responses to the State. It never returns.
// Tasks keep running while the pool is unavailable, since only the controllers renew the lease.
func (r *Runtime) sendReports() {
	client := http1.NewClient(1, 1, http1.MaxBodyBytes)
	for {
		r.mu.Lock()
		report := r.status
		r.mu.Unlock()
		report.FreeDiskBytes = r.freeDisk()
		failures := r.runner.results.unreported(maxReportedFailures)
		for _, res := range failures {
			if raw, err := json.Marshal(res); err == nil {
				report.Failures = append(report.Failures, string(raw))
			}
		}
		if raw, err := codec.Marshal(report); err == nil {
			msg, err := client.Do(r.runtimeOptions.MachinePoolAddr, "POST", poolapi.ReportPath, raw, requestTimeout)
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
