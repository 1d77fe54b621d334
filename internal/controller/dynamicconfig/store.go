// Package dynamicconfig keeps the operators' options that count: the controller's own file, or what was
// applied while the controllers ran, which the ledger keeps. It owns them and their record of
// changes; everybody else only reads them.
package dynamicconfig

import (
	"log/slog"
	"math"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

// Store are a leader's.
type Store struct {
	fileOptions  config.Options // the controller's own
	current      config.Options // those that count
	applied      *record        // those that were applied, with their record
	isCommitting bool           // others are on their way into the ledger
	logger       *slog.Logger
	responder    *server.Responder
	storage      *storage.Store
	onChange     func(config.Options)
}

// New makes the settings of a new leadership.
func New(file config.Options, led *storage.Store, out *server.Responder, log *slog.Logger) *Store {
	return &Store{fileOptions: file, current: file, logger: log, responder: out, storage: led, onChange: func(config.Options) {}}
}

// Options are those that count. They change in place.
func (s *Store) Options() *config.Options { return &s.current }

// OnChange names who is to know of other options.
func (s *Store) OnChange(f func(config.Options)) { s.onChange = f }

// Settings that were applied while the controllers run are an entry of the ledger: whoever leads
// has the same, and a restart changes nothing. Without one, each controller's own file counts.
const EntryKey = "s:options"

const (
	// maxTextBytes bounds the text that is kept, mostChanges the record of who changed what.
	maxTextBytes   = 1 << 10
	maxChanges     = 12
	maxAuthorBytes = 60
	// maxRecordBytes is what the entry may come to need at most; a page of the state service may hold less.
	maxRecordBytes = 3000
)

type record struct {
	Text    string   `msgpack:"x" json:"x"`
	Version int      `msgpack:"v" json:"v"`
	Changes []Change `msgpack:"c" json:"c"`
}

func (e *record) size() int {
	raw, err := codec.Marshal(e)
	if err != nil {
		return math.MaxInt
	}
	return codec.JSONSize(raw)
}

// addChange puts a change first; the oldest go once there are too many, or no room is left for them.
func (e *record) addChange(c Change, room int) {
	e.Changes = append([]Change{c}, e.Changes...)
	e.Changes = e.Changes[:min(len(e.Changes), maxChanges)]
	for len(e.Changes) > 1 && e.size() > room {
		e.Changes = e.Changes[:len(e.Changes)-1]
	}
}

// Change is one line of the record: who changed what, and when.
type Change struct {
	Version   int      `msgpack:"v" json:"version"`
	AppliedAt int64    `msgpack:"t" json:"at"` // seconds since 1970
	Author    string   `msgpack:"w" json:"who"`
	Details   []string `msgpack:"c" json:"what"`
}

// View is what `gullrudder settings` shows. Version 0: the controllers' own files.
type View struct {
	Version int                  `msgpack:"version" json:"version"`
	Values  []config.OptionValue `msgpack:"values" json:"values"`
	Changes []Change             `msgpack:"changes" json:"changes"`
}

// ChangeRequest asks for other settings.
type ChangeRequest struct {
	Author string `msgpack:"who"`
	Text   string `msgpack:"text"`
}

func (s *Store) ServeView(_ time.Time, r *server.Request) { s.responder.Respond(r, 200, s.View(), 0) }

func (s *Store) View() View {
	v := View{Values: s.current.Values(), Changes: []Change{}}
	if e := s.applied; e != nil {
		v.Version, v.Changes = e.Version, e.Changes
	}
	return v
}

// recordReserve is what the entry may come to need of its page, which it never leaves.
func (s *Store) recordReserve() int { return min(maxRecordBytes, s.storage.MaxEntryBytes(EntryKey)) }

// ServeChange takes other settings, all or none. They count once they are durable.
func (s *Store) ServeChange(now time.Time, r *server.Request) {
	var a ChangeRequest
	if err := codec.Unmarshal(r.Body, &a); err != nil || len(a.Text) > maxTextBytes || a.Author == "" || len(a.Author) > maxAuthorBytes {
		s.responder.RespondError(r, 400, "settings have a text of at most 1 KiB, and the name of who changes them", 0)
		return
	}
	opt, err := config.ParseOptions([]byte(a.Text))
	if err != nil {
		s.responder.RespondError(r, 400, err.Error(), 0)
		return
	}
	if opt.LeaderLeaseDuration != s.fileOptions.LeaderLeaseDuration || opt.GrantDuration != s.fileOptions.GrantDuration {
		// Every controller relies on the others' having the same, from its start.
		s.responder.RespondError(r, 400, "leader-lease and promise are read when a controller starts, from its own file", 0)
		return
	}
	changes := s.current.DescribeChanges(opt)
	if len(changes) == 0 {
		s.responder.Respond(r, 200, s.View(), 0)
		return
	}
	if s.isCommitting || !s.storage.IsHealthy() {
		s.responder.RespondError(r, 503, "the state service does not take changes, or others are being saved", time.Second)
		return
	}
	e := &record{Text: a.Text, Version: 1}
	if was := s.applied; was != nil {
		e.Version, e.Changes = was.Version+1, was.Changes
	}
	e.addChange(Change{Version: e.Version, AppliedAt: now.Unix(), Author: a.Author, Details: changes}, s.recordReserve())
	s.isCommitting = true
	answered := false
	err = s.storage.Set(now, EntryKey, e, s.recordReserve(), true, func(now time.Time, ok bool) {
		if ok {
			s.isCommitting = false
			s.applied = e
			s.activate(opt)
			s.logger.Info("settings applied", "version", e.Version, "who", a.Author, "what", strings.Join(changes, ", "))
		}
		if answered {
			return
		}
		answered = true
		if ok {
			s.responder.Respond(r, 200, s.View(), 0)
		} else {
			s.responder.RespondError(r, 503, "not saved yet", 2*time.Second)
		}
	})
	if err != nil {
		s.isCommitting = false
		s.responder.RespondError(r, 400, "too large to be kept: "+err.Error(), 0)
	}
}

// activate takes other options. The election's stay as they are.
func (s *Store) activate(opt config.Options) {
	opt.LeaderLeaseDuration, opt.GrantDuration = s.fileOptions.LeaderLeaseDuration, s.fileOptions.GrantDuration
	s.current = opt
	s.onChange(opt)
}

// Restore reads the ledger's entry at a takeover. One that this version cannot read is
// left as it is: the controller's own file counts.
func (s *Store) Restore(decode func(any) error) {
	var e record
	err := decode(&e)
	var opt config.Options
	if err == nil {
		opt, err = config.ParseOptions([]byte(e.Text))
	}
	if err != nil {
		s.logger.Error("the settings in the ledger cannot be read", "error", err)
		return
	}
	s.applied = &e
	s.storage.Reserve(EntryKey, s.recordReserve())
	s.activate(opt)
}
