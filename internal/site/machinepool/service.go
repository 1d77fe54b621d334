package machinepool

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/eventloop"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/site/jobspec"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"

	"go.etcd.io/bbolt"
)

// stepInterval is the time between steps when there are no requests.
const stepInterval = 100 * time.Millisecond

// Sizes of the queues, and of the batch of requests that one step handles and one disk write stores.
const (
	maxQueuedRequests      = 1024
	maxQueuedNotifications = 256
	maxQueuedDatabaseCalls = 1024
	maxBatchRequests       = 64
)

// databaseWorkers is the number of goroutines that run database calls. Up to this many job specs share one disk sync.
const databaseWorkers = 16

// Limits of the service's connections.
const (
	maxConnections = 512
	idleTimeout    = 75 * time.Second
	readTimeout    = 10 * time.Second
)

// Limits of the HTTP client that notifies workers.
const (
	maxNotifyConnections     = 4
	maxIdleNotifyConnections = 2
	notifyTimeout            = 500 * time.Millisecond
)

// Service connects a State to the clock, the network and the disk. It also serves the job specs and task failures of a site.
type Service struct {
	state         *State // used by runEventLoop only
	db            *bbolt.DB
	specs         *jobspec.Store
	log           *slog.Logger
	requests      chan Request
	notifications chan string // addresses of workers to notify
	databaseCalls chan func() // requests for job specs and failures, which bypass runEventLoop because they wait for the disk
}

// NewService opens the pool's database in dir, or creates it. While the disk of dir has less than minFreeDiskBytes free, the service
// refuses job specs. It does nothing until Serve is called.
func NewService(dir string, options Options, minFreeDiskBytes uint64, log *slog.Logger) (*Service, error) {
	db, record, err := openDatabase(dir)
	if err != nil {
		return nil, err
	}
	s := &Service{
		state:         NewState(options, record),
		db:            db,
		log:           log,
		requests:      make(chan Request, maxQueuedRequests),
		notifications: make(chan string, maxQueuedNotifications),
		databaseCalls: make(chan func(), maxQueuedDatabaseCalls),
	}
	s.specs, err = jobspec.New(db, func() bool {
		free, err := datadir.FreeDisk(dir)
		return err == nil && free >= minFreeDiskBytes
	})
	return s, err
}

// Serve starts the service's goroutines, which run until the process ends, and serves requests at the address. It returns only if it
// cannot listen on the address. It may be called only once.
func (s *Service) Serve(addr string) error {
	go s.runEventLoop()
	go s.notifyWorkers()
	for range databaseWorkers {
		go func() {
			for call := range s.databaseCalls {
				call()
			}
		}()
	}
	server := http1.NewServer(http1.ServerOptions{
		PublicAddr:     addr,
		MaxConnections: maxConnections,
		IdleTimeout:    idleTimeout,
		ReadTimeout:    readTimeout,
		Handler:        s.handle,
		Log:            s.log,
	})
	return server.RunWithRestart(s.log)
}

// runEventLoop steps the State with the requests, and applies the effects of each step.
func (s *Service) runEventLoop() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	batch := make([]Request, 0, maxBatchRequests)
	for {
		batch = batch[:0]
		select {
		case r := <-s.requests:
			batch = append(batch, r)
		case <-ticker.C:
		}
		batch = eventloop.Drain(s.requests, batch)
		s.apply(s.state.Step(time.Now(), batch))
	}
}

// apply stores the changes of a step and then sends its responses. If storing fails, the process ends: the State has changes that the
// disk does not have, and the next process continues from the disk.
func (s *Service) apply(effects Effects) {
	if err := storeEffects(s.db, effects); err != nil {
		s.log.Error("machine pool record not written", logkeys.Err, err)
		panic(fmt.Sprintf("store machine pool record: %v", err))
	}
	for _, response := range effects.Responses {
		if request, ok := response.Handle.(*http1.Request); ok {
			s.respond(request, response.Status, response.Body, response.RetryAfter)
		}
	}
	for _, addr := range effects.WorkersToNotify {
		select {
		case s.notifications <- addr:
		default: // the worker gets its assignment with its next regular report
		}
	}
}

func (s *Service) respond(request *http1.Request, status int, body any, retryAfter time.Duration) {
	encoded, err := codec.Marshal(body)
	if err != nil {
		s.log.Error("response encoding failed", logkeys.Path, request.Target, logkeys.Err, err)
	}
	request.Respond(status, encoded, retryAfter)
}

// notifyWorkers asks workers to report at once, so that they get their new assignments.
func (s *Service) notifyWorkers() {
	client := http1.NewClient(maxNotifyConnections, maxIdleNotifyConnections, http1.MaxBodyBytes)
	for addr := range s.notifications {
		if _, err := client.Do(addr, http.MethodPost, "/site/look", nil, notifyTimeout); err != nil {
			s.log.Debug("worker not notified", logkeys.Worker, addr, logkeys.Err, err)
		}
	}
}
