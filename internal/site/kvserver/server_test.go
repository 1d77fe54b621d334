package kvserver_test

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
)

// failingDirectory is a directory whose files cannot be created or synced while an error is set.
type failingDirectory struct {
	kvserver.Directory
	mu  sync.Mutex
	err error
}

func (d *failingDirectory) setError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = err
}

func (d *failingDirectory) currentError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

func (d *failingDirectory) Create(name string) (kvserver.File, error) {
	if err := d.currentError(); err != nil {
		return nil, err
	}
	f, err := d.Directory.Create(name)
	return &failingFile{f, d}, err
}

func (d *failingDirectory) Open(name string) (kvserver.File, error) {
	f, err := d.Directory.Open(name)
	return &failingFile{f, d}, err
}

type failingFile struct {
	kvserver.File
	directory *failingDirectory
}

func (f *failingFile) Sync() error {
	if err := f.directory.currentError(); err != nil {
		return err
	}
	return f.File.Sync()
}

// testServer is a server on the loopback interface with a client.
type testServer struct {
	addr   string
	path   string
	files  *failingDirectory
	client *http1.Client
}

// startServer starts a server that tries to repair its log every 20 ms, and takes a snapshot after 4 KiB of log.
func startServer(t *testing.T) *testServer {
	t.Helper()
	path := t.TempDir()
	dir, err := kvserver.LockDirectory(path)
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{addr: freeAddr(t), path: path, files: &failingDirectory{Directory: dir}, client: http1.NewClient(16, 8, 1<<20)}
	options := config.DefaultKVServerOptions()
	options.DiskRetryInterval, options.SnapshotMinLogBytes, options.SnapshotLogRatio = 20*time.Millisecond, 4096, 0
	log := slog.New(slog.DiscardHandler)
	state, storage, _, err := kvserver.Open(s.files, options, time.Now(), log)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if err := kvserver.NewServer(state, storage, options, kvserver.NewMetrics(), log).Serve(s.addr); err != nil {
			t.Log(err)
		}
	}()
	s.waitFor(t, "the start", get("/ready"), http.StatusOK)
	return s
}

func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// send returns the status of the response, or an error if there was no response.
func (s *testServer) send(request kvserver.Request) (status int, err error) {
	response, err := s.client.Do(s.addr, request.Method, request.Target, request.Body, 10*time.Second)
	if err != nil {
		return 0, err
	}
	return response.Status, nil
}

// waitFor repeats a request until the response has the status, for at least 10 s.
func (s *testServer) waitFor(t *testing.T, description string, request kvserver.Request, status int) {
	t.Helper()
	for range 2000 {
		if got, err := s.send(request); err == nil && got == status {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: got no response with status %d, want one", description, status)
}

func writeRequest(key string) kvserver.Request {
	return crashtest.CommitRequest(nil, []crashtest.Operation{{Key: key, Value: "v"}})
}

// commitFromClients commits 100 keys from each of eight concurrent clients.
func (s *testServer) commitFromClients(t *testing.T) {
	t.Helper()
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Go(func() {
			for i := range 100 {
				request := crashtest.CommitRequest(nil, []crashtest.Operation{{Key: fmt.Sprintf("k/%d/%d", client, i), Value: "value"}})
				if status, err := s.send(request); err != nil || status != http.StatusOK {
					t.Errorf("client %d, commit %d: got status %d, error %v, want 200", client, i, status, err)
				}
			}
		})
	}
	clients.Wait()
}

// TestServerDuringDiskFailure checks a server whose disk fails for a while. Requests with an uncertain outcome must get no
// response. Further changes must get status 503 at once, and reads must be served. Once the disk works again, changes
// must be accepted, and the directory must contain every confirmed change.
func TestServerDuringDiskFailure(t *testing.T) {
	s := startServer(t)
	s.commitFromClients(t)
	s.files.setError(errors.New("the disk fails"))
	if status, err := s.send(writeRequest("doubt")); err == nil {
		t.Errorf("commit whose sync failed: got status %d, want no response", status)
	}
	s.waitFor(t, "the next commit", writeRequest("refused"), http.StatusServiceUnavailable)
	if status, err := s.send(get("/keys/k/3/7")); err != nil || status != http.StatusOK {
		t.Errorf("read while the disk fails: got status %d, error %v, want 200", status, err)
	}
	if status, err := s.send(get("/keys/doubt")); err != nil || status != http.StatusNotFound {
		t.Errorf("read of a key that is not durable: got status %d, error %v, want 404", status, err)
	}
	s.files.setError(nil)
	s.waitFor(t, "a commit once the disk works", writeRequest("after"), http.StatusOK)
	response, err := s.client.Do(s.addr, http.MethodGet, "/keys?starts=k/&most=1000", nil, 5*time.Second)
	var list listResponse
	if err != nil || codec.Unmarshal(response.Body, &list) != nil || len(list.Entries) != 800 {
		t.Errorf("keys listed: got %d, error %v, want 800", len(list.Entries), err)
	}
	keys, err := kvserver.Keys(s.path)
	if err != nil || len(keys) != 801 {
		t.Errorf("keys in the directory: got %d, error %v, want 801", len(keys), err)
	}
}
