package jobstore

import (
	"fmt"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/archive"
	"gullrudder/internal/logkeys"
)

// archiveShare is the share of the state service's limits that the archive may use.
const archiveShare = 0.1

// archiveState is the archive of finished jobs, once it is open.
type archiveState struct {
	store      *archive.Store // nil until OpenArchive
	unreadable bool
}

// Archive returns the archive of the finished jobs that are no longer in the pages. It is nil until OpenArchive.
func (s *Store) Archive() *archive.Store { return s.archive.store }

// IsArchiveUnreadable reports whether OpenArchive has failed. Then no request may be answered.
func (s *Store) IsArchiveUnreadable() bool { return s.archive.unreadable }

// SetOptions changes the options of the archive.
func (s *Store) SetOptions(options config.Options) {
	if s.archive.store != nil {
		s.archive.store.SetThresholds(options.MinSegmentJobs, options.CompactionFanIn)
	}
}

// OpenArchive opens the archive that the storage has loaded, and reports whether that succeeded. Without the archive the accepted jobs
// are not all known, and no request may be answered: an accepted job must not be reported as unknown.
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

// canArchive reports whether a job has been finished for ArchiveDelay, in which its user has usually read the result.
func (s *Store) canArchive(now time.Time, id string) bool {
	finished, ok := s.finished[id]
	return ok && now.Sub(finished.finishedAt) >= s.options.ArchiveDelay
}

func (s *Store) forgetArchived(ids []string) {
	for _, id := range ids {
		delete(s.finished, id)
	}
}
