package agent

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/units"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/poolapi"
	"gullrudder/internal/wire/workerapi"
)

// workerFixture is a worker's State with a simulated clock and a record of the running tasks.
type workerFixture struct {
	*testing.T
	state   *State
	now     time.Time
	last    Effects
	running map[string]bool
}

// newFixture returns a worker that was assigned machine vm-1, in its first incarnation.
func newFixture(t *testing.T) *workerFixture {
	t.Helper()
	tb := &workerFixture{T: t, now: time.Unix(1000, 0), running: map[string]bool{}}
	tb.state = NewState(Options{
		Addr: "w:1", Type: "t", Zone: "z", CPUs: 4, MemoryGB: 8, Controllers: map[string]string{"a": "a:1", "b": "b:1"},
		HeartbeatInterval: 2 * time.Second, LeaseDuration: 10 * time.Second,
	})
	tb.step(Input{Assigned: &Assigned{Machine: "vm-1", Serial: 1}})
	tb.finishClearing()
	return tb
}

func (tb *workerFixture) step(inputs ...Input) Effects {
	tb.last = tb.state.Step(tb.now, inputs)
	for _, launch := range tb.last.Launches {
		if tb.running[launch.Task] {
			tb.Fatalf("start of %s: already running, want started once", launch.Task)
		}
		tb.running[launch.Task] = true
	}
	return tb.last
}

// finishClearing reports that no process is left of the tasks that the last step ended.
func (tb *workerFixture) finishClearing() {
	tb.Helper()
	if tb.last.ClearEpoch == nil {
		tb.Fatal("clear epoch: got none, want one")
	}
	tb.running = map[string]bool{}
	tb.step(Input{TasksRemoved: &TasksRemoved{*tb.last.ClearEpoch}})
}

func (tb *workerFixture) advance(duration time.Duration) Effects {
	tb.now = tb.now.Add(duration)
	return tb.step()
}

