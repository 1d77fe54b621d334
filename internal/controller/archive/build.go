package archive

import (
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/client"
)

// Tick does the next bit of what is due, one call at a time.
func (k *Store) Tick(now time.Time, box *client.Outbox) {
	if k.callInFlight || now.Before(k.retryAt) {
		return
	}
	switch {
	case k.building != nil:
		k.advanceBuild(now, box)
	case len(k.garbage) > 0:
		k.collectGarbage(now, box)
	case k.beginCompaction():
	case k.beginArchiving(now):
	case len(k.collected) > 0:
		k.removeCollectedFromHead(now)
	}
}

// recordCallResult books the answer to a call: whatever failed is tried again, ever more slowly.
func (k *Store) recordCallResult(now time.Time, ok bool) bool {
	k.callInFlight = false
	if ok {
		k.retryDelay = 0
		return true
	}
	k.retryDelay = min(max(2*k.retryDelay, 200*time.Millisecond), 10*time.Second)
	k.retryAt = now.Add(k.retryDelay)
	return false
}

// listAllParts reads all parts below a prefix.
func (k *Store) listAllParts(
	box *client.Outbox,
	prefix, from string,
	collected []storage.ArchivePart,
	done func(now time.Time, parts []storage.ArchivePart, ok bool),
) {
	k.storage.ListArchiveParts(box, prefix, from, func(now time.Time, parts []storage.ArchivePart, more, ok bool) {
		collected = append(collected, parts...)
		if ok && more && len(parts) > 0 {
			k.listAllParts(box, prefix, parts[len(parts)-1].Key, collected, done)
			return
		}
		done(now, collected, ok)
	})
}

// availableWrites is how many changes may be made now: a tenth of all at most, and none that somebody
// waits for has to stand behind.
func (k *Store) availableWrites(now time.Time) int {
	return min(k.writeLimiter.Available(now), k.storage.SpareWrites(now), k.options.TxnOps)
}

// collectGarbage removes a run's parts: they are listed with their marks, dropped as they were listed,
// and listed again until there are none. The ledger's guards keep away what an earlier leader
// has sent, and the marks what this one has.
func (k *Store) collectGarbage(now time.Time, box *client.Outbox) {
	target := k.garbage[0]
	if len(target.parts) == 0 {
		k.callInFlight = true
		k.listGarbageParts(box, target, indexPrefix(target.number), func(now time.Time) {
			k.callInFlight = true
			k.listGarbageParts(box, target, dataPrefix(target.number), func(time.Time) {
				if target.inHead {
					k.collected = append(k.collected, target.number)
				}
				k.garbage = k.garbage[1:]
			})
		})
		return
	}
	n := min(k.availableWrites(now), len(target.parts))
	if n < 1 {
		return
	}
	k.writeLimiter.Take(n)
	k.callInFlight = true
	k.storage.DeleteArchiveParts(box, target.parts[:n], func(now time.Time, ok bool) {
		if k.recordCallResult(now, ok) {
			target.parts = target.parts[n:]
		} else {
			target.parts = nil
		}
	})
}

func (k *Store) listGarbageParts(box *client.Outbox, target *garbageSegment, prefix string, none func(now time.Time)) {
	k.storage.ListArchiveParts(box, prefix, "", func(now time.Time, parts []storage.ArchivePart, _, ok bool) {
		if !k.recordCallResult(now, ok) {
			return
		}
		if target.parts = parts; len(parts) == 0 {
			none(now)
		}
	})
}

// maxSegments is how many entries of runs the head may have and still take those that a merge
// adds for a while.
func (k *Store) maxSegments() int {
	return max((k.options.ValueBytes-256)/64-k.options.CompactionFanIn-2, k.options.CompactionFanIn+2)
}

// beginCompaction picks runs of one level, the oldest first.
func (k *Store) beginCompaction() bool {
	byLevel := map[int][]*Segment{}
	levels := 0
	for _, r := range k.segments {
		byLevel[r.Level] = append(byLevel[r.Level], r)
		levels = max(levels, r.Level+1)
	}
	for level := range levels {
		list := byLevel[level]
		if len(list) < k.options.CompactionFanIn {
			continue
		}
		list = list[:k.options.CompactionFanIn]
		jobs := 0
		for _, r := range list {
			jobs += r.JobCount
		}
		if jobs > maxCompactedJobs && len(k.segments) < k.maxSegments()/2 {
			continue
		}
		k.log.Info("merging", "runs", len(list), "jobs", jobs, "into", k.nextNumber)
		k.building = &segmentBuild{sources: slices.Clone(list)}
		return true
	}
	return false
}

