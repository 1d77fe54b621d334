package kvserver_test

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/simulator/faultydisk"
	"gullrudder/internal/site/kvserver"
)

func commitKey(t *testing.T, s *kvserver.State, d *kvserver.Storage, key, value string) {
	t.Helper()
	e := s.Step(time.Unix(100, 0), []kvserver.Request{crashtest.Commit(nil, []crashtest.Op{{Key: key, Value: value}})})
	if err := d.Append(e.Records); err != nil {
		t.Fatal(err)
	}
}

func writeSnapshot(t *testing.T, s *kvserver.State, d *kvserver.Storage) {
	t.Helper()
	snap, err := d.BeginSnapshot(s.Freeze())
	for done := false; err == nil && !done; {
		done, err = snap.Step()
	}
	if err == nil {
		err = d.Prune(snap)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func reopenDirectory(files *faultydisk.Disk) (kvserver.Inspection, error) {
	_, _, report, err := kvserver.Open(files, config.DefaultKVServer(), time.Unix(200, 0), slog.New(slog.DiscardHandler))
	return report, err
}

// A byte that has rotted before answered records ends the start, with file and place, and
// nothing is overwritten. In the last frame it cannot be told from an unfinished write.
func TestOpenReportsDamage(t *testing.T) {
	build := func() *faultydisk.Disk {
		s, d, files := openEmpty(t, config.DefaultKVServer(), time.Unix(100, 0))
		for i := range 5 {
			commitKey(t, s, d, fmt.Sprintf("a/%d", i), strings.Repeat("x", 50))
		}
		writeSnapshot(t, s, d)
		for i := range 5 {
			commitKey(t, s, d, fmt.Sprintf("b/%d", i), strings.Repeat("y", 50))
		}
		return files.After(faultydisk.Kept)
	}
	snap, log := "snapshot-0000000000000002", "log-0000000000000002"
	if files := build(); files.Size(snap) == 0 || files.Size(log) == 0 {
		t.Fatal("the files have other names than this test thinks")
	}
	torn := 0
	for _, name := range []string{snap, log} {
		for at := range build().Size(name) {
			files := build()
			files.Rot(name, at)
			ops := files.Ops
			report, err := reopenDirectory(files)
			var d *kvserver.DamageError
			switch {
			case errors.As(err, &d):
				if files.Ops != ops || !strings.Contains(err.Error(), name) {
					t.Fatalf("%s at %d: %d operations on a damaged directory: %v", name, at, files.Ops-ops, err)
				}
			case err != nil:
				t.Fatalf("%s at %d: %v", name, at, err)
			case report.TornBytes > 0 && report.Keys == 9 && name == log:
				torn++
			default:
				t.Fatalf("%s: a wrong byte at %d is not seen: %+v", name, at, report)
			}
		}
	}
	if frame := (build().Size(log) - 36) / 5; torn != frame {
		t.Errorf("%d bytes are taken for an unfinished write, the last frame has %d", torn, frame)
	}
	files := build()
	if err := files.Remove(log); err != nil {
		t.Fatal(err)
	}
	if _, err := reopenDirectory(files); err == nil {
		t.Error("a segment that is gone is not missed")
	}
}

// A snapshot that the disk has no room for leaves the service as it was, and a commit that finds
// no room is not there afterwards, while later ones are.
func TestFullDiskKeepsState(t *testing.T) {
	s, d, files := openEmpty(t, config.DefaultKVServer(), time.Unix(100, 0))
	commitKey(t, s, d, "a", "1")
	snap, err := d.BeginSnapshot(s.Freeze())
	if err != nil {
		t.Fatal(err)
	}
	files.FailAt, files.FailFor, files.Fault = files.Ops+1, 3, faultydisk.Short
	for done := false; err == nil && !done; {
		done, err = snap.Step()
	}
	if err == nil {
		t.Fatal("the snapshot was written")
	}
	if err := snap.Abort(); err == nil {
		t.Error("a file that could not be made is removed")
	}
	e := s.Step(time.Unix(100, 0), []kvserver.Request{crashtest.Commit(nil, []crashtest.Op{{Key: "b", Value: "no room"}})})
	if err := d.Append(e.Records); !errors.Is(err, kvserver.ErrNotWritten) {
		t.Fatalf("%v", err)
	}
	s.Undo(e)
	if r := sendOne(t, s, time.Unix(100, 0), get("/keys/b")); r.Status != 404 {
		t.Errorf("what was not kept is read: %d", r.Status)
	}
	files.FailAt = 0
	commitKey(t, s, d, "c", "2")
	report, err := reopenDirectory(files.After(faultydisk.Random))
	if err != nil || report.Keys != 2 || report.Revision != 2 {
		t.Errorf("%+v, %v", report, err)
	}
}

// Backups are whole, go into empty directories only, and what is made of them goes on with
// revisions that were never given out. Two processes do not share a directory.
func TestBackupAndRestore(t *testing.T) {
	root := t.TempDir()
	data, file, again := filepath.Join(root, "data"), filepath.Join(root, "backup"), filepath.Join(root, "again")
	dir, err := kvserver.LockDirectory(data)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := kvserver.LockDirectory(data); !errors.Is(err, kvserver.ErrLocked) {
		t.Errorf("a directory is taken twice: %v", err)
	}
	s, d, _, err := kvserver.Open(dir, config.DefaultKVServer(), time.Unix(100, 0), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		commitKey(t, s, d, fmt.Sprintf("k/%02d", i), "v")
		if i == 20 {
			writeSnapshot(t, s, d)
		}
	}
	if r, err := kvserver.Backup(data, file); err != nil || r.Revision != 30 || r.Keys != 30 {
		t.Fatalf("%+v, %v", r, err)
	}
	r, err := kvserver.Restore(file, again)
	if err != nil || r.Keys != 30 || r.Revision <= 1<<32 {
		t.Fatalf("%+v, %v", r, err)
	}
	keys, err := kvserver.Keys(again)
	if err != nil || len(keys) != 30 || keys[29].Key != "k/29" {
		t.Errorf("%v, %v", keys, err)
	}
	if _, err := kvserver.Restore(file, again); err == nil {
		t.Error("a backup goes over what is there")
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 1
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := kvserver.Restore(file, filepath.Join(root, "third")); err == nil {
		t.Error("a backup that is not whole is restored")
	}
}

// A watch goes on over a restart if the log still has what came after its revision; what a
// snapshot covers is not kept as changes, and its watcher is told to read the keys again.
func TestWatchAcrossRestart(t *testing.T) {
	s, d, files := openEmpty(t, config.DefaultKVServer(), time.Unix(100, 0))
	for i := range 4 {
		commitKey(t, s, d, fmt.Sprintf("a/%d", i), "v")
	}
	writeSnapshot(t, s, d)
	commitKey(t, s, d, "a/4", "v")
	commitKey(t, s, d, "a/5", "v")
	again, _, _, err := kvserver.Open(files.After(faultydisk.Kept), config.DefaultKVServer(), time.Unix(200, 0), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for from, want := range map[int]int{3: 410, 4: 200, 5: 200} {
		r := sendOne(t, again, time.Unix(200, 0), get(fmt.Sprintf("/watch?starts=a/&from=%d", from)))
		if r.Status != want {
			t.Errorf("from %d: %d, want %d", from, r.Status, want)
			continue
		}
		var w watchResponse
		if want != 200 {
			continue
		}
		if decode(t, r, &w); len(w.Events) != 6-from || w.Revision != 6 {
			t.Errorf("from %d: %+v", from, w)
		}
	}
}
