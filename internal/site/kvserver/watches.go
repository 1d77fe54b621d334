package kvserver

import (
	"math"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// watch is a request that waits until a key with its prefix changes, or until its deadline.
type watch struct {
	handle       any
	prefix       string
	fromRevision uint64 // the client has the changes up to this revision
	deadline     time.Time
}

// openWatch answers a watch at once if there are changes, and keeps it open otherwise.
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

// notifyWatches answers the watches that match changes since a revision, and those past their deadline. While writes fail, deadlines
// are ignored.
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

// answerWatch answers a watch if there are changes, if its deadline has passed, or if the changes since its revision are not retained
// any more. It reports whether it answered.
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
