package archive

import (
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/client"
)

// garbageCollection is what of the archive is to be deleted.
type garbageCollection struct {
	segments  []*garbageSegment
	collected []uint64 // numbers of deleted segments that the head still names
}

// garbageSegment is a segment that counts no more, or never did.
type garbageSegment struct {
	number uint64
	inHead bool
	parts  []storage.ArchivePart // those that were listed last
}

func (g *garbageCollection) has(number uint64) bool {
	return slices.ContainsFunc(g.segments, func(segment *garbageSegment) bool { return segment.number == number })
}

// collectGarbage deletes the parts of a segment: they are listed with their revisions, deleted as they were listed, and listed again
// until there are none. The commits require the leadership, which keeps away what an earlier leader has sent, and the revisions, which
// keep away what this leader has sent before.
func (s *Store) collectGarbage(now time.Time, outbox *client.Outbox) {
	target := s.garbage.segments[0]
	if len(target.parts) == 0 {
		s.listGarbageParts(outbox, target, indexPrefix(target.number), func() {
			s.listGarbageParts(outbox, target, dataPrefix(target.number), func() { s.endCollection(target) })
		})
		return
	}
	n := min(s.availableWrites(now), len(target.parts))
	if n < 1 {
		return
	}
	s.calls.writeLimiter.Take(n)
	s.calls.inFlight = true
	s.storage.DeleteArchiveParts(outbox, target.parts[:n], func(now time.Time, ok bool) {
		if s.calls.end(now, ok) {
			target.parts = target.parts[n:]
		} else {
			target.parts = nil
		}
	})
}

// endCollection records that no part of a segment is left.
func (s *Store) endCollection(target *garbageSegment) {
	if target.inHead {
		s.garbage.collected = append(s.garbage.collected, target.number)
	}
	s.garbage.segments = s.garbage.segments[1:]
}

// listGarbageParts lists a segment's parts below a prefix. none is called if there are none.
func (s *Store) listGarbageParts(outbox *client.Outbox, target *garbageSegment, prefix string, none func()) {
	s.calls.inFlight = true
	s.storage.ListArchiveParts(outbox, prefix, "", func(now time.Time, list storage.ArchivePartList, ok bool) {
		if !s.calls.end(now, ok) {
			return
		}
		if target.parts = list.Parts; len(list.Parts) == 0 {
			none()
		}
	})
}
