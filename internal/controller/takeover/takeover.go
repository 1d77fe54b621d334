// Package takeover is what a new leader does before it places anything: the ledger is read into the
// book and the roster, and every machine that may hold tasks is accounted for. It owns the
// machines that are missing and the questions that are asked directly; these also find machines
// that fall silent later.
package takeover

import (
	"log/slog"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/book"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/leader/hearing"
	"gullrudder/internal/controller/leader/horizon"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/reports"
	"gullrudder/internal/controller/settings"
	"gullrudder/internal/controller/standing/floor"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/controller/workers/reach"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/outbox"
)

// Takeover is a leader's account of the machines.
type Takeover struct {
	cfg      *config.Platform
	log      *slog.Logger
	box      *outbox.Box
	token    uint64
	since    time.Time
	ledger   *ledger.Store
	book     *book.Store
	settings *settings.Settings
	fleet    *workers.Fleet
	cloud    *fleet.Cloud
	clerk    *reports.Clerk
	placer   *place.Placer
	floor    *floor.Book
	zones    *zones.Book
	reach    *reach.Book
	hearing  *hearing.Monitor
	horizon  *horizon.Limit

	first      bool               // the ledger was empty: nobody has led before
	built      bool               // the ledger has been taken over
	partly     bool               // machines are missing, and jobs of this leader start all the same
	nextHidden time.Time          // when it is seen anew what may run out of sight
	placing    bool               // every machine that may hold tasks is accounted for
	missing    []*workers.Machine // on the roster and not accounted for yet
	mayAsk     float64            // workers that may be asked directly now
	asking     int                // questions that are not answered yet
	nextDrop   time.Time
	sampled    int // where the next sample begins
	nextSample time.Time
	expected   int  // machines whose reports should come, their leases not being over
	overdue    int  // of these, those whose reports should have come
	refused    bool // a report was, since the ledger is not read
	ended      bool // the leadership: answers that are still to come change nothing
}

// World is what a takeover sees of its neighbours.
type World struct {
	Platform *config.Platform
	Token    uint64
	Since    time.Time
	Ledger   *ledger.Store
	Book     *book.Store
	Settings *settings.Settings
	Fleet    *workers.Fleet
	Cloud    *fleet.Cloud
	Clerk    *reports.Clerk
	Placer   *place.Placer
	Floor    *floor.Book
	Zones    *zones.Book
	Reach    *reach.Book
	Hearing  *hearing.Monitor // whether the workers reach this controller
	Horizon  *horizon.Limit   // which cancellations can be open that an earlier leader has confirmed
	Box      *outbox.Box
	Log      *slog.Logger
}

// New begins a takeover with nothing but the ledger to come.
func New(w World) *Takeover {
	return &Takeover{cfg: w.Platform, log: w.Log, box: w.Box, token: w.Token, since: w.Since, ledger: w.Ledger, book: w.Book,
		settings: w.Settings, fleet: w.Fleet, cloud: w.Cloud, clerk: w.Clerk, placer: w.Placer, floor: w.Floor, zones: w.Zones, reach: w.Reach, hearing: w.Hearing, horizon: w.Horizon}
}

// Close makes answers that are still to come harmless.
func (t *Takeover) Close() { t.ended = true }

// Built reports whether the ledger has been taken over.
func (t *Takeover) Built() bool { return t.built }

// Placing reports whether every machine that may hold tasks is accounted for.
func (t *Takeover) Placing() bool { return t.placing }

// Missing is how many machines are not accounted for yet.
func (t *Takeover) Missing() int { return len(t.missing) }

// Expected is how many machines should report to this leader: their leases are not over.
func (t *Takeover) Expected() int { return t.expected }

// Overdue is how many of these should have reported by now.
func (t *Takeover) Overdue() int { return t.overdue }

// First reports whether nobody has led before: the ledger was empty.
func (t *Takeover) First() bool { return t.first }

// MayRenew reports whether a report may be answered with 200 now. Before the ledger is read this keeps tasks alive whose
// cancellation this leader does not know of: only while their leases end in time all the same.
func (t *Takeover) MayRenew(now time.Time) bool {
	if t.built || now.Before(t.horizon.RenewUntil()) {
		return true
	}
	if !t.refused {
		t.refused = true
		t.log.Info("renews no leases before the ledger is read", "token", t.token)
	}
	return false
}

