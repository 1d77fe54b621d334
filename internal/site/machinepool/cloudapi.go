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
	// workerTimeout is how long after its last report a worker may get a machine.
	workerTimeout = 5 * time.Second
	// deletionTimeout is how long a deletion waits for the workers' reports before the caller gets a response to retry.
	deletionTimeout = 3 * time.Second
	// deletionRetryAfter is when a caller whose deletion timed out is to repeat it.
	deletionRetryAfter = time.Second
	// maxStoredRequests is the number of create requests above which those whose machines are all gone are forgotten.
	maxStoredRequests = 10_000
)

// Values of a machine type that the cloud's protocol asks for and a site's own machine does not have.
const (
	// spotPriceFactor times the ordinary price is the price of a spot machine: a site has none, and none is to be requested.
	spotPriceFactor  = 100
	bootSeconds      = 1
	imageCacheGB     = 1000 // images are not fetched
	fetchGBPerSecond = 1000
)

// States of an instance under the names of the cloud's protocol.
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
	listed := instance{
		ID: machineID, Type: machine.Type, Zone: s.options.Zone, State: instanceStarting,
		AgeSeconds: now.Sub(machine.CreatedAt).Seconds(),
	}
	if w := s.workers[machine.Worker]; w != nil {
		listed.Addr = w.Addr
	}
	switch {
	case machine.HasFailed:
		listed.State = instanceFailed
	case machine.IsRunning:
		listed.State = instanceRunning
	}
	return listed
}

// createMachines assigns machines to free workers. A request that was answered with machines gets the same answer again.
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
		s.forgetOldRequests()
	}
	s.record.MachinesByRequest[message.Name] = ids
	s.recordChanged = true
	s.respond(request.Handle, http.StatusOK, createResponse{ids})
}

func (r createRequest) isValid() bool {
	return r.Name != "" && len(r.Name) <= maxRequestNameBytes && r.Count >= 1 && r.Count <= maxMachinesPerRequest
}

// assignMachines creates up to as many machines as are asked for, one for each free worker of the type, and returns their IDs.
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
		isFree := w.Machine == "" && now.Sub(w.reportedAt) <= workerTimeout && s.machineOf(name) == ""
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

// forgetOldRequests forgets the create requests whose machines are all gone. One that is repeated after that gets other machines;
// the controllers find them in the list of instances, and use or delete them.
func (s *State) forgetOldRequests() {
	for name, ids := range s.record.MachinesByRequest {
		if !s.anyExists(ids) {
			delete(s.record.MachinesByRequest, name)
		}
	}
}

func (s *State) anyExists(ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return s.record.Machines[id] != nil })
}

// deletion is a request that is answered once its machines are gone.
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

// terminate takes the machine from its worker, which learns of it with its next assignment.
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

// completeDeletions answers the deletions whose machines are gone for certain, and those that have timed out.
func (s *State) completeDeletions(now time.Time) {
	pending := s.pendingDeletions[:0]
	for _, d := range s.pendingDeletions {
		switch {
		case !s.anyExists(d.ids):
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
