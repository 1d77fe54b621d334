// Package emulator is a cloud with its workers on loopback, in real time, for controllers that are
// real processes. It keeps a plain history of what its workers are told and do.
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

// Options of a cloud.
type Options struct {
	Controllers map[string]string // their names and addresses, for the workers
	Report      time.Duration
	Lease       time.Duration
	Capacity    int           // machines at a time
	TaskTime    time.Duration // the longest that a task runs
	Seed        uint64
}

// Cloud rents machines; each has a worker.
type Cloud struct {
	opt     Options
	History *History
	flavor  cloud.MachineType
	front   *front

	mu       sync.Mutex
	rng      *rand.Rand
	machines map[string]*emulatedWorker
	names    []string
	charters map[string][]string
}

// NewCloud starts a cloud on a free port of loopback.
func NewCloud(opt Options) (*Cloud, error) {
	c := &Cloud{
		opt:      opt,
		History:  newHistory(),
		machines: map[string]*emulatedWorker{},
		charters: map[string][]string{},
		rng:      rand.New(rand.NewPCG(opt.Seed, 11)),
		flavor: cloud.MachineType{
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
	c.front, err = serveFront(c.serve)
	return c, err
}

// Addr is the cloud's address.
func (c *Cloud) Addr() string { return c.front.addr() }

// Close ends the cloud and its workers.
func (c *Cloud) Close() {
	c.front.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.machines {
		w.stop()
	}
}

func (c *Cloud) serve(m *http1.Message) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	path, _, _ := cutQuery(m.Target)
	switch {
	case path == "/flavors":
		return 200, map[string]any{"keels": []cloud.MachineType{c.flavor}}
	case path == "/hosts" && m.Method == http.MethodGet:
		rows := []any{}
		for _, id := range c.names {
			if w := c.machines[id]; w != nil {
				rows = append(rows, map[string]any{
					"id": id, "addr": w.front.addr(), "keel": c.flavor.Name, "harbour": "a", "driftwood": w.spot,
					"trim": "running", "age_s": time.Since(w.born).Seconds(),
				})
			}
		}
		return 200, map[string]any{"oarlocks": rows, "has_next": false}
	case path == "/hosts/delete":
		var a struct {
			Hosts []string `msgpack:"oarlocks"`
		}
		if codec.Unmarshal(m.Body, &a) != nil {
			return 400, nil
		}
		for _, id := range a.Hosts {
			if w := c.machines[id]; w != nil {
				w.stop()
				delete(c.machines, id)
			}
		}
		return 200, nil
	case path == "/hosts":
		return c.rent(m.Body)
	}
	return 404, nil
}

func (c *Cloud) rent(body []byte) (int, any) {
	var a struct {
		Charter string `msgpack:"charter"`
		Spot    bool   `msgpack:"driftwood"`
		Count   int    `msgpack:"how_many"`
	}
	if codec.Unmarshal(body, &a) != nil {
		return 400, nil
	}
	if ids, ok := c.charters[a.Charter]; ok {
		return 200, map[string]any{"oarlocks": ids}
	}
	ids := []string{}
	for range min(a.Count, c.opt.Capacity-len(c.machines)) {
		id := fmt.Sprintf("vm-%06d", len(c.names))
		w, err := newWorker(c, id, a.Spot, rand.New(rand.NewPCG(c.rng.Uint64(), 1)))
		if err != nil {
			c.History.broke("a worker cannot be started: %v", err)
			break
		}
		c.machines[id] = w
		c.names = append(c.names, id)
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 503, map[string]string{"error": "no capacity"}
	}
	c.charters[a.Charter] = ids
	return 200, map[string]any{"oarlocks": ids}
}

// front is a small server: a goroutine for each connection.
type front struct {
	l     net.Listener
	mu    sync.Mutex
	open  map[net.Conn]bool
	ended bool
}

func serveFront(serve func(*http1.Message) (int, any)) (*front, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &front{l: l, open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.open[conn] = !f.ended
			ended := f.ended
			f.mu.Unlock()
			if ended {
				conn.Close()
				return
			}
			go f.talk(conn, serve)
		}
	}()
	return f, nil
}

func (f *front) addr() string { return f.l.Addr().String() }

func (f *front) close() {
	f.l.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for c := range f.open {
		c.Close()
	}
}

func (f *front) talk(conn net.Conn, serve func(*http1.Message) (int, any)) {
	defer func() {
		conn.Close()
		f.mu.Lock()
		delete(f.open, conn)
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
