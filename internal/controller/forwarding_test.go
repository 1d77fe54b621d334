package controller

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/election"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

// An answer that a follower has asked the leader for is held up; another controller leads since, and may have told the user
// that the job is cancelled. The older answer is not given any more.
func TestResponseOfAnEarlierLeaderIsNotForwarded(t *testing.T) {
	now := time.Unix(10_000, 0)
	platform := &config.Platform{
		Name:                "a",
		Peers:               []config.Peer{{Name: "b", Addr: "b"}, {Name: "c", Addr: "c"}},
		HeartbeatInterval:   time.Second,
		WorkerLeaseDuration: 10 * time.Second,
		CancelTimeout:       30 * time.Second,
		StateWriteRate:      10,
		StateRequestRate:    100,
		MaxValueBytes:       4096,
		MaxTransactionOps:   8,
		CloudRequestRate:    2,
		CPUQuota:            1,
	}
	controller := New(platform, config.DefaultOptions(), now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	pingFrom := func(name string, token uint64) {
		raw, err := codec.Marshal(election.PingRequest{Name: name, FencingToken: token})
		if err != nil {
			t.Fatal(err)
		}
		controller.Step(now, []Command{{Request: &server.Request{FromPeer: true, Method: "POST", Target: "/peer/hello", Body: raw}}})
	}
	forwardRequest := func() client.Call {
		for _, c := range controller.Step(now, []Command{{Request: &server.Request{Handle: "user", Method: "GET", Target: "/work/job-1"}}}).Calls {
			if c.Path == "/work/job-1" {
				return c
			}
		}
		t.Fatal("not handed on")
		return client.Call{}
	}
	respondWith := func(c client.Call) int {
		replies := controller.Step(now, []Command{{Outcome: &Outcome{Call: c, Result: client.Result{Status: 200}}}}).Replies
		if len(replies) != 1 {
			t.Fatalf("%d replies", len(replies))
		}
		return replies[0].Status
	}
	pingFrom("b", 4)
	if status := respondWith(forwardRequest()); status != 200 {
		t.Errorf("the leader's answer becomes %d", status)
	}
	heldCall := forwardRequest()
	pingFrom("c", 9)
	if status := respondWith(heldCall); status != 503 {
		t.Errorf("an earlier leader's answer is given: %d", status)
	}
}