func (tb *workerFixture) marshal(v any) []byte {
	raw, err := codec.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

func start(task string, attempt int) map[string]any {
	return map[string]any{"call": "start", "stroke": task, "launch": attempt}
}

// kill returns the command to kill attempt 1 of a task.
func kill(task string, graceSeconds float64) map[string]any {
	return map[string]any{"call": "kill", "stroke": task, "launch": 1, "ease_s": graceSeconds}
}

func forget(task string, attempt int) map[string]any {
	return map[string]any{"call": "forget", "stroke": task, "launch": attempt}
}

// respond answers the last heartbeat.
func (tb *workerFixture) respond(status int, body map[string]any) Effects {
	return tb.step(Input{HeartbeatResult: &HeartbeatResult{status, tb.marshal(body)}})
}

// sendCommands sends commands to the worker's own address and returns its reply.
func (tb *workerFixture) sendCommands(fencingToken, incarnation int, commands ...any) Reply {
	body := tb.marshal(map[string]any{"helm": fencingToken, "watch": incarnation, "calls": commands})
	effects := tb.step(Input{DirectRequest: &DirectRequest{HasCommands: true, Body: body}})
	if len(effects.Replies) != 1 {
		tb.Fatalf("replies: got %d, want 1", len(effects.Replies))
	}
	return effects.Replies[0]
}

// provideSpecs answers all requests for a Spec.
func (tb *workerFixture) provideSpecs(effects Effects, spec Spec) {
	var inputs []Input
	for _, request := range effects.SpecRequests {
		result := &SpecResult{Task: request.Task, Attempt: request.Attempt, Status: 200, Body: tb.marshal(spec)}
		inputs = append(inputs, Input{SpecResult: result})
	}
	tb.step(inputs...)
}

// attempts lists all attempts with their states and reasons.
func (tb *workerFixture) attempts() string {
	text := ""
	for _, attempt := range tb.state.sortedAttempts() {
		text += fmt.Sprintf("%s#%d %s %s;", attempt.task, attempt.number, attempt.state, attempt.reason)
	}
	return text
}

// commandCase lists commands that are sent while attempt 1 of job-1/0 runs, and the expected attempts.
type commandCase struct {
	commands []any
	after    func(fixture *workerFixture) // runs after the commands; nil: nothing
	want     string                       // in the format of workerFixture.attempts
}

// commandCases returns the cases by name. spec is the Spec of job-1.
func commandCases(spec Spec) map[string]commandCase {
	ended := func(ended Ended) func(*workerFixture) {
		ended.Task, ended.Attempt = "job-1/0", 1
		return func(fixture *workerFixture) { fixture.step(Input{Ended: &ended}) }
	}
	specReceived := func(result SpecResult) func(*workerFixture) {
		result.Attempt = 1
		return func(fixture *workerFixture) { fixture.step(Input{SpecResult: &result}) }
	}
	specsProvided := func(fixture *workerFixture) { fixture.provideSpecs(fixture.last, spec) }
	return map[string]commandCase{
		"start repeated":  {[]any{start("job-1/0", 1)}, nil, "job-1/0#1 running ;"},
		"another attempt": {[]any{start("job-1/0", 2)}, nil, "job-1/0#1 running ;job-1/0#2 exited in_use;"},
		"refused attempt forgotten": {
			[]any{start("job-1/0", 2), forget("job-1/0", 2)}, nil, "job-1/0#1 running ;",
		},
		"running attempt forgotten": {[]any{forget("job-1/0", 1)}, nil, "job-1/0#1 running ;"},
		// The task keeps its resources until it has ended.
		"killed without grace":                         {[]any{kill("job-1/0", 0)}, nil, "job-1/0#1 running ;"},
		"killed and ended":                             {[]any{kill("job-1/0", 0)}, ended(Ended{Stopped: true}), "job-1/0#1 exited halted;"},
		"done before the kill":                         {[]any{kill("job-1/0", 0)}, ended(Ended{}), "job-1/0#1 exited done;"},
		"killed with time for a checkpoint":            {[]any{kill("job-1/0", 3)}, nil, "job-1/0#1 flushing ;"},
		"killed with too little time for a checkpoint": {[]any{kill("job-1/0", 2)}, nil, "job-1/0#1 running ;"},
		"failed because of the machine":                {nil, ended(Ended{Failed: true}), "job-1/0#1 exited error;"},
		"unknown task": {
			[]any{start("job-1/9", 1)}, specsProvided, "job-1/0#1 running ;job-1/9#1 exited no_such;",
		},
		"no capacity": {
			[]any{start("job-1/1", 1), start("job-1/2", 1)},
			specsProvided,
			"job-1/0#1 running ;job-1/1#1 running ;job-1/2#1 exited no_room;",
		},
		"killed before the start": {
			[]any{start("job-1/1", 1), kill("job-1/1", 0)}, specsProvided, "job-1/0#1 running ;job-1/1#1 exited halted;",
		},
		"unknown job": {
			[]any{start("job-2/0", 1)},
			specReceived(SpecResult{Task: "job-2/0", Status: 404}),
			"job-1/0#1 running ;job-2/0#1 exited no_such;",
		},
		"result already stored": {
			[]any{start("job-1/1", 1)},
			specReceived(SpecResult{Task: "job-1/1", HasStoredResult: true}),
			"job-1/0#1 running ;job-1/1#1 exited done;",
		},
	}
}

// TestCommands checks what start, kill and forget commands do to an attempt in each state.
func TestCommands(t *testing.T) {
	spec := Spec{JobID: "job-1", Tasks: 9, CPUs: 2, MemoryGB: 1, Command: []string{"x"}, CheckpointSeconds: 3}
	for name, c := range commandCases(spec) {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.advance(time.Second)
			fixture.provideSpecs(fixture.respond(200, map[string]any{"helm": 5, "calls": []any{start("job-1/0", 1)}}), spec)
			if !fixture.running["job-1/0"] {
				t.Fatal("task job-1/0: not running, want running")
			}
			if r := fixture.sendCommands(5, 1, c.commands...); r.Status != 200 {
				t.Fatalf("status of the commands: got %d, want 200", r.Status)
			}
			if c.after != nil {
				c.after(fixture)
			}
			if got := fixture.attempts(); got != c.want {
				t.Errorf("attempts: got %s, want %s", got, c.want)
			}
		})
	}
}

