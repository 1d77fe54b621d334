package jobspec

import (
	"errors"
	"testing"

	"go.etcd.io/bbolt"
)

// TestSpecIsWrittenOnce checks that a stored spec can be put again but not replaced, and that specs survive a restart. It also checks
// that a full disk refuses new specs but still accepts stored ones.
func TestSpecIsWrittenOnce(t *testing.T) {
	path := t.TempDir() + "/db"
	open := func() *bbolt.DB {
		db, err := bbolt.Open(path, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		return db
	}
	hasFreeSpace := true
	db := open()
	store, err := New(db, func() bool { return hasFreeSpace })
	if err != nil {
		t.Fatal(err)
	}
	put := func(job, raw string, want error) {
		t.Helper()
		if err := store.Put(job, []byte(raw)); !errors.Is(err, want) {
			t.Errorf("put %s: got error %v, want %v", job, err, want)
		}
	}
	put("job-1", "one", nil)
	put("job-1", "one", nil)
	put("job-1", "other", ErrConflict)
	hasFreeSpace = false
	put("job-2", "two", ErrDiskFull)
	put("job-1", "one", nil)
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	db = open()
	t.Cleanup(func() {
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	})
	if store, err = New(db, func() bool { return true }); err != nil {
		t.Fatal(err)
	}
	for job, want := range map[string]string{"job-1": "one", "job-2": ""} {
		if raw, err := store.Get(job); err != nil || string(raw) != want {
			t.Errorf("spec of %s: got %q, error %v, want %q", job, raw, err, want)
		}
	}
}
