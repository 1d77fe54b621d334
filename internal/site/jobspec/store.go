// Package jobspec stores what the tasks of jobs run, as users uploaded it. It owns one bucket of a database that the machine
// pool owns: job ID to encoded spec, each written once and never changed. It knows nothing of jobs' states and never decodes a
// spec. docs/design/site.md describes a site.
package jobspec

import (
	"bytes"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

// bucketName is the bucket of the specs. Databases of earlier versions have it by this name.
const bucketName = "descriptions"

// ErrConflict says that a job already has another spec. Its text is part of the response to the user.
var ErrConflict = errors.New("the job has another description")

// ErrDiskFull says that there is too little free space on the disk for another spec. Its text is part of the response to the
// user.
var ErrDiskFull = errors.New("the disk is nearly full")

// Store stores specs. It may be used by several goroutines.
type Store struct {
	db      *bbolt.DB
	hasRoom func() bool // whether the disk has room for another spec
}

// New returns a store in db, which stays open as long as the store is in use. No spec is added while hasRoom returns false.
func New(db *bbolt.DB, hasRoom func() bool) (*Store, error) {
	err := db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists([]byte(bucketName))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("descriptions: %w", err)
	}
	return &Store{db, hasRoom}, nil
}

// Put stores the spec of a job. It is durable when Put returns. Putting the same spec again succeeds; another one for the same
// job gets ErrConflict, and ErrDiskFull is returned if the disk has no room.
func (s *Store) Put(job string, encoded []byte) error {
	stored, err := s.Get(job)
	switch {
	case err != nil:
		return err
	case stored != nil && bytes.Equal(stored, encoded):
		return nil
	case stored != nil:
		return ErrConflict
	case !s.hasRoom():
		return ErrDiskFull
	}
	return s.db.Batch(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket([]byte(bucketName))
		// Another request may have stored one since the check above.
		if stored := bucket.Get([]byte(job)); stored != nil && !bytes.Equal(stored, encoded) {
			return ErrConflict
		}
		return bucket.Put([]byte(job), encoded)
	})
}

// Get returns the spec of a job, or nil if it has none.
func (s *Store) Get(job string) (encoded []byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		encoded = bytes.Clone(tx.Bucket([]byte(bucketName)).Get([]byte(job)))
		return nil
	})
	return encoded, err
}
