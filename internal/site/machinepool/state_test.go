package machinepool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/codec"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// poolModel is a pool with a plain model of its workers: what each was told, what it holds.
type poolModel struct {
	t                *rapid.T
	state            *State
	now              time.Time
	workers          []*modelWorker
	pendingDeletions map[int][]string // by request, those that are not answered
	lastHandle       int
}

type modelWorker struct {
	name          string
	epoch         uint64
	machine       string
	appliedSerial uint64
	assignments   []assignment // on their way to it
}

func (y *poolModel) request(method, target string, body any) []Response {
	raw, err := codec.Marshal(body)
	if err != nil {
		y.t.Fatal(err)
	}
	y.lastHandle++
	e := y.state.Step(y.now, []Request{{Handle: y.lastHandle, Method: method, Target: target, Body: raw}})
	y.checkConfirmedDeletions(e)
	return e.Responses
}

// checkConfirmedDeletions checks every deletion that is confirmed: no worker may hold a machine of it, or be about to.
func (y *poolModel) checkConfirmedDeletions(e Effects) {
	for _, r := range e.Responses {
		n, ok := r.Handle.(int)
		ids := y.pendingDeletions[n]
		if !ok || ids == nil {
			continue
		}
		delete(y.pendingDeletions, n)
		for _, id := range ids {
			for _, h := range y.workers {
				coming := false
				for i, c := range h.assignments {
					coming = coming || c.Machine == id && i == len(h.assignments)-1
				}
				if r.Status == 200 && (h.machine == id || coming) {
					y.t.Fatalf("%s is confirmed as gone, and %s has it (%q, %v)", id, h.name, h.machine, h.assignments)
				}
			}
		}
	}
}

func (y *poolModel) report(h *modelWorker) {
	for _, r := range y.request("POST", "/site/greet", workerReport{
		Name: h.name, Addr: h.name + ":1", Type: "t", Zone: "z", CPUs: 4, Epoch: h.epoch,
		Machine: h.machine, AppliedSerial: h.appliedSerial,
	}) {
		if c, ok := r.Body.(assignment); ok && r.Handle == y.lastHandle {
			h.assignments = append(h.assignments, c)
		}
	}
}

// Whatever the order in which greetings, charges, rentals, deletions, restarts and outages come: what is
// confirmed as gone is held by nobody and will be taken by nobody; no worker has two machines; a
// request is answered with the same machines for ever.
func TestConfirmedDeletionLeavesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y := &poolModel{t: t, state: NewState(Options{Zone: "z", HourlyPrice: 1}, Record{}), now: time.Unix(1000, 0), pendingDeletions: map[int][]string{}}
		for i := range 3 {
			y.workers = append(y.workers, &modelWorker{name: fmt.Sprint("w", i), epoch: uint64(i + 1)})
		}
		charters, known := map[string]string{}, []string{}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			y.now = y.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom(y.workers).Draw(t, "worker")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				y.report(h)
			case 3, 4, 5:
				if len(h.assignments) > 0 { // it takes in what it was told, in order; clearing is done by then
					c := h.assignments[0]
					h.assignments = h.assignments[1:]
					h.machine, h.appliedSerial = c.Machine, c.Serial
				}
			case 6:
				name := fmt.Sprint("r-", rapid.IntRange(0, 5).Draw(t, "charter"))
				for _, r := range y.request("POST", "/hosts", map[string]any{"charter": name, "keel": "t", "harbour": "z", "driftwood": false, "how_many": 2}) {
					if r.Handle != y.lastHandle || r.Status != 200 {
						continue
					}
					ids := r.Body.(map[string]any)["oarlocks"].([]string)
					if old, ok := charters[name]; ok && old != fmt.Sprint(ids) {
						t.Fatalf("%s got %s and then %v", name, old, ids)
					}
					charters[name] = fmt.Sprint(ids)
					known = append(known, ids...)
				}
			case 7:
				if len(known) > 0 {
					id := rapid.SampledFrom(known).Draw(t, "machine")
					y.pendingDeletions[y.lastHandle+1] = []string{id}
					y.request("POST", "/hosts/delete", map[string]any{"oarlocks": []string{id}})
				}
			case 8: // the worker's process ends; its successor has ended everything
				h.machine, h.appliedSerial, h.assignments = "", 0, nil
				h.epoch += 10
			case 9: // the pool's process ends; what it kept is there
				if rapid.Bool().Draw(t, "restart") {
					y.state = NewState(y.state.options, reloaded(y.state.record))
					y.pendingDeletions = map[int][]string{}
				}
			}
			has := map[string]string{}
			for id, m := range y.state.record.Machines {
				if other, ok := has[m.Worker]; ok {
					t.Fatalf("%s has %s and %s", m.Worker, other, id)
				}
				has[m.Worker] = id
			}
		}
	})
}

// reloaded is a record as it comes back from disk: what is not written is not there.
func reloaded(r Record) Record {
	c := Record{LastMachineNumber: r.LastMachineNumber, IsDraining: r.IsDraining, Machines: map[string]*Machine{}, MachinesByRequest: r.MachinesByRequest}
	for id, m := range r.Machines {
		n := *m
		n.releasedAtSerial = 0
		c.Machines[id] = &n
	}
	return c
}

