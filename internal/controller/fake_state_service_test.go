package controller

import (
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
	"gullrudder/internal/wire/stateapi"
)

// fakeStateService is a state service that keeps values with their modification revisions. It responds to calls
// immediately, with status 503 while it is unavailable.
type fakeStateService struct {
	revision     uint64
	values       map[string]any
	modRevisions map[string]uint64
	unavailable  bool
}

func newFakeStateService() *fakeStateService {
	return &fakeStateService{values: map[string]any{}, modRevisions: map[string]uint64{}}
}

func (service *fakeStateService) exchange(t *testing.T, call client.Call) client.Result {
	t.Helper()
	if service.unavailable {
		return client.Result{Status: 503}
	}
	body := any(map[string]any{"entries": []any{}, "has_next": false})
	if call.Path == "/commit" {
		service.commit(call.Body.(stateapi.CommitRequest))
		body = map[string]uint64{"tide": service.revision}
	} else if key, ok := strings.CutPrefix(call.Path, "/keys/"); ok && key != "" {
		value, ok := service.values[key]
		if !ok {
			return client.Result{Status: 404}
		}
		body = map[string]any{"value": value, "mark": service.modRevisions[key]}
	}
	return client.Result{Status: 200, Body: marshal(t, body)}
}

// commit applies the writes of a transaction. Its preconditions are not checked.
func (service *fakeStateService) commit(request stateapi.CommitRequest) {
	service.revision++
	for _, operation := range request.Operations {
		if operation.Write != "" {
			service.values[operation.Write], service.modRevisions[operation.Write] = operation.Value, service.revision
		}
	}
}

// respondToCalls responds to the outstanding calls of the controller, and returns their number.
func (service *fakeStateService) respondToCalls(t *testing.T, now time.Time, controller *Controller) (responses int) {
	t.Helper()
	calls := controller.outbox.TakeCalls()
	for _, call := range calls {
		call.Done(now, service.exchange(t, call))
	}
	return len(calls)
}

// respondToAllCalls responds to calls until the controller makes no more. A response may lead to further calls.
func (service *fakeStateService) respondToAllCalls(t *testing.T, now time.Time, controller *Controller) {
	t.Helper()
	for service.respondToCalls(t, now, controller) > 0 {
		continue
	}
}

func marshal(t *testing.T, message any) []byte {
	t.Helper()
	body, err := codec.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func unmarshal(t *testing.T, body []byte, message any) {
	t.Helper()
	if err := codec.Unmarshal(body, message); err != nil {
		t.Fatal(err)
	}
}

// newTestLeader returns a controller at the start of a leadership, before its state is loaded.
func newTestLeader(now time.Time, options config.Options) *Controller {
	platform := &config.Platform{
		Name:         "n",
		WorkerTiming: config.WorkerTiming{HeartbeatInterval: 4 * time.Second, WorkerLeaseDuration: 20 * time.Second},
		ProcessQuota: config.ProcessQuota{CPUQuota: 0.2, MaxConnections: 1000},
		StateLimits:  config.StateLimits{StateWriteRate: 1000, StateRequestRate: 200, MaxValueBytes: 4096, MaxTransactionOps: 8},
		CloudLimits:  config.CloudLimits{CloudRequestRate: 2},
	}
	controller := New(platform, options, now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	controller.leadership = controller.newLeadership(now, 1)
	return controller
}

// loadState loads and restores the state that the service has stored.
func (c *Controller) loadState(t *testing.T, now time.Time, service *fakeStateService) {
	t.Helper()
	c.leadership.storage.Load(&c.outbox)
	service.respondToCalls(t, now, c)
	c.leadership.failover.LoadState(now)
}

// takeResponse removes and returns the only response that is ready to be sent.
func (c *Controller) takeResponse(t *testing.T) server.Response {
	t.Helper()
	responses := c.responder.TakeResponses()
	if len(responses) != 1 {
		t.Fatalf("responses: got %d, want 1", len(responses))
	}
	return responses[0]
}