// TestFencingTokensAndLeases checks that a response with a lower fencing token, or without one, is ignored and does not renew the lease.
// It also checks that commands for another incarnation are refused and that direct commands never renew the lease.
func TestFencingTokensAndLeases(t *testing.T) {
	fixture := newFixture(t)
	fixture.advance(time.Second)
	fixture.respond(200, map[string]any{"helm": 5, "calls": []any{}})
	for name, c := range map[string]struct{ fencingToken, incarnation, want int }{
		"lower token":       {4, 1, 409},
		"other incarnation": {5, 2, 409},
		"equal token":       {5, 1, 200},
		"higher token":      {6, 1, 200},
	} {
		if r := fixture.sendCommands(c.fencingToken, c.incarnation); r.Status != c.want {
			t.Errorf("%s: got status %d, want %d", name, r.Status, c.want)
		}
		fixture.state.fencingToken = 5
	}
	withoutToken := fixture.marshal(map[string]any{"watch": 1})
	if r := fixture.step(Input{DirectRequest: &DirectRequest{HasCommands: true, Body: withoutToken}}).Replies[0]; r.Status != 400 {
		t.Errorf("commands without a token: got status %d, want 400", r.Status)
	}
	if fixture.advance(2 * time.Second); !fixture.state.isAwaitingResponse {
		t.Fatal("no heartbeat awaits a response, want one")
	}
	fixture.respond(200, map[string]any{"helm": 4, "calls": []any{start("job-1/0", 1)}})
	fixture.respond(200, map[string]any{"calls": []any{start("job-1/0", 1)}})
	if fixture.attempts() != "" {
		t.Errorf("attempts after commands of a lower token: got %s, want none", fixture.attempts())
	}
	leaseRenewedAt := fixture.state.leaseRenewedAt
	fixture.now = leaseRenewedAt.Add(8900 * time.Millisecond)
	if fixture.step(); fixture.last.ClearEpoch != nil {
		t.Errorf("clear epoch before the lease expires: got %v, want none", fixture.last.ClearEpoch)
	}
	fixture.advance(200 * time.Millisecond)
	if fixture.last.ClearEpoch == nil {
		t.Fatal("clear epoch after the lease expired: got none, want one")
	}
	if r := fixture.sendCommands(9, 1, start("job-1/0", 1)); r.Status != 409 {
		t.Errorf("commands while tasks are being ended: got status %d, want 409", r.Status)
	}
	if fixture.advance(5*time.Second).Heartbeat != nil {
		t.Error("heartbeat sent before all tasks have ended, want none")
	}
	fixture.finishPendingClearing()
	if fixture.state.incarnation != 2 || fixture.state.ActiveAttempts() != 0 {
		t.Errorf("after clearing: incarnation %d, %d active tasks, want 2, 0", fixture.state.incarnation, fixture.state.ActiveAttempts())
	}
}

// finishPendingClearing reports that no process is left of the tasks that an earlier step ended.
func (tb *workerFixture) finishPendingClearing() {
	tb.step(Input{TasksRemoved: &TasksRemoved{tb.state.clearEpoch}})
}

// TestLeaseExpiresDuringSleep checks that the lease expires while the machine is suspended, and that a command that arrived meanwhile
// is not executed.
func TestLeaseExpiresDuringSleep(t *testing.T) {
	fixture := newFixture(t)
	fixture.advance(time.Second)
	fixture.now = fixture.now.Add(time.Hour)
	fixture.respond(200, map[string]any{"helm": 5, "calls": []any{start("job-1/0", 1)}})
	if fixture.last.ClearEpoch == nil || fixture.attempts() != "" {
		t.Errorf("after an hour: clear epoch %v, attempts %q, want an epoch and no attempt", fixture.last.ClearEpoch, fixture.attempts())
	}
}

// TestMachineIsReassignedOnceTasksAreRemoved checks that an assignment of another machine takes effect only once all tasks of the former
// machine have ended.
func TestMachineIsReassignedOnceTasksAreRemoved(t *testing.T) {
	fixture := newFixture(t)
	fixture.step(Input{Assigned: &Assigned{Machine: "vm-2", Serial: 2}})
	if machine, serial := fixture.state.Machine(); machine != "vm-1" || serial != 2 {
		t.Errorf("machine before clearing: got %s with serial %d, want vm-1, 2", machine, serial)
	}
	fixture.step(Input{Assigned: &Assigned{Serial: 3}})
	fixture.finishPendingClearing()
	if machine, _ := fixture.state.Machine(); machine != "" {
		t.Errorf("machine after the assignment was withdrawn: got %s, want none", machine)
	}
	if fixture.advance(time.Minute).Heartbeat != nil {
		t.Error("heartbeat sent without a machine, want none")
	}
}

