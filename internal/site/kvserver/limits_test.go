package kvserver_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/site/kvserver"
)

func commitOfWrites(keys ...string) commitRequest {
	var body commitRequest
	for _, key := range keys {
		body.Operations = append(body.Operations, operation{WriteKey: key, Value: "v"})
	}
	return body
}

func limitedOptions() config.KVServerOptions {
	options := config.DefaultKVServerOptions()
	options.MaxTransactionOps, options.MaxValueBytes, options.MaxWatches = 2, 1024, 1
	options.RequestRate, options.WriteRate = 100, 10
	return options
}

// TestProtocolLimits checks that requests that are malformed or exceed a limit are refused and change nothing.
func TestProtocolLimits(t *testing.T) {
	now := time.Unix(100, 0)
	state, _, _ := openEmpty(t, limitedOptions(), now)
	commit := func(body commitRequest) kvserver.Request { return post(t, "/commit", body) }
	write := func(key string, value any) kvserver.Request {
		return commit(commitRequest{Operations: []operation{{WriteKey: key, Value: value}}})
	}
	ninePreconditions := commitRequest{}
	for i := range 9 {
		ninePreconditions.Preconditions = append(ninePreconditions.Preconditions, precondition{Key: fmt.Sprint(i)})
	}
	for name, test := range map[string]struct {
		request kvserver.Request
		status  int
	}{
		"too many writes":                   {commit(commitOfWrites("a", "b", "c")), http.StatusBadRequest},
		"too many preconditions":            {commit(ninePreconditions), http.StatusBadRequest},
		"value too large":                   {write("a", strings.Repeat("x", 1100)), http.StatusBadRequest},
		"value too large with JSON escapes": {write("a", strings.Repeat("\x01", 300)), http.StatusBadRequest},
		"key with a space":                  {commit(commitOfWrites("a b")), http.StatusBadRequest},
		"key too long":                      {commit(commitOfWrites(strings.Repeat("k", 201))), http.StatusBadRequest},
		"write without a value":             {write("a", nil), http.StatusBadRequest},
		"write and deletion in one operation": {
			commit(commitRequest{Operations: []operation{{WriteKey: "a", DeleteKey: "b", Value: 1}}}), http.StatusBadRequest,
		},
		"binary value": {kvserver.Request{Method: http.MethodPost, Target: "/commit", Body: []byte{0xc4, 1, 0}}, http.StatusBadRequest},
		"write with an unknown lease": {
			commit(commitRequest{
				Preconditions: []precondition{{Key: "a", ModRevision: 7}},
				Operations:    []operation{{WriteKey: "a", Value: 1, LeaseID: 9}},
			}),
			http.StatusBadRequest,
		},
		"lease too short":             {post(t, "/leases", leaseRequest{TTLMillis: 99}), http.StatusBadRequest},
		"watch too long":              {get("/watch?starts=&from=0&wait_ms=60001"), http.StatusBadRequest},
		"unknown path":                {get("/other"), http.StatusBadRequest},
		"renewal of an unknown lease": {post(t, "/leases/5/touch", nil), http.StatusNotFound},
		"missing key":                 {get("/keys/a"), http.StatusNotFound},
		"precondition without writes": {commit(commitRequest{Preconditions: []precondition{{Key: "a"}}}), http.StatusOK},
		"value of the maximum size":   {write("z", strings.Repeat("x", 1022)), http.StatusOK},
	} {
		now = now.Add(time.Second) // keeps the requests below the rate limits
		t.Run(name, func(t *testing.T) {
			if response := sendOne(t, state, now, test.request); response.Status != test.status {
				t.Errorf("got status %d, want %d: %+v", response.Status, test.status, response.Body)
			}
		})
	}
}

// TestRateLimits checks that changes and requests above their rate limits are refused.
func TestRateLimits(t *testing.T) {
	now := time.Unix(100, 0)
	state, _, _ := openEmpty(t, limitedOptions(), now)
	statuses := map[int]int{}
	for range 15 {
		statuses[sendOne(t, state, now, post(t, "/commit", commitOfWrites("a"))).Status]++
	}
	for range 100 {
		statuses[sendOne(t, state, now, get("/keys/zz")).Status]++
	}
	if statuses[http.StatusOK] != 10 || statuses[http.StatusNotFound] != 85 || statuses[http.StatusTooManyRequests] != 20 {
		t.Errorf("responses by status, at most 10 changes and 100 requests a second: got %v, want 10 of 200, 85 of 404, 20 of 429", statuses)
	}
}
