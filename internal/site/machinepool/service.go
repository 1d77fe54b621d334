package machinepool

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/site/datadir"
	"gullrudder/internal/site/jobspec"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"

	"go.etcd.io/bbolt"
)

// Service connects a State with the clock, the network and the disk, and keeps the descriptions and
// the failures of a site.
type Service struct {
	state         *State
	db            *bbolt.DB
	specs         *jobspec.Store
	log           *slog.Logger
	requests      chan Request
	notifications chan string
	databaseCalls chan func() // uploads and looks at the database, off the owner's way
}

const (
	stepInterval      = 100 * time.Millisecond
	maxStoredFailures = 1000 // kept
	maxListedFailures = 50
	databaseWorkers   = 16 // that share writes of the database
)

// NewService opens the pool's database in a directory. Below so many free bytes nothing more is taken.
func NewService(dir string, options Options, minFreeDiskBytes uint64, log *slog.Logger) (*Service, error) {
	path := filepath.Join(dir, "site.db")
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	db.MaxBatchDelay = 2 * time.Millisecond
	var record Record
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range []string{"pool", "failures"} {
			if _, err := tx.CreateBucketIfNotExists([]byte(name)); err != nil {
				return err
			}
		}
		if raw := tx.Bucket([]byte("pool")).Get([]byte("record")); raw != nil {
			return json.Unmarshal(raw, &record)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &Service{
		state:         NewState(options, record),
		db:            db,
		log:           log,
		requests:      make(chan Request, 1024),
		notifications: make(chan string, 256),
		databaseCalls: make(chan func(), 1024),
	}
	s.specs, err = jobspec.New(db, func() bool {
		left, err := datadir.FreeDisk(dir)
		return err == nil && left >= minFreeDiskBytes
	})
	return s, err
}

// Serve works until the address cannot be had.
func (s *Service) Serve(addr string) error {
	go s.runOwner()
	go s.notifyWorkers()
	for range databaseWorkers {
		go func() {
			for f := range s.databaseCalls {
				f()
			}
		}()
	}
	server := http1.NewServer(
		http1.ServerOptions{
			PublicAddr:     addr,
			MaxConnections: 512,
			IdleTimeout:    75 * time.Second,
			ReadTimeout:    10 * time.Second,
			Handler:        s.handle,
		},
	)
	return server.RunWithRestart(s.log)
}

func (s *Service) handle(r *http1.Request) {
	path, query, _ := strings.Cut(r.Target, "?")
	job, isDesc := strings.CutPrefix(path, "/descriptions/")
	full := func() { r.Respond(503, nil, time.Second) }
	switch {
	case isDesc:
		select {
		case s.databaseCalls <- func() { s.handleSpec(r, job) }:
		default:
			full()
		}
	case path == "/site/failures":
		select {
		case s.databaseCalls <- func() { s.handleFailures(r, query) }:
		default:
			full()
		}
	default:
		select {
		case s.requests <- Request{Handle: r, Method: r.Method, Target: r.Target, Body: r.Body}:
		default:
			full()
		}
	}
}

func (s *Service) handleSpec(r *http1.Request, job string) {
	switch r.Method {
	case http.MethodGet:
		raw, err := s.specs.Get(job)
		switch {
		case err != nil:
			s.respond(r, 503, map[string]string{"error": err.Error()}, time.Second)
		case raw == nil:
			s.respond(r, 404, map[string]string{"error": "no such job"}, 0)
		default:
			r.Respond(200, raw, 0)
		}
	case http.MethodPost:
		if job == "" || len(job) > 64 || codec.Validate(r.Body) != nil {
			s.respond(r, 400, map[string]string{"error": "no description"}, 0)
			return
		}
		switch err := s.specs.Put(job, r.Body); {
		case err == nil:
			s.respond(r, 200, nil, 0)
		case errors.Is(err, jobspec.ErrConflict):
			s.respond(r, 409, map[string]string{"error": err.Error()}, 0)
		default:
			s.log.Error("a description is not kept", "job", job, "error", err)
			s.respond(r, 503, map[string]string{"error": err.Error()}, 5*time.Second)
		}
	default:
		s.respond(r, 405, map[string]string{"error": "wrong method"}, 0)
	}
}

func (s *Service) respond(r *http1.Request, status int, body any, retry time.Duration) {
	raw, err := codec.Marshal(body)
	if err != nil {
		s.log.Error("an answer cannot be encoded", "error", err)
	}
	r.Respond(status, raw, retry)
}

func (s *Service) runOwner() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	batch := make([]Request, 0, 64)
	for {
		batch = batch[:0]
		select {
		case r := <-s.requests:
			batch = append(batch, r)
		case <-ticker.C:
		}
		for len(batch) < cap(batch) && len(s.requests) > 0 {
			batch = append(batch, <-s.requests)
		}
		s.apply(s.state.Step(time.Now(), batch))
	}
}

