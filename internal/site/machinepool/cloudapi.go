package machinepool

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

// Limits of the cloud's protocol.
const (
	maxMachinesPerRequest  = 50
	maxRequestNameBytes    = 200
	maxDeletionsPerRequest = 100
	maxListedInstances     = 500
)

const (
	// workerTimeout is how long after its last report a worker may still be assigned a machine.
	workerTimeout = 5 * time.Second
	// deletionTimeout is how long a deletion waits for the workers' reports. After that the caller has to retry.
	deletionTimeout = 3 * time.Second
	// deletionRetryAfter is the Retry-After of a deletion that timed out.
	deletionRetryAfter = time.Second
	// maxStoredRequests is the number of stored create requests from which stale ones are removed.
	maxStoredRequests = 10_000
)

// Properties of a machine type that the cloud's protocol requires, but that machines of a site do not have.
const (
	// spotPriceFactor is the ratio of the spot price to the ordinary price. It is high so that no spot machines are requested, since a
	// site has none.
	spotPriceFactor  = 100
	bootSeconds      = 1
	imageCacheGB     = 1000 // ample, since a site fetches no images
	fetchGBPerSecond = 1000
)

// States of an instance in the cloud's protocol.
const (
	instanceStarting = "starting"
	instanceRunning  = "running"
	instanceFailed   = "failed"
)

// machineTypes returns the types of all workers that have reported to this process.
func (s *State) machineTypes() []machineType {
	byName := map[string]machineType{}
	for _, w := range s.workers {
		byName[w.Type] = machineType{
			Name:             w.Type,
			CPUs:             w.CPUs,
			MemoryGB:         w.MemoryGB,
			HourlyPrice:      s.options.HourlyPrice,
			HourlySpotPrice:  spotPriceFactor * max(s.options.HourlyPrice, 1),
			BootSeconds:      bootSeconds,
			ImageCacheGB:     imageCacheGB,
			FetchGBPerSecond: fetchGBPerSecond,
			Zones:            []string{s.options.Zone},
		}
	}
	types := []machineType{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		types = append(types, byName[name])
	}
	return types
}

// listInstances responds with a page of the instances, in the order of their IDs.
func (s *State) listInstances(now time.Time, handle any, query string) {
	parameters, err := url.ParseQuery(query)
	limit, limitText := maxListedInstances, parameters.Get("most")
	if err == nil && limitText != "" {
		limit, err = strconv.Atoi(limitText)
	}
	if err != nil || limit < 1 || limit > maxListedInstances {
		s.respondError(handle, http.StatusBadRequest, "malformed")
		return
	}
	page := instancesResponse{Instances: []instance{}}
	for _, id := range s.sortedMachineIDs() {
		m := s.record.Machines[id]
		if id <= parameters.Get("from") || m.IsTerminating {
			continue
		}
		if len(page.Instances) == limit {
			page.HasNext = true
			break
		}
		page.Instances = append(page.Instances, s.instance(now, id, m))
	}
	s.respond(handle, http.StatusOK, page)
}

func (s *State) instance(now time.Time, machineID string, machine *Machine) instance {
	view := instance{
		ID: machineID, Type: machine.Type, Zone: s.options.Zone, State: instanceStarting,
		AgeSeconds: now.Sub(machine.CreatedAt).Seconds(),
	}
	if w := s.workers[machine.Worker]; w != nil {
		view.Addr = w.Addr
	}
	switch {
	case machine.HasFailed:
		view.State = instanceFailed
	case machine.IsRunning:
		view.State = instanceRunning
	}
	return view
}

