package kvserver_test

import (
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
)

// failingDirectory is a directory whose files fail when they are told to.
type failingDirectory struct {
	kvserver.Directory
	mu  sync.Mutex
	err error
}

func (b *failingDirectory) setError(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
}

func (b *failingDirectory) failing() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

func (b *failingDirectory) Create(name string) (kvserver.File, error) {
	if err := b.failing(); err != nil {
		return nil, err
	}
	f, err := b.Directory.Create(name)
	return &failingFile{f, b}, err
}

func (b *failingDirectory) Open(name string) (kvserver.File, error) {
	f, err := b.Directory.Open(name)
	return &failingFile{f, b}, err
}

type failingFile struct {
	kvserver.File
	directory *failingDirectory
}

func (f *failingFile) Sync() error {
	if err := f.directory.failing(); err != nil {
		return err
	}
	return f.File.Sync()
}

// The service over the network, with a disk that fails for a while: what nobody knows of gets no
// answer, what is not taken gets 503 at once, reads go on, and once the disk works again changes
// are taken again. Everything that was answered is there when the directory is opened anew.
func TestServerThroughDiskFailure(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	path := t.TempDir()
	dir, err := kvserver.LockDirectory(path)
	if err != nil {
		t.Fatal(err)
	}
	files := &failingDirectory{Directory: dir}
	opt := config.DefaultKVServer()
	opt.DiskRetryInterval, opt.SnapshotMinLogBytes, opt.SnapshotLogRatio = 20*time.Millisecond, 4096, 0
	log := slog.New(slog.DiscardHandler)
	state, disk, _, err := kvserver.Open(files, opt, time.Now(), log)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if err := kvserver.NewServer(state, disk, opt, kvserver.NewMetrics(), log).Serve(addr); err != nil {
			t.Log(err)
		}
	}()
	client := http1.NewClient(16, 8, 1<<20)
	ask := func(r kvserver.Request) (int, error) {
		m, err := client.Do(addr, r.Method, r.Target, r.Body, 10*time.Second)
		if err != nil {
			return 0, err
		}
		return m.Status, nil
	}
	until := func(what string, r kvserver.Request, status int) {
		t.Helper()
		for range 2000 {
			if got, err := ask(r); err == nil && got == status {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("%s: never %d", what, status)
	}
	until("it starts", get("/ready"), 200)
	var wait sync.WaitGroup
	for c := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range 100 {
				if got, err := ask(
					crashtest.Commit(nil, []crashtest.Op{{Key: fmt.Sprintf("k/%d/%d", c, i), Value: "value"}}),
				); err != nil ||
					got != 200 {
					t.Errorf("client %d, commit %d: %d, %v", c, i, got, err)
				}
			}
		}()
	}
	wait.Wait()
	files.setError(fmt.Errorf("the disk fails"))
	if got, err := ask(crashtest.Commit(nil, []crashtest.Op{{Key: "doubt", Value: "v"}})); err == nil {
		t.Errorf("a commit whose sync failed is answered %d", got)
	}
	until("the next commit", crashtest.Commit(nil, []crashtest.Op{{Key: "refused", Value: "v"}}), 503)
	if got, err := ask(get("/keys/k/3/7")); err != nil || got != 200 {
		t.Errorf("a read while the disk fails: %d, %v", got, err)
	}
	if got, err := ask(get("/keys/doubt")); err != nil || got != 404 {
		t.Errorf("what was not kept is read: %d, %v", got, err)
	}
	files.setError(nil)
	until("a commit once the disk works", crashtest.Commit(nil, []crashtest.Op{{Key: "after", Value: "v"}}), 200)
	m, err := client.Do(addr, "GET", "/keys?starts=k/&most=1000", nil, 5*time.Second)
	var a listResponse
	if err != nil || codec.Unmarshal(m.Body, &a) != nil || len(a.Entries) != 800 {
		t.Errorf("%d keys, %v", len(a.Entries), err)
	}
	keys, err := kvserver.Keys(path)
	if err != nil || len(keys) != 801 {
		t.Errorf("%d keys in the directory, want 801: %v", len(keys), err)
	}
}
