package agent

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/wire/codec"
)

// bench is a worker's state with what the world around it does.
type bench struct {
	*testing.T
	s       *State
	now     time.Time
	last    Effects
	running map[string]bool
}

func fresh(t *testing.T) *bench {
	b := &bench{T: t, now: time.Unix(1000, 0), running: map[string]bool{}}
	b.s = New(Options{
		Addr: "w:1", Type: "t", Zone: "z", CPUs: 4, MemGB: 8, Controllers: map[string]string{"a": "a:1", "b": "b:1"},
		Report: 2 * time.Second, Lease: 10 * time.Second,
	})
	b.do(Input{Assigned: &Assigned{Machine: "vm-1", Serial: 1}})
	b.clear()
	return b
}

func (b *bench) do(list ...Input) Effects {
	b.last = b.s.Step(b.now, list)
	for _, l := range b.last.Launch {
		if b.running[l.Task] {
			b.Fatalf("%s runs twice", l.Task)
		}
		b.running[l.Task] = true
	}
	return b.last
}

// clear has whatever the state wants ended be gone.
func (b *bench) clear() {
	b.Helper()
	if b.last.Clear == nil {
		b.Fatal("nothing is to be cleared")
	}
	b.running = map[string]bool{}
	b.do(Input{Cleared: &Cleared{*b.last.Clear}})
}

func (b *bench) wait(d time.Duration) Effects {
	b.now = b.now.Add(d)
	return b.do()
}

