package store

import (
	"errors"
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/httpwire"
	"gullrudder/internal/wire/packed"
)

const (
	queueLength = 4096
	// batchLength bounds a step. While the disk syncs what a step has changed, the next one
	// is worked through: with large steps one would wait for the other.
	batchLength = 16
	answerSteps = 256 // steps whose answers are on their way out
	tickEvery   = 20 * time.Millisecond
	// snapshotPause is after how many tries of the disk a snapshot that failed is tried again.
	snapshotPause = 10
)

// Service connects a State with the network, the clock and the disk. One goroutine owns the
// state; while the disk syncs one step's records, the next steps gather. Their answers wait,
// also those of reads: what a read has seen might else be gone after a crash.
type Service struct {
	state *State
	disk  *Disk
	opt   config.Store
	log   *slog.Logger
	watch *Metrics
	queue chan Request

	open      []Effects // steps whose records are not on their way yet
	flight    []Effects // steps whose records are being kept
	bytes     int       // of these
	kept      chan kept
	work      chan keepJob
	snapped   chan snapped
	answers   chan []Effects // on their way out
	snapping  bool           // one is under way
	beginning bool           // one begins after the records that are on their way
	noSnap    time.Time      // no snapshot before this
	repairAt  time.Time
	repairs   bool // a repair is under way
}

type keepJob struct {
	records  []byte
	revision uint64
	view     *View // a snapshot of it is to begin after this
	repair   bool
}

type kept struct {
	err      error
	took     time.Duration
	broken   bool
	repair   bool
	snapshot *Snapshot
	snapErr  error
}

type snapped struct {
	snapshot *Snapshot
	err      error
	took     time.Duration
}

// NewService makes the service of a store that was opened.
func NewService(state *State, disk *Disk, opt config.Store, watch *Metrics, log *slog.Logger) *Service {
	return &Service{state: state, disk: disk, opt: opt, log: log, watch: watch, queue: make(chan Request, queueLength),
		kept: make(chan kept, 1), work: make(chan keepJob, 1), snapped: make(chan snapped, 1), answers: make(chan []Effects, answerSteps)}
}

// Serve runs the service at an address; it returns only if that cannot be had.
func (s *Service) Serve(listen string) error {
	go s.keep()
	go s.own()
	go func() {
		for steps := range s.answers {
			s.release(steps)
		}
	}()
	server := httpwire.NewServer(httpwire.ServerOptions{Public: listen, MaxConns: s.opt.Connections, Idle: 75 * time.Second,
		Slow: 10 * time.Second, Handle: s.handle})
	return server.Keep(s.log)
}

func (s *Service) handle(r *httpwire.Request) {
	select {
	case s.queue <- Request{Ref: r, Method: r.Method, Target: r.Target, Body: r.Body}:
	default:
		s.watch.shed.Inc()
		r.Reply(503, nil, time.Second)
	}
}

// keep is the only one that writes to the log.
func (s *Service) keep() {
	for job := range s.work {
		began := time.Now()
		k := kept{repair: job.repair}
		if job.repair {
			k.err = s.disk.Repair(job.revision)
		} else {
			k.err = s.disk.Keep(job.records)
		}
		k.took = time.Since(began)
		if k.err == nil && job.view != nil {
			k.snapshot, k.snapErr = s.disk.Begin(job.view)
		}
		k.broken = s.disk.Broken()
		s.kept <- k
	}
}

func (s *Service) own() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	batch := make([]Request, 0, batchLength)
	for {
		batch = batch[:0]
		select {
		case r := <-s.queue:
			batch = append(batch, r)
		case k := <-s.kept:
			s.settled(time.Now(), k)
		case d := <-s.snapped:
			s.snapshotDone(time.Now(), d)
		case <-ticker.C:
		}
	fill:
		for len(batch) < batchLength {
			select {
			case r := <-s.queue:
				batch = append(batch, r)
			default:
				break fill
			}
		}
		now := time.Now()
		if e := s.state.Step(now, batch); len(e.Records) > 0 || len(e.Replies) > 0 {
			s.open = append(s.open, e)
		}
		s.handOver(now)
		s.watch.observe(s.state, len(s.queue), s.disk.logged+s.disk.covered)
	}
}

// handOver sends what has gathered to the disk, or answers it if there is nothing to keep.
func (s *Service) handOver(now time.Time) {
	if s.flight != nil {
		return
	}
	if s.state.failing && !s.repairs && !now.Before(s.repairAt) {
		s.repairs = true
		s.work <- keepJob{repair: true, revision: s.state.revision}
	}
	var records []byte
	for _, e := range s.open {
		records = append(records, e.Records...)
	}
	if len(records) == 0 {
		if len(s.open) > 0 {
			s.answers <- s.open
		}
		s.open = nil
		return
	}
	job := keepJob{records: records, revision: s.state.revision}
	if !s.snapping && s.disk.Due() && now.After(s.noSnap) {
		// All that has gathered goes into this frame, so the content is what it will be
		// right after it.
		s.snapping, s.beginning = true, true
		job.view = s.state.Freeze()
	}
	s.bytes = len(records)
	s.flight, s.open = s.open, nil
	s.work <- job
}

