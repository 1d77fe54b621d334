package jobstore

import (
	"fmt"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/archive"
	"gullrudder/internal/logkeys"
)

// archiveShare is the share of the state service's rate limits that the archive may use.
const archiveShare = 0.1

// archiveState is the archive and the outcome of OpenArchive.
type archiveState struct {
	store      *archive.Store // nil until OpenArchive
	unreadable bool
}

// Archive returns the archive of the finished jobs that are no longer in the pages. It is nil until OpenArchive succeeds.
func (s *Store) Archive() *archive.Store { return s.archive.store }

// IsArchiveUnreadable reports whether OpenArchive has failed. No request may be answered in that case.
func (s *Store) IsArchiveUnreadable() bool { return s.archive.unreadable }

// SetOptions applies changed options to the archive. It does nothing before OpenArchive.
func (s *Store) SetOptions(options config.Options) {
	if s.archive.store != nil {
		s.archive.store.SetThresholds(options.MinSegmentJobs, options.CompactionFanIn)
	}
}

// OpenArchive opens the archive that the storage has loaded. It logs an error and returns false if the archive cannot be decoded. Some
// accepted jobs are then unknown. Since an accepted job must never be reported as unknown, no request may be answered.
func (s *Store) OpenArchive() bool {
	store, err := archive.New(s.storage, archive.Options{
		MaxValueBytes:     s.platform.MaxValueBytes,
		MaxTransactionOps: s.platform.MaxTransactionOps,
		WriteRate:         s.platform.StateWriteRate * archiveShare,
		ReadRate:          s.platform.StateRequestRate * archiveShare,
		MinSegmentJobs:    s.options.MinSegmentJobs,
		CompactionFanIn:   s.options.CompactionFanIn,
		CanArchive:        s.canArchive,
		FinalState:        s.FinalState,
		OnArchived:        s.forgetArchived,
	}, s.log)
	if err != nil {
		s.archive.unreadable = true
		s.log.Error("archive unreadable", logkeys.Err, fmt.Errorf("open archive: %w", err))
		return false
	}
	s.archive.store = store
	return true
}

// canArchive reports whether a job finished at least ArchiveDelay ago. Users usually read the result within this time.
func (s *Store) canArchive(now time.Time, id string) bool {
	finished, ok := s.finished[id]
	return ok && now.Sub(finished.finishedAt) >= s.options.ArchiveDelay
}

func (s *Store) forgetArchived(ids []string) {
	for _, id := range ids {
		delete(s.finished, id)
	}
}