// TestHeartbeatDestination checks that the next heartbeat goes to another controller after a redirect or a missing response. After a
// missing response it must be delayed by at least one second.
func TestHeartbeatDestination(t *testing.T) {
	fixture := newFixture(t)
	destination := func() string {
		fixture.Helper()
		for range 100 {
			if fixture.state.isAwaitingResponse {
				return fixture.state.options.Controllers[fixture.state.controllers[fixture.state.currentController]]
			}
			fixture.advance(50 * time.Millisecond)
		}
		return "nowhere"
	}
	if got := destination(); got != "a:1" {
		t.Fatalf("destination of the first heartbeat: got %s, want a:1", got)
	}
	fixture.respond(421, map[string]any{"flagship": "b"})
	if got := destination(); got != "b:1" {
		t.Errorf("destination after a redirect: got %s, want b:1", got)
	}
	sent := fixture.now
	fixture.step(Input{HeartbeatResult: &HeartbeatResult{}})
	if got := destination(); got != "a:1" || fixture.now.Sub(sent) < time.Second {
		t.Errorf("destination without a response: got %s after %v, want a:1 after at least 1s", got, fixture.now.Sub(sent))
	}
}

// TestWorkerReportIsValid checks that a report to the machine pool with failures passes the pool's validation.
// Failures were once sent as binary values, and the pool refused every report after the first failure.
func TestWorkerReportIsValid(t *testing.T) {
	raw, err := json.Marshal(Result{Task: "job-1/0", Exit: 3, ErrorTail: "oops \x00 \xff"})
	if err != nil {
		t.Fatal(err)
	}
	body, err := codec.Marshal(poolapi.WorkerReport{Name: "w", Failures: []string{string(raw)}})
	if err != nil {
		t.Fatal(err)
	}
	if err := codec.Validate(body); err != nil {
		t.Errorf("validate the report: %v", err)
	}
}

// TestHeldUpStartIsDropped guards against a task that starts from a command that was held up: in a response that comes after its timeout or
// after the lease, or that waits for the Spec while the task is stopped or the lease expires.
func TestHeldUpStartIsDropped(t *testing.T) {
	spec := Spec{JobID: "job-1", Command: []string{"true"}, Tasks: 1, CPUs: 1}
	response := map[string]any{"helm": 5, "calls": []any{start("job-1/0", 1)}}
	for name, hold := range map[string]time.Duration{
		"past the timeout": responseTimeout + time.Millisecond, "until the lease ends": 9 * time.Second, "past the lease": 30 * time.Second,
	} {
		t.Run("response "+name, func(t *testing.T) {
			tb := newFixture(t)
			tb.now = tb.now.Add(hold)
			tb.provideSpecs(tb.respond(200, response), spec)
			if len(tb.running) > 0 || tb.attempts() != "" {
				t.Errorf("attempts: got %q, running %v, want none", tb.attempts(), tb.running)
			}
		})
	}
	t.Run("spec after a kill", func(t *testing.T) {
		tb := newFixture(t)
		effects := tb.respond(200, response)
		tb.sendCommands(5, 1, kill("job-1/0", 0))
		tb.provideSpecs(effects, spec)
		if len(tb.running) > 0 {
			t.Errorf("running: got %v, want none", tb.running)
		}
	})
	t.Run("spec past the lease", func(t *testing.T) {
		tb := newFixture(t)
		effects := tb.respond(200, response)
		tb.advance(30 * time.Second)
		tb.provideSpecs(effects, spec)
		if len(tb.running) > 0 {
			t.Errorf("running: got %v, want none", tb.running)
		}
	})
}

// TestCheckpointTimeIsComparedAsSent guards against work that is lost because a controller grants less than the submitted time to save.
func TestCheckpointTimeIsComparedAsSent(t *testing.T) {
	for _, seconds := range []float64{1.36, 2.05, 4.11} {
		attempt := &taskAttempt{state: workerapi.StateRunning, spec: &Spec{CheckpointSeconds: seconds}}
		granted := workerapi.KillAfterCheckpoint("job-1/0", 1, units.DurationOfAtLeast(seconds)).GraceSeconds
		if !attempt.canSaveWithin(granted) {
			t.Errorf("time to save of %v s: got %v s, which is not enough", seconds, *granted)
		}
	}
}