func (s *Service) release(steps []Effects) {
	for _, e := range steps {
		for _, r := range e.Replies {
			s.send(r)
		}
	}
}

func (s *Service) send(r Reply) {
	body, err := packed.Marshal(r.Body)
	if err != nil {
		s.log.Error("an answer cannot be encoded", "error", err)
		r.Status, body = 503, nil
	}
	if req, ok := r.Ref.(*httpwire.Request); ok {
		s.watch.answered(req.Method, req.Target, r.Status)
		req.Reply(r.Status, body, r.Retry)
	}
}

// settled takes in what became of the records that were on their way.
func (s *Service) settled(now time.Time, k kept) {
	if k.repair {
		s.repaired(now, k)
		return
	}
	steps := s.flight
	s.flight = nil
	if k.err == nil {
		s.disk.Kept(s.bytes)
		s.watch.synced(k.took)
		s.answers <- steps
	} else {
		s.takeBack(steps, k.err)
	}
	if k.broken {
		s.state.Fail(now, true)
		s.repairAt = now.Add(s.opt.RetryAfter)
	}
	switch {
	case k.snapshot != nil:
		s.disk.Begun()
		go s.snapshot(k.snapshot)
	case k.snapErr != nil:
		s.noSnapshot(now, k.snapErr)
	case k.err != nil && s.beginning:
		s.snapping = false // it was to begin after these records
	}
	s.beginning = false
}

// noSnapshot gives a snapshot up for a while; the log grows on.
func (s *Service) noSnapshot(now time.Time, err error) {
	s.snapping = false
	s.noSnap = now.Add(snapshotPause * s.opt.RetryAfter)
	s.watch.snapFailed.Inc()
	s.log.Error("a snapshot failed; the log goes on", "error", err)
}

// takeBack undoes the steps whose records were not kept. Those that were never written, and
// those of which it is certain that they are not in the log, are told so; of the rest nobody
// knows.
func (s *Service) takeBack(steps []Effects, err error) {
	s.watch.failed.Inc()
	s.log.Error("changes cannot be kept", "error", err)
	for _, list := range [][]Effects{s.open, steps} {
		for i := len(list) - 1; i >= 0; i-- {
			s.state.Undo(list[i])
		}
	}
	refuse := func(list []Effects) {
		for _, e := range list {
			for _, r := range e.Replies {
				s.send(Reply{Ref: r.Ref, Status: 503, Body: errorAnswer{"changes cannot be kept"}, Retry: s.opt.RetryAfter})
			}
		}
	}
	refuse(s.open)
	s.open = nil
	if errors.Is(err, ErrNotWritten) {
		refuse(steps)
		return
	}
	for _, e := range steps {
		for _, r := range e.Replies {
			if req, ok := r.Ref.(*httpwire.Request); ok {
				req.Drop()
			}
		}
	}
}

func (s *Service) repaired(now time.Time, k kept) {
	s.repairs = false
	if k.err != nil {
		s.log.Error("the disk still fails", "error", k.err)
		s.repairAt = now.Add(s.opt.RetryAfter)
		return
	}
	s.log.Info("changes are kept again, in a new segment of the log")
	s.state.Fail(now, false)
}

// snapshot writes a snapshot while the service goes on, and lets go of the log that it covers.
func (s *Service) snapshot(snap *Snapshot) {
	began := time.Now()
	log := s.log.With("snapshot", snap.name())
	log.Info("snapshot begins", "revision", snap.view.revision, "keys", snap.view.tree.Len())
	err := snap.write(func(stage string) { log.Info("snapshot " + stage) })
	if err != nil {
		err = errors.Join(err, snap.Abandon())
	} else {
		log.Info("deleting the log that is covered")
		if err := s.disk.Prune(snap); err != nil {
			log.Error("what a snapshot covers cannot be removed", "error", err)
		}
	}
	s.snapped <- snapped{snap, err, time.Since(began)}
}

func (s *Service) snapshotDone(now time.Time, d snapped) {
	s.disk.Finish(d.snapshot, d.err == nil)
	if d.err != nil {
		s.noSnapshot(now, d.err)
		return
	}
	s.snapping = false
	s.watch.snapshot(d.took, d.snapshot.offset)
	s.log.Info("snapshot done", "snapshot", d.snapshot.name(), "bytes", d.snapshot.offset, "took", d.took.Round(time.Millisecond))
}