func (b *bench) pack(v any) []byte {
	raw, err := codec.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

func start(task string, attempt int) map[string]any {
	return map[string]any{"call": "start", "stroke": task, "launch": attempt}
}

func kill(task string, attempt int, ease float64) map[string]any {
	return map[string]any{"call": "kill", "stroke": task, "launch": attempt, "ease_s": ease}
}

func forget(task string, attempt int) map[string]any {
	return map[string]any{"call": "forget", "stroke": task, "launch": attempt}
}

// answer answers the report that is on its way.
func (b *bench) answer(status int, body map[string]any) Effects {
	return b.do(Input{Answered: &Answered{status, b.pack(body)}})
}

// direct gives commands at the worker's own address and returns the answer.
func (b *bench) direct(token, session int, calls ...any) Reply {
	e := b.do(Input{Direct: &Direct{Commands: true, Body: b.pack(map[string]any{"helm": token, "watch": session, "calls": calls})}})
	if len(e.Replies) != 1 {
		b.Fatalf("%d answers", len(e.Replies))
	}
	return e.Replies[0]
}

// describe answers all questions for descriptions.
func (b *bench) describe(e Effects, d Description) Effects {
	var list []Input
	for _, l := range e.Describe {
		list = append(list, Input{Described: &Described{Task: l.Task, Attempt: l.Attempt, Status: 200, Body: b.pack(d)}})
	}
	return b.do(list...)
}

func (b *bench) shown() string {
	s := ""
	for _, t := range b.s.sorted() {
		s += fmt.Sprintf("%s#%d %s %s;", t.name, t.attempt, t.state, t.why)
	}
	return s
}

// The protocol's worker: what start, kill and forget do to a task in each state.
func TestCommands(t *testing.T) {
	desc := Description{Job: "job-1", Tasks: 9, CPUs: 2, MemGB: 1, Command: []string{"x"}, Save: 3}
	for name, c := range map[string]struct {
		calls []any // after job-1/0 #1 runs
		after func(b *bench)
		want  string
	}{
		"again":                {[]any{start("job-1/0", 1)}, nil, "job-1/0#1 running ;"},
		"another attempt":      {[]any{start("job-1/0", 2)}, nil, "job-1/0#1 running ;job-1/0#2 exited in_use;"},
		"refusal forgotten":    {[]any{start("job-1/0", 2), forget("job-1/0", 2)}, nil, "job-1/0#1 running ;"},
		"forget what runs":     {[]any{forget("job-1/0", 1)}, nil, "job-1/0#1 running ;"},
		"kill at once":         {[]any{kill("job-1/0", 1, 0)}, nil, "job-1/0#1 running ;"}, // it holds its place until it is gone
		"kill and gone":        {[]any{kill("job-1/0", 1, 0)}, func(b *bench) { b.do(Input{Ended: &Ended{Task: "job-1/0", Attempt: 1, Halted: true}}) }, "job-1/0#1 exited halted;"},
		"done before the kill": {[]any{kill("job-1/0", 1, 0)}, func(b *bench) { b.do(Input{Ended: &Ended{Task: "job-1/0", Attempt: 1}}) }, "job-1/0#1 exited done;"},
		"time to save":         {[]any{kill("job-1/0", 1, 3)}, nil, "job-1/0#1 flushing ;"},
		"too little time":      {[]any{kill("job-1/0", 1, 2)}, nil, "job-1/0#1 running ;"},
		"the machine's fault":  {nil, func(b *bench) { b.do(Input{Ended: &Ended{Task: "job-1/0", Attempt: 1, Failed: true}}) }, "job-1/0#1 exited error;"},
		"no such task":         {[]any{start("job-1/9", 1)}, func(b *bench) { b.describe(b.last, desc) }, "job-1/0#1 running ;job-1/9#1 exited no_such;"},
		"no room":              {[]any{start("job-1/1", 1), start("job-1/2", 1)}, func(b *bench) { b.describe(b.last, desc) }, "job-1/0#1 running ;job-1/1#1 running ;job-1/2#1 exited no_room;"},
		"killed before it began": {
			[]any{start("job-1/1", 1), kill("job-1/1", 1, 0)},
			func(b *bench) { b.describe(b.last, desc) },
			"job-1/0#1 running ;job-1/1#1 exited halted;",
		},
		"no word of the job": {[]any{start("job-2/0", 1)}, func(b *bench) {
			b.do(Input{Described: &Described{Task: "job-2/0", Attempt: 1, Status: 404}})
		}, "job-1/0#1 running ;job-2/0#1 exited no_such;"},
		"kept from before": {[]any{start("job-1/1", 1)}, func(b *bench) {
			b.do(Input{Described: &Described{Task: "job-1/1", Attempt: 1, Done: true}})
		}, "job-1/0#1 running ;job-1/1#1 exited done;"},
	} {
		b := fresh(t)
		b.wait(time.Second)
		b.describe(b.answer(200, map[string]any{"helm": 5, "calls": []any{start("job-1/0", 1)}}), desc)
		if !b.running["job-1/0"] {
			t.Fatal("the first task does not run")
		}
		if r := b.direct(5, 1, c.calls...); r.Status != 200 {
			t.Fatalf("%s: status %d", name, r.Status)
		}
		if c.after != nil {
			c.after(b)
		}
		if got := b.shown(); got != c.want {
			t.Errorf("%s:\n%s, want\n%s", name, got, c.want)
		}
	}
}

// Who commands: a token that is lower or missing is dropped and does not renew the lease; another
// session's commands are not executed; direct commands never renew it.
func TestTokensAndLeases(t *testing.T) {
	b := fresh(t)
	b.wait(time.Second)
	b.answer(200, map[string]any{"helm": 5, "calls": []any{}})
	for name, d := range map[string]struct{ token, session, want int }{"lower": {4, 1, 409}, "other session": {5, 2, 409}, "equal": {5, 1, 200}, "higher": {6, 1, 200}} {
		if r := b.direct(d.token, d.session); r.Status != d.want {
			t.Errorf("%s: status %d", name, r.Status)
		}
		b.s.token = 5
	}
	if r := b.do(Input{Direct: &Direct{Commands: true, Body: b.pack(map[string]any{"watch": 1})}}).Replies[0]; r.Status != 400 {
		t.Errorf("no token: %d", r.Status)
	}
	if b.wait(2 * time.Second); !b.s.flying {
		t.Fatal("no report is due")
	}
	b.answer(200, map[string]any{"helm": 4, "calls": []any{start("job-1/0", 1)}})
	b.answer(200, map[string]any{"calls": []any{start("job-1/0", 1)}})
	if b.shown() != "" {
		t.Errorf("commands of a lower token: %s", b.shown())
	}
	granted := b.s.granted
	b.now = granted.Add(8900 * time.Millisecond)
	if b.do(); b.last.Clear != nil {
		t.Error("the lease ends early")
	}
	b.wait(200 * time.Millisecond)
	if b.last.Clear == nil {
		t.Fatal("the lease does not end")
	}
	if r := b.direct(9, 1, start("job-1/0", 1)); r.Status != 409 {
		t.Errorf("commands while everything is being ended: %d", r.Status)
	}
	if b.wait(5*time.Second).Report != nil {
		t.Error("reports before everything has ended")
	}
	b.clear0()
	if b.s.session != 2 || b.s.Busy() != 0 {
		t.Errorf("session %d", b.s.session)
	}
}

// clear0 finishes a clearing whose effect was some steps ago.
func (b *bench) clear0() { b.do(Input{Cleared: &Cleared{b.s.epoch}}) }

// After a sleep of the whole machine the lease is over: nothing is executed that came in meanwhile.
func TestSleptThroughTheLease(t *testing.T) {
	b := fresh(t)
	b.wait(time.Second)
	b.now = b.now.Add(time.Hour)
	b.answer(200, map[string]any{"helm": 5, "calls": []any{start("job-1/0", 1)}})
	if b.last.Clear == nil || b.shown() != "" {
		t.Errorf("after an hour: clear %v, %s", b.last.Clear, b.shown())
	}
}

// What a worker becomes, it becomes only once nothing is left of what it was.
func TestAnotherMachine(t *testing.T) {
	b := fresh(t)
	b.do(Input{Assigned: &Assigned{Machine: "vm-2", Serial: 2}})
	if name, applied := b.s.Machine(); name != "vm-1" || applied != 2 {
		t.Errorf("%s, %d before it is cleared", name, applied)
	}
	b.do(Input{Assigned: &Assigned{Serial: 3}})
	b.clear0()
	if name, _ := b.s.Machine(); name != "" {
		t.Errorf("%s after it was taken away meanwhile", name)
	}
	if b.wait(time.Minute).Report != nil {
		t.Error("reports as no machine")
	}
}

// A controller that does not answer, or names another, is left; reports never come in quick succession.
func TestWhereReportsGo(t *testing.T) {
	b := fresh(t)
	to := func() string {
		b.Helper()
		for range 100 {
			if b.s.flying {
				return b.s.opt.Controllers[b.s.names[b.s.at]]
			}
			b.wait(50 * time.Millisecond)
		}
		return "nowhere"
	}
	if got := to(); got != "a:1" {
		t.Fatalf("first to %s", got)
	}
	b.answer(421, map[string]any{"flagship": "b"})
	if got := to(); got != "b:1" {
		t.Errorf("sent on to %s", got)
	}
	sent := b.now
	b.do(Input{Answered: &Answered{}})
	if got := to(); got != "a:1" || b.now.Sub(sent) < time.Second {
		t.Errorf("after no answer to %s, %v later", got, b.now.Sub(sent))
	}
}

// What a worker tells the pool passes its check, failures too: once these were sent as binary, and from
// the first failure on the pool refused every greeting.
func TestGreetingIsReadable(t *testing.T) {
	raw, err := json.Marshal(Result{Task: "job-1/0", Exit: 3, Tail: "oops \x00 \xff"})
	if err != nil {
		t.Fatal(err)
	}
	body, err := codec.Marshal(Greeting{Name: "w", Failures: []string{string(raw)}})
	if err != nil {
		t.Fatal(err)
	}
	if err := codec.Validate(body); err != nil {
		t.Error(err)
	}
}