// Read takes the ledger over once it is loaded.
func (t *Takeover) Read(now time.Time) {
	if !t.built && t.ledger.IsLoaded() {
		t.build(now)
	}
}

// Tick asks what is to be asked; every is the time between two ticks.
func (t *Takeover) Tick(now time.Time, every time.Duration) {
	t.allowQuestions(every)
	t.askWanted(now)
	t.askSample(now)
	if !t.placing {
		t.account(now)
	}
	if !now.Before(t.nextDrop) {
		t.nextDrop = now.Add(500 * time.Millisecond)
		t.dropSilent(now)
	}
}

// build makes the jobs and the roster from the ledger.
func (t *Takeover) build(now time.Time) {
	if t.book.IsArchiveUnreadable() || !t.book.OpenArchive() {
		return
	}
	type chunk struct {
		name, id string
		c        int
		v        jobs.Chunk
	}
	var chunks []chunk
	t.ledger.ForEach(func(name string, decode func(any) error) {
		if id, ok := strings.CutPrefix(name, reports.RosterPrefix); ok {
			t.enlist(id, decode)
			return
		}
		if name == settings.EntryName {
			t.settings.Restore(decode)
			return
		}
		if name == floor.EntryName {
			if err := t.floor.Restore(now, decode, t.ledger); err != nil {
				t.log.Error("what was served cannot be read", "error", err)
			}
			return
		}
		if id, c, ok := jobs.ChunkOf(name); ok {
			var v jobs.Chunk
			if err := decode(&v); err != nil {
				t.log.Error("task results cannot be read", "entry", name, "error", err)
				return
			}
			chunks = append(chunks, chunk{name, id, c, v})
			return
		}
		t.book.RestoreJob(now, t.since, t.horizon.CompletedBefore(), name, decode)
	})
	for _, c := range chunks {
		t.book.RestoreChunk(now, c.name, c.id, c.c, c.v)
	}
	t.book.FinishRestore(now)
	for _, m := range t.fleet.Sorted() {
		if m.Rostered {
			t.missing = append(t.missing, m)
		}
	}
	t.built = true
	t.placer.Changed()
	t.first = len(t.book.Unfinished)+t.book.FinishedCount()+len(t.fleet.Machines) == 0
	t.log.Info("ledger taken over", "token", t.token, "jobs", len(t.book.Unfinished), "finals", t.book.FinishedCount()-t.book.Archive().JobCount(),
		"sealed", t.book.Archive().JobCount(), "runs", t.book.Archive().SegmentCount(), "machines", len(t.fleet.Machines),
		"after", now.Sub(t.since).Round(time.Millisecond))
	t.account(now)
}

// enlist takes in a machine of the roster.
func (t *Takeover) enlist(id string, decode func(any) error) {
	var e reports.RosterEntry
	if err := decode(&e); err != nil {
		t.log.Error("a roster entry cannot be read", "machine", id, "error", err)
	}
	m := t.fleet.Machine(id)
	m.Rostered, m.Addr = true, e.Addr
	if m.Answered.IsZero() {
		m.Answered = t.since
	}
	if m.Heard.IsZero() {
		m.Heard = t.since
	}
}

// account begins to place once every machine on the roster is accounted for. It asks
// the workers directly: the empty command raises their token, so that nothing of an
// earlier leader is executed any more, and its answer is their report.
func (t *Takeover) account(now time.Time) {
	still := t.missing[:0]
	for _, m := range t.missing {
		if !m.Rostered || m.Accounted || t.cloud.Dead(m.ID) || t.fleet.Expired(now, m) {
			continue
		}
		still = append(still, m)
	}
	t.missing = still
	for _, m := range t.missing {
		// A machine that has just got its first answer reports again at once.
		if m.Answered.Equal(t.since) || now.Sub(m.Answered) > askAgain {
			t.ask(now, m)
		}
	}
	t.startPartly(now)
	if len(t.missing) == 0 {
		t.placing = true
		t.placer.Changed()
		t.log.Info("placing begins", "token", t.token, "after", now.Sub(t.since).Round(time.Millisecond))
	}
}
