package storage

import (
	"fmt"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// Where the history of finished jobs is kept: the head, which names its runs, and their index
// are read at a takeover; their data only when somebody asks.
const (
	archivePrefix      = "history/"
	ArchiveHeadKey     = archivePrefix + "head"
	ArchiveIndexPrefix = archivePrefix + "i/"
	ArchiveDataPrefix  = "results/"
)

// A version that does not know the history would call its jobs unknown. It cannot read a page
// whose value is no map, and answers nobody as long as it has not read them all.
const (
	formatKey     = PagePrefix + "~format"
	formatVersion = "history 1"
)

func checkFormat(raw msgpack.RawMessage) error {
	var text string
	if err := msgpack.Unmarshal(raw, &text); err != nil || text != formatVersion {
		return fmt.Errorf("the ledger was written by a newer version: format %q, this one knows %q", text, formatVersion)
	}
	return nil
}

// ArchivePart is one value of the history. Mark is set in those that were read.
type ArchivePart struct {
	Key, Text   string
	ModRevision uint64
}

type archivePartValue struct {
	Text string `msgpack:"p"`
}

type keyValue struct {
	Key         string             `msgpack:"path"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"mark"`
}

// maxListedKeys is how many values are asked for at a time; the state service cuts an answer off at
// 512 KiB.
const maxListedKeys = 60

func (s *Store) listKeys(
	box *client.Outbox,
	prefix, from string,
	after, timeout time.Duration,
	done func(now time.Time, rows []keyValue, more bool, status int),
) {
	query := url.Values{"starts": {prefix}, "most": {strconv.Itoa(maxListedKeys)}}
	if from != "" {
		query.Set("from", from)
	}
	s.call(box, client.Call{
		Method: "GET", Path: "/keys?" + query.Encode(), Delay: after, Timeout: timeout,
		Done: func(now time.Time, r client.Result) {
			var a struct {
				Entries []keyValue `msgpack:"entries"`
				More    bool       `msgpack:"has_next"`
			}
			if r.Status == 200 {
				if err := codec.Unmarshal(r.Body, &a); err != nil {
					if !s.loggedUnreadable {
						s.loggedUnreadable = true
						s.log.Error("a list of the state service cannot be read, and is asked for again", "prefix", prefix, "error", err)
					}
					r.Status = 0
				}
			}
			done(now, a.Entries, a.More, r.Status)
		},
	})
}

func (s *Store) installArchiveKey(row keyValue) error {
	if row.Key == ArchiveHeadKey {
		var value pageValue
		if err := msgpack.Unmarshal(row.Value, &value); err != nil {
			return err
		}
		s.archiveHead.modRevision = row.ModRevision
		s.addEntries(s.archiveHead, value)
		return nil
	}
	var value archivePartValue
	if err := msgpack.Unmarshal(row.Value, &value); err != nil {
		return err
	}
	s.archiveIndex[row.Key] = value.Text
	return nil
}

func pageKey(n int) string { return fmt.Sprintf("%s%06d", PagePrefix, n) }

// ArchiveHeadNames lists the entries of the history's head.
func (s *Store) ArchiveHeadNames() []string {
	names := make([]string, 0, len(s.archiveHead.entries))
	for name := range s.archiveHead.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ArchiveHeadEntry reads an entry of the history's head.
func (s *Store) ArchiveHeadEntry(name string, v any) error {
	e := s.archiveHead.entries[name]
	if e == nil {
		return fmt.Errorf("the history's head has no entry %q", name)
	}
	if err := msgpack.Unmarshal(e.raw, v); err != nil {
		return fmt.Errorf("entry %q of the history's head: %w", name, err)
	}
	return nil
}

// TakeArchiveIndex gives the parts of the index that were loaded, by key, and lets go of them.
func (s *Store) TakeArchiveIndex() map[string]string {
	index := s.archiveIndex
	s.archiveIndex = nil
	return index
}

// ReadArchivePart reads one part of the history.
func (s *Store) ReadArchivePart(box *client.Outbox, key string, timeout time.Duration, done func(now time.Time, text string, status int)) {
	s.call(box, client.Call{Method: "GET", Path: "/keys/" + key, Timeout: timeout, Done: func(now time.Time, r client.Result) {
		var a struct {
			Value archivePartValue `msgpack:"value"`
		}
		if r.Status == 200 && codec.Unmarshal(r.Body, &a) != nil {
			r.Status = 0
		}
		done(now, a.Value.Text, r.Status)
	}})
}

// ListArchiveParts reads the parts below a prefix, as many as one answer holds.
func (s *Store) ListArchiveParts(box *client.Outbox, prefix, from string, done func(now time.Time, parts []ArchivePart, more, ok bool)) {
	s.listKeys(box, prefix, from, 0, 2*time.Second, func(now time.Time, rows []keyValue, more bool, status int) {
		var parts []ArchivePart
		for _, r := range rows {
			var v archivePartValue
			if msgpack.Unmarshal(r.Value, &v) != nil {
				status = 0
			}
			parts = append(parts, ArchivePart{r.Key, v.Text, r.ModRevision})
		}
		done(now, parts, more, status == 200)
	})
}

// SetFinished says that an entry belongs to a finished job: it may leave for the history.
func (s *Store) SetFinished(name string) {
	if e := s.entries[name]; e != nil && !e.finished {
		e.finished = true
		e.page.finishedSize += e.size
	}
}

// SpareWrites is how many changes may be made by what nobody waits for: half of the budget stays
// with what somebody does.
func (s *Store) SpareWrites(now time.Time) int {
	return max(s.writeLimiter.Available(now)-int(s.options.WriteRate/2), 0)
}

// ArchivableEntries lists finished jobs of the few pages that hold the most of them, as many pages as
// one transaction can write beside the head.
func (s *Store) ArchivableEntries(ready func(name string) bool) []string {
	var pages []*page
	if s.hasStaleCopies() {
		return nil
	}
	for _, p := range s.pages {
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
	var names []string
	bytes, count := s.options.ValueBytes, 0
	for _, p := range pages {
		if bytes+p.size > MaxTxnBytes || count+2 >= s.options.TxnOps {
			break
		}
		before := len(names)
		for name, e := range p.entries {
			if e.finished && ready(name) {
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

// entryMove is what leaves the pages, and what the head says of it, in one commit.
type entryMove struct {
	pages       []*page
	removed     map[string]bool
	source      *page                         // a page that is split
	targets     map[*page][]string            // and which of its entries go where
	headChanges map[string]msgpack.RawMessage // nil: the entry goes
	done        func(now time.Time, ok bool)
}

func (m *entryMove) applyTo(target *page, isHead bool, entries map[string]msgpack.RawMessage, current map[string]*entry) {
	for _, name := range m.targets[target] {
		entries[name] = current[name].raw
	}
	if !isHead && m.targets[target] == nil {
		for name := range entries {
			if m.removed[name] {
				delete(entries, name)
			}
		}
		return
	}
	if !isHead {
		return
	}
	for name, raw := range m.headChanges {
		if raw == nil {
			delete(entries, name)
		} else {
			entries[name] = raw
		}
	}
}

// applyMove makes the move in memory too, once it is durable and not before: if its commit is not
// executed, the pages have to be written as they were.
func (s *Store) applyMove(now time.Time, move *entryMove) {
	if move.source != nil {
		s.applySplit(now, move)
		return
	}
	for name := range move.removed {
		if e := s.entries[name]; e != nil {
			s.removeEntry(name, e)
		}
	}
	for name, raw := range move.headChanges {
		if e := s.archiveHead.entries[name]; e != nil {
			s.archiveHead.size -= e.size
			delete(s.archiveHead.entries, name)
		}
		if raw != nil {
			e := &entry{raw: raw, size: codec.JSONSize(raw) + len(name) + entryFrame, page: s.archiveHead}
			s.archiveHead.entries[name] = e
			s.archiveHead.size += e.size
		}
	}
}

func (s *Store) pagesHolding(names []string) []*page {
	var pages []*page
	seen := map[*page]bool{}
	for _, name := range names {
		if e := s.entries[name]; e != nil && !seen[e.page] {
			seen[e.page] = true
			pages = append(pages, e.page)
		}
	}
	sort.Slice(pages, func(i, j int) bool { return pages[i].key < pages[j].key })
	return pages
}

// CommitArchiveCost is how many changes a Move of these entries makes.
func (s *Store) CommitArchiveCost(names []string) int { return len(s.pagesHolding(names)) + 1 }

// CommitArchive takes entries out of their pages and changes the history's head, in one commit. It goes
// with the next one that has room for it beside what somebody waits for, or by itself if nobody
// does. then is called once the outcome is certain, with true if the commit was executed. There
// is one at a time.
func (s *Store) CommitArchive(removed []string, headChanges map[string]any, done func(now time.Time, ok bool)) error {
	move := &entryMove{removed: map[string]bool{}, headChanges: map[string]msgpack.RawMessage{}, done: done}
	for _, name := range removed {
		move.removed[name] = true
	}
	for name, v := range headChanges {
		if v == nil {
			move.headChanges[name] = nil
			continue
		}
		raw, err := codec.Marshal(v)
		if err != nil {
			return fmt.Errorf("entry %s of the history's head: %w", name, err)
		}
		move.headChanges[name] = raw
	}
	move.pages = append(s.pagesHolding(removed), s.archiveHead)
	s.pendingMove = move
	return nil
}

// joinPendingMove adds the move that waits to the pages of a commit, if there is room for it and budget
// that nobody else needs.
func (s *Store) joinPendingMove(now time.Time, chosen []*page) ([]*page, *entryMove) {
	move := s.pendingMove
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
	if s.archiveHead.modRevision == 0 {
		writes++ // the mark of the format
	}
	if writes > s.options.TxnOps || bytes > MaxTxnBytes || len(all) > len(chosen) && s.SpareWrites(now) < writes {
		return chosen, nil
	}
	s.pendingMove = nil
	return all, move
}

// CreateArchiveParts writes new parts of the history. It goes beside the commits of the pages, since it
// touches none of them; the leader's key is guarded as in all commits, and no part may be there
// yet. After an unknown outcome the first part is read back. It speaks for all of them, so the
// parts of a try have to be the same as those of the try before, if that one failed.
func (s *Store) CreateArchiveParts(box *client.Outbox, parts []ArchivePart, done func(now time.Time, ok bool)) {
	guards := []any{map[string]any{"path": s.options.LeaderKey, "mark": s.fencingToken}}
	var apply []any
	for _, p := range parts {
		guards = append(guards, map[string]any{"path": p.Key, "mark": 0})
		apply = append(apply, map[string]any{"write": p.Key, "value": archivePartValue{p.Text}})
	}
	s.sendArchiveCommit(box, guards, apply, func(now time.Time, r client.Result) {
		if r.Status == 200 || !r.IsUncertain() && r.Status != 409 {
			done(now, r.Status == 200)
			return
		}
		refused := r.Status == 409
		s.ReadArchivePart(box, parts[0].Key, time.Second, func(now time.Time, text string, status int) {
			switch {
			case status == 200 && text == parts[0].Text:
				done(now, true) // an earlier try was executed late
			case refused && (status == 200 || status == 404):
				s.commitFenced(len(parts))
			default:
				done(now, false)
			}
		})
	})
}

// DeleteArchiveParts removes parts that were read, and only as they were read: a Discard that is executed late
// finds other marks. If it fails, they have to be read again.
func (s *Store) DeleteArchiveParts(box *client.Outbox, parts []ArchivePart, done func(now time.Time, ok bool)) {
	guards := []any{map[string]any{"path": s.options.LeaderKey, "mark": s.fencingToken}}
	var apply []any
	for _, p := range parts {
		guards = append(guards, map[string]any{"path": p.Key, "mark": p.ModRevision})
		apply = append(apply, map[string]any{"drop": p.Key})
	}
	s.sendArchiveCommit(box, guards, apply, func(now time.Time, r client.Result) { done(now, r.Status == 200) })
}

func (s *Store) sendArchiveCommit(box *client.Outbox, guards, apply []any, done func(now time.Time, r client.Result)) {
	s.writeLimiter.Take(len(apply))
	s.call(box, client.Call{
		Method: "POST", Path: "/commit", Timeout: 1500 * time.Millisecond,
		Body: map[string]any{"guards": guards, "apply": apply}, Done: done,
	})
}
