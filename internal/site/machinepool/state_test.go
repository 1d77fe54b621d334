package machinepool

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/poolapi"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// machinePoolModel is a pool with a simple model of its workers: the machine that each has, and the assignments on their way to it.
type machinePoolModel struct {
	t                *rapid.T
	state            *State
	now              time.Time
	workers          []*modelWorker
	pendingDeletions map[int][]string // machine IDs by handle of the delete request
	lastHandle       int
	created          map[string]string // machine IDs in the response, by name of the create request
	machines         []string          // IDs of all machines that were created
}

type modelWorker struct {
	name          string
	epoch         uint64
	machine       string
	appliedSerial uint64
	assignments   []poolapi.MachineAssignment // on their way to the worker, in the order of their serials
}

// isAboutToTake reports whether the newest assignment on its way to the worker has the machine.
func (w *modelWorker) isAboutToTake(id string) bool {
	count := len(w.assignments)
	return count > 0 && w.assignments[count-1].Machine == id
}

func newMachinePoolModel(t *rapid.T) *machinePoolModel {
	model := &machinePoolModel{
		t:                t,
		state:            NewState(Options{Zone: "z", HourlyPrice: 1}, Record{}),
		now:              time.Unix(1000, 0),
		pendingDeletions: map[int][]string{},
		created:          map[string]string{},
	}
	for i := range 3 {
		model.workers = append(model.workers, &modelWorker{name: fmt.Sprint("w", i), epoch: uint64(i + 1)})
	}
	return model
}

func (m *machinePoolModel) request(method, target string, body any) []Response {
	raw, err := codec.Marshal(body)
	if err != nil {
		m.t.Fatal(err)
	}
	m.lastHandle++
	e := m.state.Step(m.now, []Request{{Handle: m.lastHandle, Method: method, Target: target, Body: raw}})
	for _, r := range e.Responses {
		m.checkDeletion(r)
	}
	return e.Responses
}

// checkDeletion checks the response to a deletion: if it is confirmed, no worker may have one of its machines or be about to take one.
func (m *machinePoolModel) checkDeletion(response Response) {
	handle, ok := response.Handle.(int)
	ids := m.pendingDeletions[handle]
	if !ok || ids == nil {
		return
	}
	delete(m.pendingDeletions, handle)
	if response.Status != http.StatusOK {
		return
	}
	for _, id := range ids {
		for _, w := range m.workers {
			if w.machine == id || w.isAboutToTake(id) {
				m.t.Fatalf("deletion of %s confirmed while %s has it: machine %q, assignments %v", id, w.name, w.machine, w.assignments)
			}
		}
	}
}

func (m *machinePoolModel) report(w *modelWorker) {
	for _, r := range m.request("POST", "/site/greet", poolapi.WorkerReport{
		Name: w.name, Addr: w.name + ":1", Type: "t", Zone: "z", CPUs: 4, Epoch: w.epoch,
		Machine: w.machine, AppliedSerial: w.appliedSerial,
	}) {
		if assignment, ok := r.Body.(poolapi.MachineAssignment); ok && r.Handle == m.lastHandle {
			w.assignments = append(w.assignments, assignment)
		}
	}
}

// applyAssignment makes the worker apply the oldest assignment on its way. No task of its earlier machine is left then.
func (m *machinePoolModel) applyAssignment(w *modelWorker) {
	if len(w.assignments) > 0 {
		oldest := w.assignments[0]
		w.assignments = w.assignments[1:]
		w.machine, w.appliedSerial = oldest.Machine, oldest.Serial
	}
}

func (m *machinePoolModel) createMachines() {
	name := fmt.Sprint("r-", rapid.IntRange(0, 5).Draw(m.t, "charter"))
	for _, r := range m.request("POST", "/hosts", createBody(name, "t", "z", false, 2)) {
		if r.Handle != m.lastHandle || r.Status != http.StatusOK {
			continue
		}
		ids := r.Body.(createResponse).IDs
		if earlier, ok := m.created[name]; ok && earlier != fmt.Sprint(ids) {
			m.t.Fatalf("response to request %s: got machines %v, want %s as before", name, ids, earlier)
		}
		m.created[name] = fmt.Sprint(ids)
		m.machines = append(m.machines, ids...)
	}
}

func (m *machinePoolModel) deleteMachine() {
	if len(m.machines) > 0 {
		id := rapid.SampledFrom(m.machines).Draw(m.t, "machine")
		m.pendingDeletions[m.lastHandle+1] = []string{id}
		m.request("POST", "/hosts/delete", deletionBody(id))
	}
}

// restartWorker restarts the worker's process. The new process has ended all tasks that were left.
func (m *machinePoolModel) restartWorker(w *modelWorker) {
	w.machine, w.appliedSerial, w.assignments = "", 0, nil
	w.epoch += 10
}

