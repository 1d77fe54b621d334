package archive

import (
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

const (
	// scanInterval is how often the pages are searched for finished jobs.
	scanInterval = time.Second
	// maxCompactedJobs is how many jobs a compacted segment may hold as long as the head has space for segments. Larger ones are
	// not compacted again, which bounds what a compaction has to write.
	maxCompactedJobs = 1 << 17
	// compactionKeysPerStep is how many keys a compaction takes in one step: about half a millisecond.
	compactionKeysPerStep = 2000
	// compactionRetryDelay is how long to wait after a compaction that failed because a segment cannot be read.
	compactionRetryDelay = time.Minute

	headReserve    = 256 // JSON bytes of the head that are not for segments
	headEntryBytes = 64  // JSON bytes that an entry of the head takes at most
)

// segmentBuild is the segment under construction. Its parts count for nothing until the head names the segment, in the same commit in
// which the jobs leave their pages or the compacted segments leave the head.
type segmentBuild struct {
	jobIDs         []string   // jobs that are archived, none for a compaction
	sources        []*Segment // segments that are compacted
	sourceData     [][]string // their data, as far as it has been read
	compaction     *compaction
	segment        *Segment // the result, once it is known
	unwrittenParts []storage.ArchivePart
	attemptedParts int // how many of them went out together in a try that failed
}

// complete records the result with the texts of its data and its index, in the order in which they are written.
func (b *segmentBuild) complete(result builtSegment) {
	b.segment = result.segment
	for i, text := range result.data {
		b.unwrittenParts = append(b.unwrittenParts, storage.ArchivePart{Key: dataKey(b.segment.Number, i), Text: text})
	}
	for i, text := range result.index {
		b.unwrittenParts = append(b.unwrittenParts, storage.ArchivePart{Key: indexKey(b.segment.Number, i), Text: text})
	}
}

func (s *Store) maxPartBytes() int { return s.options.MaxValueBytes - partOverhead }

// maxSegments is how many segments the head may name and still take those that a compaction adds for a while.
func (s *Store) maxSegments() int {
	return max((s.options.MaxValueBytes-headReserve)/headEntryBytes-s.options.CompactionFanIn-2, s.options.CompactionFanIn+2)
}

// beginCompaction picks segments of one level, the oldest first. It reports whether there is something to compact.
func (s *Store) beginCompaction() bool {
	byLevel := map[int][]*Segment{}
	levels := 0
	for _, segment := range s.segments {
		byLevel[segment.Level] = append(byLevel[segment.Level], segment)
		levels = max(levels, segment.Level+1)
	}
	for level := range levels {
		sources := byLevel[level]
		if len(sources) < s.options.CompactionFanIn {
			continue
		}
		sources = sources[:s.options.CompactionFanIn]
		jobs := 0
		for _, segment := range sources {
			jobs += segment.JobCount
		}
		if jobs > maxCompactedJobs && len(s.segments) < s.maxSegments()/2 {
			continue
		}
		s.log.Info("compaction started", logkeys.Segment, s.nextNumber, logkeys.Level, level+1, logkeys.Count, jobs)
		s.building = &segmentBuild{sources: slices.Clone(sources)}
		return true
	}
	return false
}

// beginArchiving picks jobs that have been finished for a while. It reports whether there are enough.
func (s *Store) beginArchiving(now time.Time) bool {
	if now.Before(s.nextScanAt) || len(s.segments)+len(s.garbage.collected) >= s.maxSegments() {
		return false
	}
	s.nextScanAt = now.Add(scanInterval)
	jobIDs := s.storage.ArchivableEntries(func(id string) bool {
		_, ok := keyOf(id)
		return ok && s.options.CanArchive(now, id)
	})
	if len(jobIDs) < s.options.MinSegmentJobs {
		return false
	}
	jobs := make([]FinishedJob, 0, len(jobIDs))
	for _, id := range jobIDs {
		state, ok := s.options.FinalState(id)
		if !ok {
			s.log.Error("job to be archived is not finished", logkeys.Job, id)
			return false
		}
		jobs = append(jobs, FinishedJob{id, state})
	}
	result, err := buildSegment(s.nextNumber, jobs, s.maxPartBytes())
	if err != nil {
		s.log.Error("archiving failed", logkeys.Segment, s.nextNumber, logkeys.Err, err)
		return false
	}
	s.log.Info("archiving started", logkeys.Segment, s.nextNumber, logkeys.Count, len(jobIDs))
	s.building = &segmentBuild{jobIDs: jobIDs}
	s.building.complete(result)
	return true
}

// advanceBuild takes the segment under construction a step further: the data of the segments that are compacted, the compaction, the
// new parts, and last the commit that makes them count.
func (s *Store) advanceBuild(now time.Time, outbox *client.Outbox) {
	build := s.building
	switch {
	case build.segment != nil && len(build.unwrittenParts) > 0:
		s.writeParts(now, outbox)
	case build.segment != nil:
		s.commitSegment(now)
	case len(build.sourceData) < len(build.sources):
		s.readSource(now, outbox)
	default:
		s.advanceCompaction(now)
	}
}

// readSource reads the data of the next segment that is compacted.
func (s *Store) readSource(now time.Time, outbox *client.Outbox) {
	if s.calls.readLimiter.Available(now) < 1 {
		return
	}
	s.calls.readLimiter.Take(1)
	s.calls.inFlight = true
	build := s.building
	prefix := dataPrefix(build.sources[len(build.sourceData)].Number)
	s.listAllTexts(outbox, prefix, "", []string{}, func(now time.Time, texts []string, ok bool) {
		if s.calls.end(now, ok) {
			build.sourceData = append(build.sourceData, texts)
		}
	})
}

// listAllTexts appends the texts of all parts below a prefix to texts, from a key on.
func (s *Store) listAllTexts(
	outbox *client.Outbox, prefix, from string, texts []string, done func(now time.Time, texts []string, ok bool),
) {
	s.storage.ListArchiveParts(outbox, prefix, from, func(now time.Time, list storage.ArchivePartList, ok bool) {
		for _, part := range list.Parts {
			texts = append(texts, part.Text)
		}
		if ok && list.HasMore && len(list.Parts) > 0 {
			s.listAllTexts(outbox, prefix, list.Parts[len(list.Parts)-1].Key, texts, done)
			return
		}
		done(now, texts, ok)
	})
}

// advanceCompaction merges the next keys. If it fails nothing is lost: the segments stay as they are.
func (s *Store) advanceCompaction(now time.Time) {
	result, done, err := s.stepCompaction()
	if err != nil {
		s.log.Error("compaction failed", logkeys.Segment, s.nextNumber, logkeys.Err, err)
		s.building, s.calls.retryAt = nil, now.Add(compactionRetryDelay)
		return
	}
	if done {
		s.building.compaction, s.building.sourceData = nil, nil
		s.building.complete(result)
	}
}

func (s *Store) stepCompaction() (result builtSegment, done bool, err error) {
	build := s.building
	if build.compaction == nil {
		if build.compaction, err = newCompaction(s.nextNumber, build.sources, build.sourceData, s.maxPartBytes()); err != nil {
			return builtSegment{}, false, err
		}
	}
	if done, err = build.compaction.step(compactionKeysPerStep); err != nil || !done {
		return builtSegment{}, false, err
	}
	result, err = build.compaction.builder.finish()
	return result, err == nil, err
}

// writeParts writes as many parts as one transaction and the budget allow. A try that failed may still be executed, so the next one is
// the same.
func (s *Store) writeParts(now time.Time, outbox *client.Outbox) {
	build := s.building
	n, bytes, available := 0, 0, s.availableWrites(now)
	for most := min(available, len(build.unwrittenParts)); n < most; n++ {
		text := build.unwrittenParts[n].Text
		if bytes+len(text) >= storage.MaxTransactionBytes {
			break
		}
		bytes += len(text) + partOverhead
	}
	if build.attemptedParts > 0 {
		n = build.attemptedParts
	}
	if n == 0 || n > available {
		return
	}
	s.calls.writeLimiter.Take(n)
	s.calls.inFlight = true
	build.attemptedParts = n
	s.storage.CreateArchiveParts(outbox, build.unwrittenParts[:n], func(now time.Time, ok bool) {
		if s.calls.end(now, ok) {
			build.unwrittenParts, build.attemptedParts = build.unwrittenParts[n:], 0
		}
	})
}

// commitSegment makes the segment count: in one transaction the head names it and the jobs leave their pages, or the segments that
// were compacted leave the head.
func (s *Store) commitSegment(now time.Time) {
	build := s.building
	changes := []storage.HeadChange{
		{Name: segmentEntry(build.segment.Number), Value: build.segment.record()},
		{Name: nextNumberEntry, Value: s.nextNumber + 1},
	}
	for _, source := range build.sources {
		changes = append(changes,
			storage.HeadChange{Name: segmentEntry(source.Number)},
			storage.HeadChange{Name: garbageEntry(source.Number), Value: source.record()})
	}
	s.commitHead(now, build.jobIDs, changes, func() { s.endBuild(build) })
}

// endBuild records that a segment counts.
func (s *Store) endBuild(build *segmentBuild) {
	isSource := func(segment *Segment) bool { return slices.Contains(build.sources, segment) }
	s.segments = append(slices.DeleteFunc(s.segments, isSource), build.segment)
	s.nextNumber++
	s.building = nil
	for _, source := range build.sources {
		s.garbage.segments = append(s.garbage.segments, &garbageSegment{number: source.Number, inHead: true})
	}
	if len(build.jobIDs) > 0 {
		s.options.OnArchived(build.jobIDs)
	}
	s.log.Info("segment committed",
		logkeys.Segment, build.segment.Number, logkeys.Level, build.segment.Level, logkeys.Count, build.segment.JobCount)
}
