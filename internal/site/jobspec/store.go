// Package jobspec keeps what jobs run, as their users uploaded it: by job, on disk, never changed.
// It knows nothing of jobs' states and never reads a description but for its size.
package jobspec

import (
	"bytes"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

// ErrConflict says that the job has another description already.
var ErrConflict = errors.New("the job has another description")

// ErrDiskFull says that there is too little room on the disk for more.
var ErrDiskFull = errors.New("the disk is nearly full")

// Store keeps descriptions in a database that others use too.
type Store struct {
	db      *bbolt.DB
	hasRoom func() bool // there is enough room on the disk
}

// New makes a keeper.
func New(db *bbolt.DB, hasRoom func() bool) (*Store, error) {
	err := db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists([]byte("descriptions"))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("descriptions: %w", err)
	}
	return &Store{db, hasRoom}, nil
}

// Put keeps a description: it is there once Put returns. The same one may be put again.
func (k *Store) Put(job string, encoded []byte) error {
	stored, err := k.Get(job)
	switch {
	case err != nil:
		return err
	case stored != nil && bytes.Equal(stored, encoded):
		return nil
	case stored != nil:
		return ErrConflict
	case !k.hasRoom():
		return ErrDiskFull
	}
	return k.db.Batch(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket([]byte("descriptions"))
		if stored := bucket.Get([]byte(job)); stored != nil && !bytes.Equal(stored, encoded) {
			return ErrConflict
		}
		return bucket.Put([]byte(job), encoded)
	})
}

// Get is a job's description: nil if it has none.
func (k *Store) Get(job string) (encoded []byte, err error) {
	err = k.db.View(func(tx *bbolt.Tx) error {
		encoded = bytes.Clone(tx.Bucket([]byte("descriptions")).Get([]byte(job)))
		return nil
	})
	return encoded, err
}
