package controller

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/election"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

// TestResponseOfAnEarlierLeaderIsNotForwarded checks that a follower does not return the delayed response of an earlier
// leader once another controller leads. The new leader may already have confirmed the cancellation of the job.
func TestResponseOfAnEarlierLeaderIsNotForwarded(t *testing.T) {
	now := time.Unix(10_000, 0)
	platform := &config.Platform{
		Name:  "a",
		Peers: []config.Peer{{Name: "b", Addr: "b"}, {Name: "c", Addr: "c"}},
		WorkerTiming: config.WorkerTiming{
			HeartbeatInterval: time.Second, WorkerLeaseDuration: 10 * time.Second, CancelTimeout: 30 * time.Second,
		},
		StateLimits:  config.StateLimits{StateWriteRate: 10, StateRequestRate: 100, MaxValueBytes: 4096, MaxTransactionOps: 8},
		CloudLimits:  config.CloudLimits{CloudRequestRate: 2},
		ProcessQuota: config.ProcessQuota{CPUQuota: 1},
	}
	controller := New(platform, config.DefaultOptions(), now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	pingFrom := func(name string, fencingToken uint64) {
		body := marshal(t, election.PingRequest{Name: name, FencingToken: fencingToken})
		ping := &server.Request{FromPeer: true, Method: "POST", Target: "/peer/hello", Body: body}
		controller.Step(now, []Input{{Request: ping}})
	}
	forwardRequest := func() client.Call {
		request := &server.Request{Handle: "user", Method: "GET", Target: "/work/job-1"}
		for _, call := range controller.Step(now, []Input{{Request: request}}).Calls {
			if call.Path == "/work/job-1" {
				return call
			}
		}
		t.Fatal("request not forwarded, want a call to the leader")
		return client.Call{}
	}
	respond := func(call client.Call) (status int) {
		outcome := &Outcome{Call: call, Result: client.Result{Status: 200}}
		responses := controller.Step(now, []Input{{Outcome: outcome}}).Responses
		if len(responses) != 1 {
			t.Fatalf("responses: got %d, want 1", len(responses))
		}
		return responses[0].Status
	}
	pingFrom("b", 4)
	if status := respond(forwardRequest()); status != 200 {
		t.Errorf("status of the leader's response: got %d, want 200", status)
	}
	delayed := forwardRequest()
	pingFrom("c", 9)
	if status := respond(delayed); status != 503 {
		t.Errorf("status of an earlier leader's response: got %d, want 503", status)
	}
}