// createMachines assigns machines to free workers. A repeated request gets the same machines if the first one got any.
func (s *State) createMachines(now time.Time, request Request) {
	var message createRequest
	if codec.Unmarshal(request.Body, &message) != nil || !message.isValid() {
		s.respondError(request.Handle, http.StatusBadRequest, "malformed")
		return
	}
	if ids, ok := s.record.MachinesByRequest[message.Name]; ok {
		s.respond(request.Handle, http.StatusOK, createResponse{ids})
		return
	}
	ids := s.assignMachines(now, message)
	if len(ids) == 0 {
		s.respondError(request.Handle, http.StatusServiceUnavailable, "no capacity")
		return
	}
	if len(s.record.MachinesByRequest) >= maxStoredRequests {
		s.removeStaleRequests()
	}
	s.record.MachinesByRequest[message.Name] = ids
	s.recordChanged = true
	s.respond(request.Handle, http.StatusOK, createResponse{ids})
}

func (r createRequest) isValid() bool {
	return r.Name != "" && len(r.Name) <= maxRequestNameBytes && r.Count >= 1 && r.Count <= maxMachinesPerRequest
}

// assignMachines creates one machine for each free worker of the type, up to the requested number, and returns their IDs.
func (s *State) assignMachines(now time.Time, message createRequest) []string {
	ids := []string{}
	if s.record.IsDraining || message.Spot || message.Zone != s.options.Zone {
		return ids
	}
	for _, name := range s.sortedWorkerNames() {
		if len(ids) == message.Count {
			break
		}
		w := s.workers[name]
		isFree := w.Machine == "" && now.Sub(w.reportedAt) <= workerTimeout && s.machineIDOfWorker(name) == ""
		if w.Type != message.Type || !isFree {
			continue
		}
		s.record.LastMachineNumber++
		id := fmt.Sprintf("vm-%06d", s.record.LastMachineNumber)
		s.record.Machines[id] = &Machine{Worker: name, WorkerEpoch: w.Epoch, Type: w.Type, CreatedAt: now}
		ids = append(ids, id)
		s.notify(w)
	}
	return ids
}

// removeStaleRequests removes the create requests whose machines are no longer in the record. If such a request is repeated later, it gets
// new machines. The controllers find the new machines in the list of instances, and use or delete them.
func (s *State) removeStaleRequests() {
	for name, ids := range s.record.MachinesByRequest {
		if !s.anyMachineExists(ids) {
			delete(s.record.MachinesByRequest, name)
		}
	}
}

func (s *State) anyMachineExists(ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return s.record.Machines[id] != nil })
}

// deletion is a delete request that is waiting until its machines are removed from the record.
type deletion struct {
	handle   any
	ids      []string
	deadline time.Time
}

func (s *State) deleteMachines(now time.Time, request Request) {
	var message deleteRequest
	if codec.Unmarshal(request.Body, &message) != nil || len(message.IDs) > maxDeletionsPerRequest {
		s.respondError(request.Handle, http.StatusBadRequest, "malformed")
		return
	}
	for _, id := range message.IDs {
		s.terminate(id)
	}
	s.pendingDeletions = append(s.pendingDeletions, &deletion{request.Handle, message.IDs, now.Add(deletionTimeout)})
}

// terminate marks a machine as terminating and notifies its worker, which loses the machine with its next assignment.
func (s *State) terminate(id string) {
	m := s.record.Machines[id]
	if m == nil || m.IsTerminating {
		return
	}
	m.IsTerminating, s.recordChanged = true, true
	if w := s.workers[m.Worker]; w != nil {
		s.notify(w)
	}
}

// completeDeletions answers the deletions whose machines are all removed from the record, and those that have timed out.
func (s *State) completeDeletions(now time.Time) {
	pending := s.pendingDeletions[:0]
	for _, d := range s.pendingDeletions {
		switch {
		case !s.anyMachineExists(d.ids):
			s.respond(d.handle, http.StatusOK, nil)
		case now.After(d.deadline):
			s.effects.Responses = append(s.effects.Responses, Response{
				Handle: d.handle, Status: http.StatusServiceUnavailable,
				Body: server.ErrorResponse{Error: "a worker has not confirmed"}, RetryAfter: deletionRetryAfter,
			})
		default:
			pending = append(pending, d)
		}
	}
	s.pendingDeletions = pending
}
