package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Result records how a task ended on this machine. It is shown to the user.
type Result struct {
	Task       string    `json:"task"`
	Attempt    uint64    `json:"attempt"`
	Exit       int       `json:"exit"`             // exit status; 128 plus the signal's number if a signal ended it
	Reason     string    `json:"reason,omitempty"` // exit status or start error as text, if Exit is not 0
	ErrorTail  string    `json:"tail,omitempty"`   // the end of its error output, if Exit is not 0
	StartedAt  time.Time `json:"began"`
	FinishedAt time.Time `json:"finished"`
}

// results stores the results of tasks on disk. A task with a stored result is not run again on this machine.
type results struct{ db *bbolt.DB }

// errNoResult is returned if no result of the task is stored.
var errNoResult = errors.New("no result stored")

// Names of the buckets in the database.
var (
	resultsBucket    = []byte("results") // results in JSON, by task ID
	unreportedBucket = []byte("untold")  // task IDs of failures that the machine pool does not have yet
)

// openResults opens the database file and locks it. It fails after a second if another process holds the lock.
func openResults(path string) (*results, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("open results database %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{resultsBucket, unreportedBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("create buckets in results database %s: %w", path, err)
	}
	return &results{db}, nil
}

// store stores a result durably. Concurrent calls share one write.
func (r *results) store(res Result) error {
	raw, err := json.Marshal(res)
	if err != nil {
		return err
	}
	return r.db.Batch(func(tx *bbolt.Tx) error {
		if res.Exit != 0 {
			if err := tx.Bucket(unreportedBucket).Put([]byte(res.Task), nil); err != nil {
				return err
			}
		}
		return tx.Bucket(resultsBucket).Put([]byte(res.Task), raw)
	})
}

// get returns the result of a task. The error is errNoResult if none is stored.
func (r *results) get(task string) (res Result, err error) {
	err = r.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(resultsBucket).Get([]byte(task))
		if raw == nil {
			return errNoResult
		}
		return json.Unmarshal(raw, &res)
	})
	return res, err
}

// unreported returns at most limit failures that the machine pool does not have yet.
func (r *results) unreported(limit int) []Result {
	var failures []Result
	// A result that cannot be read is skipped. It stays on this machine's disk.
	_ = r.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(unreportedBucket).Cursor()
		for k, _ := c.First(); k != nil && len(failures) < limit; k, _ = c.Next() {
			var res Result
			if raw := tx.Bucket(resultsBucket).Get(k); raw != nil && json.Unmarshal(raw, &res) == nil {
				failures = append(failures, res)
			}
		}
		return nil
	})
	return failures
}

// setReported records that the machine pool has these failures.
func (r *results) setReported(failures []Result) error {
	if len(failures) == 0 {
		return nil
	}
	return r.db.Update(func(tx *bbolt.Tx) error {
		for _, res := range failures {
			if err := tx.Bucket(unreportedBucket).Delete([]byte(res.Task)); err != nil {
				return err
			}
		}
		return nil
	})
}
