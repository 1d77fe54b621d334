// Package storage keeps the controllers' persistent state in the state service. Entries are grouped into pages, and each page is one key.
// Changed pages are written in group commits. Every commit has preconditions on the revisions of the leader's key and of every page that
// it writes. A commit that is executed late or twice therefore has no effect.
//
// A Store holds one leadership's copy of the pages. It is created at the election and discarded when the leadership ends. It also writes
// the keys of package archive, with the same preconditions. It does not interpret entries and does not answer users.
// Design notes: docs/design/storage.md, and docs/design/upgrade.md for splits.
package storage

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxTransactionBytes is the limit of the total size of the values in one transaction, in JSON bytes.
	MaxTransactionBytes = 56 << 10

	// writeRateShare is the share of the state service's write limit that is used. The rest is a margin: the two sides count a write at
	// different instants.
	writeRateShare = 0.92
	// writeBurst is the maximum time over which unused writes accumulate.
	writeBurst = time.Second
)

// Options are the parameters and limits of a Store.
type Options struct {
	LeaderKey         string        // key that names the leader; every commit has a precondition on its revision
	MaxValueBytes     int           // limit of the size of a value, in JSON bytes
	MaxTransactionOps int           // limit of the number of operations in a transaction
	WriteRate         float64       // write limit of the state service, in operations per second
	BatchDelay        time.Duration // minimum age at which a change that is not urgent is written, so that it is batched with others
}

// Store is a leader's copy of the pages, including changes that are not written yet. It must be used only from the controller's event
// loop: it is not safe for concurrent use.
type Store struct {
	options      Options
	log          *slog.Logger
	fencingToken uint64
	writeLimiter *client.RateLimiter
	closed       bool // responses are ignored
	fenced       bool // nothing more is written, so this leader must step down

	pages   pageTable
	loading loadProgress
	commits commitState
	splits  splitState
	archive archiveState
}

// New returns the store of a new leadership. Load must be called before any other method. fencingToken is the revision of the leader's key
// at the election.
func New(options Options, fencingToken uint64, log *slog.Logger) *Store {
	return &Store{
		options:      options,
		log:          log,
		fencingToken: fencingToken,
		writeLimiter: client.NewRateLimiter(options.WriteRate*writeRateShare, writeBurst),
		pages:        newPageTable(options.MaxValueBytes),
		archive:      archiveState{head: newPage(ArchiveHeadKey), index: map[string]string{}},
	}
}

// Close makes the store ignore all responses that arrive later. It does not cancel calls that were sent.
func (s *Store) Close() { s.closed = true }

// IsLoaded reports whether all pages and the archive's head and index have been read.
func (s *Store) IsLoaded() bool { return s.loading.completed }

// IsFenced reports whether this leadership must end, because another leader has written, or because an uncertain commit may have changed
// stored values without the change being applied in memory. Flush sends nothing more then.
func (s *Store) IsFenced() bool { return s.fenced }

// IsHealthy reports whether no commit has failed or become uncertain since the last successful one.
func (s *Store) IsHealthy() bool { return s.commits.failingSince.IsZero() }

// send queues a request to the state service. Its response is ignored once the store is closed.
func (s *Store) send(outbox *client.Outbox, request client.Call) {
	done := request.Done
	request.Destination = client.StateService
	request.Done = func(now time.Time, r client.Result) {
		if !s.closed {
			done(now, r)
		}
	}
	outbox.Add(request)
}

// ForEach calls f for every entry, in the order of their names. decode decodes the value into the given pointer.
func (s *Store) ForEach(f func(name string, decode func(any) error)) {
	for _, name := range s.pages.names() {
		e := s.pages.entries[name]
		f(name, func(v any) error { return msgpack.Unmarshal(e.raw, v) })
	}
}

// MaxEntryBytes returns the maximum size of the value of an entry that is alone on its page, in JSON bytes.
func (s *Store) MaxEntryBytes(name string) int {
	return s.options.MaxValueBytes - pageOverhead - len(name) - entryOverhead
}

