package fairshare

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
)

// EntryName is the storage entry with the counts of done jobs. Without it, a leader elected during a shortage would know of
// no done job in any group, and the groups that were served least before would have to wait again.
const EntryName = "f:served"

const (
	// saveInterval is the minimum time between two writes, which share a commit with other changes.
	saveInterval = 5 * time.Second
	// maxSavedGroups bounds the saved groups to those with the most done jobs. Fewer are saved if the storage page has less
	// space.
	maxSavedGroups = 24
	// maxEntryBytes is the maximum size of an entry with maxSavedGroups groups.
	maxEntryBytes = 2200
	// maxNameBytes bounds the names of saved groups. Groups with longer names are not saved.
	maxNameBytes = 40
)

// savedState is the stored form of the counts.
type savedState struct {
	SavedAt int64        `msgpack:"t" json:"t"` // ms since 1970
	Groups  []savedGroup `msgpack:"g" json:"g"`
}

// savedGroup is the stored form of one group's count.
type savedGroup struct {
	IsTeam    bool    `msgpack:"t,omitempty" json:"t,omitempty"`
	Name      string  `msgpack:"n"           json:"n"`
	Done      float64 `msgpack:"d"           json:"d"`
	IsLargest bool    `msgpack:"l,omitempty" json:"l,omitempty"`
}

// entryBytes returns the space that is reserved for the entry in its storage page.
func entryBytes(store *storage.Store) int { return min(maxEntryBytes, store.MaxEntryBytes(EntryName)) }

// Save writes the counts to storage if they have changed, storage is healthy, and the last write was at least saveInterval
// ago. An error is logged; the counts are then saved after their next change.
func (a *Allocator) Save(now time.Time, store *storage.Store, log *slog.Logger) {
	if !a.isChanged || now.Before(a.nextSave) || !store.IsHealthy() {
		return
	}
	a.isChanged, a.nextSave = false, now.Add(saveInterval)
	size := entryBytes(store)
	state := savedState{SavedAt: now.UnixMilli(), Groups: a.groupsToSave(now)}
	state.Groups = state.Groups[:min(len(state.Groups), maxSavedGroups*size/maxEntryBytes)]
	if err := store.Set(now, EntryName, state, storage.SetOptions{ReservedBytes: size}); err != nil {
		log.Error("served counts not saved", logkeys.Err, err)
	}
}

// groupsToSave returns the groups that can be saved, those with the most done jobs first.
func (a *Allocator) groupsToSave(now time.Time) []savedGroup {
	var groups []savedGroup
	for group, count := range a.done {
		done := count.decayTo(now, a.policy.Window)
		if done >= minListedCount && len(group.Name) <= maxNameBytes {
			groups = append(groups, savedGroup{group.IsTeam, group.Name, float64(int(done*100)) / 100, group.IsLargest})
		}
	}
	slices.SortFunc(groups, func(x, y savedGroup) int {
		return cmp.Or(cmp.Compare(y.Done, x.Done), cmp.Compare(x.Name, y.Name))
	})
	return groups
}

// Restore sets the counts that an earlier leader saved, and reserves the entry's space in storage. decode decodes the
// entry's value into its argument.
func (a *Allocator) Restore(now time.Time, decode func(any) error, store *storage.Store) error {
	var state savedState
	if err := decode(&state); err != nil {
		return fmt.Errorf("decode %s: %w", EntryName, err)
	}
	store.Reserve(EntryName, entryBytes(store))
	savedAt := time.UnixMilli(state.SavedAt)
	if savedAt.After(now) {
		savedAt = now // the clocks of two controllers differ
	}
	for _, group := range state.Groups {
		a.done[Group{group.IsTeam, group.Name, group.IsLargest}] = &decayingCount{count: group.Done, updatedAt: savedAt}
	}
	return nil
}
