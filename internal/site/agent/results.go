package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Result is how a task ended here.
type Result struct {
	Task     string    `json:"task"`
	Attempt  uint64    `json:"attempt"`
	Exit     int       `json:"exit"`             // 128 and the signal's number where one ended it
	Reason   string    `json:"reason,omitempty"` // in words, if it is not 0
	Tail     string    `json:"tail,omitempty"`   // the end of what it wrote to its error output, if it is not 0
	Began    time.Time `json:"began"`
	Finished time.Time `json:"finished"`
}

// results keeps what has ended, on disk: a task whose result is kept is not run again, whoever asks.
type results struct{ db *bbolt.DB }

var errUnknown = errors.New("not kept here")

func openResults(path string) (*results, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("results %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range []string{"results", "untold"} {
			if _, err := tx.CreateBucketIfNotExists([]byte(name)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("results %s: %w", path, err)
	}
	return &results{db}, nil
}

// keep writes a result down; it is there once keep returns. Those of many tasks share one write.
func (r *results) keep(res Result) error {
	raw, err := json.Marshal(res)
	if err != nil {
		return err
	}
	return r.db.Batch(func(tx *bbolt.Tx) error {
		if res.Exit != 0 {
			if err := tx.Bucket([]byte("untold")).Put([]byte(res.Task), nil); err != nil {
				return err
			}
		}
		return tx.Bucket([]byte("results")).Put([]byte(res.Task), raw)
	})
}

func (r *results) get(task string) (res Result, err error) {
	err = r.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket([]byte("results")).Get([]byte(task))
		if raw == nil {
			return errUnknown
		}
		return json.Unmarshal(raw, &res)
	})
	return res, err
}

// untold lists failures that the pool does not have yet.
func (r *results) untold(most int) []Result {
	var list []Result
	// What cannot be read is not told: it is on this machine's disk still.
	_ = r.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket([]byte("untold")).Cursor()
		for k, _ := c.First(); k != nil && len(list) < most; k, _ = c.Next() {
			var res Result
			if raw := tx.Bucket([]byte("results")).Get(k); raw != nil && json.Unmarshal(raw, &res) == nil {
				list = append(list, res)
			}
		}
		return nil
	})
	return list
}

func (r *results) told(list []Result) error {
	if len(list) == 0 {
		return nil
	}
	return r.db.Update(func(tx *bbolt.Tx) error {
		for _, res := range list {
			if err := tx.Bucket([]byte("untold")).Delete([]byte(res.Task)); err != nil {
				return err
			}
		}
		return nil
	})
}
