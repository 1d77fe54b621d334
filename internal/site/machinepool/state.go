// Package machinepool serves the machines that a site owns through the protocol of a cloud. Creating an instance assigns a machine to a
// worker. A deletion is confirmed only once that worker has reported that none of the machine's tasks is left.
//
// State owns which machines exist, which worker has each of them, and whether the site is being drained. It does no I/O. Service stores
// every change before it responds. It owns the database with the pool's record, the job specs and the failures of tasks. The package
// never starts or stops a task. docs/design/site.md describes a site.
package machinepool

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/wire/poolapi"
	"gullrudder/internal/wire/server"
)

// State is the state of a pool. It does no I/O, and is not safe for concurrent use.
type State struct {
	options          Options
	record           Record
	workers          map[string]*worker // by name; only workers that have reported to this process
	lastSerial       uint64             // of the last assignment
	pendingDeletions []*deletion
	recordChanged    bool
	effects          Effects
}

// worker is the newest report of a worker, and the time when it was received.
type worker struct {
	poolapi.WorkerReport
	reportedAt time.Time
}

// NewState returns the state of a pool with the record that an earlier process stored; the zero Record is that of a new pool. The State
// modifies the record's maps.
func NewState(options Options, record Record) *State {
	if record.Machines == nil {
		record.Machines = map[string]*Machine{}
	}
	if record.MachinesByRequest == nil {
		record.MachinesByRequest = map[string][]string{}
	}
	return &State{options: options, record: record, workers: map[string]*worker{}}
}

// Step handles a batch of requests. The caller carries out the effects. Step has to be called regularly, even if there are no requests,
// so that waiting deletions time out.
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

func (s *State) handle(now time.Time, request Request) {
	path, query, _ := strings.Cut(request.Target, "?")
	switch request.Method + " " + path {
	case "GET /flavors":
		s.respond(request.Handle, http.StatusOK, machineTypesResponse{s.machineTypes()})
	case "GET /hosts":
		s.listInstances(now, request.Handle, query)
	case "POST /hosts":
		s.createMachines(now, request)
	case "POST /hosts/delete":
		s.deleteMachines(now, request)
	case "POST " + poolapi.ReportPath:
		s.handleReport(now, request)
	case "GET /site":
		s.respond(request.Handle, http.StatusOK, s.overview(now))
	case "POST /site/drain", "POST /site/undrain":
		s.setDraining(path == "/site/drain")
		s.respond(request.Handle, http.StatusOK, s.overview(now))
	default:
		s.respondError(request.Handle, http.StatusNotFound, "no such path")
	}
}

func (s *State) respond(handle any, status int, body any) {
	s.effects.Responses = append(s.effects.Responses, Response{Handle: handle, Status: status, Body: body})
}

func (s *State) respondError(handle any, status int, text string) {
	s.respond(handle, status, server.ErrorResponse{Error: text})
}

func (s *State) notify(w *worker) {
	s.effects.WorkersToNotify = append(s.effects.WorkersToNotify, w.Addr)
}

func (s *State) sortedMachineIDs() []string { return slices.Sorted(maps.Keys(s.record.Machines)) }

func (s *State) sortedWorkerNames() []string { return slices.Sorted(maps.Keys(s.workers)) }

// machineIDOfWorker returns the ID of the worker's machine, in any state, or "" if it has none.
func (s *State) machineIDOfWorker(workerName string) string {
	for id, m := range s.record.Machines {
		if m.Worker == workerName {
			return id
		}
	}
	return ""
}
