package simulator

import (
	"fmt"
	"strings"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/election"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/client"

	"github.com/vmihailenco/msgpack/v5"
)

// CheckLimits returns an error if a stored value exceeds 4096 bytes, the platform's limit.
func (s *StateService) CheckLimits() error {
	for k, v := range s.keys {
		if len(v.value) > 4096 {
			return fmt.Errorf("value of key %s has %d bytes, at most 4096 are allowed", k, len(v.value))
		}
	}
	return nil
}

// record returns a job's record from the stored pages, as a new leader would read it.
func (s *StateService) record(jobID string) (record jobs.Record, ok bool) {
	raw, ok := s.entry(jobID)
	return record, ok && msgpack.Unmarshal(raw, &record) == nil
}

// entry returns an entry from the stored pages.
func (s *StateService) entry(key string) (raw msgpack.RawMessage, ok bool) {
	for name, k := range s.keys {
		if !strings.HasPrefix(name, storage.PagePrefix) {
			continue
		}
		var page struct {
			Entries map[string]msgpack.RawMessage `msgpack:"e"`
		}
		if msgpack.Unmarshal(k.value, &page) == nil && page.Entries[key] != nil {
			return page.Entries[key], true
		}
	}
	return nil, false
}

// durableResults returns a function that reports whether the result of a task is durable, as a new leader would read it. It returns an
// error if the job is neither in a page nor archived.
func (s *StateService) durableResults(jobID string) (func(task int) bool, error) {
	record, ok := s.record(jobID)
	if !ok {
		if s.isArchived(jobID) {
			return func(int) bool { return true }, nil
		}
		return nil, fmt.Errorf("job %s is neither in a page nor archived", jobID)
	}
	job, err := jobs.FromRecord(jobID, record)
	if err != nil {
		return nil, err
	}
	return job.IsTaskDurable, nil
}

// isArchived reports whether the archive contains the job, as a new leader would read it.
func (s *StateService) isArchived(jobID string) bool {
	var outbox client.Outbox
	store := storage.New(storage.Options{WriteRate: 1}, 0, s.sim.Log)
	store.Load(&outbox)
	for calls := outbox.TakeCalls(); len(calls) > 0; calls = outbox.TakeCalls() {
		for _, call := range calls {
			call.Done(s.sim.Now, s.Exchange(call))
		}
	}
	finished, err := archive.New(store, archive.Options{WriteRate: 1, ReadRate: 1}, s.sim.Log)
	if err != nil {
		s.sim.reportViolation(RuleMalformed, "the archive cannot be read: %v", err)
		return false
	}
	return finished.LookupIndex(jobID) != archive.Absent
}

// archiveSegments counts the segments listed in the archive head and reports whether any of them was compacted.
func (s *StateService) archiveSegments() (count int, compacted bool) {
	if head := s.keys[storage.ArchiveHeadKey]; head != nil {
		var page struct {
			Entries map[string]msgpack.RawMessage `msgpack:"e"`
		}
		if msgpack.Unmarshal(head.value, &page) != nil {
			return 0, false
		}
		for name, encoded := range page.Entries {
			var record archive.SegmentRecord
			if name[0] == 'r' && msgpack.Unmarshal(encoded, &record) == nil {
				count++
				compacted = compacted || record.Level > 0
			}
		}
	}
	return count, compacted
}

// pageCount returns the number of stored pages.
func (s *StateService) pageCount() int { return s.Count(storage.PagePrefix) }

// leaderRevision returns the mod revision of the leader key, which is the fencing token. It is 0 if there is no leader.
func (s *StateService) leaderRevision() uint64 {
	if key := s.keys[election.LeaderKey]; key != nil {
		return key.modRevision
	}
	return 0
}

// leaderName returns the name of the controller that holds the leader key, empty if none does.
func (s *StateService) leaderName() string {
	key := s.keys[election.LeaderKey]
	if key == nil {
		return ""
	}
	var leader struct {
		Name string `msgpack:"name"`
	}
	if msgpack.Unmarshal(key.value, &leader) != nil {
		return ""
	}
	return leader.Name
}

// Revision returns the current revision. Each transaction increments it, and so does the end of a lease that has keys.
func (s *StateService) Revision() uint64 { return s.revision }

// Count returns the number of keys with a prefix.
func (s *StateService) Count(prefix string) int {
	n := 0
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}
