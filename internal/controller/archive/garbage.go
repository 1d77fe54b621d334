package archive

import (
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/client"
)

// garbageCollection tracks the deletion of parts that belong to no valid segment.
type garbageCollection struct {
	segments  []*garbageSegment // segments whose parts must be deleted
	collected []uint64          // numbers of segments without parts whose garbage entries must be removed from the head
}

// garbageSegment is a segment that is no longer valid, or that never became valid.
type garbageSegment struct {
	number uint64
	inHead bool                  // the head has a garbage entry for it
	parts  []storage.ArchivePart // parts that were listed and are not deleted yet
}

func (g *garbageCollection) has(number uint64) bool {
	return slices.ContainsFunc(g.segments, func(segment *garbageSegment) bool { return segment.number == number })
}

// collectGarbage performs the next step of deleting a segment's parts. The parts are listed with their revisions, deleted at these
// revisions, and listed again until there are none. A deletion has preconditions on the revisions of the leader's key and of the parts. The
// precondition on the leader's key rejects delayed deletions of an earlier leader. Those on the parts reject delayed deletions of this
// leader.
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
		if s.calls.recordResult(now, ok) {
			target.parts = target.parts[n:]
		} else {
			target.parts = nil
		}
	})
}

// endCollection records that a segment has no parts left.
func (s *Store) endCollection(target *garbageSegment) {
	if target.inHead {
		s.garbage.collected = append(s.garbage.collected, target.number)
	}
	s.garbage.segments = s.garbage.segments[1:]
}

// listGarbageParts lists the parts of a segment with a key prefix. It calls onEmpty if there are no parts.
func (s *Store) listGarbageParts(outbox *client.Outbox, target *garbageSegment, prefix string, onEmpty func()) {
	s.calls.inFlight = true
	s.storage.ListArchiveParts(outbox, prefix, "", func(now time.Time, list storage.ArchivePartList, ok bool) {
		if !s.calls.recordResult(now, ok) {
			return
		}
		if target.parts = list.Parts; len(list.Parts) == 0 {
			onEmpty()
		}
	})
}
