package machinepool

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/wire/codec"
)

const (
	mostRent   = 50
	mostDelete = 100
	mostList   = 500
	// heard is how long a worker counts as there after it was heard.
	heard = 5 * time.Second
	// confirmWithin is how long a deletion waits for the worker's word before the caller is told to
	// repeat it.
	confirmWithin = 3 * time.Second
	// mostCharters bounds the requests that are remembered; the oldest are of leaders long gone.
	mostCharters = 10_000
	// never is the price of spot machines, of which a site has none: times that of an ordinary one.
	never = 100
)

// State is the pure part of a pool.
type State struct {
	opt      Options
	rec      Record
	workers  map[string]*worker
	serial   uint64 // of charges
	deleting []*deletion
	changed  bool
	effects  Effects
}

type worker struct {
	greeting
	at time.Time
}

// deletion is a request that waits for its workers' word.
type deletion struct {
	handle any
	ids    []string
	by     time.Time
}

// New makes the state of a pool from what an earlier process has kept.
func New(opt Options, rec Record) *State {
	if rec.Machines == nil {
		rec.Machines = map[string]*Machine{}
	}
	if rec.Charters == nil {
		rec.Charters = map[string][]string{}
	}
	return &State{opt: opt, rec: rec, workers: map[string]*worker{}}
}

// Step works through a batch of requests.
func (s *State) Step(now time.Time, list []Request) Effects {
	s.effects, s.changed = Effects{}, false
	for _, r := range list {
		s.serve(now, r)
	}
	s.settle(now)
	if s.changed {
		s.effects.Keep = &s.rec
	}
	return s.effects
}

func (s *State) respond(handle any, status int, body any) {
	s.effects.Responses = append(s.effects.Responses, Response{Handle: handle, Status: status, Body: body})
}

func (s *State) serve(now time.Time, r Request) {
	path, query, _ := strings.Cut(r.Target, "?")
	switch r.Method + " " + path {
	case "GET /flavors":
		s.respond(r.Handle, 200, map[string]any{"keels": s.flavors()})
	case "GET /hosts":
		s.list(now, r.Handle, query)
	case "POST /hosts":
		s.rent(now, r)
	case "POST /hosts/delete":
		s.remove(now, r)
	case "POST /site/greet":
		s.greet(now, r)
	case "GET /site":
		s.respond(r.Handle, 200, s.overview(now))
	case "POST /site/drain", "POST /site/undrain":
		s.drain(path == "/site/drain")
		s.respond(r.Handle, 200, s.overview(now))
	default:
		s.respond(r.Handle, 404, map[string]string{"error": "no such path"})
	}
}

func (s *State) sorted() []string { return slices.Sorted(maps.Keys(s.rec.Machines)) }

// flavors are the types of the workers that are there, or were while this process ran.
func (s *State) flavors() []flavor {
	types := map[string]flavor{}
	for _, w := range s.workers {
		types[w.Type] = flavor{
			Name: w.Type, CPUs: w.CPUs, Mem: w.MemGB, Price: s.opt.Price, SpotPrice: never * max(s.opt.Price, 1), Ready: 1,
			CacheGB: 1000, FetchRate: 1000, Zones: []string{s.opt.Zone},
		}
	}
	list := []flavor{}
	for _, name := range slices.Sorted(maps.Keys(types)) {
		list = append(list, types[name])
	}
	return list
}

func (s *State) list(now time.Time, ref any, query string) {
	q, err := url.ParseQuery(query)
	most, num := mostList, q.Get("most")
	if err == nil && num != "" {
		most, err = strconv.Atoi(num)
	}
	if err != nil || most < 1 || most > mostList {
		s.respond(ref, 400, map[string]string{"error": "malformed"})
		return
	}
	rows, more := []host{}, false
	for _, id := range s.sorted() {
		m := s.rec.Machines[id]
		if id <= q.Get("from") || m.Leaving {
			continue
		}
		if len(rows) == most {
			more = true
			break
		}
		h := host{ID: id, Type: m.Type, Zone: s.opt.Zone, State: "starting", Age: now.Sub(m.Born).Seconds()}
		if w := s.workers[m.Worker]; w != nil {
			h.Addr = w.Addr
		}
		switch {
		case m.Failed:
			h.State = "failed"
		case m.Up:
			h.State = "running"
		}
		rows = append(rows, h)
	}
	s.respond(ref, 200, map[string]any{"oarlocks": rows, "has_next": more})
}

// rent hands machines out. A request that was answered with machines gets the same answer again.
func (s *State) rent(now time.Time, r Request) {
	var a struct {
		Charter string `msgpack:"charter"`
		Type    string `msgpack:"keel"`
		Zone    string `msgpack:"harbour"`
		Spot    bool   `msgpack:"driftwood"`
		Count   int    `msgpack:"how_many"`
	}
	if codec.Unmarshal(r.Body, &a) != nil || a.Charter == "" || len(a.Charter) > 200 || a.Count < 1 || a.Count > mostRent {
		s.respond(r.Handle, 400, map[string]string{"error": "malformed"})
		return
	}
	if ids, ok := s.rec.Charters[a.Charter]; ok {
		s.respond(r.Handle, 200, map[string]any{"oarlocks": ids})
		return
	}
	ids := []string{}
	if !s.rec.Draining && !a.Spot && a.Zone == s.opt.Zone {
		for _, name := range slices.Sorted(maps.Keys(s.workers)) {
			w := s.workers[name]
			if len(ids) == a.Count {
				break
			}
			if w.Type != a.Type || w.Holding != "" || now.Sub(w.at) > heard || s.of(name) != "" {
				continue
			}
			s.rec.Counter++
			id := fmt.Sprintf("vm-%06d", s.rec.Counter)
			s.rec.Machines[id] = &Machine{Worker: name, Epoch: w.Epoch, Type: w.Type, Born: now}
			ids = append(ids, id)
			s.effects.Look = append(s.effects.Look, w.Addr)
		}
	}
	if len(ids) == 0 {
		s.respond(r.Handle, 503, map[string]string{"error": "no capacity"})
		return
	}
	if len(s.rec.Charters) >= mostCharters {
		s.forgetCharters()
	}
	s.rec.Charters[a.Charter] = ids
	s.changed = true
	s.respond(r.Handle, 200, map[string]any{"oarlocks": ids})
}

