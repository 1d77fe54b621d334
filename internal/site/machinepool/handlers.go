package machinepool

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/jobspec"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/server"
)

const (
	maxJobIDBytes = 64
	// busyRetryAfter is the Retry-After of requests that are refused because a queue is full or a read of the database failed.
	busyRetryAfter = time.Second
	// specRetryAfter is the Retry-After of job specs that could not be stored. The usual cause is a full disk.
	specRetryAfter = 5 * time.Second
)

// handle queues a request for the goroutine that answers it, or refuses it if the queue is full. Requests for job specs and failures
// wait for the disk and go to the database workers. All others go to the State.
func (s *Service) handle(request *http1.Request) {
	path, query, _ := strings.Cut(request.Target, "?")
	job, isSpec := strings.CutPrefix(path, "/descriptions/")
	switch {
	case isSpec:
		s.queueDatabaseCall(request, func() { s.handleSpec(request, job) })
	case path == "/site/failures":
		s.queueDatabaseCall(request, func() { s.handleFailures(request, query) })
	default:
		select {
		case s.requests <- Request{Handle: request, Method: request.Method, Target: request.Target, Body: request.Body}:
		default:
			request.Respond(http.StatusServiceUnavailable, nil, busyRetryAfter)
		}
	}
}

func (s *Service) queueDatabaseCall(request *http1.Request, call func()) {
	select {
	case s.databaseCalls <- call:
	default:
		request.Respond(http.StatusServiceUnavailable, nil, busyRetryAfter)
	}
}

func (s *Service) respondError(request *http1.Request, status int, text string, retryAfter time.Duration) {
	s.respond(request, status, server.ErrorResponse{Error: text}, retryAfter)
}

// handleSpec answers GET and POST /descriptions/JOB.
func (s *Service) handleSpec(request *http1.Request, job string) {
	switch request.Method {
	case http.MethodGet:
		s.getSpec(request, job)
	case http.MethodPost:
		s.putSpec(request, job)
	default:
		s.respondError(request, http.StatusMethodNotAllowed, "wrong method", 0)
	}
}

func (s *Service) getSpec(request *http1.Request, job string) {
	encoded, err := s.specs.Get(job)
	switch {
	case err != nil:
		s.respondError(request, http.StatusServiceUnavailable, err.Error(), busyRetryAfter)
	case encoded == nil:
		s.respondError(request, http.StatusNotFound, "no such job", 0)
	default:
		request.Respond(http.StatusOK, encoded, 0)
	}
}

func (s *Service) putSpec(request *http1.Request, job string) {
	if job == "" || len(job) > maxJobIDBytes || codec.Validate(request.Body) != nil {
		s.respondError(request, http.StatusBadRequest, "no description", 0)
		return
	}
	err := s.specs.Put(job, request.Body)
	switch {
	case err == nil:
		s.respond(request, http.StatusOK, nil, 0)
	case errors.Is(err, jobspec.ErrConflict):
		s.respondError(request, http.StatusConflict, err.Error(), 0)
	default:
		s.log.Error("job spec not stored", logkeys.Job, job, logkeys.Err, err)
		s.respondError(request, http.StatusServiceUnavailable, err.Error(), specRetryAfter)
	}
}

// handleFailures answers GET /site/failures?most=N.
func (s *Service) handleFailures(request *http1.Request, query string) {
	limit := maxListedFailures
	if requested, err := strconv.Atoi(strings.TrimPrefix(query, "most=")); err == nil {
		limit = min(max(requested, 1), maxListedFailures)
	}
	list, err := readFailures(s.db, limit)
	if err != nil {
		s.respondError(request, http.StatusServiceUnavailable, err.Error(), busyRetryAfter)
		return
	}
	s.respond(request, http.StatusOK, list, 0)
}
