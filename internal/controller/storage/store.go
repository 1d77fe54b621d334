// Package storage keeps the state that has to outlive every process in the state service. Entries are packed many to a page, a page
// is one key, and changed pages are written in group commits. Every commit requires that the leader's key and every page it writes
// are as this leader knows them, so a commit that is executed late or twice changes nothing.
//
// A Store is one leadership's copy of the pages, made at the election and dropped whole when the leadership ends. It also writes the
// keys of package archive, by the same rules. It never decides what an entry means, and it never answers a user.
//
// The design is in docs/design/storage.md, that of splits in docs/design/upgrade.md.
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
	// MaxTransactionBytes is how many JSON bytes of values go into one transaction.
	MaxTransactionBytes = 56 << 10

	// writeRateShare is the share of the state service's write limit that is used. The rest is a margin: both sides count the
	// same writes, but not at the same instants.
	writeRateShare = 0.92
	// writeBurst is how long writes may be saved up.
	writeBurst = time.Second
)

// Options are the limits that a Store keeps.
type Options struct {
	LeaderKey         string        // key that names the leader; every commit requires its revision
	MaxValueBytes     int           // JSON bytes that a value may have
	MaxTransactionOps int           // changes that a transaction may make
	WriteRate         float64       // changes per second that the state service takes
	BatchDelay        time.Duration // how long a change that nobody waits for may be gathered
}

// Store is a leader's copy of the pages and what of it is still to be written. It belongs to the controller's event loop and is not
// safe for concurrent use.
type Store struct {
	options      Options
	log          *slog.Logger
	fencingToken uint64
	writeLimiter *client.RateLimiter
	closed       bool // responses are dropped
	fenced       bool // another leader has written, so this one has to step down

	pages   pageTable
	loading loadProgress
	commits commitState
	splits  splitState
	archive archiveState
}

// New returns the store of a new leadership. Load comes before anything else.
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

// Close drops the responses that are still to come.
func (s *Store) Close() { s.closed = true }

// IsLoaded reports whether all pages have been read.
func (s *Store) IsLoaded() bool { return s.loading.completed }

// IsFenced reports whether another leader has written, so that this leadership is over.
func (s *Store) IsFenced() bool { return s.fenced }

// IsHealthy reports whether commits get through.
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

// ForEach calls f with every entry, in the order of their names.
func (s *Store) ForEach(f func(name string, decode func(any) error)) {
	for _, name := range s.pages.names() {
		e := s.pages.entries[name]
		f(name, func(v any) error { return msgpack.Unmarshal(e.raw, v) })
	}
}

// MaxEntryBytes is how many JSON bytes the value of an entry may have at most, with a page to itself.
func (s *Store) MaxEntryBytes(name string) int {
	return s.options.MaxValueBytes - pageOverhead - len(name) - entryOverhead
}

// EntryTooLargeError reports that an entry does not fit its page, or any page. Its text is part of answers to users.
type EntryTooLargeError struct {
	Name   string
	Bytes  int  // JSON bytes of name and value
	OnPage bool // the entry has a page already, which it would outgrow
}

// Error says how large the entry would be.
func (e *EntryTooLargeError) Error() string {
	if e.OnPage {
		return fmt.Sprintf("entry %s: grows to %d bytes, more than its page holds", e.Name, e.Bytes)
	}
	return fmt.Sprintf("entry %s: %d bytes are more than a page holds", e.Name, e.Bytes)
}

// SetOptions say how an entry is written.
type SetOptions struct {
	// ReservedBytes is how many JSON bytes the value may come to need while the entry exists, 0 if it is what the value needs now. The
	// entry never leaves its page because it grows.
	ReservedBytes int
	// Urgent says that somebody waits for the change: it is written with the next commit.
	Urgent bool
	// Done, unless nil, is called with true once the change is durable, or with false if that has become uncertain. In that case the
	// change stays, is written again, and Done is called again.
	Done DoneFunc
}

// Set changes an entry. The error is an EntryTooLargeError or says that the value cannot be encoded; then nothing has changed.
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

// Reserve reserves the space of an entry that was loaded. What is stored tells only how large it is, not how large it may become.
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

// SetFinished says that an entry belongs to a finished job: it may leave for the archive.
func (s *Store) SetFinished(name string) {
	if e := s.pages.entries[name]; e != nil && !e.finished {
		e.finished = true
		e.page.finishedSize += e.size
	}
}

// SpareWrites is how many changes may be made now by what nobody waits for: half of the budget is left to what somebody waits for.
func (s *Store) SpareWrites(now time.Time) int {
	return max(s.writeLimiter.Available(now)-int(s.options.WriteRate/2), 0)
}