// EntryTooLargeError reports an entry that does not fit on its page, or on any page. Its text is part of responses to users.
type EntryTooLargeError struct {
	Name   string
	Bytes  int  // JSON bytes of name and value
	OnPage bool // the entry is already on a page, which would exceed its limit
}

// Error returns a message with the name and the size of the entry.
func (e *EntryTooLargeError) Error() string {
	if e.OnPage {
		return fmt.Sprintf("entry %s: grows to %d bytes, more than its page holds", e.Name, e.Bytes)
	}
	return fmt.Sprintf("entry %s: %d bytes are more than a page holds", e.Name, e.Bytes)
}

// SetOptions are the options of Set.
type SetOptions struct {
	// ReservedBytes is the maximum size that the value may reach, in JSON bytes. 0 stands for the current size. A growing entry stays on
	// its page.
	ReservedBytes int
	// Urgent is set if a request waits for the change. An urgent change is written with the next commit.
	Urgent bool
	// Done is called with true once the change is durable, and with false if its outcome is uncertain. After false the change is kept and
	// written again, and Done is called again. Done may be nil.
	Done DoneFunc
}

// Set adds or changes an entry in memory. A later Flush writes it. The error is an EntryTooLargeError or an encoding error; the entry is
// then unchanged.
func (s *Store) Set(now time.Time, name string, value any, options SetOptions) error {
	raw, size, err := encodeEntry(name, value, options.ReservedBytes)
	if err != nil {
		return err
	}
	e := s.pages.entries[name]
	if e == nil {
		target := s.pages.choosePage(size)
		if target == nil {
			return &EntryTooLargeError{Name: name, Bytes: size}
		}
		e = &entry{page: target}
		s.pages.entries[name] = e
		target.entries[name] = e
	}
	if size > e.size && e.page.size+size-e.size > s.options.MaxValueBytes {
		return &EntryTooLargeError{Name: name, Bytes: size, OnPage: true}
	}
	e.page.resizeEntry(e, size)
	e.raw = raw
	s.pages.setDirty(now, e.page, options.Urgent, options.Done)
	return nil
}

// encodeEntry returns an entry's encoded value, and the size of its name and value in a page, in JSON bytes.
func encodeEntry(name string, value any, reservedBytes int) (raw msgpack.RawMessage, size int, err error) {
	if raw, err = codec.Marshal(value); err != nil {
		return nil, 0, fmt.Errorf("entry %s: %w", name, err)
	}
	if reservedBytes == 0 {
		text, err := json.Marshal(value)
		if err != nil {
			return nil, 0, fmt.Errorf("entry %s: %w", name, err)
		}
		reservedBytes = len(text)
	}
	return raw, reservedBytes + len(name) + entryOverhead, nil
}

// Reserve reserves space for the growth of a loaded entry, in JSON bytes of its value. The stored value shows only its current size.
// Reserve does nothing if there is no such entry.
func (s *Store) Reserve(name string, reservedBytes int) {
	e := s.pages.entries[name]
	if e == nil {
		return
	}
	if size := reservedBytes + len(name) + entryOverhead; size > e.size {
		e.page.resizeEntry(e, size)
	}
}

// Delete removes an entry in memory. A later Flush writes its page. It does nothing if there is no such entry.
func (s *Store) Delete(now time.Time, name string) {
	e := s.pages.entries[name]
	if e == nil {
		return
	}
	s.pages.remove(name, e)
	s.pages.setDirty(now, e.page, false, nil)
}

// SetFinished marks an entry as the record of a finished job, which may be archived. It does nothing if there is no such entry.
func (s *Store) SetFinished(name string) {
	if e := s.pages.entries[name]; e != nil && !e.finished {
		e.finished = true
		e.page.finishedSize += e.size
	}
}

// SpareWrites returns the number of writes that are available now for changes that are not urgent. Half a second's worth of writes
// stays reserved for urgent changes.
func (s *Store) SpareWrites(now time.Time) int {
	return max(s.writeLimiter.Available(now)-int(s.options.WriteRate/2), 0)
}
