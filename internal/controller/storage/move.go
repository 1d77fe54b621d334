package storage

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// entryMove is an atomic change of several pages in one commit. There are two kinds: archiving removes entries from their pages and changes
// the archive's head, and a split moves entries from a page to new pages.
type entryMove struct {
	pages       []*page // pages that the commit writes
	removed     map[string]bool
	source      *page                         // page that is split; nil for archiving
	targets     map[*page][]string            // new pages of the split with the names of their entries
	headChanges map[string]msgpack.RawMessage // new values of entries of the archive's head; nil deletes the entry
	done        DoneFunc
}

// applyTo applies the move to the entries that a commit writes for one page. current has the current value of every entry.
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

// applyMove applies a move to the pages in memory. It must be called only once the move is durable: after a commit that was not executed,
// the unchanged pages must be written again.
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
