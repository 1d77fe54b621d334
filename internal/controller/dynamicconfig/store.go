// Package dynamicconfig holds the operators' options that are in effect. They come from the controller's own file, or from the state
// service if an operator has applied options at run time. A Store owns the options and the record of their changes. Each leadership
// has its own Store; other packages only read it.
//
// The package never changes the options of the election (leader lease and grant), which all controllers need from their start. Design
// note: docs/operations/controllers.md describes each option.
package dynamicconfig

import (
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

// EntryName is the name of the stored entry with the applied options. Every leader reads the same entry, so a restart changes no
// option. Without the entry, each controller's own file is in effect.
const EntryName = "s:options"

const (
	// busyRetryAfter is the Retry-After of a change while another one is being committed or the state service accepts no changes.
	busyRetryAfter = time.Second
	// unsavedRetryAfter is the Retry-After of a change whose commit has an uncertain outcome.
	unsavedRetryAfter = 2 * time.Second
)

// Errors that operators see.
var (
	errMalformedRequest = errors.New("settings have a text of at most 1 KiB, and the name of who changes them")
	errElectionOptions  = errors.New("leader-lease and promise are read when a controller starts, from its own file")
)

// Store holds the options of a leadership. It is not safe for concurrent use.
type Store struct {
	fileOptions  config.Options // of the controller's own file
	current      config.Options // in effect
	applied      *record        // the entry in the state service; nil: no options were applied
	isCommitting bool           // a change is being committed; no other one is accepted until it is durable
	log          *slog.Logger
	responder    *server.Responder
	storage      *storage.Store
	onChange     func(config.Options)
}

// New returns the Store of a new leadership. The options of the file are in effect until Restore finds stored ones.
func New(fileOptions config.Options, stored *storage.Store, responder *server.Responder, log *slog.Logger) *Store {
	return &Store{
		fileOptions: fileOptions, current: fileOptions, log: log, responder: responder, storage: stored,
		onChange: func(config.Options) {},
	}
}

// Options returns the options in effect. Changes are made in place, so the pointer stays valid. Callers must not change them.
func (s *Store) Options() *config.Options { return &s.current }

// OnChange sets the function that is called with the new options whenever options take effect. A later call replaces the function.
func (s *Store) OnChange(changed func(config.Options)) { s.onChange = changed }

// ServeView responds with the options in effect and the record of changes.
func (s *Store) ServeView(_ time.Time, request *server.Request) {
	s.responder.Respond(request, http.StatusOK, s.View(), 0)
}

// View returns the options in effect and the record of changes.
func (s *Store) View() View {
	view := View{Values: s.current.Values(), Changes: []Change{}}
	if s.applied != nil {
		view.Version, view.Changes = s.applied.Version, s.applied.Changes
	}
	return view
}

// ServeChange serves a request to change options. It applies all of them or none. They take effect once they are durable.
func (s *Store) ServeChange(now time.Time, request *server.Request) {
	change, options, err := s.parseChange(request.Body)
	if err != nil {
		s.responder.RespondError(request, http.StatusBadRequest, err.Error(), 0)
		return
	}
	details := s.current.DescribeChanges(options)
	if len(details) == 0 {
		s.ServeView(now, request)
		return
	}
	if s.isCommitting || !s.storage.IsHealthy() {
		s.responder.RespondError(request, http.StatusServiceUnavailable,
			"the state service does not take changes, or others are being saved", busyRetryAfter)
		return
	}
	next := s.nextRecord(now, change, details)
	if err := s.commit(now, request, next, options); err != nil {
		s.responder.RespondError(request, http.StatusBadRequest, "too large to be kept: "+err.Error(), 0)
	}
}

func (s *Store) parseChange(body []byte) (ChangeRequest, config.Options, error) {
	var change ChangeRequest
	err := codec.Unmarshal(body, &change)
	if err != nil || len(change.Text) > maxTextBytes || change.Author == "" || len(change.Author) > maxAuthorBytes {
		return ChangeRequest{}, config.Options{}, errMalformedRequest
	}
	options, err := config.ParseOptions([]byte(change.Text))
	if err != nil {
		return ChangeRequest{}, config.Options{}, err
	}
	if options.LeaderLeaseDuration != s.fileOptions.LeaderLeaseDuration || options.GrantDuration != s.fileOptions.GrantDuration {
		return ChangeRequest{}, config.Options{}, errElectionOptions
	}
	return change, options, nil
}

// nextRecord returns the record with a change added.
func (s *Store) nextRecord(now time.Time, change ChangeRequest, details []string) *record {
	next := &record{Text: change.Text, Version: 1}
	if s.applied != nil {
		next.Version, next.Changes = s.applied.Version+1, s.applied.Changes
	}
	newest := Change{Version: next.Version, AppliedAt: now.Unix(), Author: change.Author, Details: details}
	next.addChange(newest, s.reservedBytes())
	return next
}

// commit stores a record. The request gets its response once the outcome is known or uncertain. An uncertain commit may still become
// durable later; the options take effect then.
func (s *Store) commit(now time.Time, request *server.Request, next *record, options config.Options) error {
	s.isCommitting = true
	responded := false
	done := func(_ time.Time, isDurable bool) {
		if isDurable {
			s.isCommitting = false
			s.applied = next
			s.activate(options)
			s.logApplied(next)
		}
		if responded {
			return
		}
		responded = true
		if isDurable {
			s.responder.Respond(request, http.StatusOK, s.View(), 0)
		} else {
			s.responder.RespondError(request, http.StatusServiceUnavailable, "not saved yet", unsavedRetryAfter)
		}
	}
	write := storage.SetOptions{ReservedBytes: s.reservedBytes(), Urgent: true, Done: done}
	err := s.storage.Set(now, EntryName, next, write)
	if err != nil {
		s.isCommitting = false
	}
	return err
}

func (s *Store) logApplied(applied *record) {
	newest := applied.Changes[0]
	s.log.Info("settings applied", logkeys.Version, newest.Version, logkeys.Author, newest.Author,
		logkeys.Changes, strings.Join(newest.Details, ", "))
}

// activate puts options into effect, except for those of the election.
func (s *Store) activate(options config.Options) {
	options.LeaderLeaseDuration, options.GrantDuration = s.fileOptions.LeaderLeaseDuration, s.fileOptions.GrantDuration
	s.current = options
	s.onChange(options)
}

// reservedBytes returns the largest size of the record in JSON bytes. This space is reserved in its page, which the record never leaves.
func (s *Store) reservedBytes() int { return min(maxRecordBytes, s.storage.MaxEntryBytes(EntryName)) }

// Restore reads the stored entry when a leader loads its state. If this version cannot read the entry, the entry stays unchanged and
// the controller's own file is in effect.
func (s *Store) Restore(decode func(any) error) {
	var stored record
	err := decode(&stored)
	var options config.Options
	if err == nil {
		options, err = config.ParseOptions([]byte(stored.Text))
	}
	if err != nil {
		s.log.Error("stored settings unreadable", logkeys.Err, err)
		return
	}
	s.applied = &stored
	s.storage.Reserve(EntryName, s.reservedBytes())
	s.activate(options)
}
