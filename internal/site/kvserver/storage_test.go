package kvserver_test

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
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

const (
	snapshotToDamage = "snapshot-0000000000000002"
	segmentToDamage  = "log-0000000000000002"
)

// newDirectoryToDamage returns a directory with a snapshot of five keys and five frames after it.
func newDirectoryToDamage(t *testing.T) *faultydisk.Disk {
	t.Helper()
	state, storage, files := openEmpty(t, config.DefaultKVServerOptions(), time.Unix(100, 0))
	for i := range 5 {
		commitKey(t, state, storage, fmt.Sprintf("a/%d", i), strings.Repeat("x", 50))
	}
	writeSnapshot(t, state, storage)
	for i := range 5 {
		commitKey(t, state, storage, fmt.Sprintf("b/%d", i), strings.Repeat("y", 50))
	}
	durable := files.AfterCrash(faultydisk.LoseNothing)
	if durable.Size(snapshotToDamage) == 0 || durable.Size(segmentToDamage) == 0 {
		t.Fatalf(
			"sizes of %s and %s: got %d, %d, want above 0",
			snapshotToDamage, segmentToDamage, durable.Size(snapshotToDamage), durable.Size(segmentToDamage),
		)
	}
	return durable
}

// TestOpenReportsDamage checks that a damaged byte before confirmed records is reported with the name of the file, and
// that nothing is overwritten. In the last frame, damage cannot be distinguished from a torn write.
func TestOpenReportsDamage(t *testing.T) {
	tornCount := 0
	for _, name := range []string{snapshotToDamage, segmentToDamage} {
		for at := range newDirectoryToDamage(t).Size(name) {
			if opensAsTornWrite(t, name, at) {
				tornCount++
			}
		}
	}
	const segmentHeaderBytes, frames = 36, 5
	if frameBytes := (newDirectoryToDamage(t).Size(segmentToDamage) - segmentHeaderBytes) / frames; tornCount != frameBytes {
		t.Errorf("damaged bytes that open as a torn write: got %d, want the %d of the last frame", tornCount, frameBytes)
	}
}

// opensAsTornWrite damages one byte and reports whether the directory opens as it does after a torn write. Otherwise the damage has to
// be reported, and nothing may be written.
func opensAsTornWrite(t *testing.T, name string, offset int) bool {
	t.Helper()
	files := newDirectoryToDamage(t)
	files.CorruptByte(name, offset)
	operations := files.Operations
	inspection, err := reopenDirectory(files)
	var damage *kvserver.DamageError
	switch {
	case errors.As(err, &damage):
		if files.Operations != operations || !strings.Contains(err.Error(), name) {
			t.Fatalf(
				"%s damaged at %d: got %d operations, error %v, want 0 and an error that names the file",
				name, offset, files.Operations-operations, err,
			)
		}
		return false
	case err != nil:
		t.Fatalf("open %s damaged at %d: %v", name, offset, err)
	case inspection.TornBytes == 0 || inspection.Keys != 9 || name != segmentToDamage:
		t.Fatalf("%s damaged at %d: got %+v, want a torn write in the last segment and 9 keys", name, offset, inspection)
	}
	return true
}

// TestOpenReportsMissingSegment checks that a directory without one of its segments does not open.
func TestOpenReportsMissingSegment(t *testing.T) {
	files := newDirectoryToDamage(t)
	if err := files.Remove(segmentToDamage); err != nil {
		t.Fatal(err)
	}
	if _, err := reopenDirectory(files); err == nil {
		t.Error("open without a segment: got no error, want one")
	}
}

