package kvserver_test

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/simulator/faultydisk"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// openEmpty opens a store in an empty directory of a simulated disk that can be made to fail.
func openEmpty(t rapid.TB, options config.KVServerOptions, now time.Time) (*kvserver.State, *kvserver.Storage, *faultydisk.Disk) {
	t.Helper()
	files := faultydisk.New(rand.New(rand.NewPCG(1, 1)))
	state, storage, _, err := kvserver.Open(files, options, now, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return state, storage, files
}

func get(target string) kvserver.Request {
	return kvserver.Request{Method: http.MethodGet, Target: target}
}

func post(t rapid.TB, target string, body any) kvserver.Request {
	t.Helper()
	raw, err := codec.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return kvserver.Request{Method: http.MethodPost, Target: target, Body: raw}
}

// sendOne steps the state with one request, and fails the test if the step does not answer it.
func sendOne(t rapid.TB, state *kvserver.State, now time.Time, request kvserver.Request) kvserver.Response {
	t.Helper()
	effects := state.Step(now, []kvserver.Request{request})
	for _, response := range effects.Responses {
		if response.Handle == request.Handle {
			return response
		}
	}
	t.Fatalf("%s %s: got no response, want one", request.Method, request.Target)
	return kvserver.Response{}
}

// decode encodes the body of a response and decodes it into v.
func decode(t rapid.TB, response kvserver.Response, v any) {
	t.Helper()
	raw, err := codec.Marshal(response.Body)
	if err == nil {
		err = codec.Unmarshal(raw, v)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// commitKey writes a key and makes the change durable.
func commitKey(t *testing.T, state *kvserver.State, storage *kvserver.Storage, key, value string) {
	t.Helper()
	effects := state.Step(time.Unix(100, 0), []kvserver.Request{crashtest.CommitRequest(nil, []crashtest.Operation{{Key: key, Value: value}})})
	if err := storage.Append(effects.Records); err != nil {
		t.Fatal(err)
	}
}

// writeSnapshot writes a complete snapshot and deletes the files that it covers.
func writeSnapshot(t *testing.T, state *kvserver.State, storage *kvserver.Storage) {
	t.Helper()
	writer, err := storage.BeginSnapshot(state.Freeze())
	for done := false; err == nil && !done; {
		done, err = writer.Step()
	}
	if err == nil {
		err = storage.Prune(writer)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func reopenDirectory(files *faultydisk.Disk) (kvserver.Inspection, error) {
	_, _, inspection, err := kvserver.Open(files, config.DefaultKVServerOptions(), time.Unix(200, 0), slog.New(slog.DiscardHandler))
	return inspection, err
}

// The messages of the protocol as a client encodes and decodes them.
type (
	commitRequest struct {
		Preconditions []precondition `msgpack:"guards,omitempty"`
		Operations    []operation    `msgpack:"apply,omitempty"`
	}
	precondition struct {
		Key         string `msgpack:"path"`
		ModRevision uint64 `msgpack:"mark"`
	}
	operation struct {
		WriteKey  string `msgpack:"write,omitempty"`
		DeleteKey string `msgpack:"drop,omitempty"`
		Value     any    `msgpack:"value,omitempty"`
		LeaseID   uint64 `msgpack:"permit,omitempty"`
	}
	leaseRequest struct {
		TTLMillis int64 `msgpack:"ttl_ms"`
	}
	leaseResponse struct {
		LeaseID uint64 `msgpack:"permit"`
	}
	commitResponse struct {
		FailedKeys []string `msgpack:"failed"`
		Revision   uint64   `msgpack:"tide"`
	}
	listResponse struct {
		Entries []struct {
			Key         string `msgpack:"path"`
			Value       string `msgpack:"value"`
			ModRevision uint64 `msgpack:"mark"`
		} `msgpack:"entries"`
		HasMore  bool   `msgpack:"has_next"`
		Revision uint64 `msgpack:"tide"`
	}
	watchResponse struct {
		Revision uint64 `msgpack:"tide"`
		Events   []struct {
			WrittenKey  string             `msgpack:"write"`
			DeletedKey  string             `msgpack:"drop"`
			Value       msgpack.RawMessage `msgpack:"value"`
			ModRevision uint64             `msgpack:"mark"`
		} `msgpack:"log"`
	}
)
