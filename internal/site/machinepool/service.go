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
	state *State
	db    *bbolt.DB
	descs *jobspec.Keeper
	log   *slog.Logger
	queue chan Request
	look  chan string
	write chan func() // uploads and looks at the database, off the owner's way
}

const (
	tickEvery    = 100 * time.Millisecond
	mostFailures = 1000 // kept
	mostShown    = 50
	writers      = 16 // that share writes of the database
)

// NewService opens the pool's database in a directory. Below so many free bytes nothing more is taken.
func NewService(dir string, opt Options, free uint64, log *slog.Logger) (*Service, error) {
	path := filepath.Join(dir, "site.db")
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	db.MaxBatchDelay = 2 * time.Millisecond
	var rec Record
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range []string{"pool", "failures"} {
			if _, err := tx.CreateBucketIfNotExists([]byte(name)); err != nil {
				return err
			}
		}
		if raw := tx.Bucket([]byte("pool")).Get([]byte("record")); raw != nil {
			return json.Unmarshal(raw, &rec)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &Service{
		state: New(opt, rec),
		db:    db,
		log:   log,
		queue: make(chan Request, 1024),
		look:  make(chan string, 256),
		write: make(chan func(), 1024),
	}
	s.descs, err = jobspec.New(db, func() bool {
		left, err := datadir.FreeDisk(dir)
		return err == nil && left >= free
	})
	return s, err
}

// Serve works until the address cannot be had.
func (s *Service) Serve(addr string) error {
	go s.own()
	go s.poke()
	for range writers {
		go func() {
			for f := range s.write {
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
		case s.write <- func() { s.describe(r, job) }:
		default:
			full()
		}
	case path == "/site/failures":
		select {
		case s.write <- func() { s.failures(r, query) }:
		default:
			full()
		}
	default:
		select {
		case s.queue <- Request{Handle: r, Method: r.Method, Target: r.Target, Body: r.Body}:
		default:
			full()
		}
	}
}

func (s *Service) describe(r *http1.Request, job string) {
	switch r.Method {
	case http.MethodGet:
		raw, err := s.descs.Get(job)
		switch {
		case err != nil:
			s.answer(r, 503, map[string]string{"error": err.Error()}, time.Second)
		case raw == nil:
			s.answer(r, 404, map[string]string{"error": "no such job"}, 0)
		default:
			r.Respond(200, raw, 0)
		}
	case http.MethodPost:
		if job == "" || len(job) > 64 || codec.Validate(r.Body) != nil {
			s.answer(r, 400, map[string]string{"error": "no description"}, 0)
			return
		}
		switch err := s.descs.Put(job, r.Body); {
		case err == nil:
			s.answer(r, 200, nil, 0)
		case errors.Is(err, jobspec.ErrOther):
			s.answer(r, 409, map[string]string{"error": err.Error()}, 0)
		default:
			s.log.Error("a description is not kept", "job", job, "error", err)
			s.answer(r, 503, map[string]string{"error": err.Error()}, 5*time.Second)
		}
	default:
		s.answer(r, 405, map[string]string{"error": "wrong method"}, 0)
	}
}

func (s *Service) answer(r *http1.Request, status int, body any, retry time.Duration) {
	raw, err := codec.Marshal(body)
	if err != nil {
		s.log.Error("an answer cannot be encoded", "error", err)
	}
	r.Respond(status, raw, retry)
}

func (s *Service) own() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	batch := make([]Request, 0, 64)
	for {
		batch = batch[:0]
		select {
		case r := <-s.queue:
			batch = append(batch, r)
		case <-ticker.C:
		}
		for len(batch) < cap(batch) && len(s.queue) > 0 {
			batch = append(batch, <-s.queue)
		}
		s.do(s.state.Step(time.Now(), batch))
	}
}

// do writes down what a step has changed before anybody is told. Where that cannot be written the
// process ends: its successor goes on from what was.
func (s *Service) do(e Effects) {
	if e.Keep != nil || len(e.Failed) > 0 {
		err := s.db.Update(func(tx *bbolt.Tx) error {
			if e.Keep != nil {
				raw, err := json.Marshal(e.Keep)
				if err != nil {
					return err
				}
				if err := tx.Bucket([]byte("pool")).Put([]byte("record"), raw); err != nil {
					return err
				}
			}
			return keepFailures(tx.Bucket([]byte("failures")), e.Failed)
		})
		if err != nil {
			s.log.Error("the pool cannot write, and answers nobody", "error", err)
			panic(fmt.Sprintf("pool: %v", err))
		}
	}
	for _, r := range e.Responses {
		if q, ok := r.Handle.(*http1.Request); ok {
			s.answer(q, r.Status, r.Body, r.RetryAfter)
		}
	}
	for _, addr := range e.Look {
		select {
		case s.look <- addr:
		default: // it asks by itself soon
		}
	}
}

// keepFailures keeps the newest failures: one for each task, the last.
func keepFailures(b *bbolt.Bucket, list []string) error {
	for _, raw := range list {
		var f Failure
		if json.Unmarshal([]byte(raw), &f) != nil {
			continue
		}
		key := []byte(f.Finished.UTC().Format("20060102T150405.000000000") + " " + f.Task)
		if err := b.Put(key, []byte(raw)); err != nil {
			return err
		}
	}
	if len(list) == 0 {
		return nil
	}
	n := 0
	c := b.Cursor()
	for k, _ := c.Last(); k != nil; k, _ = c.Prev() {
		if n++; n > mostFailures {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Failure is a task that ended with another status than 0, as its worker tells it.
type Failure struct {
	Task     string    `json:"task"`
	Exit     int       `json:"exit"`
	Reason   string    `json:"reason"`
	Tail     string    `json:"tail"`
	Finished time.Time `json:"finished"`
}

// Failures is what GET /site/failures answers: results in JSON, the newest first.
type Failures struct {
	List []string `msgpack:"list"`
}

func (s *Service) failures(r *http1.Request, query string) {
	most := mostShown
	if n, err := strconv.Atoi(strings.TrimPrefix(query, "most=")); err == nil {
		most = min(max(n, 1), mostShown)
	}
	f := Failures{List: []string{}}
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket([]byte("failures")).Cursor()
		size := 0
		for k, v := c.Last(); k != nil && len(f.List) < most && size < http1.MaxBodyBytes/2; k, v = c.Prev() {
			f.List = append(f.List, string(v))
			size += len(v)
		}
		return nil
	})
	if err != nil {
		s.answer(r, 503, map[string]string{"error": err.Error()}, time.Second)
		return
	}
	s.answer(r, 200, f, 0)
}

// poke has workers ask at once what they are to be.
func (s *Service) poke() {
	client := http1.NewClient(4, 2, http1.MaxBodyBytes)
	for addr := range s.look {
		if _, err := client.Do(addr, "POST", "/site/look", nil, 500*time.Millisecond); err != nil {
			s.log.Debug("a worker is not told to ask", "worker", addr, "error", err)
		}
	}
}
