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
	maxMachinesPerRequest  = 50
	maxDeletionsPerRequest = 100
	maxListedInstances     = 500
	// workerTimeout is how long a worker counts as there after it was heard.
	workerTimeout = 5 * time.Second
	// deletionTimeout is how long a deletion waits for the worker's word before the caller is told to
	// repeat it.
	deletionTimeout = 3 * time.Second
	// maxStoredRequests bounds the requests that are remembered; the oldest are of leaders long gone.
	maxStoredRequests = 10_000
	// spotPriceFactor is the price of spot machines, of which a site has none: times that of an ordinary one.
	spotPriceFactor = 100
)

// State is the pure part of a pool.
type State struct {
	options          Options
	record           Record
	workers          map[string]*worker
	lastSerial       uint64 // of charges
	pendingDeletions []*deletion
	recordChanged    bool
	effects          Effects
}

type worker struct {
	workerReport
	reportedAt time.Time
}

// deletion is a request that waits for its workers' word.
type deletion struct {
	handle   any
	ids      []string
	deadline time.Time
}

// NewState makes the state of a pool from what an earlier process has kept.
func NewState(options Options, record Record) *State {
	if record.Machines == nil {
		record.Machines = map[string]*Machine{}
	}
	if record.MachinesByRequest == nil {
		record.MachinesByRequest = map[string][]string{}
	}
	return &State{options: options, record: record, workers: map[string]*worker{}}
}

// Step works through a batch of requests.
func (s *State) Step(now time.Time, requests []Request) Effects {
	s.effects, s.recordChanged = Effects{}, false
	for _, r := range requests {
		s.handle(now, r)
	}
	s.completeDeletions(now)
	if s.recordChanged {
		s.effects.Record = &s.record
	}
	return s.effects
}

func (s *State) respond(handle any, status int, body any) {
	s.effects.Responses = append(s.effects.Responses, Response{Handle: handle, Status: status, Body: body})
}

func (s *State) handle(now time.Time, r Request) {
	path, query, _ := strings.Cut(r.Target, "?")
	switch r.Method + " " + path {
	case "GET /flavors":
		s.respond(r.Handle, 200, map[string]any{"keels": s.machineTypes()})
	case "GET /hosts":
		s.listInstances(now, r.Handle, query)
	case "POST /hosts":
		s.createMachines(now, r)
	case "POST /hosts/delete":
		s.deleteMachines(now, r)
	case "POST /site/greet":
		s.handleReport(now, r)
	case "GET /site":
		s.respond(r.Handle, 200, s.overview(now))
	case "POST /site/drain", "POST /site/undrain":
		s.setDraining(path == "/site/drain")
		s.respond(r.Handle, 200, s.overview(now))
	default:
		s.respond(r.Handle, 404, map[string]string{"error": "no such path"})
	}
}

func (s *State) sortedMachineIDs() []string { return slices.Sorted(maps.Keys(s.record.Machines)) }

// machineTypes are the types of the workers that are there, or were while this process ran.
func (s *State) machineTypes() []machineType {
	types := map[string]machineType{}
	for _, w := range s.workers {
		types[w.Type] = machineType{
			Name: w.Type, CPUs: w.CPUs, MemoryGB: w.MemoryGB, HourlyPrice: s.options.HourlyPrice, HourlySpotPrice: spotPriceFactor * max(s.options.HourlyPrice, 1), BootSeconds: 1,
			ImageCacheGB: 1000, FetchGBPerSecond: 1000, Zones: []string{s.options.Zone},
		}
	}
	list := []machineType{}
	for _, name := range slices.Sorted(maps.Keys(types)) {
		list = append(list, types[name])
	}
	return list
}

