package storage

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// entryMove is an atomic change of several pages, which is made in one commit: either entries are removed from their pages and the
// archive's head changes, or entries move from a page that is split to new pages.
type entryMove struct {
	pages       []*page // pages that the commit writes
	removed     map[string]bool
	source      *page                         // page that is split, or nil
	targets     map[*page][]string            // new pages of the split with their entries
	headChanges map[string]msgpack.RawMessage // new entries of the archive's head; nil: the entry is deleted
	done        DoneFunc
}

// applyTo applies the move to the entries of one page that are written. current has the present value of every entry.
func (m *entryMove) applyTo(target *page, isHead bool, entries map[string]msgpack.RawMessage, current map[string]*entry) {
	switch names := m.targets[target]; {
	case isHead:
		m.applyToHead(entries)
	case names != nil:
		for _, name := range names {
			entries[name] = current[name].raw
		}
	default:
		for name := range entries {
			if m.removed[name] {
				delete(entries, name)
			}
		}
	}
}

func (m *entryMove) applyToHead(entries map[string]msgpack.RawMessage) {
	for name, raw := range m.headChanges {
		if raw == nil {
			delete(entries, name)
		} else {
			entries[name] = raw
		}
	}
}

// applyMove applies a move in memory. It must be durable: if its commit was not executed, the pages have to be written again as they
// were.
func (s *Store) applyMove(now time.Time, move *entryMove) {
	if move.source != nil {
		s.applySplit(now, move)
		return
	}
	for name := range move.removed {
		if e := s.pages.entries[name]; e != nil {
			s.pages.remove(name, e)
		}
	}
	head := s.archive.head
	for name, raw := range move.headChanges {
		if e := head.entries[name]; e != nil {
			head.size -= e.size
			delete(head.entries, name)
		}
		if raw != nil {
			head.add(name, raw)
		}
	}
}