// TestFullDiskKeepsState checks that a snapshot that fails on a full disk leaves the store unchanged. It also checks that
// a commit that fails there is not applied, and that commits succeed once the disk has space again.
func TestFullDiskKeepsState(t *testing.T) {
	now := time.Unix(100, 0)
	state, storage, files := openEmpty(t, config.DefaultKVServerOptions(), now)
	commitKey(t, state, storage, "a", "1")
	writer, err := storage.BeginSnapshot(state.Freeze())
	if err != nil {
		t.Fatal(err)
	}
	files.FailAt, files.FailCount, files.Fault = files.Operations+1, 3, faultydisk.ShortWrite
	for done := false; err == nil && !done; {
		done, err = writer.Step()
	}
	if err == nil {
		t.Fatal("snapshot on a full disk: got no error, want one")
	}
	if err := writer.Abort(); err == nil {
		t.Error("abort of a snapshot that has no file: got no error, want one")
	}
	effects := state.Step(now, []kvserver.Request{crashtest.CommitRequest(nil, []crashtest.Operation{{Key: "b", Value: "no space"}})})
	if err := storage.Append(effects.Records); !errors.Is(err, kvserver.ErrNotWritten) {
		t.Fatalf("append on a full disk: got error %v, want %v", err, kvserver.ErrNotWritten)
	}
	state.Undo(effects)
	if response := sendOne(t, state, now, get("/keys/b")); response.Status != http.StatusNotFound {
		t.Errorf("read of a key that is not durable: got status %d, want 404", response.Status)
	}
	files.FailAt = 0
	commitKey(t, state, storage, "c", "2")
	inspection, err := reopenDirectory(files.AfterCrash(faultydisk.LoseRandomSectors))
	if err != nil || inspection.Keys != 2 || inspection.Revision != 2 {
		t.Errorf("reopened directory: got %+v, error %v, want 2 keys at revision 2", inspection, err)
	}
}

// TestDirectoryIsLocked checks that only one process can open a directory.
func TestDirectoryIsLocked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	dir, err := kvserver.LockDirectory(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := kvserver.LockDirectory(path); !errors.Is(err, kvserver.ErrLocked) {
		t.Errorf("second lock of a directory: got error %v, want %v", err, kvserver.ErrLocked)
	}
	if err := dir.Close(); err != nil {
		t.Errorf("release the lock: %v", err)
	}
}

// TestBackupAndRestore checks that backups are complete and are restored to empty directories only, that a damaged backup
// is not restored, and that a restored store continues with revisions that were never used.
func TestBackupAndRestore(t *testing.T) {
	root := t.TempDir()
	data, file, restored := filepath.Join(root, "data"), filepath.Join(root, "backup"), filepath.Join(root, "again")
	fillDirectory(t, data)
	inspection, err := kvserver.Backup(data, file)
	if err != nil || inspection.Revision != 30 || inspection.Keys != 30 {
		t.Fatalf("backup: got %+v, error %v, want 30 keys at revision 30", inspection, err)
	}
	inspection, err = kvserver.Restore(file, restored)
	if err != nil || inspection.Keys != 30 || inspection.Revision <= 1<<32 {
		t.Fatalf("restored backup: got %+v, error %v, want 30 keys above revision %d", inspection, err, uint64(1)<<32)
	}
	keys, err := kvserver.Keys(restored)
	if err != nil || len(keys) != 30 || keys[29].Key != "k/29" {
		t.Errorf("restored keys: got %v, error %v, want 30, the last one k/29", keys, err)
	}
	if _, err := kvserver.Restore(file, restored); err == nil {
		t.Error("restore over a directory in use: got no error, want one")
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
		t.Error("restore of a damaged backup: got no error, want one")
	}
}

// fillDirectory creates a store with 30 keys and a snapshot before the last nine, and keeps it open.
func fillDirectory(t *testing.T, path string) {
	t.Helper()
	dir, err := kvserver.LockDirectory(path)
	if err != nil {
		t.Fatal(err)
	}
	state, storage, _, err := kvserver.Open(dir, config.DefaultKVServerOptions(), time.Unix(100, 0), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		commitKey(t, state, storage, fmt.Sprintf("k/%02d", i), "v")
		if i == 20 {
			writeSnapshot(t, state, storage)
		}
	}
}
