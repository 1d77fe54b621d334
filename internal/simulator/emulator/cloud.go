// Package emulator runs a cloud and its workers on the loopback interface in real time, for controllers that run as separate
// processes. It records how the workers execute commands, and checks the protocol's rules on these records.
package emulator

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
)

// Options of an emulated cloud. All fields but Seed must be positive or not empty.
type Options struct {
	Controllers       map[string]string // HOST:PORT of the controllers by name
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration // a worker ends its tasks if it gets no response to a heartbeat for longer
	MaxMachines       int           // maximum number of machines at a time
	MaxRunTime        time.Duration // a task runs for 10 ms plus a random time below this
	Seed              uint64        // of the tasks' run times
}

// Cloud starts and terminates machines on request of the controllers. Each machine has an emulated worker. It is safe for
// concurrent use.
type Cloud struct {
	options     Options
	History     *History
	machineType cloud.MachineType
	server      *httpServer

	mu           sync.Mutex
	rng          *rand.Rand
	machines     map[string]*emulatedWorker // machines that are up, by ID
	machineIDs   []string                   // of all machines started so far
	idsByRequest map[string][]string        // machine IDs by request token; a repeated request gets the same IDs
}

// NewCloud starts a cloud on a free port of 127.0.0.1. Call Close to stop it.
func NewCloud(options Options) (*Cloud, error) {
	c := &Cloud{
		options:      options,
		History:      newHistory(),
		machines:     map[string]*emulatedWorker{},
		idsByRequest: map[string][]string{},
		rng:          rand.New(rand.NewPCG(options.Seed, 11)),
		machineType: cloud.MachineType{
			Name:             "bench",
			CPUs:             8,
			MemoryGB:         32,
			HourlyPrice:      1,
			SpotHourlyPrice:  0.5,
			BootSeconds:      0.2,
			ImageCacheGB:     100,
			FetchGBPerSecond: 100,
			Zones:            []string{"a"},
		},
	}
	var err error
	c.server, err = serveHTTP(c.serve)
	return c, err
}

// Addr returns the address of the cloud's API as HOST:PORT.
func (c *Cloud) Addr() string { return c.server.addr() }

// Close stops the cloud's API and all workers.
func (c *Cloud) Close() {
	c.server.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, worker := range c.machines {
		worker.stop()
	}
}

func (c *Cloud) serve(request *http1.Message) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	path, _, _ := cutQuery(request.Target)
	switch {
	case path == "/flavors":
		return http.StatusOK, map[string]any{"keels": []cloud.MachineType{c.machineType}}
	case path == "/hosts" && request.Method == http.MethodGet:
		instances := []any{}
		for _, id := range c.machineIDs {
			if worker := c.machines[id]; worker != nil {
				instances = append(instances, map[string]any{
					"id": id, "addr": worker.server.addr(), "keel": c.machineType.Name, "harbour": "a", "driftwood": worker.spot,
					"trim": "running", "age_s": time.Since(worker.startedAt).Seconds(),
				})
			}
		}
		return http.StatusOK, map[string]any{"oarlocks": instances, "has_next": false}
	case path == "/hosts/delete":
		var deletion struct {
			InstanceIDs []string `msgpack:"oarlocks"`
		}
		if codec.Unmarshal(request.Body, &deletion) != nil {
			return http.StatusBadRequest, nil
		}
		for _, id := range deletion.InstanceIDs {
			if worker := c.machines[id]; worker != nil {
				worker.stop()
				delete(c.machines, id)
			}
		}
		return http.StatusOK, nil
	case path == "/hosts":
		return c.requestInstances(request.Body)
	}
	return http.StatusNotFound, nil
}

func (c *Cloud) requestInstances(body []byte) (int, any) {
	var request struct {
		RequestToken string `msgpack:"charter"`
		Spot         bool   `msgpack:"driftwood"`
		Count        int    `msgpack:"how_many"`
	}
	if codec.Unmarshal(body, &request) != nil {
		return http.StatusBadRequest, nil
	}
	if ids, ok := c.idsByRequest[request.RequestToken]; ok {
		return http.StatusOK, map[string]any{"oarlocks": ids}
	}
	ids := []string{}
	for range min(request.Count, c.options.MaxMachines-len(c.machines)) {
		id := fmt.Sprintf("vm-%06d", len(c.machineIDs))
		worker, err := newWorker(c, id, request.Spot, rand.New(rand.NewPCG(c.rng.Uint64(), 1)))
		if err != nil {
			c.History.reportViolation("start of a worker failed: %v", err)
			break
		}
		c.machines[id] = worker
		c.machineIDs = append(c.machineIDs, id)
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return http.StatusServiceUnavailable, map[string]string{"error": "no capacity"}
	}
	c.idsByRequest[request.RequestToken] = ids
	return http.StatusOK, map[string]any{"oarlocks": ids}
}

// httpServer is a minimal HTTP server with one goroutine per connection.
type httpServer struct {
	listener    net.Listener
	mu          sync.Mutex
	connections map[net.Conn]bool
	isClosed    bool
}

func serveHTTP(serve func(*http1.Message) (int, any)) (*httpServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &httpServer{listener: listener, connections: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections[conn] = !s.isClosed
			isClosed := s.isClosed
			s.mu.Unlock()
			if isClosed {
				_ = conn.Close() // the server is closed, so no client waits for a response
				return
			}
			go s.serveConnection(conn, serve)
		}
	}()
	return s, nil
}

func (s *httpServer) addr() string { return s.listener.Addr().String() }

func (s *httpServer) close() {
	_ = s.listener.Close() // a failed close leaves nothing to clean up
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for conn := range s.connections {
		_ = conn.Close() // the client notices the closed connection even if this fails
	}
}

func (s *httpServer) serveConnection(conn net.Conn, serve func(*http1.Message) (int, any)) {
	defer func() {
		_ = conn.Close() // the client notices the closed connection even if this fails
		s.mu.Lock()
		delete(s.connections, conn)
		s.mu.Unlock()
	}()
	var buf []byte
	chunk := make([]byte, 16<<10)
	for {
		request, used, err := http1.Parse(buf, false, http1.MaxBodyBytes)
		if err != nil {
			return
		}
		if request == nil {
			n, err := conn.Read(chunk)
			if err != nil && !errors.Is(err, io.EOF) || n == 0 {
				return
			}
			buf = append(buf, chunk[:n]...)
			continue
		}
		status, body := serve(request)
		raw, err := codec.Marshal(body)
		if err != nil {
			return
		}
		if _, err := conn.Write(http1.AppendResponse(nil, status, raw, 0, request.CloseConnection)); err != nil || request.CloseConnection {
			return
		}
		buf = append([]byte(nil), buf[used:]...)
	}
}
