package failover

import (
	"strings"
	"time"

	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/heartbeat"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/logkeys"
)

// chunkEntry is an entry of persistent state with the results of some tasks of a job. Chunks are restored after all jobs.
type chunkEntry struct {
	key   string
	jobID string
	index int
	chunk jobs.Chunk
}

// LoadState restores jobs and registered machines once the persistent state is loaded and the archive can be read. The controller
// calls it at every tick. It has no effect once StateLoaded is true.
func (r *Reconciler) LoadState(now time.Time) {
	if r.progress.stateLoaded || !r.stores.Storage.IsLoaded() {
		return
	}
	if r.stores.Jobs.IsArchiveUnreadable() || !r.stores.Jobs.OpenArchive() {
		return
	}
	r.restoreEntries(now)
	r.collectUnreconciled()
	r.progress.stateLoaded = true
	r.placer.InvalidateOrder()
	r.progress.isFirstLeader = len(r.stores.Jobs.Unfinished)+r.stores.Jobs.FinishedCount()+len(r.workers.Machines) == 0
	r.logStateLoaded(now)
	r.reconcileMachines(now)
}

// restoreEntries restores each entry of persistent state to the component that owns it.
func (r *Reconciler) restoreEntries(now time.Time) {
	var chunks []chunkEntry
	r.stores.Storage.ForEach(func(key string, decode func(any) error) {
		if chunk, ok := r.restoreEntry(now, key, decode); ok {
			chunks = append(chunks, chunk)
		}
	})
	for _, entry := range chunks {
		r.stores.Jobs.RestoreChunk(now, entry.key, entry.jobID, entry.index, entry.chunk)
	}
	r.stores.Jobs.FinishRestore(now)
}

// restoreEntry restores one entry of persistent state. A chunk of task results is returned instead, since its job may not be
// restored yet. An entry that cannot be decoded is logged.
func (r *Reconciler) restoreEntry(now time.Time, key string, decode func(any) error) (entry chunkEntry, isChunk bool) {
	if machineID, ok := strings.CutPrefix(key, heartbeat.MachineKeyPrefix); ok {
		r.restoreMachine(machineID, decode)
		return chunkEntry{}, false
	}
	switch key {
	case dynamicconfig.EntryName:
		r.stores.DynamicConfig.Restore(decode)
		return chunkEntry{}, false
	case fairshare.EntryName:
		if err := r.stores.FairShare.Restore(now, decode, r.stores.Storage); err != nil {
			r.log.Error("fair-share record unreadable", logkeys.Err, err)
		}
		return chunkEntry{}, false
	}
	if jobID, index, ok := jobs.ParseChunkName(key); ok {
		entry := chunkEntry{key: key, jobID: jobID, index: index}
		if err := decode(&entry.chunk); err != nil {
			r.log.Error("task results unreadable", logkeys.Key, key, logkeys.Err, err)
			return chunkEntry{}, false
		}
		return entry, true
	}
	r.stores.Jobs.RestoreJob(now, r.electedAt, r.renewalLimit.CompletedBefore(), key, decode)
	return chunkEntry{}, false
}

// restoreMachine restores a machine that an earlier leader registered. If the machine has had no contact since the election, its lease
// counts from the election, since the earlier leader may have renewed it just before. A machine whose record cannot be decoded is
// restored without an address.
func (r *Reconciler) restoreMachine(machineID string, decode func(any) error) {
	var record heartbeat.MachineRecord
	if err := decode(&record); err != nil {
		r.log.Error("machine record unreadable", logkeys.Machine, machineID, logkeys.Err, err)
	}
	machine := r.workers.GetOrAdd(machineID)
	machine.Registered, machine.Addr = true, record.Addr
	if machine.LeaseRenewedAt.IsZero() {
		machine.LeaseRenewedAt = r.electedAt
	}
	if machine.LastContactAt.IsZero() {
		machine.LastContactAt = r.electedAt
	}
}

// collectUnreconciled adds the registered machines to the list of unreconciled ones, since they may run tasks of an earlier leader.
func (r *Reconciler) collectUnreconciled() {
	for _, machine := range r.workers.SortedMachines() {
		if machine.Registered {
			r.unreconciled = append(r.unreconciled, machine)
		}
	}
}

func (r *Reconciler) logStateLoaded(now time.Time) {
	archive := r.stores.Jobs.Archive()
	r.log.Info("state loaded",
		logkeys.FencingToken, r.fencingToken,
		logkeys.UnfinishedJobs, len(r.stores.Jobs.Unfinished),
		logkeys.FinishedJobs, r.stores.Jobs.FinishedCount()-archive.JobCount(),
		logkeys.ArchivedJobs, archive.JobCount(),
		logkeys.Segments, archive.SegmentCount(),
		logkeys.Machines, len(r.workers.Machines),
		logkeys.Duration, r.sinceElection(now))
}
