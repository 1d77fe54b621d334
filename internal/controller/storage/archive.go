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

	"github.com/vmihailenco/msgpack/v5"
)

// archiveState is what the store keeps for package archive.
type archiveState struct {
	head             *page             // names the archive's segments
	index            map[string]string // parts of the index by key, until they are taken
	pendingMove      *entryMove        // waits for a commit that has space for it
	hasUncertainMove bool              // a move that nobody answered may still be executed
}

// ArchivePart is one value of the archive.
type ArchivePart struct {
	Key, Text   string
	ModRevision uint64 // set in those that were read
}

// ArchiveHeadNames lists the entries of the archive's head in order.
func (s *Store) ArchiveHeadNames() []string { return slices.Sorted(maps.Keys(s.archive.head.entries)) }

// ArchiveHeadEntry reads an entry of the archive's head into v.
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

// TakeArchiveIndex returns the parts of the archive's index that were loaded, by key. The store does not keep them.
func (s *Store) TakeArchiveIndex() map[string]string {
	index := s.archive.index
	s.archive.index = nil
	return index
}

// ReadArchivePart reads one part of the archive. status is that of the response, 0 if there was none that can be read.
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

// ArchivePartList is a part of a list of archive parts.
type ArchivePartList struct {
	Parts   []ArchivePart
	HasMore bool
}

// ListArchiveParts reads the archive parts below a prefix that come after the key from, as many as one response holds. ok is false
// if the list could not be read.
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

// ArchivableEntries lists finished jobs of the few pages that hold the most of them, of as many pages as one transaction can write
// beside the archive's head.
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

// pagesWithFinishedJobs lists pages, those with the most bytes of finished jobs first.
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

// CommitArchiveCost is how many changes CommitArchive makes for these entries.
func (s *Store) CommitArchiveCost(names []string) int { return len(s.pages.pagesHolding(names)) + 1 }

// CommitArchive takes entries off their pages and changes the archive's head, in one commit. It goes with the next commit that has
// space for it beside what somebody waits for, or by itself if nobody waits. done is called once the outcome is certain, with true
// if the commit was executed. There is one at a time. The error says that a value cannot be encoded; then done is not called.
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

// joinPendingMove adds the pending move to the pages of a commit, if there is space for it and budget that nobody else needs.
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

// CreateArchiveParts writes new parts of the archive. It may be sent beside a commit of pages, since it writes none of them. The
// leader's key is required as in all commits, and no part may exist yet. After an uncertain outcome the first part is read back. It
// speaks for all of them, so after a try that failed the next one must have the same parts.
func (s *Store) CreateArchiveParts(outbox *client.Outbox, parts []ArchivePart, done func(now time.Time, ok bool)) {
	request := CommitRequest{Preconditions: []Precondition{s.requireLeadership()}}
	for _, part := range parts {
		request.Preconditions = append(request.Preconditions, requireAbsent(part.Key))
		request.Operations = append(request.Operations, Operation{Write: part.Key, Value: archivePartValue{part.Text}})
	}
	s.sendArchiveCommit(outbox, request, func(now time.Time, r client.Result) {
		if r.Status == http.StatusOK || !r.IsUncertain() && r.Status != http.StatusConflict {
			done(now, r.Status == http.StatusOK)
			return
		}
		s.readBackArchiveParts(outbox, parts, r.Status == http.StatusConflict, done)
	})
}

// readBackArchiveParts finds out whether parts were written by a commit that was refused or not answered.
func (s *Store) readBackArchiveParts(
	outbox *client.Outbox, parts []ArchivePart, refused bool, done func(now time.Time, ok bool),
) {
	s.ReadArchivePart(outbox, parts[0].Key, readTimeout, func(now time.Time, text string, status int) {
		switch {
		case status == http.StatusOK && text == parts[0].Text:
			done(now, true) // an earlier try was executed late
		case refused && (status == http.StatusOK || status == http.StatusNotFound):
			s.commitFenced(len(parts))
		default:
			done(now, false)
		}
	})
}

// DeleteArchiveParts deletes parts that were read, and only as they were read: if it is executed late, the parts have other
// revisions. If it fails, they have to be read again.
func (s *Store) DeleteArchiveParts(outbox *client.Outbox, parts []ArchivePart, done func(now time.Time, ok bool)) {
	request := CommitRequest{Preconditions: []Precondition{s.requireLeadership()}}
	for _, part := range parts {
		request.Preconditions = append(request.Preconditions, Precondition{Key: part.Key, ModRevision: part.ModRevision})
		request.Operations = append(request.Operations, Operation{Delete: part.Key})
	}
	s.sendArchiveCommit(outbox, request, func(now time.Time, r client.Result) { done(now, r.Status == http.StatusOK) })
}

func (s *Store) sendArchiveCommit(outbox *client.Outbox, request CommitRequest, done func(now time.Time, r client.Result)) {
	s.writeLimiter.Take(len(request.Operations))
	s.send(outbox, client.Call{Method: http.MethodPost, Path: commitPath, Timeout: commitTimeout, Body: request, Done: done})
}
