// Package dynamicconfig has the operators' options that are in effect: those of the controller's own file, or those that were
// applied while the controllers run, which the state service keeps. Its Store owns the options and the record of their changes; each
// leadership has one, and other packages only read it.
//
// The package never changes the options of the election (leader lease and grant), which all controllers have to have from their
// start. Design note: docs/operations/controllers.md describes each option.
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

// EntryKey names the stored entry of the applied options. Every leader reads the same one, so that a restart changes nothing. If
// there is none, each controller's own file is in effect.
const EntryKey = "s:options"

const (
	// busyRetryAfter is the Retry-After of a change while another one is being committed.
	busyRetryAfter = time.Second
	// unsavedRetryAfter is the Retry-After of a change whose commit has an uncertain outcome.
	unsavedRetryAfter = 2 * time.Second
)

// Errors that operators see.
var (
	errMalformedRequest = errors.New("settings have a text of at most 1 KiB, and the name of who changes them")
	errElectionOptions  = errors.New("leader-lease and promise are read when a controller starts, from its own file")
)

// Store has the options of a leadership.
type Store struct {
	fileOptions  config.Options // of the controller's own file
	current      config.Options // in effect
	applied      *record        // what the state service keeps; nil: nothing was applied
	isCommitting bool           // a change is being committed; there is no second one until it is durable
	log          *slog.Logger
	responder    *server.Responder
	storage      *storage.Store
	onChange     func(config.Options)
}

// New returns the options of a new leadership, those of the file until Restore is called.
func New(fileOptions config.Options, stored *storage.Store, responder *server.Responder, log *slog.Logger) *Store {
	return &Store{
		fileOptions: fileOptions, current: fileOptions, log: log, responder: responder, storage: stored,
		onChange: func(config.Options) {},
	}
}

// Options returns the options in effect. They change in place.
func (s *Store) Options() *config.Options { return &s.current }

// OnChange sets the function that is called with the new options when others take effect. There is one such function.
func (s *Store) OnChange(changed func(config.Options)) { s.onChange = changed }

// ServeView answers a request for the options and the record of changes.
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

// ServeChange answers a request for other options. It applies all of them or none. They take effect once they are durable.
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
	line := Change{Version: next.Version, AppliedAt: now.Unix(), Author: change.Author, Details: details}
	next.addChange(line, s.reservedBytes())
	return next
}

// commit stores a record. The request is answered once the outcome is known or uncertain; an uncertain commit may still become
// durable later, and the options take effect then.
func (s *Store) commit(now time.Time, request *server.Request, next *record, options config.Options) error {
	s.isCommitting = true
	answered := false
	done := func(_ time.Time, isDurable bool) {
		if isDurable {
			s.isCommitting = false
			s.applied = next
			s.activate(options)
			s.logApplied(next)
		}
		if answered {
			return
		}
		answered = true
		if isDurable {
			s.responder.Respond(request, http.StatusOK, s.View(), 0)
		} else {
			s.responder.RespondError(request, http.StatusServiceUnavailable, "not saved yet", unsavedRetryAfter)
		}
	}
	write := storage.SetOptions{ReservedBytes: s.reservedBytes(), Urgent: true, Done: done}
	err := s.storage.Set(now, EntryKey, next, write)
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

// reservedBytes is the most JSON bytes that the record may need. They are reserved in its page, which it never leaves.
func (s *Store) reservedBytes() int { return min(maxRecordBytes, s.storage.MaxEntryBytes(EntryKey)) }

// Restore reads the stored entry when a leader loads its state. An entry that this version cannot read stays as it is, and the
// controller's own file is in effect.
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
	s.storage.Reserve(EntryKey, s.reservedBytes())
	s.activate(options)
}
