// Package jobspec keeps what jobs run, as their users uploaded it: by job, on disk, never changed.
// It knows nothing of jobs' states and never reads a description but for its size.
package jobspec

import (
	"bytes"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

// ErrOther says that the job has another description already.
var ErrOther = errors.New("the job has another description")

// ErrFull says that there is too little room on the disk for more.
var ErrFull = errors.New("the disk is nearly full")

// Keeper keeps descriptions in a database that others use too.
type Keeper struct {
	db   *bbolt.DB
	room func() bool // there is enough room on the disk
}

// New makes a keeper.
func New(db *bbolt.DB, room func() bool) (*Keeper, error) {
	err := db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists([]byte("descriptions"))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("descriptions: %w", err)
	}
	return &Keeper{db, room}, nil
}

// Put keeps a description: it is there once Put returns. The same one may be put again.
func (k *Keeper) Put(job string, raw []byte) error {
	old, err := k.Get(job)
	switch {
	case err != nil:
		return err
	case old != nil && bytes.Equal(old, raw):
		return nil
	case old != nil:
		return ErrOther
	case !k.room():
		return ErrFull
	}
	return k.db.Batch(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte("descriptions"))
		if old := b.Get([]byte(job)); old != nil && !bytes.Equal(old, raw) {
			return ErrOther
		}
		return b.Put([]byte(job), raw)
	})
}

// Get is a job's description: nil if it has none.
func (k *Keeper) Get(job string) (raw []byte, err error) {
	err = k.db.View(func(tx *bbolt.Tx) error {
		raw = bytes.Clone(tx.Bucket([]byte("descriptions")).Get([]byte(job)))
		return nil
	})
	return raw, err
}
