package storage

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/stateapi"

	"github.com/vmihailenco/msgpack/v5"
)

// archiveState is the part of the store that package archive uses.
type archiveState struct {
	head             *page             // has an entry for each segment
	index            map[string]string // loaded parts of the index by key; nil after TakeArchiveIndex
	pendingMove      *entryMove        // move that waits for a commit with enough space, or nil
	hasUncertainMove bool              // a move without a response may still be executed
}

// ArchivePart is a part of a segment's index or data, which is stored as one key.
type ArchivePart struct {
	Key, Text   string
	ModRevision uint64 // revision at which the part was read; 0 in parts that were not read
}

// ArchiveHeadNames returns the sorted names of the entries of the archive's head.
func (s *Store) ArchiveHeadNames() []string { return slices.Sorted(maps.Keys(s.archive.head.entries)) }

// ArchiveHeadEntry decodes an entry of the archive's head into v, which must be a pointer. It returns an error if there is no such entry.
func (s *Store) ArchiveHeadEntry(name string, v any) error {
	e := s.archive.head.entries[name]
	if e == nil {
		return fmt.Errorf("archive head has no entry %q", name)
	}
	if err := msgpack.Unmarshal(e.raw, v); err != nil {
		return fmt.Errorf("decode entry %q of the archive head: %w", name, err)
	}
	return nil
}

// TakeArchiveIndex returns the loaded parts of the archive's index by key, and removes them from the store. A second call returns nil.
func (s *Store) TakeArchiveIndex() map[string]string {
	index := s.archive.index
	s.archive.index = nil
	return index
}

// ReadArchivePart reads one part of the archive. done gets the HTTP status of the response, which is 0 if there is none or it cannot be
// decoded. text is valid only if the status is 200.
func (s *Store) ReadArchivePart(
	outbox *client.Outbox, key string, timeout time.Duration, done func(now time.Time, text string, status int),
) {
	s.send(outbox, client.Call{
		Method: http.MethodGet, Path: keyPath + key, Timeout: timeout,
		Done: func(now time.Time, r client.Result) {
			var stored archivePartResponse
			if r.Status == http.StatusOK && codec.Unmarshal(r.Body, &stored) != nil {
				r.Status = 0
			}
			done(now, stored.Value.Text, r.Status)
		},
	})
}

// ArchivePartList is one response of a list of archive parts. If HasMore is true, the list continues after the last part.
type ArchivePartList struct {
	Parts   []ArchivePart
	HasMore bool
}

// ListArchiveParts reads the archive parts with a key prefix, beginning after afterKey, as many as fit in one response. ok is false if the
// list could not be read.
func (s *Store) ListArchiveParts(
	outbox *client.Outbox, prefix, afterKey string, done func(now time.Time, list ArchivePartList, ok bool),
) {
	s.listKeys(outbox, listRequest{prefix: prefix, afterKey: afterKey, timeout: listTimeout},
		func(now time.Time, response listResponse, status int) {
			result := ArchivePartList{HasMore: response.HasMore}
			for _, row := range response.Keys {
				var value archivePartValue
				if msgpack.Unmarshal(row.Value, &value) != nil {
					status = 0
				}
				result.Parts = append(result.Parts, ArchivePart{Key: row.Key, Text: value.Text, ModRevision: row.ModRevision})
			}
			done(now, result, status == http.StatusOK)
		})
}

// ArchivableEntries returns the sorted names of finished jobs for which canArchive returns true. It considers the pages with the most bytes
// of finished jobs, at most as many as one transaction can write together with the archive's head. It returns nil while a stored page has
// stale copies of entries.
func (s *Store) ArchivableEntries(canArchive func(name string) bool) []string {
	if s.pages.hasStaleCopies() {
		return nil
	}
	var names []string
	bytes, count := s.options.MaxValueBytes, 0
	for _, p := range s.pagesWithFinishedJobs() {
		if bytes+p.size > MaxTransactionBytes || count+2 >= s.options.MaxTransactionOps {
			break
		}
		before := len(names)
		for name, e := range p.entries {
			if e.finished && canArchive(name) {
				names = append(names, name)
			}
		}
		if len(names) > before {
			count++
			bytes += p.size
		}
	}
	sort.Strings(names)
	return names
}

// pagesWithFinishedJobs returns the pages with finished jobs, beginning with the most bytes of finished jobs.
func (s *Store) pagesWithFinishedJobs() []*page {
	var pages []*page
	for _, p := range s.pages.byKey {
		if p.finishedSize > 0 {
			pages = append(pages, p)
		}
	}
	sort.Slice(pages, func(i, j int) bool {
		if pages[i].finishedSize != pages[j].finishedSize {
			return pages[i].finishedSize > pages[j].finishedSize
		}
		return pages[i].key < pages[j].key
	})
	return pages
}

// HeadChange sets an entry of the archive's head. A nil Value deletes the entry.
type HeadChange struct {
	Name  string
	Value any
}

// CommitArchiveCost returns the number of keys that CommitArchive writes to remove these entries.
func (s *Store) CommitArchiveCost(names []string) int { return len(s.pages.pagesHolding(names)) + 1 }