// beginArchiving picks finished jobs that have been so for a while.
func (k *Store) beginArchiving(now time.Time) bool {
	if now.Before(k.nextScanAt) || len(k.segments)+len(k.collected) >= k.maxSegments() {
		return false
	}
	k.nextScanAt = now.Add(scanInterval)
	jobIDs := k.storage.ArchivableEntries(func(id string) bool {
		_, ok := keyOf(id)
		return ok && k.options.CanArchive(now, id)
	})
	if len(jobIDs) < k.options.MinSegmentJobs {
		return false
	}
	entries := make([]FinishedJob, 0, len(jobIDs))
	for _, id := range jobIDs {
		f, ok := k.options.FinalState(id)
		if !ok {
			k.log.Error("a job that is to be sealed is not final", "job", id)
			return false
		}
		entries = append(entries, FinishedJob{id, f})
	}
	segment, data, index, err := buildSegment(k.nextNumber, entries, k.options.ValueBytes-partOverhead)
	if err != nil {
		k.log.Error("finished jobs cannot be sealed", "error", err)
		return false
	}
	k.log.Info("sealing", "jobs", len(jobIDs), "run", k.nextNumber)
	k.building = &segmentBuild{jobIDs: jobIDs}
	k.building.setSegment(segment, data, index)
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
func (k *Store) advanceBuild(now time.Time, box *client.Outbox) {
	build := k.building
	switch {
	case build.segment != nil && len(build.unwrittenParts) > 0:
		k.writeParts(now, box)
	case build.segment != nil:
		k.commitSegment(now)
	case len(build.sourceData) < len(build.sources):
		if k.readLimiter.Available(now) < 1 {
			return
		}
		k.readLimiter.Take(1)
		k.callInFlight = true
		k.listAllParts(
			box,
			dataPrefix(build.sources[len(build.sourceData)].Number),
			"",
			nil,
			func(now time.Time, parts []storage.ArchivePart, ok bool) {
				if !k.recordCallResult(now, ok) {
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
		k.advanceCompaction(now)
	}
}

func (k *Store) advanceCompaction(now time.Time) {
	build := k.building
	fail := func(err error) {
		// Nothing is lost: the runs stay as they are.
		k.log.Error("runs cannot be merged", "error", err)
		k.building, k.retryAt = nil, now.Add(time.Minute)
	}
	if build.compaction == nil {
		level := 0
		build.compaction = &compaction{}
		for i, segment := range build.sources {
			s, err := newSegmentReader(segment, build.sourceData[i])
			if err != nil {
				fail(err)
				return
			}
			build.compaction.sources = append(build.compaction.sources, s)
			level = max(level, segment.Level+1)
		}
		build.compaction.builder = newSegmentBuilder(k.nextNumber, level, k.options.ValueBytes-partOverhead)
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

func (k *Store) writeParts(now time.Time, box *client.Outbox) {
	build := k.building
	n, bytes, spare := 0, 0, k.availableWrites(now)
	for most := min(spare, len(build.unwrittenParts)); n < most && bytes+len(build.unwrittenParts[n].Text) < storage.MaxTxnBytes; n++ {
		bytes += len(build.unwrittenParts[n].Text) + partOverhead
	}
	if build.attemptedParts > 0 {
		n = build.attemptedParts // a failed try may be executed yet: the next one is the same
	}
	if n == 0 || n > spare {
		return
	}
	k.writeLimiter.Take(n)
	k.callInFlight = true
	build.attemptedParts = n
	k.storage.CreateArchiveParts(box, build.unwrittenParts[:n], func(now time.Time, ok bool) {
		if k.recordCallResult(now, ok) {
			build.unwrittenParts, build.attemptedParts = build.unwrittenParts[n:], 0
		}
	})
}

// commitSegment makes the run count: in one transaction the head names it and the jobs leave their
// pages, or the runs that were merged leave the head.
func (k *Store) commitSegment(now time.Time) {
	build := k.building
	head := map[string]any{segmentEntry(build.segment.Number): build.segment.record(), nextNumberEntry: k.nextNumber + 1}
	for _, r := range build.sources {
		head[segmentEntry(r.Number)] = nil
		head[garbageEntry(r.Number)] = r.record()
	}
	k.commitHead(now, build.jobIDs, head, func(now time.Time) {
		k.segments = append(slices.DeleteFunc(k.segments, func(r *Segment) bool { return slices.Contains(build.sources, r) }), build.segment)
		k.nextNumber++
		k.building = nil
		for _, r := range build.sources {
			k.garbage = append(k.garbage, &garbageSegment{number: r.Number, inHead: true})
		}
		if len(build.jobIDs) > 0 {
			k.options.OnArchived(build.jobIDs)
		}
		k.log.Info("sealed", "run", build.segment.Number, "level", build.segment.Level, "jobs", build.segment.JobCount, "runs", len(k.segments))
	})
}

// removeCollectedFromHead takes garbage that is gone out of the head.
func (k *Store) removeCollectedFromHead(now time.Time) { k.commitHead(now, nil, map[string]any{}, nil) }

// commitHead has a commit of the head made, once the budget allows it.
func (k *Store) commitHead(now time.Time, jobIDs []string, head map[string]any, done func(now time.Time)) {
	collected := len(k.collected)
	for _, n := range k.collected {
		head[garbageEntry(n)] = nil
	}
	cost := k.storage.CommitArchiveCost(jobIDs)
	if k.writeLimiter.Available(now) < cost {
		return
	}
	k.writeLimiter.Take(cost)
	k.callInFlight = true
	err := k.storage.CommitArchive(jobIDs, head, func(now time.Time, ok bool) {
		if !k.recordCallResult(now, ok) {
			return
		}
		k.collected = k.collected[collected:]
		if done != nil {
			done(now)
		}
	})
	if err != nil {
		k.log.Error("the history's head cannot be written", "error", err)
		k.recordCallResult(now, false)
	}
}
