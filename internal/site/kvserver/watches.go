package kvserver

import (
	"math"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// watch is a request that waits until a key of its prefix changes, or its time is up.
type watch struct {
	handle       any
	prefix       string
	fromRevision uint64 // changes up to this one are known to the watcher
	deadline     time.Time
}

// openWatch answers a watch at once if there is something to tell, and keeps it otherwise.
func (s *State) openWatch(request *Request, query url.Values) {
	from, isValidFrom := queryNumber(query, "from", math.MaxUint64)
	wait, isValidWait := queryNumber(query, "wait_ms", uint64(maxWatchWait.Milliseconds()))
	prefix := query.Get("starts")
	if !isValidFrom || !isValidWait || len(prefix) > maxKeyBytes {
		s.rejectMalformed(request.Handle, "a watch that cannot be understood")
		return
	}
	w := &watch{
		handle: request.Handle, prefix: prefix, fromRevision: from,
		deadline: s.now.Add(time.Duration(wait) * time.Millisecond),
	}
	if s.answerWatch(w) {
		return
	}
	if len(s.watches) >= s.options.MaxWatches {
		s.rejectOverLimit(request.Handle, "more than %d watches", s.options.MaxWatches)
		return
	}
	s.watches = append(s.watches, w)
}

// notifyWatches answers the watches of whose prefix something has changed since a revision, and those whose time is up. While
// writes fail, none is answered because of its time.
func (s *State) notifyWatches(since uint64) {
	events, areRetained := s.eventsSince(since, "")
	open := s.watches[:0]
	for _, w := range s.watches {
		isDue := !areRetained || !s.now.Before(w.deadline) && !s.writesFailing
		for _, e := range events {
			isDue = isDue || strings.HasPrefix(e.key, w.prefix)
		}
		if !isDue || !s.answerWatch(w) {
			open = append(open, w)
		}
	}
	clear(s.watches[len(open):])
	s.watches = open
}

// answerWatch answers a watch if there is something to tell or its time is up, and reports whether it did.
func (s *State) answerWatch(watcher *watch) bool {
	events, areRetained := s.eventsSince(watcher.fromRevision, watcher.prefix)
	if !areRetained {
		s.respond(watcher.handle, http.StatusGone, revisionResponse{s.revision})
		return true
	}
	if len(events) == 0 && s.now.Before(watcher.deadline) {
		return false
	}
	response := watchResponse{Revision: s.revision, Events: make([]eventResponse, 0, len(events))}
	for _, e := range events {
		response.Events = append(response.Events, e.response())
	}
	s.respond(watcher.handle, http.StatusOK, response)
	return true
}

func (e *event) response() eventResponse {
	if e.isDelete {
		return eventResponse{DeletedKey: e.key, ModRevision: e.modRevision}
	}
	return eventResponse{WrittenKey: e.key, Value: e.value, ModRevision: e.modRevision}
}
