package floor

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"gullrudder/internal/controller/ledger"
)

// EntryName is the ledger's entry that keeps what was served: without it a leader that is new in a
// shortage would begin with nobody served, and let those wait that were left behind before.
const EntryName = "f:served"

const (
	// saveEvery is how often it is written at most. It goes with commits that are made anyway.
	saveEvery = 5 * time.Second
	// mostGroups are written: those with the most jobs, fewer if a page does not hold them. recordReserve is the room that they need.
	mostGroups    = 24
	recordReserve = 2200
	longestName   = 40
)

type record struct {
	At     int64 `msgpack:"t" json:"t"` // ms since 1970
	Groups []row `msgpack:"g" json:"g"`
}

type row struct {
	Team    bool    `msgpack:"t,omitempty" json:"t,omitempty"`
	Name    string  `msgpack:"n" json:"n"`
	Done    float64 `msgpack:"d" json:"d"`
	Largest bool    `msgpack:"l,omitempty" json:"l,omitempty"`
}

// reserve is the room that the record has in its page.
func reserve(led *ledger.Store) int { return min(recordReserve, led.MaxEntryBytes(EntryName)) }

// Save writes down what was served, if that has changed and it is time.
func (b *Book) Save(now time.Time, led *ledger.Store, log *slog.Logger) {
	if !b.dirty || now.Before(b.saveAt) || !led.IsHealthy() {
		return
	}
	b.dirty, b.saveAt = false, now.Add(saveEvery)
	rec := record{At: now.UnixMilli()}
	for g, t := range b.served {
		// Names are the platform's, and of no use for telling a class if they are cut.
		if d := t.upTo(now, b.terms.Window); d >= 0.01 && len(g.Name) <= longestName {
			rec.Groups = append(rec.Groups, row{g.Team, g.Name, float64(int(d*100)) / 100, g.Largest})
		}
	}
	slices.SortFunc(rec.Groups, func(x, y row) int { return cmp.Or(cmp.Compare(y.Done, x.Done), cmp.Compare(x.Name, y.Name)) })
	room := reserve(led)
	rec.Groups = rec.Groups[:min(len(rec.Groups), mostGroups*room/recordReserve)]
	if err := led.Set(now, EntryName, rec, room, false, nil); err != nil {
		log.Error("what was served cannot be noted", "error", err)
	}
}

// Restore takes over what an earlier leader has written down.
func (b *Book) Restore(now time.Time, decode func(any) error, led *ledger.Store) error {
	var rec record
	if err := decode(&rec); err != nil {
		return err
	}
	led.Reserve(EntryName, reserve(led))
	at := time.UnixMilli(rec.At)
	if at.After(now) {
		at = now // the clocks of two controllers differ
	}
	for _, r := range rec.Groups {
		b.served[Group{r.Team, r.Name, r.Largest}] = &tally{done: r.Done, at: at}
	}
	return nil
}
