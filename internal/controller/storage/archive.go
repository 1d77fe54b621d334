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
	index            map[string]string // parts of the index by key, until TakeArchiveIndex
	pendingMove      *entryMove        // waits for a commit with enough space
	hasUncertainMove bool              // a move without a response may still be executed
}

// ArchivePart is one value of the archive.
type ArchivePart struct {
	Key, Text   string
	ModRevision uint64 // set only in parts that were read
}

// ArchiveHeadNames returns the names of the entries of the archive's head, sorted.
func (s *Store) ArchiveHeadNames() []string { return slices.Sorted(maps.Keys(s.archive.head.entries)) }

// ArchiveHeadEntry decodes an entry of the archive's head into v.
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

// TakeArchiveIndex returns the loaded parts of the archive's index by key, and removes them from the store.
func (s *Store) TakeArchiveIndex() map[string]string {
	index := s.archive.index
	s.archive.index = nil
	return index
}

// ReadArchivePart reads one part of the archive. status is that of the response, 0 if there was none or it cannot be decoded.
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

// ArchivePartList is one page of a list of archive parts. If HasMore is true, the next page begins after the last part.
type ArchivePartList struct {
	Parts   []ArchivePart
	HasMore bool
}

// ListArchiveParts reads the archive parts with a key prefix after the key from, as many as fit in one response. ok is false if the list
// could not be read.
func (s *Store) ListArchiveParts(
	outbox *client.Outbox, prefix, from string, done func(now time.Time, list ArchivePartList, ok bool),
) {
	s.listKeys(outbox, listRequest{prefix: prefix, from: from, timeout: listTimeout},
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

// ArchivableEntries returns the names of finished jobs for which canArchive is true, sorted. They are on the pages with the most bytes
// of finished jobs, as many pages as one transaction can write together with the archive's head.
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

// pagesWithFinishedJobs returns the pages with finished jobs, those with the most bytes of them first.
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

// HeadChange sets an entry of the archive's head, or deletes it if Value is nil.
type HeadChange struct {
	Name  string
	Value any
}

// CommitArchiveCost returns the number of keys that CommitArchive writes for these entries.
func (s *Store) CommitArchiveCost(names []string) int { return len(s.pages.pagesHolding(names)) + 1 }

// CommitArchive removes entries from their pages and changes the archive's head, in one commit. The changes join the next commit with
// enough space left by urgent pages, or are committed alone. done is called once the outcome is certain, with true if the commit was
// executed. Only one such change may be pending. The error says that a value cannot be encoded; then done is not called.
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

// joinPendingMove adds the pending move to the pages of a commit if there is enough space and spare budget.
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

// CreateArchiveParts writes new parts of the archive. It may run concurrently with a commit of pages, since it writes none of them. The
// transaction requires the leader's key, as all commits do, and that no part exists. After an uncertain outcome the first part is read
// back, which shows whether all of them were written; so a retry must have the same parts.
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

// readBackArchiveParts checks whether parts were written by a commit that was refused or has no response.
func (s *Store) readBackArchiveParts(
	outbox *client.Outbox, parts []ArchivePart, refused bool, done func(now time.Time, ok bool),
) {
	s.ReadArchivePart(outbox, parts[0].Key, readTimeout, func(now time.Time, text string, status int) {
		switch {
		case status == http.StatusOK && text == parts[0].Text:
			done(now, true) // an earlier try was executed later
		case refused && (status == http.StatusOK || status == http.StatusNotFound):
			s.commitFenced(len(parts))
		default:
			done(now, false)
		}
	})
}

// DeleteArchiveParts deletes parts at the revisions at which they were read, so that a late execution cannot delete newer parts. If it
// fails, the parts have to be read again.
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
