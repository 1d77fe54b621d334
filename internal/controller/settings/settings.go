// Package settings keeps the operators' options that count: the controller's own file, or what was
// applied while the controllers ran, which the ledger keeps. It owns them and their record of
// changes; everybody else only reads them.
package settings

import (
	"log/slog"
	"math"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/packed"
)

// Settings are a leader's.
type Settings struct {
	file    config.Options // the controller's own
	now     config.Options // those that count
	entry   *entry         // those that were applied, with their record
	saving  bool           // others are on their way into the ledger
	log     *slog.Logger
	out     *inbox.Answers
	ledger  *ledger.Store
	changed func(config.Options)
}

// New makes the settings of a new leadership.
func New(file config.Options, led *ledger.Store, out *inbox.Answers, log *slog.Logger) *Settings {
	return &Settings{file: file, now: file, log: log, out: out, ledger: led, changed: func(config.Options) {}}
}

// Options are those that count. They change in place.
func (s *Settings) Options() *config.Options { return &s.now }

// OnChange names who is to know of other options.
func (s *Settings) OnChange(f func(config.Options)) { s.changed = f }

// Settings that were applied while the controllers run are an entry of the ledger: whoever leads
// has the same, and a restart changes nothing. Without one, each controller's own file counts.
const EntryName = "s:options"

const (
	// mostSettings bounds the text that is kept, mostChanges the record of who changed what.
	mostSettings = 1 << 10
	mostChanges  = 12
	longestWho   = 60
	// settingsReserve is what the entry may come to need at most; a page of the state service may hold less.
	settingsReserve = 3000
)

type entry struct {
	Text    string   `msgpack:"x" json:"x"`
	Version int      `msgpack:"v" json:"v"`
	Changes []Change `msgpack:"c" json:"c"`
}

func (e *entry) size() int {
	raw, err := packed.Marshal(e)
	if err != nil {
		return math.MaxInt
	}
	return packed.JSONSize(raw)
}

// add puts a change first; the oldest go once there are too many, or no room is left for them.
func (e *entry) add(c Change, room int) {
	e.Changes = append([]Change{c}, e.Changes...)
	e.Changes = e.Changes[:min(len(e.Changes), mostChanges)]
	for len(e.Changes) > 1 && e.size() > room {
		e.Changes = e.Changes[:len(e.Changes)-1]
	}
}

// Change is one line of the record: who changed what, and when.
type Change struct {
	Version int      `msgpack:"v" json:"version"`
	At      int64    `msgpack:"t" json:"at"` // seconds since 1970
	Who     string   `msgpack:"w" json:"who"`
	What    []string `msgpack:"c" json:"what"`
}

// View is what `gullrudder settings` shows. Version 0: the controllers' own files.
type View struct {
	Version int            `msgpack:"version" json:"version"`
	Values  []config.Value `msgpack:"values" json:"values"`
	Changes []Change       `msgpack:"changes" json:"changes"`
}

// Request asks for other settings.
type Request struct {
	Who  string `msgpack:"who"`
	Text string `msgpack:"text"`
}

func (s *Settings) Show(_ time.Time, r *inbox.Request) { s.out.Reply(r, 200, s.View(), 0) }

func (s *Settings) View() View {
	v := View{Values: s.now.Values(), Changes: []Change{}}
	if e := s.entry; e != nil {
		v.Version, v.Changes = e.Version, e.Changes
	}
	return v
}

// reserve is what the entry may come to need of its page, which it never leaves.
func (s *Settings) reserve() int { return min(settingsReserve, s.ledger.MaxEntryBytes(EntryName)) }

// Apply takes other settings, all or none. They count once they are durable.
func (s *Settings) Apply(now time.Time, r *inbox.Request) {
	var a Request
	if err := packed.Unmarshal(r.Body, &a); err != nil || len(a.Text) > mostSettings || a.Who == "" || len(a.Who) > longestWho {
		s.out.Refuse(r, 400, "settings have a text of at most 1 KiB, and the name of who changes them", 0)
		return
	}
	opt, err := config.ParseOptions([]byte(a.Text))
	if err != nil {
		s.out.Refuse(r, 400, err.Error(), 0)
		return
	}
	if opt.LeaderLease != s.file.LeaderLease || opt.Promise != s.file.Promise {
		// Every controller relies on the others' having the same, from its start.
		s.out.Refuse(r, 400, "leader-lease and promise are read when a controller starts, from its own file", 0)
		return
	}
	changes := s.now.Changes(opt)
	if len(changes) == 0 {
		s.out.Reply(r, 200, s.View(), 0)
		return
	}
	if s.saving || !s.ledger.IsHealthy() {
		s.out.Refuse(r, 503, "the state service does not take changes, or others are being saved", time.Second)
		return
	}
	e := &entry{Text: a.Text, Version: 1}
	if was := s.entry; was != nil {
		e.Version, e.Changes = was.Version+1, was.Changes
	}
	e.add(Change{Version: e.Version, At: now.Unix(), Who: a.Who, What: changes}, s.reserve())
	s.saving = true
	answered := false
	err = s.ledger.Set(now, EntryName, e, s.reserve(), true, func(now time.Time, ok bool) {
		if ok {
			s.saving = false
			s.entry = e
			s.tune(opt)
			s.log.Info("settings applied", "version", e.Version, "who", a.Who, "what", strings.Join(changes, ", "))
		}
		if answered {
			return
		}
		answered = true
		if ok {
			s.out.Reply(r, 200, s.View(), 0)
		} else {
			s.out.Refuse(r, 503, "not saved yet", 2*time.Second)
		}
	})
	if err != nil {
		s.saving = false
		s.out.Refuse(r, 400, "too large to be kept: "+err.Error(), 0)
	}
}

// tune takes other options. The election's stay as they are.
func (s *Settings) tune(opt config.Options) {
	opt.LeaderLease, opt.Promise = s.file.LeaderLease, s.file.Promise
	s.now = opt
	s.changed(opt)
}

// Restore reads the ledger's entry at a takeover. One that this version cannot read is
// left as it is: the controller's own file counts.
func (s *Settings) Restore(decode func(any) error) {
	var e entry
	err := decode(&e)
	var opt config.Options
	if err == nil {
		opt, err = config.ParseOptions([]byte(e.Text))
	}
	if err != nil {
		s.log.Error("the settings in the ledger cannot be read", "error", err)
		return
	}
	s.entry = &e
	s.ledger.Reserve(EntryName, s.reserve())
	s.tune(opt)
}