// restartProcess restarts the pool's process, in half of the calls. The new process has the stored record only.
func (m *machinePoolModel) restartProcess() {
	if rapid.Bool().Draw(m.t, "restart") {
		m.state = NewState(m.state.options, reloaded(m.state.record))
		m.pendingDeletions = map[int][]string{}
	}
}

// checkOneMachinePerWorker checks that no worker has two machines.
func (m *machinePoolModel) checkOneMachinePerWorker() {
	byWorker := map[string]string{}
	for id, machine := range m.state.record.Machines {
		if other, ok := byWorker[machine.Worker]; ok {
			m.t.Fatalf("machines of %s: got %s and %s, want one", machine.Worker, other, id)
		}
		byWorker[machine.Worker] = id
	}
}

// TestNoWorkerHasDeletedMachine checks random sequences of reports, assignments, create requests, deletions and restarts.
// No worker may have or get a machine whose deletion is confirmed, or have two machines. A repeated create request must
// get the same machines.
func TestNoWorkerHasDeletedMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newMachinePoolModel(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			model.now = model.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			w := rapid.SampledFrom(model.workers).Draw(t, "worker")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				model.report(w)
			case 3, 4, 5:
				model.applyAssignment(w)
			case 6:
				model.createMachines()
			case 7:
				model.deleteMachine()
			case 8:
				model.restartWorker(w)
			case 9:
				model.restartProcess()
			}
			model.checkOneMachinePerWorker()
		}
	})
}

// reloaded returns the record as it is read from disk, without the fields that are not stored.
func reloaded(stored Record) Record {
	record := Record{
		LastMachineNumber: stored.LastMachineNumber,
		IsDraining:        stored.IsDraining,
		Machines:          map[string]*Machine{},
		MachinesByRequest: stored.MachinesByRequest,
	}
	for id, machine := range stored.Machines {
		copied := *machine
		copied.releasedAtSerial = 0
		record.Machines[id] = &copied
	}
	return record
}

// createBody returns the body of POST /hosts as the controllers send it.
func createBody(name, machineType, zone string, isSpot bool, count int) codec.Object {
	return codec.Object{"charter": name, "keel": machineType, "harbour": zone, "driftwood": isSpot, "how_many": count}
}

// deletionBody returns the body of POST /hosts/delete as the controllers send it.
func deletionBody(ids ...string) codec.Object { return codec.Object{"oarlocks": ids} }

// fixture is a pool with a clock that the test sets.
type fixture struct {
	t     *testing.T
	state *State
	now   time.Time
}

// send handles a request in a step and returns the first response of the step. The status is 0 if there is none.
func (f *fixture) send(method, target string, body any) Response {
	f.t.Helper()
	raw, err := codec.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	responses := f.state.Step(f.now, []Request{{Handle: 1, Method: method, Target: target, Body: raw}}).Responses
	if len(responses) == 0 {
		return Response{}
	}
	return responses[0]
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return &fixture{t: t, state: NewState(Options{Zone: "z", HourlyPrice: 1}, Record{}), now: time.Unix(1000, 0)}
}

// addWorkers sends reports of three workers of type t.
func (f *fixture) addWorkers() {
	f.t.Helper()
	epoch := uint64(rand.Uint32()) + 1
	for i := range 3 {
		f.send("POST", "/site/greet", poolapi.WorkerReport{Name: fmt.Sprint("w", i), Addr: "a:1", Type: "t", CPUs: 4, Epoch: epoch})
	}
}

// TestCreateRequests checks the responses to create requests, which are sent in the order of the table.
func TestCreateRequests(t *testing.T) {
	f := newFixture(t)
	if r := f.send("POST", "/hosts", createBody("r", "t", "z", false, 1)); r.Status != http.StatusServiceUnavailable {
		t.Errorf("create without workers: got status %d, want 503", r.Status)
	}
	f.addWorkers()
	for _, test := range []struct {
		name       string
		body       codec.Object
		wantStatus int
		wantCount  int
	}{
		{name: "request without a name", body: createBody("", "t", "z", false, 1), wantStatus: 400},
		{name: "zero machines", body: createBody("x", "t", "z", false, 0), wantStatus: 400},
		{name: "too many machines", body: createBody("x", "t", "z", false, 51), wantStatus: 400},
		{name: "spot", body: createBody("x", "t", "z", true, 1), wantStatus: 503},
		{name: "other zone", body: createBody("x", "t", "y", false, 1), wantStatus: 503},
		{name: "other type", body: createBody("x", "u", "z", false, 1), wantStatus: 503},
		{name: "nine machines with three free workers", body: createBody("r", "t", "z", false, 9), wantStatus: 200, wantCount: 3},
		{name: "no free worker", body: createBody("s", "t", "z", false, 1), wantStatus: 503},
	} {
		r := f.send("POST", "/hosts", test.body)
		if r.Status != test.wantStatus {
			t.Errorf("%s: got status %d, want %d", test.name, r.Status, test.wantStatus)
		}
		if created, ok := r.Body.(createResponse); test.wantCount > 0 && (!ok || len(created.IDs) != test.wantCount) {
			t.Errorf("%s: got response %v, want %d machines", test.name, r.Body, test.wantCount)
		}
	}
}

