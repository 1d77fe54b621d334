// Package emulator runs a cloud with its workers on loopback, in real time, for controllers that are
// real processes. It records the commands to its workers and their execution, and checks the protocol's rules on it.
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

// Options of an emulated cloud.
type Options struct {
	Controllers       map[string]string // addresses of the controllers by name
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	MaxMachines       int           // most machines that are up at a time
	MaxRunTime        time.Duration // longest run time of a task
	Seed              uint64
}

// Cloud is the simulated cloud: it starts and terminates machines, each with a worker.
type Cloud struct {
	options     Options
	History     *History
	machineType cloud.MachineType
	server      *httpServer

	mu         sync.Mutex
	rng        *rand.Rand
	machines   map[string]*emulatedWorker
	machineIDs []string
	requests   map[string][]string
}

// NewCloud starts a cloud on a free port of loopback; Close ends it.
func NewCloud(opt Options) (*Cloud, error) {
	c := &Cloud{
		options:  opt,
		History:  newHistory(),
		machines: map[string]*emulatedWorker{},
		requests: map[string][]string{},
		rng:      rand.New(rand.NewPCG(opt.Seed, 11)),
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

// Addr is the cloud's address.
func (c *Cloud) Addr() string { return c.server.addr() }

// Close stops the cloud and its workers.
func (c *Cloud) Close() {
	c.server.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.machines {
		w.stop()
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
		rows := []any{}
		for _, id := range c.machineIDs {
			if worker := c.machines[id]; worker != nil {
				rows = append(rows, map[string]any{
					"id": id, "addr": worker.server.addr(), "keel": c.machineType.Name, "harbour": "a", "driftwood": worker.spot,
					"trim": "running", "age_s": time.Since(worker.startedAt).Seconds(),
				})
			}
		}
		return http.StatusOK, map[string]any{"oarlocks": rows, "has_next": false}
	case path == "/hosts/delete":
		var deletion struct {
			Hosts []string `msgpack:"oarlocks"`
		}
		if codec.Unmarshal(request.Body, &deletion) != nil {
			return http.StatusBadRequest, nil
		}
		for _, id := range deletion.Hosts {
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
	var order struct {
		Charter string `msgpack:"charter"`
		Spot    bool   `msgpack:"driftwood"`
		Count   int    `msgpack:"how_many"`
	}
	if codec.Unmarshal(body, &order) != nil {
		return http.StatusBadRequest, nil
	}
	if ids, ok := c.requests[order.Charter]; ok {
		return http.StatusOK, map[string]any{"oarlocks": ids}
	}
	ids := []string{}
	for range min(order.Count, c.options.MaxMachines-len(c.machines)) {
		id := fmt.Sprintf("vm-%06d", len(c.machineIDs))
		w, err := newWorker(c, id, order.Spot, rand.New(rand.NewPCG(c.rng.Uint64(), 1)))
		if err != nil {
			c.History.reportViolation("a worker cannot be started: %v", err)
			break
		}
		c.machines[id] = w
		c.machineIDs = append(c.machineIDs, id)
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return http.StatusServiceUnavailable, map[string]string{"error": "no capacity"}
	}
	c.requests[order.Charter] = ids
	return http.StatusOK, map[string]any{"oarlocks": ids}
}

// httpServer is a small server: a goroutine for each connection.
type httpServer struct {
	listener    net.Listener
	mu          sync.Mutex
	connections map[net.Conn]bool
	isClosed    bool
}

func serveHTTP(serve func(*http1.Message) (int, any)) (*httpServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &httpServer{listener: l, connections: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.connections[conn] = !f.isClosed
			ended := f.isClosed
			f.mu.Unlock()
			if ended {
				_ = conn.Close() // the server is closed, nobody waits for a response
				return
			}
			go f.serveConnection(conn, serve)
		}
	}()
	return f, nil
}

func (f *httpServer) addr() string { return f.listener.Addr().String() }

func (f *httpServer) close() {
	_ = f.listener.Close() // it was open until now
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isClosed = true
	for c := range f.connections {
		_ = c.Close() // the other side sees the end either way
	}
}

func (f *httpServer) serveConnection(conn net.Conn, serve func(*http1.Message) (int, any)) {
	defer func() {
		_ = conn.Close() // the other side sees the end either way
		f.mu.Lock()
		delete(f.connections, conn)
		f.mu.Unlock()
	}()
	var buf []byte
	chunk := make([]byte, 16<<10)
	for {
		m, used, err := http1.Parse(buf, false, http1.MaxBodyBytes)
		if err != nil {
			return
		}
		if m == nil {
			n, err := conn.Read(chunk)
			if err != nil && !errors.Is(err, io.EOF) || n == 0 {
				return
			}
			buf = append(buf, chunk[:n]...)
			continue
		}
		status, body := serve(m)
		raw, err := codec.Marshal(body)
		if err != nil {
			return
		}
		if _, err := conn.Write(http1.AppendResponse(nil, status, raw, 0, m.CloseConnection)); err != nil || m.CloseConnection {
			return
		}
		buf = append([]byte(nil), buf[used:]...)
	}
}
