package fairshare

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
)

// EntryName is the ledger's entry that keeps what was served: without it a leader that is new in a
// shortage would begin with nobody served, and let those wait that were left behind before.
const EntryName = "f:served"

const (
	// saveInterval is how often it is written at most. It goes with commits that are made anyway.
	saveInterval = 5 * time.Second
	// maxSavedGroups are written: those with the most jobs, fewer if a page does not hold them. recordReserve is the room that they need.
	maxSavedGroups = 24
	recordBytes    = 2200
	maxNameBytes   = 40
)

type savedState struct {
	SavedAt int64        `msgpack:"t" json:"t"` // ms since 1970
	Groups  []savedGroup `msgpack:"g" json:"g"`
}

type savedGroup struct {
	IsTeam    bool    `msgpack:"t,omitempty" json:"t,omitempty"`
	Name      string  `msgpack:"n" json:"n"`
	Done      float64 `msgpack:"d" json:"d"`
	IsLargest bool    `msgpack:"l,omitempty" json:"l,omitempty"`
}

// recordSize is the room that the record has in its page.
func recordSize(store *storage.Store) int { return min(recordBytes, store.MaxEntryBytes(EntryName)) }

// Save writes down what was served, if that has changed and it is time.
func (b *Allocator) Save(now time.Time, store *storage.Store, log *slog.Logger) {
	if !b.dirty || now.Before(b.nextSave) || !store.IsHealthy() {
		return
	}
	b.dirty, b.nextSave = false, now.Add(saveInterval)
	state := savedState{SavedAt: now.UnixMilli()}
	for g, count := range b.served {
		// Names are the platform's, and of no use for telling a class if they are cut.
		if done := count.decayTo(now, b.policy.Window); done >= 0.01 && len(g.Name) <= maxNameBytes {
			state.Groups = append(state.Groups, savedGroup{g.IsTeam, g.Name, float64(int(done*100)) / 100, g.IsLargest})
		}
	}
	slices.SortFunc(state.Groups, func(x, y savedGroup) int { return cmp.Or(cmp.Compare(y.Done, x.Done), cmp.Compare(x.Name, y.Name)) })
	size := recordSize(store)
	state.Groups = state.Groups[:min(len(state.Groups), maxSavedGroups*size/recordBytes)]
	if err := store.Set(now, EntryName, state, size, false, nil); err != nil {
		log.Error("what was served cannot be noted", "error", err)
	}
}

// Restore takes over what an earlier leader has written down.
func (b *Allocator) Restore(now time.Time, decode func(any) error, store *storage.Store) error {
	var state savedState
	if err := decode(&state); err != nil {
		return err
	}
	store.Reserve(EntryName, recordSize(store))
	savedAt := time.UnixMilli(state.SavedAt)
	if savedAt.After(now) {
		savedAt = now // the clocks of two controllers differ
	}
	for _, group := range state.Groups {
		b.served[Group{group.IsTeam, group.Name, group.IsLargest}] = &decayingCount{count: group.Done, updatedAt: savedAt}
	}
	return nil
}
