package archive

import (
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

const (
	// scanInterval is the time between two searches of the pages for finished jobs.
	scanInterval = time.Second
	// maxCompactedJobs bounds the jobs of a compacted segment while the head has space for segments, and with it the size of a
	// compaction.
	maxCompactedJobs = 1 << 17
	// compactionKeysPerStep bounds the keys that a compaction merges in one step, which takes about half a millisecond.
	compactionKeysPerStep = 2000
	// compactionRetryDelay is the delay after a compaction that failed because a segment cannot be decoded.
	compactionRetryDelay = time.Minute

	headReserve    = 256 // JSON bytes of the head that are not used for segments
	headEntryBytes = 64  // limit of an entry of the head in JSON bytes
)

// segmentBuild is the segment under construction. Its parts are not valid until the head has an entry for the segment. The commit that
// adds this entry also removes the jobs from their pages, or the compacted segments from the head.
type segmentBuild struct {
	jobIDs         []string   // jobs that are archived; empty for a compaction
	sources        []*Segment // segments that are compacted
	sourceData     [][]string // data of the first sources, as far as it was read
	compaction     *compaction
	segment        *Segment // the result; nil until it is complete
	unwrittenParts []storage.ArchivePart
	attemptedParts int // number of parts in the last transaction, if it failed
}

// complete records the result. The parts are written in this order: data, then index.
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

// maxSegments returns the limit of segments in the head, which leaves space for the entries that a compaction adds temporarily.
func (s *Store) maxSegments() int {
	return max((s.options.MaxValueBytes-headReserve)/headEntryBytes-s.options.CompactionFanIn-2, s.options.CompactionFanIn+2)
}

// beginCompaction chooses segments of one level to compact, the oldest first. It returns false if there are not enough.
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

// beginArchiving chooses finished jobs to archive and builds their segment. It returns false if there are not enough.
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
	jobs := make([]finishedJob, 0, len(jobIDs))
	for _, id := range jobIDs {
		state, ok := s.options.FinalState(id)
		if !ok {
			s.log.Error("job to be archived is not finished", logkeys.Job, id)
			return false
		}
		jobs = append(jobs, finishedJob{id, state})
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

// advanceBuild does the next step of the segment under construction: read the data of the compacted segments, merge them, write the new
// parts, and commit the segment.
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

// readSource reads the data of the next source of a compaction.
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

// listAllTexts reads all parts with a key prefix after the key from, and appends their texts to texts.
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

// advanceCompaction merges the next keys. If it fails, the sources stay as they are and it is tried again later.
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

// writeParts writes as many parts as one transaction and the budget allow. A failed try may still be executed, so its retry has the same
// parts.
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

// commitSegment makes the segment valid: one transaction adds it to the head, and removes the jobs from their pages or the compacted
// segments from the head.
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

// endBuild records that the commit of a segment was executed.
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