// forgetCharters drops those whose machines are all gone. A repetition that comes as late as that
// gets other machines, which nobody expects and the controllers use or return.
func (s *State) forgetCharters() {
	for name, ids := range s.rec.Charters {
		if !slices.ContainsFunc(ids, func(id string) bool { return s.rec.Machines[id] != nil }) {
			delete(s.rec.Charters, name)
		}
	}
}

// of is the machine that a worker has, whatever became of it, as long as something may be left.
func (s *State) of(name string) string {
	for id, m := range s.rec.Machines {
		if m.Worker == name {
			return id
		}
	}
	return ""
}

func (s *State) remove(now time.Time, r Request) {
	var a struct {
		IDs []string `msgpack:"oarlocks"`
	}
	if codec.Unmarshal(r.Body, &a) != nil || len(a.IDs) > mostDelete {
		s.respond(r.Handle, 400, map[string]string{"error": "malformed"})
		return
	}
	for _, id := range a.IDs {
		s.leave(id)
	}
	s.deleting = append(s.deleting, &deletion{r.Handle, a.IDs, now.Add(confirmWithin)})
}

// leave takes a machine from its worker, which is told so when it asks next.
func (s *State) leave(id string) {
	m := s.rec.Machines[id]
	if m == nil || m.Leaving {
		return
	}
	m.Leaving, s.changed = true, true
	if w := s.workers[m.Worker]; w != nil {
		s.effects.Look = append(s.effects.Look, w.Addr)
	}
}

// settle answers deletions whose machines are gone for certain, or that have waited long enough.
func (s *State) settle(now time.Time) {
	rest := s.deleting[:0]
	for _, d := range s.deleting {
		left := slices.ContainsFunc(d.ids, func(id string) bool { return s.rec.Machines[id] != nil })
		switch {
		case !left:
			s.respond(d.handle, 200, nil)
		case now.After(d.by):
			s.effects.Responses = append(s.effects.Responses, Response{
				Handle: d.handle, Status: 503, Body: map[string]string{"error": "a worker has not confirmed"}, RetryAfter: time.Second,
			})
		default:
			rest = append(rest, d)
		}
	}
	s.deleting = rest
}

// greet takes in what a worker says of itself, and tells it what it is to be.
func (s *State) greet(now time.Time, r Request) {
	var g greeting
	if codec.Unmarshal(r.Body, &g) != nil || g.Name == "" || g.Addr == "" || g.Type == "" {
		s.respond(r.Handle, 400, map[string]string{"error": "no greeting"})
		return
	}
	if old := s.workers[g.Name]; old != nil && old.Epoch > g.Epoch {
		s.respond(r.Handle, 409, map[string]string{"error": "a later process of this worker is there"})
		return
	}
	s.workers[g.Name] = &worker{g, now}
	s.effects.Failed = append(s.effects.Failed, g.Failures...)
	s.serial = max(s.serial+1, uint64(now.UnixNano()))
	c := charge{Serial: s.serial}
	for _, id := range s.sorted() {
		m := s.rec.Machines[id]
		if m.Worker != g.Name {
			continue
		}
		switch {
		case m.Epoch != g.Epoch && g.Holding != id:
			// The worker's process ended, and its successor ended all that was left before it
			// said a word: nothing of the machine is there.
			if m.Leaving {
				delete(s.rec.Machines, id)
			}
			s.changed = s.changed || !m.Failed || m.Leaving
			m.Failed = true
		case m.Leaving && m.freed > 0 && g.Applied >= m.freed && g.Holding != id:
			// It has taken in a charge that was another machine's, or none, and nothing is left. That
			// it does not hold the machine is not enough: the charge to take it may be on its way.
			delete(s.rec.Machines, id)
			s.changed = true
		case m.Leaving && m.freed == 0:
			m.freed = s.serial
		case m.Leaving:
		default:
			if g.Holding == id && !m.Up {
				m.Up, s.changed = true, true
			}
			if s.rec.Draining && m.Up && g.Holding == id && g.Busy == 0 && !m.Leaving {
				s.leave(id) // drained: nothing runs on it any more, and nothing more comes
				m.freed = s.serial
				break
			}
			c.Machine, c.Notice = id, s.rec.Draining
		}
	}
	s.respond(r.Handle, 200, c)
}

func (s *State) drain(on bool) {
	if s.rec.Draining == on {
		return
	}
	s.rec.Draining, s.changed = on, true
	for _, w := range s.workers {
		s.effects.Look = append(s.effects.Look, w.Addr)
	}
}

func (s *State) overview(now time.Time) Overview {
	o := Overview{Draining: s.rec.Draining, Rented: len(s.rec.Machines), Workers: []WorkerView{}}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[name]
		o.Busy += w.Busy
		o.Workers = append(o.Workers, WorkerView{name, w.Holding, w.CPUs, w.MemGB, w.Busy, w.FreeDisk >> 20, now.Sub(w.at).Seconds()})
	}
	return o
}