// TestListInstances checks that instances are listed in pages.
func TestListInstances(t *testing.T) {
	f := newFixture(t)
	f.addWorkers()
	f.send("POST", "/hosts", createBody("r", "t", "z", false, 9))
	for _, test := range []struct {
		target      string
		wantCount   int
		wantHasNext bool
	}{
		{"/hosts?most=2", 2, true},
		{"/hosts?most=2&from=vm-000002", 1, false},
	} {
		page := f.send("GET", test.target, nil).Body.(instancesResponse)
		if len(page.Instances) != test.wantCount || page.HasNext != test.wantHasNext {
			t.Errorf("%s: got %+v, want %d instances, has next %v", test.target, page, test.wantCount, test.wantHasNext)
		}
	}
}

// TestDeletionWaitsForWorker checks that the deletion of an unknown machine succeeds at once. If the worker of a machine
// does not report, its deletion must get a response that asks for a retry.
func TestDeletionWaitsForWorker(t *testing.T) {
	f := newFixture(t)
	f.addWorkers()
	f.send("POST", "/hosts", createBody("r", "t", "z", false, 9))
	if r := f.send("POST", "/hosts/delete", deletionBody("vm-999999")); r.Status != http.StatusOK {
		t.Errorf("delete an unknown machine: got status %d, want 200", r.Status)
	}
	if r := f.send("POST", "/hosts/delete", deletionBody("vm-000001")); r.Status != 0 {
		t.Errorf("delete before the worker has reported: got status %d, want no response", r.Status)
	}
	f.now = f.now.Add(time.Minute)
	responses := f.state.Step(f.now, nil).Responses
	if len(responses) != 1 || responses[0].Status != http.StatusServiceUnavailable || responses[0].RetryAfter == 0 {
		t.Errorf("deletion with a worker that is silent for a minute: got %v, want one response with status 503 and a Retry-After", responses)
	}
}

// TestDrainSurvivesRestart checks that a draining pool is still draining after a restart, that it releases machines as
// they become idle, and that it creates none.
func TestDrainSurvivesRestart(t *testing.T) {
	f := newFixture(t)
	report := func(machine string, runningTasks int, appliedSerial uint64) poolapi.MachineAssignment {
		t.Helper()
		return f.send("POST", "/site/greet", poolapi.WorkerReport{
			Name: "w", Addr: "a:1", Type: "t", CPUs: 4, Epoch: 7,
			Machine: machine, RunningTasks: runningTasks, AppliedSerial: appliedSerial,
		}).Body.(poolapi.MachineAssignment)
	}
	report("", 0, 0)
	f.send("POST", "/hosts", createBody("r", "t", "z", false, 1))
	assignment := report("", 0, 0)
	if assignment.Machine != "vm-000001" || assignment.HasDrainNotice {
		t.Fatalf("assignment: got %+v, want vm-000001 without a drain notice", assignment)
	}
	report(assignment.Machine, 3, assignment.Serial)
	f.send("POST", "/site/drain", nil)
	f.state = NewState(f.state.options, reloaded(f.state.record))
	if assignment = report("vm-000001", 3, assignment.Serial); !assignment.HasDrainNotice || assignment.Machine == "" {
		t.Errorf("draining with running tasks: got assignment %+v, want the machine with a drain notice", assignment)
	}
	if assignment = report("vm-000001", 0, assignment.Serial); assignment.Machine != "" {
		t.Errorf("draining and idle: got assignment %+v, want no machine", assignment)
	}
	report("", 0, assignment.Serial)
	if f.state.overview(f.now).AllWorkersSilentFor(30 * time.Second) {
		t.Error("worker that has just reported: got silent, want not silent")
	}
	if !f.state.overview(f.now.Add(time.Minute)).AllWorkersSilentFor(30 * time.Second) {
		t.Error("worker that has not reported for a minute: got not silent, want silent")
	}
	if view := f.state.overview(f.now); !view.IsDraining || view.MachineCount != 0 {
		t.Errorf("overview: got %+v, want draining with no machine", view)
	}
	if r := f.send("POST", "/hosts", createBody("r", "t", "z", false, 1)); r.Status == http.StatusOK && len(f.state.record.Machines) > 0 {
		t.Error("create while draining: got a machine, want none")
	}
	f.send("POST", "/site/undrain", nil)
	if r := f.send("POST", "/hosts", createBody("r2", "t", "z", false, 1)); r.Status != http.StatusOK {
		t.Errorf("create after the drain: got status %d, want 200", r.Status)
	}
}
