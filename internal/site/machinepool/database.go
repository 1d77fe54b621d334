package machinepool

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"gullrudder/internal/wire/http1"

	"go.etcd.io/bbolt"
)

// Names in the database. They must not change, since databases of earlier versions have them too.
const (
	databaseFileName = "site.db"
	recordBucket     = "pool"
	recordKey        = "record"
	failuresBucket   = "failures"
	// failureKeyTimeFormat is the format of the time at the start of a failure's key. It sorts the failures by time.
	failureKeyTimeFormat = "20060102T150405.000000000"
)

const (
	maxStoredFailures = 1000
	maxListedFailures = 50
	// maxFailureListBytes is below the limit of a response, to leave space for the encoding of the list.
	maxFailureListBytes = http1.MaxBodyBytes / 2
	// databaseOpenTimeout is how long to wait for another process to close the database.
	databaseOpenTimeout = time.Second
	// maxBatchDelay is how long a job spec waits for others that are written with the same disk sync.
	maxBatchDelay = 2 * time.Millisecond
)

// openDatabase opens or creates the pool's database in dir and reads the record that is stored in it.
func openDatabase(dir string) (*bbolt.DB, Record, error) {
	var record Record
	path := filepath.Join(dir, databaseFileName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: databaseOpenTimeout})
	if err != nil {
		return nil, record, fmt.Errorf("%s: %w", path, err)
	}
	db.MaxBatchDelay = maxBatchDelay
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range []string{recordBucket, failuresBucket} {
			if _, err := tx.CreateBucketIfNotExists([]byte(name)); err != nil {
				return err
			}
		}
		encoded := tx.Bucket([]byte(recordBucket)).Get([]byte(recordKey))
		if encoded == nil {
			return nil
		}
		return json.Unmarshal(encoded, &record)
	})
	if err != nil {
		return nil, record, fmt.Errorf("%s: %w", path, err)
	}
	return db, record, nil
}

// storeEffects stores the changes of a step in one transaction. They are durable if it returns nil; otherwise none of them is stored.
func storeEffects(database *bbolt.DB, effects Effects) error {
	if effects.Record == nil && len(effects.TaskFailures) == 0 {
		return nil
	}
	return database.Update(func(tx *bbolt.Tx) error {
		if effects.Record != nil {
			encoded, err := json.Marshal(effects.Record)
			if err != nil {
				return err
			}
			if err := tx.Bucket([]byte(recordBucket)).Put([]byte(recordKey), encoded); err != nil {
				return err
			}
		}
		return storeFailures(tx.Bucket([]byte(failuresBucket)), effects.TaskFailures)
	})
}

// storeFailures adds failures and removes the oldest ones above maxStoredFailures. A failure that is reported again replaces its earlier
// entry.
func storeFailures(bucket *bbolt.Bucket, encodedFailures []string) error {
	if len(encodedFailures) == 0 {
		return nil
	}
	for _, encoded := range encodedFailures {
		var failure Failure
		if json.Unmarshal([]byte(encoded), &failure) != nil {
			continue // a failure that cannot be decoded cannot be shown either
		}
		key := failure.FinishedAt.UTC().Format(failureKeyTimeFormat) + " " + failure.Task
		if err := bucket.Put([]byte(key), []byte(encoded)); err != nil {
			return err
		}
	}
	return removeOldFailures(bucket)
}

func removeOldFailures(bucket *bbolt.Bucket) error {
	count := 0
	cursor := bucket.Cursor()
	for key, _ := cursor.Last(); key != nil; key, _ = cursor.Prev() {
		if count++; count <= maxStoredFailures {
			continue
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// readFailures returns the newest failures, at most limit, and only as many as fit into a response.
func readFailures(database *bbolt.DB, limit int) (FailureList, error) {
	list := FailureList{EncodedFailures: []string{}}
	err := database.View(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket([]byte(failuresBucket)).Cursor()
		size := 0
		for key, value := cursor.Last(); key != nil; key, value = cursor.Prev() {
			if len(list.EncodedFailures) >= limit || size >= maxFailureListBytes {
				break
			}
			list.EncodedFailures = append(list.EncodedFailures, string(value))
			size += len(value)
		}
		return nil
	})
	return list, err
}
