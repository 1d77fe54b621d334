package agent

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/poolapi"
)

// bench is a worker's State with a clock and the tasks that run.
type bench struct {
	*testing.T
	state   *State
	now     time.Time
	last    Effects
	running map[string]bool
}

// newBench returns the bench of a worker that is machine vm-1, in its first incarnation.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{T: t, now: time.Unix(1000, 0), running: map[string]bool{}}
	b.state = NewState(Options{
		Addr: "w:1", Type: "t", Zone: "z", CPUs: 4, MemoryGB: 8, Controllers: map[string]string{"a": "a:1", "b": "b:1"},
		HeartbeatInterval: 2 * time.Second, LeaseDuration: 10 * time.Second,
	})
	b.step(Input{Assigned: &Assigned{Machine: "vm-1", Serial: 1}})
	b.finishClearing()
	return b
}

func (b *bench) step(inputs ...Input) Effects {
	b.last = b.state.Step(b.now, inputs)
	for _, launch := range b.last.Launches {
		if b.running[launch.Task] {
			b.Fatalf("start of %s: already running, want started once", launch.Task)
		}
		b.running[launch.Task] = true
	}
	return b.last
}

// finishClearing ends the tasks that the last step wanted cleared.
func (b *bench) finishClearing() {
	b.Helper()
	if b.last.ClearEpoch == nil {
		b.Fatal("clear epoch: got none, want one")
	}
	b.running = map[string]bool{}
	b.step(Input{TasksRemoved: &TasksRemoved{*b.last.ClearEpoch}})
}

func (b *bench) advance(duration time.Duration) Effects {
	b.now = b.now.Add(duration)
	return b.step()
}

func (b *bench) marshal(v any) []byte {
	raw, err := codec.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

func start(task string, attempt int) map[string]any {
	return map[string]any{"call": "start", "stroke": task, "launch": attempt}
}

// kill is the command to kill the first attempt of a task.
func kill(task string, graceSeconds float64) map[string]any {
	return map[string]any{"call": "kill", "stroke": task, "launch": 1, "ease_s": graceSeconds}
}

func forget(task string, attempt int) map[string]any {
	return map[string]any{"call": "forget", "stroke": task, "launch": attempt}
}

// respond responds to the heartbeat that was sent last.
func (b *bench) respond(status int, body map[string]any) Effects {
	return b.step(Input{Answered: &Answered{status, b.marshal(body)}})
}

// sendCommands sends commands to the worker's own address and returns its reply.
func (b *bench) sendCommands(fencingToken, incarnation int, commands ...any) Reply {
	body := b.marshal(map[string]any{"helm": fencingToken, "watch": incarnation, "calls": commands})
	effects := b.step(Input{Direct: &Direct{HasCommands: true, Body: body}})
	if len(effects.Replies) != 1 {
		b.Fatalf("replies: got %d, want 1", len(effects.Replies))
	}
	return effects.Replies[0]
}

// provideSpecs answers all requests for a Spec.
func (b *bench) provideSpecs(effects Effects, spec Spec) {
	var inputs []Input
	for _, request := range effects.SpecRequests {
		described := &Described{Task: request.Task, Attempt: request.Attempt, Status: 200, Body: b.marshal(spec)}
		inputs = append(inputs, Input{Described: described})
	}
	b.step(inputs...)
}

// attempts lists all attempts with their states and reasons.
func (b *bench) attempts() string {
	text := ""
	for _, attempt := range b.state.sortedTasks() {
		text += fmt.Sprintf("%s#%d %s %s;", attempt.task, attempt.number, attempt.state, attempt.reason)
	}
	return text
}

// commandCase is what commands do while attempt 1 of job-1/0 runs.
type commandCase struct {
	commands []any
	after    func(bench *bench) // what happens then
	want     string             // as bench.attempts lists it
}

// commandCases returns the cases by name. job-1 has the Spec.
func commandCases(spec Spec) map[string]commandCase {
	ended := func(ended Ended) func(*bench) {
		ended.Task, ended.Attempt = "job-1/0", 1
		return func(bench *bench) { bench.step(Input{Ended: &ended}) }
	}
	described := func(described Described) func(*bench) {
		described.Attempt = 1
		return func(bench *bench) { bench.step(Input{Described: &described}) }
	}
	specsProvided := func(bench *bench) { bench.provideSpecs(bench.last, spec) }
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
			described(Described{Task: "job-2/0", Status: 404}),
			"job-1/0#1 running ;job-2/0#1 exited no_such;",
		},
		"result already stored": {
			[]any{start("job-1/1", 1)},
			described(Described{Task: "job-1/1", IsDone: true}),
			"job-1/0#1 running ;job-1/1#1 exited done;",
		},
	}
}

// TestCommands checks what start, kill and forget commands do to an attempt in each state.
func TestCommands(t *testing.T) {
	spec := Spec{JobID: "job-1", Tasks: 9, CPUs: 2, MemoryGB: 1, Command: []string{"x"}, CheckpointSeconds: 3}
	for name, c := range commandCases(spec) {
		t.Run(name, func(t *testing.T) {
			bench := newBench(t)
			bench.advance(time.Second)
			bench.provideSpecs(bench.respond(200, map[string]any{"helm": 5, "calls": []any{start("job-1/0", 1)}}), spec)
			if !bench.running["job-1/0"] {
				t.Fatal("task job-1/0: not running, want running")
			}
			if r := bench.sendCommands(5, 1, c.commands...); r.Status != 200 {
				t.Fatalf("status of the commands: got %d, want 200", r.Status)
			}
			if c.after != nil {
				c.after(bench)
			}
			if got := bench.attempts(); got != c.want {
				t.Errorf("attempts: got %s, want %s", got, c.want)
			}
		})
	}
}