func (s *State) listInstances(now time.Time, handle any, query string) {
	q, err := url.ParseQuery(query)
	limit, limitText := maxListedInstances, q.Get("most")
	if err == nil && limitText != "" {
		limit, err = strconv.Atoi(limitText)
	}
	if err != nil || limit < 1 || limit > maxListedInstances {
		s.respond(handle, 400, map[string]string{"error": "malformed"})
		return
	}
	instances, hasNext := []instance{}, false
	for _, id := range s.sortedMachineIDs() {
		m := s.record.Machines[id]
		if id <= q.Get("from") || m.IsTerminating {
			continue
		}
		if len(instances) == limit {
			hasNext = true
			break
		}
		h := instance{ID: id, Type: m.Type, Zone: s.options.Zone, State: "starting", AgeSeconds: now.Sub(m.CreatedAt).Seconds()}
		if w := s.workers[m.Worker]; w != nil {
			h.Addr = w.Addr
		}
		switch {
		case m.HasFailed:
			h.State = "failed"
		case m.IsRunning:
			h.State = "running"
		}
		instances = append(instances, h)
	}
	s.respond(handle, 200, map[string]any{"oarlocks": instances, "has_next": hasNext})
}

// createMachines hands machines out. A request that was answered with machines gets the same answer again.
func (s *State) createMachines(now time.Time, r Request) {
	var message struct {
		Charter string `msgpack:"charter"`
		Type    string `msgpack:"keel"`
		Zone    string `msgpack:"harbour"`
		Spot    bool   `msgpack:"driftwood"`
		Count   int    `msgpack:"how_many"`
	}
	if codec.Unmarshal(r.Body, &message) != nil || message.Charter == "" || len(message.Charter) > 200 || message.Count < 1 || message.Count > maxMachinesPerRequest {
		s.respond(r.Handle, 400, map[string]string{"error": "malformed"})
		return
	}
	if ids, ok := s.record.MachinesByRequest[message.Charter]; ok {
		s.respond(r.Handle, 200, map[string]any{"oarlocks": ids})
		return
	}
	ids := []string{}
	if !s.record.IsDraining && !message.Spot && message.Zone == s.options.Zone {
		for _, name := range slices.Sorted(maps.Keys(s.workers)) {
			w := s.workers[name]
			if len(ids) == message.Count {
				break
			}
			if w.Type != message.Type || w.Machine != "" || now.Sub(w.reportedAt) > workerTimeout || s.machineOf(name) != "" {
				continue
			}
			s.record.LastMachineNumber++
			id := fmt.Sprintf("vm-%06d", s.record.LastMachineNumber)
			s.record.Machines[id] = &Machine{Worker: name, WorkerEpoch: w.Epoch, Type: w.Type, CreatedAt: now}
			ids = append(ids, id)
			s.effects.WorkersToNotify = append(s.effects.WorkersToNotify, w.Addr)
		}
	}
	if len(ids) == 0 {
		s.respond(r.Handle, 503, map[string]string{"error": "no capacity"})
		return
	}
	if len(s.record.MachinesByRequest) >= maxStoredRequests {
		s.forgetOldRequests()
	}
	s.record.MachinesByRequest[message.Charter] = ids
	s.recordChanged = true
	s.respond(r.Handle, 200, map[string]any{"oarlocks": ids})
}

// forgetOldRequests drops those whose machines are all gone. A repetition that comes as late as that
// gets other machines, which nobody expects and the controllers use or return.
func (s *State) forgetOldRequests() {
	for name, ids := range s.record.MachinesByRequest {
		if !slices.ContainsFunc(ids, func(id string) bool { return s.record.Machines[id] != nil }) {
			delete(s.record.MachinesByRequest, name)
		}
	}
}

// machineOf is the machine that a worker has, whatever became of it, as long as something may be left.
func (s *State) machineOf(name string) string {
	for id, m := range s.record.Machines {
		if m.Worker == name {
			return id
		}
	}
	return ""
}

func (s *State) deleteMachines(now time.Time, r Request) {
	var message struct {
		IDs []string `msgpack:"oarlocks"`
	}
	if codec.Unmarshal(r.Body, &message) != nil || len(message.IDs) > maxDeletionsPerRequest {
		s.respond(r.Handle, 400, map[string]string{"error": "malformed"})
		return
	}
	for _, id := range message.IDs {
		s.terminate(id)
	}
	s.pendingDeletions = append(s.pendingDeletions, &deletion{r.Handle, message.IDs, now.Add(deletionTimeout)})
}

