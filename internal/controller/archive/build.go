package archive

import (
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/client"
)

// Tick does the next bit of what is due, one call at a time.
func (s *Store) Tick(now time.Time, box *client.Outbox) {
	if s.callInFlight || now.Before(s.retryAt) {
		return
	}
	switch {
	case s.building != nil:
		s.advanceBuild(now, box)
	case len(s.garbage) > 0:
		s.collectGarbage(now, box)
	case s.beginCompaction():
	case s.beginArchiving(now):
	case len(s.collected) > 0:
		s.removeCollectedFromHead(now)
	}
}

// recordCallResult books the answer to a call: whatever failed is tried again, ever more slowly.
func (s *Store) recordCallResult(now time.Time, ok bool) bool {
	s.callInFlight = false
	if ok {
		s.retryDelay = 0
		return true
	}
	s.retryDelay = min(max(2*s.retryDelay, 200*time.Millisecond), 10*time.Second)
	s.retryAt = now.Add(s.retryDelay)
	return false
}

// listAllParts reads all parts below a prefix.
func (s *Store) listAllParts(
	box *client.Outbox,
	prefix, from string,
	collected []storage.ArchivePart,
	done func(now time.Time, parts []storage.ArchivePart, ok bool),
) {
	s.storage.ListArchiveParts(box, prefix, from, func(now time.Time, parts []storage.ArchivePart, more, ok bool) {
		collected = append(collected, parts...)
		if ok && more && len(parts) > 0 {
			s.listAllParts(box, prefix, parts[len(parts)-1].Key, collected, done)
			return
		}
		done(now, collected, ok)
	})
}

// availableWrites is how many changes may be made now: a tenth of all at most, and none that somebody
// waits for has to stand behind.
func (s *Store) availableWrites(now time.Time) int {
	return min(s.writeLimiter.Available(now), s.storage.SpareWrites(now), s.options.TxnOps)
}

// collectGarbage removes a run's parts: they are listed with their marks, dropped as they were listed,
// and listed again until there are none. The ledger's guards keep away what an earlier leader
// has sent, and the marks what this one has.
func (s *Store) collectGarbage(now time.Time, box *client.Outbox) {
	target := s.garbage[0]
	if len(target.parts) == 0 {
		s.callInFlight = true
		s.listGarbageParts(box, target, indexPrefix(target.number), func(now time.Time) {
			s.callInFlight = true
			s.listGarbageParts(box, target, dataPrefix(target.number), func(time.Time) {
				if target.inHead {
					s.collected = append(s.collected, target.number)
				}
				s.garbage = s.garbage[1:]
			})
		})
		return
	}
	n := min(s.availableWrites(now), len(target.parts))
	if n < 1 {
		return
	}
	s.writeLimiter.Take(n)
	s.callInFlight = true
	s.storage.DeleteArchiveParts(box, target.parts[:n], func(now time.Time, ok bool) {
		if s.recordCallResult(now, ok) {
			target.parts = target.parts[n:]
		} else {
			target.parts = nil
		}
	})
}

func (s *Store) listGarbageParts(box *client.Outbox, target *garbageSegment, prefix string, none func(now time.Time)) {
	s.storage.ListArchiveParts(box, prefix, "", func(now time.Time, parts []storage.ArchivePart, _, ok bool) {
		if !s.recordCallResult(now, ok) {
			return
		}
		if target.parts = parts; len(parts) == 0 {
			none(now)
		}
	})
}

// maxSegments is how many entries of runs the head may have and still take those that a merge
// adds for a while.
func (s *Store) maxSegments() int {
	return max((s.options.ValueBytes-256)/64-s.options.CompactionFanIn-2, s.options.CompactionFanIn+2)
}

// beginCompaction picks runs of one level, the oldest first.
func (s *Store) beginCompaction() bool {
	byLevel := map[int][]*Segment{}
	levels := 0
	for _, r := range s.segments {
		byLevel[r.Level] = append(byLevel[r.Level], r)
		levels = max(levels, r.Level+1)
	}
	for level := range levels {
		list := byLevel[level]
		if len(list) < s.options.CompactionFanIn {
			continue
		}
		list = list[:s.options.CompactionFanIn]
		jobs := 0
		for _, r := range list {
			jobs += r.JobCount
		}
		if jobs > maxCompactedJobs && len(s.segments) < s.maxSegments()/2 {
			continue
		}
		s.log.Info("merging", "runs", len(list), "jobs", jobs, "into", s.nextNumber)
		s.building = &segmentBuild{sources: slices.Clone(list)}
		return true
	}
	return false
}

