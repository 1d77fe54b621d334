package controller

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/server"
)

// TestRequestsAreRouted checks which method each path accepts, and that internal paths are served on the correct address
// only (public or peer). The controller is a follower that does not know a leader.
func TestRequestsAreRouted(t *testing.T) {
	now := time.Unix(10_000, 0)
	platform := &config.Platform{
		Name: "a", Peers: []config.Peer{{Name: "b", Addr: "b"}},
		WorkerTiming: config.WorkerTiming{HeartbeatInterval: time.Second}, ProcessQuota: config.ProcessQuota{CPUQuota: 1},
	}
	for name, test := range map[string]struct {
		method, target string
		fromPeer       bool
		status         int
	}{
		"readiness without a leader":         {method: "GET", target: "/ready", status: 503},
		"readiness with a wrong method":      {method: "POST", target: "/ready", status: 405},
		"status":                             {method: "GET", target: "/status", status: 200},
		"status with a query":                {method: "GET", target: "/status?a=b", status: 200},
		"status with a wrong method":         {method: "POST", target: "/status", status: 405},
		"heartbeat":                          {method: "POST", target: "/v1/report", status: 421},
		"heartbeat with a wrong method":      {method: "GET", target: "/v1/report", status: 405},
		"heartbeat on the peer address":      {method: "POST", target: "/v1/report", fromPeer: true, status: 404},
		"settings":                           {method: "GET", target: "/settings", status: 503},
		"change of settings":                 {method: "POST", target: "/settings", status: 503},
		"settings with a wrong method":       {method: "DELETE", target: "/settings", status: 405},
		"submission":                         {method: "POST", target: "/work", status: 503},
		"submission with a wrong method":     {method: "GET", target: "/work", status: 405},
		"query":                              {method: "GET", target: "/work/job-1", status: 503},
		"forwarded query":                    {method: "GET", target: "/work/job-1", fromPeer: true, status: 503},
		"cancellation":                       {method: "POST", target: "/work/job-1/withdraw", status: 503},
		"cancellation with a wrong method":   {method: "GET", target: "/work/job-1/withdraw", status: 405},
		"explanation":                        {method: "GET", target: "/work/job-1/explain", status: 503},
		"queue":                              {method: "GET", target: "/queue", status: 503},
		"ping without a body":                {method: "POST", target: "/peer/hello", fromPeer: true, status: 400},
		"ping with a wrong method":           {method: "GET", target: "/peer/hello", fromPeer: true, status: 405},
		"ping on the public address":         {method: "POST", target: "/peer/hello", status: 404},
		"leader query":                       {method: "POST", target: "/peer/inquiry", fromPeer: true, status: 200},
		"leader query on the public address": {method: "POST", target: "/peer/inquiry", status: 404},
		"unknown path":                       {method: "GET", target: "/nothing", status: 404},
		"path below a known one":             {method: "GET", target: "/work/job-1/withdraw/now", status: 404},
	} {
		t.Run(name, func(t *testing.T) {
			controller := New(platform, config.DefaultOptions(), now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
			request := &server.Request{Method: test.method, Target: test.target, FromPeer: test.fromPeer}
			responses := controller.Step(now, []Input{{Request: request}}).Responses
			if len(responses) != 1 || responses[0].Status != test.status {
				t.Errorf("responses: got %+v, want one with status %d", responses, test.status)
			}
		})
	}
}
