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

// stepInterval is the time between two steps without a request.
const stepInterval = 100 * time.Millisecond

// Sizes of the queues, and of the batch of requests that one step handles and one write of the disk stores.
const (
	maxQueuedRequests      = 1024
	maxQueuedNotifications = 256
	maxQueuedDatabaseCalls = 1024
	maxBatchRequests       = 64
)

// databaseWorkers is the number of goroutines that run database calls: so many specs may share one sync of the disk.
const databaseWorkers = 16

// Limits of the service's connections.
const (
	maxConnections = 512
	idleTimeout    = 75 * time.Second
	readTimeout    = 10 * time.Second
)

// Limits of the client that notifies workers.
const (
	maxNotifyConnections     = 4
	maxIdleNotifyConnections = 2
	notifyTimeout            = 500 * time.Millisecond
)

// Service connects a State with the clock, the network and the disk, and serves the job specs and failures of a site.
type Service struct {
	state         *State // belongs to runOwner
	db            *bbolt.DB
	specs         *jobspec.Store
	log           *slog.Logger
	requests      chan Request
	notifications chan string // addresses of workers
	databaseCalls chan func() // requests that wait for the disk, which runOwner must not
}

// NewService opens the pool's database in dir. With less than minFreeDiskBytes on its disk it accepts no more job specs.
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

// Serve serves requests at the address. It returns only if the address cannot be opened. Its goroutines run until the process
// ends; Serve is called once.
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
	})
	return server.RunWithRestart(s.log)
}

// runEventLoop runs the steps of the State, one after another.
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

// apply stores what a step has changed, and then answers. If that cannot be stored the process ends: the State has changes that
// the disk has not, and the next process goes on from the disk.
func (s *Service) apply(effects Effects) {
	if err := storeEffects(s.db, effects); err != nil {
		s.log.Error("machine pool record not written", logkeys.Err, err)
		panic(fmt.Sprintf("pool: %v", err))
	}
	for _, response := range effects.Responses {
		if request, ok := response.Handle.(*http1.Request); ok {
			s.respond(request, response.Status, response.Body, response.RetryAfter)
		}
	}
	for _, addr := range effects.WorkersToNotify {
		select {
		case s.notifications <- addr:
		default: // the worker learns of it with its next report
		}
	}
}

func (s *Service) respond(request *http1.Request, status int, body any, retryAfter time.Duration) {
	encoded, err := codec.Marshal(body)
	if err != nil {
		s.log.Error("response not encoded", logkeys.Path, request.Target, logkeys.Err, err)
	}
	request.Respond(status, encoded, retryAfter)
}

// notifyWorkers asks workers to report at once, so that they get their new assignment.
func (s *Service) notifyWorkers() {
	client := http1.NewClient(maxNotifyConnections, maxIdleNotifyConnections, http1.MaxBodyBytes)
	for addr := range s.notifications {
		if _, err := client.Do(addr, http.MethodPost, "/site/look", nil, notifyTimeout); err != nil {
			s.log.Debug("worker not notified", logkeys.Worker, addr, logkeys.Err, err)
		}
	}
}