// beginArchiving picks finished jobs that have been so for a while.
func (s *Store) beginArchiving(now time.Time) bool {
	if now.Before(s.nextScanAt) || len(s.segments)+len(s.collected) >= s.maxSegments() {
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
	entries := make([]FinishedJob, 0, len(jobIDs))
	for _, id := range jobIDs {
		f, ok := s.options.FinalState(id)
		if !ok {
			s.log.Error("a job that is to be sealed is not final", "job", id)
			return false
		}
		entries = append(entries, FinishedJob{id, f})
	}
	segment, data, index, err := buildSegment(s.nextNumber, entries, s.options.ValueBytes-partOverhead)
	if err != nil {
		s.log.Error("finished jobs cannot be sealed", "error", err)
		return false
	}
	s.log.Info("sealing", "jobs", len(jobIDs), "run", s.nextNumber)
	s.building = &segmentBuild{jobIDs: jobIDs}
	s.building.setSegment(segment, data, index)
	return true
}

func (w *segmentBuild) setSegment(segment *Segment, data, index []string) {
	w.segment = segment
	for i, text := range data {
		w.unwrittenParts = append(w.unwrittenParts, storage.ArchivePart{Key: dataKey(segment.Number, i), Text: text})
	}
	for i, text := range index {
		w.unwrittenParts = append(w.unwrittenParts, storage.ArchivePart{Key: indexKey(segment.Number, i), Text: text})
	}
}

// advanceBuild takes the run under construction a step further: the data of the runs that are
// merged, the merge, the new parts, and last the commit that makes them count.
func (s *Store) advanceBuild(now time.Time, box *client.Outbox) {
	build := s.building
	switch {
	case build.segment != nil && len(build.unwrittenParts) > 0:
		s.writeParts(now, box)
	case build.segment != nil:
		s.commitSegment(now)
	case len(build.sourceData) < len(build.sources):
		if s.readLimiter.Available(now) < 1 {
			return
		}
		s.readLimiter.Take(1)
		s.callInFlight = true
		s.listAllParts(
			box,
			dataPrefix(build.sources[len(build.sourceData)].Number),
			"",
			nil,
			func(now time.Time, parts []storage.ArchivePart, ok bool) {
				if !s.recordCallResult(now, ok) {
					return
				}
				texts := make([]string, 0, len(parts))
				for _, p := range parts {
					texts = append(texts, p.Text)
				}
				build.sourceData = append(build.sourceData, texts)
			},
		)
	default:
		s.advanceCompaction(now)
	}
}

func (s *Store) advanceCompaction(now time.Time) {
	build := s.building
	fail := func(err error) {
		// Nothing is lost: the runs stay as they are.
		s.log.Error("runs cannot be merged", "error", err)
		s.building, s.retryAt = nil, now.Add(time.Minute)
	}
	if build.compaction == nil {
		level := 0
		build.compaction = &compaction{}
		for i, segment := range build.sources {
			reader, err := newSegmentReader(segment, build.sourceData[i])
			if err != nil {
				fail(err)
				return
			}
			build.compaction.sources = append(build.compaction.sources, reader)
			level = max(level, segment.Level+1)
		}
		build.compaction.builder = newSegmentBuilder(s.nextNumber, level, s.options.ValueBytes-partOverhead)
	}
	done, err := build.compaction.step(compactionKeysPerStep)
	if err != nil {
		fail(err)
		return
	}
	if !done {
		return
	}
	segment, data, index, err := build.compaction.builder.finish()
	if err != nil {
		fail(err)
		return
	}
	build.compaction, build.sourceData = nil, nil
	build.setSegment(segment, data, index)
}

func (s *Store) writeParts(now time.Time, box *client.Outbox) {
	build := s.building
	n, bytes, spare := 0, 0, s.availableWrites(now)
	for most := min(spare, len(build.unwrittenParts)); n < most && bytes+len(build.unwrittenParts[n].Text) < storage.MaxTxnBytes; n++ {
		bytes += len(build.unwrittenParts[n].Text) + partOverhead
	}
	if build.attemptedParts > 0 {
		n = build.attemptedParts // a failed try may be executed yet: the next one is the same
	}
	if n == 0 || n > spare {
		return
	}
	s.writeLimiter.Take(n)
	s.callInFlight = true
	build.attemptedParts = n
	s.storage.CreateArchiveParts(box, build.unwrittenParts[:n], func(now time.Time, ok bool) {
		if s.recordCallResult(now, ok) {
			build.unwrittenParts, build.attemptedParts = build.unwrittenParts[n:], 0
		}
	})
}

// commitSegment makes the run count: in one transaction the head names it and the jobs leave their
// pages, or the runs that were merged leave the head.
func (s *Store) commitSegment(now time.Time) {
	build := s.building
	head := map[string]any{segmentEntry(build.segment.Number): build.segment.record(), nextNumberEntry: s.nextNumber + 1}
	for _, r := range build.sources {
		head[segmentEntry(r.Number)] = nil
		head[garbageEntry(r.Number)] = r.record()
	}
	s.commitHead(now, build.jobIDs, head, func(now time.Time) {
		s.segments = append(slices.DeleteFunc(s.segments, func(r *Segment) bool { return slices.Contains(build.sources, r) }), build.segment)
		s.nextNumber++
		s.building = nil
		for _, r := range build.sources {
			s.garbage = append(s.garbage, &garbageSegment{number: r.Number, inHead: true})
		}
		if len(build.jobIDs) > 0 {
			s.options.OnArchived(build.jobIDs)
		}
		s.log.Info("sealed", "run", build.segment.Number, "level", build.segment.Level, "jobs", build.segment.JobCount, "runs", len(s.segments))
	})
}

// removeCollectedFromHead takes garbage that is gone out of the head.
func (s *Store) removeCollectedFromHead(now time.Time) { s.commitHead(now, nil, map[string]any{}, nil) }

// commitHead has a commit of the head made, once the budget allows it.
func (s *Store) commitHead(now time.Time, jobIDs []string, head map[string]any, done func(now time.Time)) {
	collected := len(s.collected)
	for _, n := range s.collected {
		head[garbageEntry(n)] = nil
	}
	cost := s.storage.CommitArchiveCost(jobIDs)
	if s.writeLimiter.Available(now) < cost {
		return
	}
	s.writeLimiter.Take(cost)
	s.callInFlight = true
	err := s.storage.CommitArchive(jobIDs, head, func(now time.Time, ok bool) {
		if !s.recordCallResult(now, ok) {
			return
		}
		s.collected = s.collected[collected:]
		if done != nil {
			done(now)
		}
	})
	if err != nil {
		s.log.Error("the history's head cannot be written", "error", err)
		s.recordCallResult(now, false)
	}
}