// apply writes down what a step has changed before anybody is told. Where that cannot be written the
// process ends: its successor goes on from what was.
func (s *Service) apply(e Effects) {
	if e.Record != nil || len(e.TaskFailures) > 0 {
		err := s.db.Update(func(tx *bbolt.Tx) error {
			if e.Record != nil {
				raw, err := json.Marshal(e.Record)
				if err != nil {
					return err
				}
				if err := tx.Bucket([]byte("pool")).Put([]byte("record"), raw); err != nil {
					return err
				}
			}
			return storeFailures(tx.Bucket([]byte("failures")), e.TaskFailures)
		})
		if err != nil {
			s.log.Error("the pool cannot write, and answers nobody", "error", err)
			panic(fmt.Sprintf("pool: %v", err))
		}
	}
	for _, r := range e.Responses {
		if q, ok := r.Handle.(*http1.Request); ok {
			s.respond(q, r.Status, r.Body, r.RetryAfter)
		}
	}
	for _, addr := range e.WorkersToNotify {
		select {
		case s.notifications <- addr:
		default: // it asks by itself soon
		}
	}
}

// storeFailures keeps the newest failures: one for each task, the last.
func storeFailures(bucket *bbolt.Bucket, list []string) error {
	for _, raw := range list {
		var f Failure
		if json.Unmarshal([]byte(raw), &f) != nil {
			continue
		}
		key := []byte(f.FinishedAt.UTC().Format("20060102T150405.000000000") + " " + f.Task)
		if err := bucket.Put(key, []byte(raw)); err != nil {
			return err
		}
	}
	if len(list) == 0 {
		return nil
	}
	count := 0
	cursor := bucket.Cursor()
	for k, _ := cursor.Last(); k != nil; k, _ = cursor.Prev() {
		if count++; count > maxStoredFailures {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Failure is a task that ended with another status than 0, as its worker tells it.
type Failure struct {
	Task        string    `json:"task"`
	ExitCode    int       `json:"exit"`
	Reason      string    `json:"reason"`
	ErrorOutput string    `json:"tail"`
	FinishedAt  time.Time `json:"finished"`
}

// FailureList is what GET /site/failures answers: results in JSON, the newest first.
type FailureList struct {
	EncodedFailures []string `msgpack:"list"`
}

func (s *Service) handleFailures(r *http1.Request, query string) {
	limit := maxListedFailures
	if n, err := strconv.Atoi(strings.TrimPrefix(query, "most=")); err == nil {
		limit = min(max(n, 1), maxListedFailures)
	}
	f := FailureList{EncodedFailures: []string{}}
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket([]byte("failures")).Cursor()
		size := 0
		for k, v := c.Last(); k != nil && len(f.EncodedFailures) < limit && size < http1.MaxBodyBytes/2; k, v = c.Prev() {
			f.EncodedFailures = append(f.EncodedFailures, string(v))
			size += len(v)
		}
		return nil
	})
	if err != nil {
		s.respond(r, 503, map[string]string{"error": err.Error()}, time.Second)
		return
	}
	s.respond(r, 200, f, 0)
}

// notifyWorkers has workers ask at once what they are to be.
func (s *Service) notifyWorkers() {
	client := http1.NewClient(4, 2, http1.MaxBodyBytes)
	for addr := range s.notifications {
		if _, err := client.Do(addr, "POST", "/site/look", nil, 500*time.Millisecond); err != nil {
			s.log.Debug("a worker is not told to ask", "worker", addr, "error", err)
		}
	}
}
