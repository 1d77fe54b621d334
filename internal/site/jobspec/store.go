// Package jobspec stores the job specifications that users upload. It owns one bucket of the machine pool's database, which maps job IDs
// to encoded specs. A spec is written once and never changed. The package does not track jobs' states and never decodes a spec.
// docs/design/site.md describes a site.
package jobspec

import (
	"bytes"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

// bucketName is the name of the bucket in databases of all versions.
const bucketName = "descriptions"

// ErrConflict is returned if a job already has a different spec. Its text is part of the response to the user.
var ErrConflict = errors.New("the job has another description")

// ErrDiskFull is returned if the disk has too little free space for another spec. Its text is part of the response to the user.
var ErrDiskFull = errors.New("the disk is nearly full")

// Store stores specs by job ID. Its methods may be called from any goroutine.
type Store struct {
	db           *bbolt.DB
	hasFreeSpace func() bool // whether the disk has space for another spec
}

// New returns a store in db. The caller keeps db open while the store is in use. No spec is added while hasFreeSpace returns false.
func New(db *bbolt.DB, hasFreeSpace func() bool) (*Store, error) {
	err := db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists([]byte(bucketName))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("create bucket %q: %w", bucketName, err)
	}
	return &Store{db, hasFreeSpace}, nil
}

// Put stores the spec of a job durably. Storing the same spec again succeeds. Put returns ErrConflict if the job has a different spec,
// and ErrDiskFull if the disk has no space for a new one.
func (s *Store) Put(job string, encoded []byte) error {
	stored, err := s.Get(job)
	switch {
	case err != nil:
		return err
	case stored != nil && bytes.Equal(stored, encoded):
		return nil
	case stored != nil:
		return ErrConflict
	case !s.hasFreeSpace():
		return ErrDiskFull
	}
	return s.db.Batch(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket([]byte(bucketName))
		// Another request may have stored a spec since the check above.
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
