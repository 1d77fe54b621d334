package archive_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/simulator"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// readPagesAsOlderVersion decodes pages as the last version without an archive did.
func readPagesAsOlderVersion(body []byte) error {
	var a struct {
		Entries []struct {
			Path  string `msgpack:"path"`
			Value struct {
				Seq     uint64                        `msgpack:"n"`
				Entries map[string]msgpack.RawMessage `msgpack:"e"`
			} `msgpack:"value"`
			ModRevision uint64 `msgpack:"mark"`
		} `msgpack:"entries"`
		More bool `msgpack:"has_next"`
	}
	return codec.Unmarshal(body, &a)
}

// TestOlderVersionCannotLoadPages checks that a version without an archive cannot decode the pages. It would report
// archived jobs as unknown. It answers no request before it has decoded all values below page/ as maps, so the format key
// keeps it from leading.
func TestOlderVersionCannotLoadPages(t *testing.T) {
	cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
	leader := becomeLeader(t, cluster, time.Unix(5000, 0), 1, 1000)
	for i := range 10 {
		leader.finish(t, fmt.Sprintf("job-%06d", i), jobs.FinalState{State: jobs.Done, Tasks: 1}, func() {})
	}
	for range 20 {
		leader.tick()
		leader.executeAll()
	}
	if leader.archive.SegmentCount() == 0 {
		t.Fatal("archived segments: got 0, want at least 1")
	}
	raw := cluster.State.Exchange(client.Call{Method: "GET", Path: "/keys?starts=page/&most=60"})
	if err := readPagesAsOlderVersion(raw.Body); err == nil {
		t.Error("read pages as an older version: no error, want one")
	}
}
