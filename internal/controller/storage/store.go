// Package storage keeps the persistent state in the state service. A page is one key with many entries, and changed pages are written in
// group commits. Every commit requires the known revisions of the leader's key and of every page that it writes, so a commit that is
// executed late or twice has no effect.
//
// A Store owns one leadership's copy of the pages. It is made at the election and dropped whole when the leadership ends. It also writes
// the keys of package archive, by the same rules. It never interprets an entry, and never answers a user.
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
	// MaxTransactionBytes bounds the JSON bytes of the values of one transaction.
	MaxTransactionBytes = 56 << 10

	// writeRateShare is the share of the state service's write limit that is used. The rest is a margin, since both sides do not count
	// a write at the same instant.
	writeRateShare = 0.92
	// writeBurst is the time for which unused writes accumulate.
	writeBurst = time.Second
)

// Options are the parameters and limits of a Store.
type Options struct {
	LeaderKey         string        // key that names the leader; every commit requires its revision
	MaxValueBytes     int           // limit of a value in JSON bytes
	MaxTransactionOps int           // limit of the operations of a transaction
	WriteRate         float64       // limit of the state service in operations per second
	BatchDelay        time.Duration // how long a change that is not urgent may wait for others
}

// Store is a leader's copy of the pages, with the changes that are not written yet. It belongs to the controller's event loop and is
// not safe for concurrent use.
type Store struct {
	options      Options
	log          *slog.Logger
	fencingToken uint64
	writeLimiter *client.RateLimiter
	closed       bool // responses are dropped
	fenced       bool // another leader has written: this one has to step down

	pages   pageTable
	loading loadProgress
	commits commitState
	splits  splitState
	archive archiveState
}

// New returns the store of a new leadership. Load has to be called first.
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

// Close makes the store ignore all later responses.
func (s *Store) Close() { s.closed = true }

// IsLoaded reports whether all pages have been read.
func (s *Store) IsLoaded() bool { return s.loading.completed }

// IsFenced reports whether another leader has written, so that this leadership is over.
func (s *Store) IsFenced() bool { return s.fenced }

// IsHealthy reports whether commits succeed.
func (s *Store) IsHealthy() bool { return s.commits.failingSince.IsZero() }

// send sends a request to the state service. Its response is dropped once the leadership is over.
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

// ForEach calls f with every entry, sorted by name.
func (s *Store) ForEach(f func(name string, decode func(any) error)) {
	for _, name := range s.pages.names() {
		e := s.pages.entries[name]
		f(name, func(v any) error { return msgpack.Unmarshal(e.raw, v) })
	}
}

// MaxEntryBytes returns the limit in JSON bytes of the value of an entry that has a page to itself.
func (s *Store) MaxEntryBytes(name string) int {
	return s.options.MaxValueBytes - pageOverhead - len(name) - entryOverhead
}

// EntryTooLargeError is the error that an entry does not fit on its page, or on any page. Its text is part of answers to users.
type EntryTooLargeError struct {
	Name   string
	Bytes  int  // JSON bytes of name and value
	OnPage bool // the entry is on a page that it would outgrow
}

// Error returns the text with the size of the entry.
func (e *EntryTooLargeError) Error() string {
	if e.OnPage {
		return fmt.Sprintf("entry %s: grows to %d bytes, more than its page holds", e.Name, e.Bytes)
	}
	return fmt.Sprintf("entry %s: %d bytes are more than a page holds", e.Name, e.Bytes)
}

// SetOptions say how an entry is written.
type SetOptions struct {
	// ReservedBytes is the largest size in JSON bytes that the value may reach; 0: its present size. An entry never changes its page
	// because it grows.
	ReservedBytes int
	// Urgent is set if a request waits for the change: it is written with the next commit.
	Urgent bool
	// Done, unless nil, is called with true once the change is durable, and with false if that is uncertain. In that case the change
	// stays, is written again, and Done is called again.
	Done DoneFunc
}

// Set adds or changes an entry. On error, an EntryTooLargeError or an encoding error, nothing is changed.
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
	e.page.grow(e, size)
	e.raw = raw
	s.pages.setDirty(now, e.page, options.Urgent, options.Done)
	return nil
}

// encodeEntry returns an entry's encoded value and the JSON bytes that name and value take in a page.
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

// Reserve reserves space for the growth of an entry that was loaded, since the stored value shows only its present size.
func (s *Store) Reserve(name string, reservedBytes int) {
	e := s.pages.entries[name]
	if e == nil {
		return
	}
	if size := reservedBytes + len(name) + entryOverhead; size > e.size {
		e.page.grow(e, size)
	}
}

// Delete removes an entry.
func (s *Store) Delete(now time.Time, name string) {
	e := s.pages.entries[name]
	if e == nil {
		return
	}
	s.pages.remove(name, e)
	s.pages.setDirty(now, e.page, false, nil)
}

// SetFinished marks an entry as the record of a finished job, which may be archived.
func (s *Store) SetFinished(name string) {
	if e := s.pages.entries[name]; e != nil && !e.finished {
		e.finished = true
		e.page.finishedSize += e.size
	}
}

// SpareWrites returns the number of writes that are available now for changes that are not urgent. Half of the budget is left to urgent
// ones.
func (s *Store) SpareWrites(now time.Time) int {
	return max(s.writeLimiter.Available(now)-int(s.options.WriteRate/2), 0)
}