// CommitArchive removes entries from their pages and changes the archive's head, in one commit. The changes are added to the next commit
// in which urgent pages leave enough space, or are committed alone. done is called with true once the commit was executed, and with false
// once the attempt is given up. Only one such change may be pending. If a value cannot be encoded, it returns an error and done is not
// called.
func (s *Store) CommitArchive(removed []string, headChanges []HeadChange, done func(now time.Time, ok bool)) error {
	move := &entryMove{removed: map[string]bool{}, headChanges: map[string]msgpack.RawMessage{}, done: done}
	for _, name := range removed {
		move.removed[name] = true
	}
	for _, change := range headChanges {
		if change.Value == nil {
			move.headChanges[change.Name] = nil
			continue
		}
		raw, err := codec.Marshal(change.Value)
		if err != nil {
			return fmt.Errorf("encode entry %s of the archive head: %w", change.Name, err)
		}
		move.headChanges[change.Name] = raw
	}
	move.pages = append(s.pages.pagesHolding(removed), s.archive.head)
	s.archive.pendingMove = move
	return nil
}

// joinPendingMove adds the pages of the pending move to a commit if it has enough space and the write budget allows it. It returns the
// pages of the commit, and the move if it was added.
func (s *Store) joinPendingMove(now time.Time, chosen []*page) ([]*page, *entryMove) {
	move := s.archive.pendingMove
	if move == nil || !s.IsHealthy() {
		return chosen, nil
	}
	all := slices.Clone(chosen)
	for _, p := range move.pages {
		if !slices.Contains(all, p) {
			all = append(all, p)
		}
	}
	bytes, writes := 0, len(all)
	for _, p := range all {
		bytes += p.size
	}
	if s.archive.head.modRevision == 0 {
		writes++ // the format key
	}
	if writes > s.options.MaxTransactionOps || bytes > MaxTransactionBytes || len(all) > len(chosen) && s.SpareWrites(now) < writes {
		return chosen, nil
	}
	s.archive.pendingMove = nil
	return all, move
}

// CreateArchiveParts writes new parts of the archive in one transaction. It may run concurrently with a commit of pages, since it writes
// no page. Its preconditions are the revision of the leader's key and that no part exists. After an uncertain outcome the first part is
// read back. It shows whether all parts were written, so a retry must have the same parts. done is not called if the store is fenced.
func (s *Store) CreateArchiveParts(outbox *client.Outbox, parts []ArchivePart, done func(now time.Time, ok bool)) {
	request := stateapi.CommitRequest{Preconditions: []stateapi.Precondition{s.requireLeadership()}}
	for _, part := range parts {
		request.Preconditions = append(request.Preconditions, stateapi.RequireAbsent(part.Key))
		request.Operations = append(request.Operations, stateapi.Operation{Write: part.Key, Value: archivePartValue{part.Text}})
	}
	s.sendArchiveCommit(outbox, request, func(now time.Time, r client.Result) {
		if r.Status == http.StatusOK || !r.IsUncertain() && r.Status != http.StatusConflict {
			done(now, r.Status == http.StatusOK)
			return
		}
		s.readBackArchiveParts(outbox, parts, r.Status == http.StatusConflict, done)
	})
}

// readBackArchiveParts checks whether parts were written after their commit was rejected or got no response.
func (s *Store) readBackArchiveParts(
	outbox *client.Outbox, parts []ArchivePart, rejected bool, done func(now time.Time, ok bool),
) {
	s.ReadArchivePart(outbox, parts[0].Key, readTimeout, func(now time.Time, text string, status int) {
		switch {
		case status == http.StatusOK && text == parts[0].Text:
			done(now, true) // an earlier attempt was executed late
		case rejected && (status == http.StatusOK || status == http.StatusNotFound):
			s.commitFenced(len(parts))
		default:
			done(now, false)
		}
	})
}

// DeleteArchiveParts deletes parts in one transaction. Its preconditions include the revisions at which the parts were read, so a late
// execution cannot delete newer parts. If ok is false, the parts must be listed again before the next attempt.
func (s *Store) DeleteArchiveParts(outbox *client.Outbox, parts []ArchivePart, done func(now time.Time, ok bool)) {
	request := stateapi.CommitRequest{Preconditions: []stateapi.Precondition{s.requireLeadership()}}
	for _, part := range parts {
		request.Preconditions = append(request.Preconditions, stateapi.Precondition{Key: part.Key, ModRevision: part.ModRevision})
		request.Operations = append(request.Operations, stateapi.Operation{Delete: part.Key})
	}
	s.sendArchiveCommit(outbox, request, func(now time.Time, r client.Result) { done(now, r.Status == http.StatusOK) })
}

func (s *Store) sendArchiveCommit(outbox *client.Outbox, request stateapi.CommitRequest, done func(now time.Time, r client.Result)) {
	s.writeLimiter.Take(len(request.Operations))
	s.send(outbox, client.Call{Method: http.MethodPost, Path: stateapi.CommitPath, Timeout: commitTimeout, Body: request, Done: done})
}
