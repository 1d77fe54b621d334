package archive

import (
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

const (
	// scanInterval is the minimum time between two searches of the pages for finished jobs.
	scanInterval = time.Second
	// maxCompactedJobs is the maximum number of jobs in a compacted segment, which limits the size of a compaction. It is ignored once the
	// head has half of its maximum number of segments.
	maxCompactedJobs = 1 << 17
	// compactionKeysPerStep is the maximum number of keys that a compaction merges in one step. Such a step takes about half a millisecond.
	compactionKeysPerStep = 2000
	// compactionRetryDelay is the delay after a compaction that failed because a segment cannot be decoded.
	compactionRetryDelay = time.Minute

	headReservedBytes = 256 // JSON bytes of the head that are not available for segment entries
	maxHeadEntryBytes = 64  // maximum size of an entry of the head in JSON bytes
)

// segmentBuild is a segment under construction. Its parts are not valid until the head has an entry for the segment. The commit that adds
// this entry also removes the jobs from their pages, or the compacted segments from the head.
type segmentBuild struct {
	jobIDs         []string   // jobs to archive; empty for a compaction
	sources        []*Segment // segments to compact; empty when jobs are archived
	sourceData     [][]string // texts of the data parts of the sources that have been read, in the same order
	compaction     *compaction
	segment        *Segment // the result; nil until it is complete
	unwrittenParts []storage.ArchivePart
	attemptedParts int // number of parts in the last transaction; 0 once it succeeded
}

// complete records the resulting segment. The data parts are written before the index parts.
func (b *segmentBuild) complete(result builtSegment) {
	b.segment = result.segment
	for i, text := range result.data {
		b.unwrittenParts = append(b.unwrittenParts, storage.ArchivePart{Key: dataPartKey(b.segment.Number, i), Text: text})
	}
	for i, text := range result.index {
		b.unwrittenParts = append(b.unwrittenParts, storage.ArchivePart{Key: indexPartKey(b.segment.Number, i), Text: text})
	}
}

func (s *Store) maxPartBytes() int { return s.options.MaxValueBytes - partOverhead }

// maxSegments returns the maximum number of segments in the head. It leaves space for the entries that a compaction adds temporarily.
func (s *Store) maxSegments() int {
	return max((s.options.MaxValueBytes-headReservedBytes)/maxHeadEntryBytes-s.options.CompactionFanIn-2, s.options.CompactionFanIn+2)
}

// beginCompaction starts a compaction of the oldest segments of a level that has enough of them. It returns false if no level has.
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
		jobCount := 0
		for _, segment := range sources {
			jobCount += segment.JobCount
		}
		if jobCount > maxCompactedJobs && len(s.segments) < s.maxSegments()/2 {
			continue
		}
		s.log.Info("compaction started", logkeys.Segment, s.nextNumber, logkeys.Level, level+1, logkeys.Count, jobCount)
		s.building = &segmentBuild{sources: slices.Clone(sources)}
		return true
	}
	return false
}

// beginArchiving chooses finished jobs to archive and builds their segment. It returns false if there are not enough jobs, the head is
// full, or the segment cannot be built.
func (s *Store) beginArchiving(now time.Time) bool {
	if now.Before(s.nextScanAt) || len(s.segments)+len(s.garbage.collected) >= s.maxSegments() {
		return false
	}
	s.nextScanAt = now.Add(scanInterval)
	jobIDs := s.storage.ArchivableEntries(func(id string) bool {
		_, ok := jobKey(id)
		return ok && s.options.CanArchive(now, id)
	})
	if len(jobIDs) < s.options.MinSegmentJobs {
		return false
	}
	finishedJobs := make([]finishedJob, 0, len(jobIDs))
	for _, id := range jobIDs {
		state, ok := s.options.FinalState(id)
		if !ok {
			s.log.Error("job to be archived is not finished", logkeys.Job, id)
			return false
		}
		finishedJobs = append(finishedJobs, finishedJob{id, state})
	}
	result, err := buildSegment(s.nextNumber, finishedJobs, s.maxPartBytes())
	if err != nil {
		s.log.Error("archiving failed", logkeys.Segment, s.nextNumber, logkeys.Err, err)
		return false
	}
	s.log.Info("archiving started", logkeys.Segment, s.nextNumber, logkeys.Count, len(jobIDs))
	s.building = &segmentBuild{jobIDs: jobIDs}
	s.building.complete(result)
	return true
}

// advanceBuild performs the next step of the segment under construction. The steps are: read the data of the sources, merge them, write
// the new parts, and commit the segment.
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

// readSource reads the data of the next source of a compaction, if the read budget allows it.
func (s *Store) readSource(now time.Time, outbox *client.Outbox) {
	if s.calls.readLimiter.Available(now) < 1 {
		return
	}
	s.calls.readLimiter.Take(1)
	s.calls.inFlight = true
	build := s.building
	prefix := dataPrefix(build.sources[len(build.sourceData)].Number)
	s.listAllTexts(outbox, prefix, "", []string{}, func(now time.Time, texts []string, ok bool) {
		if s.calls.recordResult(now, ok) {
			build.sourceData = append(build.sourceData, texts)
		}
	})
}

// listAllTexts reads all parts with a key prefix, beginning after afterKey, and appends their texts to texts.
func (s *Store) listAllTexts(
	outbox *client.Outbox, prefix, afterKey string, texts []string, done func(now time.Time, texts []string, ok bool),
) {
	s.storage.ListArchiveParts(outbox, prefix, afterKey, func(now time.Time, list storage.ArchivePartList, ok bool) {
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

// advanceCompaction merges the next keys. If that fails, the build is discarded, the sources stay valid, and the next attempt follows after
// compactionRetryDelay.
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

// writeParts writes as many parts as one transaction and the write budget allow. A failed transaction may still be executed, so its retry
// has the same parts.
func (s *Store) writeParts(now time.Time, outbox *client.Outbox) {
	build := s.building
	n, bytes, available := 0, 0, s.availableWrites(now)
	for limit := min(available, len(build.unwrittenParts)); n < limit; n++ {
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
		if s.calls.recordResult(now, ok) {
			build.unwrittenParts, build.attemptedParts = build.unwrittenParts[n:], 0
		}
	})
}

// commitSegment makes the segment valid. One transaction adds it to the head, and removes the jobs from their pages or the compacted
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

// endBuild adds a committed segment in memory, and makes its sources garbage.
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