// The protocol's cloud: forms that are refused, what is listed, and a deletion of what nobody knows.
func TestCloudInterface(t *testing.T) {
	s := NewState(Options{Zone: "z", HourlyPrice: 1}, Record{})
	now := time.Unix(1000, 0)
	ask := func(method, target string, body any) Response {
		t.Helper()
		raw, err := codec.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range s.Step(now, []Request{{Handle: 1, Method: method, Target: target, Body: raw}}).Responses {
			return r
		}
		return Response{}
	}
	rent := func(name, typ, zone string, spot bool, n int) Response {
		return ask("POST", "/hosts", map[string]any{"charter": name, "keel": typ, "harbour": zone, "driftwood": spot, "how_many": n})
	}
	if r := rent("r", "t", "z", false, 1); r.Status != 503 {
		t.Errorf("nobody is there: %d", r.Status)
	}
	epoch := uint64(rand.Uint32()) + 1
	for i := range 3 {
		ask("POST", "/site/greet", workerReport{Name: fmt.Sprint("w", i), Addr: "a:1", Type: "t", CPUs: 4, Epoch: epoch})
	}
	for name, r := range map[string]Response{"no name": rent("", "t", "z", false, 1), "none": rent("x", "t", "z", false, 0), "many": rent("x", "t", "z", false, 51)} {
		if r.Status != 400 {
			t.Errorf("%s: %d", name, r.Status)
		}
	}
	for name, r := range map[string]Response{"spot": rent("x", "t", "z", true, 1), "zone": rent("x", "t", "y", false, 1), "type": rent("x", "u", "z", false, 1)} {
		if r.Status != 503 {
			t.Errorf("%s: %d", name, r.Status)
		}
	}
	if r := rent("r", "t", "z", false, 9); r.Status != 200 || len(r.Body.(map[string]any)["oarlocks"].([]string)) != 3 {
		t.Errorf("three of nine: %v", r)
	}
	if r := rent("s", "t", "z", false, 1); r.Status != 503 {
		t.Errorf("all are taken: %d", r.Status)
	}
	page := ask("GET", "/hosts?most=2", nil).Body.(map[string]any)
	rest := ask("GET", "/hosts?most=2&from=vm-000002", nil).Body.(map[string]any)
	if len(page["oarlocks"].([]instance)) != 2 || page["has_next"] != true || len(rest["oarlocks"].([]instance)) != 1 || rest["has_next"] != false {
		t.Errorf("%v %v", page, rest)
	}
	if r := ask("POST", "/hosts/delete", map[string]any{"oarlocks": []string{"vm-999999"}}); r.Status != 200 {
		t.Errorf("a name that is not known: %d", r.Status)
	}
	if r := ask("POST", "/hosts/delete", map[string]any{"oarlocks": []string{"vm-000001"}}); r.Status != 0 {
		t.Errorf("answered with %d before the worker has said a word", r.Status)
	}
	now = now.Add(time.Minute)
	if e := s.Step(now, nil); len(e.Responses) != 1 || e.Responses[0].Status != 503 || e.Responses[0].RetryAfter == 0 {
		t.Errorf("a worker that says nothing: %v", e.Responses)
	}
}

// A drain outlives the pool's process, gives machines up as they fall idle, and rents none.
func TestDrainSurvivesRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState(Options{Zone: "z"}, Record{})
	greet := func(holding string, busy int, applied uint64) assignment {
		t.Helper()
		raw, err := codec.Marshal(workerReport{Name: "w", Addr: "a:1", Type: "t", CPUs: 4, Epoch: 7, Machine: holding, RunningTasks: busy, AppliedSerial: applied})
		if err != nil {
			t.Fatal(err)
		}
		return s.Step(now, []Request{{Handle: 1, Method: "POST", Target: "/site/greet", Body: raw}}).Responses[0].Body.(assignment)
	}
	greet("", 0, 0)
	raw, err := codec.Marshal(map[string]any{"charter": "r", "keel": "t", "harbour": "z", "driftwood": false, "how_many": 1})
	if err != nil {
		t.Fatal(err)
	}
	s.Step(now, []Request{{Handle: 1, Method: "POST", Target: "/hosts", Body: raw}})
	c := greet("", 0, 0)
	if c.Machine != "vm-000001" || c.HasDrainNotice {
		t.Fatalf("%+v", c)
	}
	greet(c.Machine, 3, c.Serial)
	s.Step(now, []Request{{Handle: 1, Method: "POST", Target: "/site/drain", Body: nil}})
	s = NewState(s.options, reloaded(s.record))
	if c = greet("vm-000001", 3, c.Serial); !c.HasDrainNotice || c.Machine == "" {
		t.Errorf("with tasks on it: %+v", c)
	}
	if c = greet("vm-000001", 0, c.Serial); c.Machine != "" {
		t.Errorf("idle: %+v", c)
	}
	greet("", 0, c.Serial)
	if o := s.overview(now); o.AllWorkersSilentFor(30*time.Second) || !s.overview(now.Add(time.Minute)).AllWorkersSilentFor(30*time.Second) {
		t.Error("a worker that was heard now is not, or one that was not for a minute is")
	}
	if o := s.overview(now); !o.IsDraining || o.MachineCount != 0 {
		t.Errorf("%+v", o)
	}
	if r := s.Step(now, []Request{{Handle: 1, Method: "POST", Target: "/hosts", Body: raw}}).Responses[0]; r.Status == 200 && len(s.record.Machines) > 0 {
		t.Error("rented while drained")
	}
	s.Step(now, []Request{{Handle: 1, Method: "POST", Target: "/site/undrain", Body: nil}})
	raw2, err := codec.Marshal(map[string]any{"charter": "r2", "keel": "t", "harbour": "z", "driftwood": false, "how_many": 1})
	if err != nil {
		t.Fatal(err)
	}
	if r := s.Step(now, []Request{{Handle: 1, Method: "POST", Target: "/hosts", Body: raw2}}).Responses[0]; r.Status != 200 {
		t.Errorf("after undrain: %d", r.Status)
	}
}
