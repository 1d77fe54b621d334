package controller

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

// fakeStateService is a state service of keys and marks, for calls that are answered at once.
type fakeStateService struct {
	revision     uint64
	values       map[string]any
	modRevisions map[string]uint64
	unavailable  bool
}

func (service *fakeStateService) exchange(t *testing.T, call client.Call) client.Result {
	t.Helper()
	body, status := any(nil), 200
	switch {
	case service.unavailable:
		return client.Result{Status: 503}
	case call.Path == "/commit":
		service.revision++
		for _, change := range call.Body.(storage.CommitRequest).Operations {
			if change.Write != "" {
				service.values[change.Write], service.modRevisions[change.Write] = change.Value, service.revision
			}
		}
		body = map[string]uint64{"tide": service.revision}
	case len(call.Path) > 6 && call.Path[:6] == "/keys/":
		value, ok := service.values[call.Path[6:]]
		if !ok {
			return client.Result{Status: 404}
		}
		body = map[string]any{"value": value, "mark": service.modRevisions[call.Path[6:]]}
	default:
		body = map[string]any{"entries": []any{}, "has_next": false}
	}
	raw, err := codec.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return client.Result{Status: status, Body: raw}
}

// userResponse is what a user reads of an answer.
type userResponse struct {
	State     string `msgpack:"trim"`
	DoneTasks *int   `msgpack:"done"`
}

func (n *Controller) userRequest(
	t *testing.T,
	now time.Time,
	service *fakeStateService,
	method, target string,
	body any,
) (int, userResponse) {
	t.Helper()
	raw, err := codec.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	n.holdsLease = true
	n.route(now, &server.Request{Method: method, Target: target, Body: raw})
	for calls := n.outbox.TakeCalls(); len(calls) > 0; calls = n.outbox.TakeCalls() {
		for _, c := range calls {
			c.Done(now, service.exchange(t, c))
		}
	}
	replies := n.responder.TakeResponses()
	if len(replies) != 1 {
		t.Fatalf("%s %s: %d answers", method, target, len(replies))
	}
	reply := replies[0]
	var response userResponse
	if err := codec.Unmarshal(reply.Body, &response); err != nil {
		t.Fatal(err)
	}
	return reply.Status, response
}

// Jobs that are sealed are answered as before, with their counts read back; while these cannot
// be read the user is told to ask again, and in a long outage the state alone is given: for 90 s
// of failing polls a job would count as forgotten.
func TestArchivedJobsAreAnswered(t *testing.T) {
	now := time.Unix(10_000, 0)
	platform := &config.Platform{
		Name: "n", HeartbeatInterval: 4 * time.Second, WorkerLeaseDuration: 20 * time.Second, CPUQuota: 0.2, MaxConnections: 1000,
		StateWriteRate: 1000, StateRequestRate: 200, MaxValueBytes: 4096, MaxTransactionOps: 8, CloudRequestRate: 2,
	}
	options := config.DefaultOptions()
	options.ArchiveDelay, options.MinSegmentJobs = time.Second, 2
	controller := New(platform, options, now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	controller.holdsLease = true
	service := &fakeStateService{values: map[string]any{}, modRevisions: map[string]uint64{}}
	controller.leadership = controller.newLeadership(now, 1)
	controller.leadership.storage.Load(&controller.outbox)
	settle := func() {
		for range 20 {
			now = now.Add(2 * time.Second)
			controller.leadership.jobStore.Tick(now, &controller.outbox)
			controller.leadership.jobStore.Save(now, true)
			controller.leadership.storage.Flush(now, &controller.outbox)
			for _, c := range controller.outbox.TakeCalls() {
				c.Done(now, service.exchange(t, c))
			}
		}
	}
	for _, c := range controller.outbox.TakeCalls() {
		c.Done(now, service.exchange(t, c))
	}
	controller.leadership.failover.LoadState(now)
	controller.leadership.cloud.MachineTypes = map[string]*cloud.MachineType{
		"small": {Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}},
	}
	ids := []string{"job-000001", "job-000002", "job-20261201121026", "job-20261201121027"}
	for i, id := range ids {
		job := jobs.New(jobs.Spec{ID: id, Tasks: i + 7}, now)
		controller.leadership.jobStore.Add(job)
		job.State = jobs.Accepted
		for task := range job.Tasks {
			job.RecordTaskDone(task)
		}
		if i%2 == 1 {
			job.State = jobs.Cancelled // with nothing left of it on any machine
		}
		controller.leadership.jobStore.FinishIfDone(now, job)
	}
	settle()
	if controller.leadership.jobStore.FinishedCount() != len(ids) || controller.leadership.jobStore.Archive().JobCount() != len(ids) {
		t.Fatalf(
			"%d jobs are finished, %d are sealed",
			controller.leadership.jobStore.FinishedCount(),
			controller.leadership.jobStore.Archive().JobCount(),
		)
	}
	service.unavailable = true
	if status, _ := controller.userRequest(t, now, service, "GET", "/work/job-000001", nil); status != 503 {
		t.Errorf("counts that cannot be read: %d", status)
	}
	now = now.Add(25 * time.Second)
	if status, response := controller.userRequest(
		t,
		now,
		service,
		"GET",
		"/work/job-000001",
		nil,
	); status != 200 || response.State != "done" ||
		response.DoneTasks != nil {
		t.Errorf("25 s into an outage: %d, %+v", status, response)
	}
	if status, response := controller.userRequest(
		t,
		now,
		service,
		"GET",
		"/work/job-000002",
		nil,
	); status != 200 ||
		response.State != "cancelled" {
		t.Errorf("a cancelled job in an outage: %d, %+v", status, response)
	}
	service.unavailable = false
	for i, id := range ids {
		state := []string{"done", "cancelled"}[i%2]
		status, response := controller.userRequest(t, now, service, "GET", "/work/"+id, nil)
		if status != 200 || response.State != state || response.DoneTasks == nil || *response.DoneTasks != []int{i + 7, 0}[i%2] {
			t.Errorf("%s: %d, %+v", id, status, response)
		}
		if status, response := controller.userRequest(
			t,
			now,
			service,
			"POST",
			"/work/"+id+"/withdraw",
			nil,
		); status != 200 ||
			response.State != state {
			t.Errorf("cancelling %s: %d, %+v", id, status, response)
		}
		if status, response := controller.userRequest(
			t,
			now,
			service,
			"POST",
			"/work",
			map[string]any{"id": id},
		); status != 200 ||
			response.State != state {
			t.Errorf("%s submitted again: %d, %+v", id, status, response)
		}
	}
	now = now.Add(time.Second) // reads are limited
	for _, id := range []string{"job-1", "job-01", "job-0000001", "job-20261201121028"} {
		if status, _ := controller.userRequest(t, now, service, "GET", "/work/"+id, nil); status != 404 {
			t.Errorf("%s, which nobody submitted: %d", id, status)
		}
	}
}