// TestFencingTokensAndLeases checks that a response with a lower fencing token or without one is dropped and does not
// renew the lease, that commands for another incarnation are refused, and that direct commands never renew the lease.
func TestFencingTokensAndLeases(t *testing.T) {
	bench := newBench(t)
	bench.advance(time.Second)
	bench.respond(200, map[string]any{"helm": 5, "calls": []any{}})
	for name, c := range map[string]struct{ fencingToken, incarnation, want int }{
		"lower token":       {4, 1, 409},
		"other incarnation": {5, 2, 409},
		"equal token":       {5, 1, 200},
		"higher token":      {6, 1, 200},
	} {
		if r := bench.sendCommands(c.fencingToken, c.incarnation); r.Status != c.want {
			t.Errorf("%s: got status %d, want %d", name, r.Status, c.want)
		}
		bench.state.fencingToken = 5
	}
	withoutToken := bench.marshal(map[string]any{"watch": 1})
	if r := bench.step(Input{Direct: &Direct{HasCommands: true, Body: withoutToken}}).Replies[0]; r.Status != 400 {
		t.Errorf("commands without a token: got status %d, want 400", r.Status)
	}
	if bench.advance(2 * time.Second); !bench.state.isAwaitingResponse {
		t.Fatal("no heartbeat awaits a response, want one")
	}
	bench.respond(200, map[string]any{"helm": 4, "calls": []any{start("job-1/0", 1)}})
	bench.respond(200, map[string]any{"calls": []any{start("job-1/0", 1)}})
	if bench.attempts() != "" {
		t.Errorf("attempts after commands of a lower token: got %s, want none", bench.attempts())
	}
	leaseRenewedAt := bench.state.leaseRenewedAt
	bench.now = leaseRenewedAt.Add(8900 * time.Millisecond)
	if bench.step(); bench.last.ClearEpoch != nil {
		t.Errorf("clear epoch before the lease expires: got %v, want none", bench.last.ClearEpoch)
	}
	bench.advance(200 * time.Millisecond)
	if bench.last.ClearEpoch == nil {
		t.Fatal("clear epoch after the lease expired: got none, want one")
	}
	if r := bench.sendCommands(9, 1, start("job-1/0", 1)); r.Status != 409 {
		t.Errorf("commands while tasks are being ended: got status %d, want 409", r.Status)
	}
	if bench.advance(5*time.Second).Heartbeat != nil {
		t.Error("heartbeat sent before all tasks have ended, want none")
	}
	bench.finishPendingClearing()
	if bench.state.incarnation != 2 || bench.state.ActiveTasks() != 0 {
		t.Errorf("after clearing: incarnation %d, %d active tasks, want 2, 0", bench.state.incarnation, bench.state.ActiveTasks())
	}
}

// finishPendingClearing finishes a clearing whose effect was some steps ago.
func (b *bench) finishPendingClearing() {
	b.step(Input{TasksRemoved: &TasksRemoved{b.state.clearEpoch}})
}

// TestLeaseExpiresDuringSleep checks that the lease expires while the whole machine sleeps, and that no command that
// arrived meanwhile is executed.
func TestLeaseExpiresDuringSleep(t *testing.T) {
	bench := newBench(t)
	bench.advance(time.Second)
	bench.now = bench.now.Add(time.Hour)
	bench.respond(200, map[string]any{"helm": 5, "calls": []any{start("job-1/0", 1)}})
	if bench.last.ClearEpoch == nil || bench.attempts() != "" {
		t.Errorf("after an hour: clear epoch %v, attempts %q, want an epoch and no attempt", bench.last.ClearEpoch, bench.attempts())
	}
}

// TestMachineIsReassignedOnceTasksAreRemoved checks that a worker becomes another machine only once all tasks of the
// former one have ended.
func TestMachineIsReassignedOnceTasksAreRemoved(t *testing.T) {
	bench := newBench(t)
	bench.step(Input{Assigned: &Assigned{Machine: "vm-2", Serial: 2}})
	if name, applied := bench.state.Machine(); name != "vm-1" || applied != 2 {
		t.Errorf("machine before clearing: got %s with serial %d, want vm-1, 2", name, applied)
	}
	bench.step(Input{Assigned: &Assigned{Serial: 3}})
	bench.finishPendingClearing()
	if name, _ := bench.state.Machine(); name != "" {
		t.Errorf("machine after the assignment was withdrawn: got %s, want none", name)
	}
	if bench.advance(time.Minute).Heartbeat != nil {
		t.Error("heartbeat sent without a machine, want none")
	}
}

// TestHeartbeatDestination checks that heartbeats go to another controller after a redirect or without a response, and
// never in quick succession.
func TestHeartbeatDestination(t *testing.T) {
	bench := newBench(t)
	destination := func() string {
		bench.Helper()
		for range 100 {
			if bench.state.isAwaitingResponse {
				return bench.state.options.Controllers[bench.state.controllers[bench.state.current]]
			}
			bench.advance(50 * time.Millisecond)
		}
		return "nowhere"
	}
	if got := destination(); got != "a:1" {
		t.Fatalf("destination of the first heartbeat: got %s, want a:1", got)
	}
	bench.respond(421, map[string]any{"flagship": "b"})
	if got := destination(); got != "b:1" {
		t.Errorf("destination after a redirect: got %s, want b:1", got)
	}
	sent := bench.now
	bench.step(Input{Answered: &Answered{}})
	if got := destination(); got != "a:1" || bench.now.Sub(sent) < time.Second {
		t.Errorf("destination without a response: got %s after %v, want a:1 after at least 1s", got, bench.now.Sub(sent))
	}
}

// TestWorkerReportIsValid checks that a report to the machine pool passes the pool's validation, also with failures.
// They were once sent as binary, and the pool refused every message after the first failure.
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