// terminate takes a machine from its worker, which is told so when it asks next.
func (s *State) terminate(id string) {
	m := s.record.Machines[id]
	if m == nil || m.IsTerminating {
		return
	}
	m.IsTerminating, s.recordChanged = true, true
	if w := s.workers[m.Worker]; w != nil {
		s.effects.WorkersToNotify = append(s.effects.WorkersToNotify, w.Addr)
	}
}

// completeDeletions answers deletions whose machines are gone for certain, or that have waited long enough.
func (s *State) completeDeletions(now time.Time) {
	pending := s.pendingDeletions[:0]
	for _, d := range s.pendingDeletions {
		left := slices.ContainsFunc(d.ids, func(id string) bool { return s.record.Machines[id] != nil })
		switch {
		case !left:
			s.respond(d.handle, 200, nil)
		case now.After(d.deadline):
			s.effects.Responses = append(s.effects.Responses, Response{
				Handle: d.handle, Status: 503, Body: map[string]string{"error": "a worker has not confirmed"}, RetryAfter: time.Second,
			})
		default:
			pending = append(pending, d)
		}
	}
	s.pendingDeletions = pending
}

// handleReport takes in what a worker says of itself, and tells it what it is to be.
func (s *State) handleReport(now time.Time, r Request) {
	var report workerReport
	if codec.Unmarshal(r.Body, &report) != nil || report.Name == "" || report.Addr == "" || report.Type == "" {
		s.respond(r.Handle, 400, map[string]string{"error": "no greeting"})
		return
	}
	if old := s.workers[report.Name]; old != nil && old.Epoch > report.Epoch {
		s.respond(r.Handle, 409, map[string]string{"error": "a later process of this worker is there"})
		return
	}
	s.workers[report.Name] = &worker{report, now}
	s.effects.TaskFailures = append(s.effects.TaskFailures, report.Failures...)
	s.lastSerial = max(s.lastSerial+1, uint64(now.UnixNano()))
	answer := assignment{Serial: s.lastSerial}
	for _, id := range s.sortedMachineIDs() {
		m := s.record.Machines[id]
		if m.Worker != report.Name {
			continue
		}
		switch {
		case m.WorkerEpoch != report.Epoch && report.Machine != id:
			// The worker's process ended, and its successor ended all that was left before it
			// said a word: nothing of the machine is there.
			if m.IsTerminating {
				delete(s.record.Machines, id)
			}
			s.recordChanged = s.recordChanged || !m.HasFailed || m.IsTerminating
			m.HasFailed = true
		case m.IsTerminating && m.releasedAtSerial > 0 && report.AppliedSerial >= m.releasedAtSerial && report.Machine != id:
			// It has taken in a charge that was another machine's, or none, and nothing is left. That
			// it does not hold the machine is not enough: the charge to take it may be on its way.
			delete(s.record.Machines, id)
			s.recordChanged = true
		case m.IsTerminating && m.releasedAtSerial == 0:
			m.releasedAtSerial = s.lastSerial
		case m.IsTerminating:
		default:
			if report.Machine == id && !m.IsRunning {
				m.IsRunning, s.recordChanged = true, true
			}
			if s.record.IsDraining && m.IsRunning && report.Machine == id && report.RunningTasks == 0 && !m.IsTerminating {
				s.terminate(id) // drained: nothing runs on it any more, and nothing more comes
				m.releasedAtSerial = s.lastSerial
				break
			}
			answer.Machine, answer.HasDrainNotice = id, s.record.IsDraining
		}
	}
	s.respond(r.Handle, 200, answer)
}

func (s *State) setDraining(isDraining bool) {
	if s.record.IsDraining == isDraining {
		return
	}
	s.record.IsDraining, s.recordChanged = isDraining, true
	for _, w := range s.workers {
		s.effects.WorkersToNotify = append(s.effects.WorkersToNotify, w.Addr)
	}
}

func (s *State) overview(now time.Time) Overview {
	view := Overview{IsDraining: s.record.IsDraining, MachineCount: len(s.record.Machines), Workers: []WorkerView{}}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[name]
		view.RunningTasks += w.RunningTasks
		view.Workers = append(view.Workers, WorkerView{name, w.Machine, w.CPUs, w.MemoryGB, w.RunningTasks, w.FreeDiskBytes >> 20, now.Sub(w.reportedAt).Seconds()})
	}
	return view
}
