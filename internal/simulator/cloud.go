package simulator

import (
	"cmp"
	"fmt"
	"net/http"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/simulator/workermessages"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// Cloud is the simulated cloud. It starts and terminates machines, each of which runs a worker.
type Cloud struct {
	sim              *Cluster
	machineTypes     map[string]cloud.MachineType
	machines         map[string]*machine
	machineIDs       []string
	requests         map[string][]string // request token -> IDs of the instances started for it
	machinesPerKind  int
	nextID           int
	listings         []listing
	duplicatingUntil time.Time // half of the heartbeats are delivered twice until then
}

// listing is a snapshot of the list of instances. A request may get an older listing than the request before it.
type listing struct {
	at        time.Time
	instances []any
}

func newCloud(sim *Cluster) *Cloud {
	c := &Cloud{
		sim:             sim,
		machines:        map[string]*machine{},
		requests:        map[string][]string{},
		machinesPerKind: cmp.Or(sim.Options.MachinesPerKind, 6),
		machineTypes: map[string]cloud.MachineType{
			"small": {
				Name:            "small",
				CPUs:            4,
				MemoryGB:        16,
				HourlyPrice:     0.2,
				SpotHourlyPrice: 0.06,
				BootSeconds:     3,
				Zones:           []string{"a", "b"},
			},
			"large": {
				Name:            "large",
				CPUs:            16,
				GPUs:            2,
				MemoryGB:        64,
				HourlyPrice:     0.9,
				SpotHourlyPrice: 0.3,
				BootSeconds:     4,
				Zones:           []string{"b"},
			},
		},
	}
	var recordListing func()
	recordListing = func() {
		c.listings = append(c.listings, listing{sim.Now, c.instanceRows()})
		if len(c.listings) > 20 {
			c.listings = c.listings[1:]
		}
		sim.At(500*time.Millisecond, recordListing)
	}
	recordListing()
	return c
}

// instanceRows returns the instances in the encoding of the cloud API.
func (c *Cloud) instanceRows() []any {
	rows := []any{}
	for _, id := range c.machineIDs {
		m := c.machines[id]
		if m.isTerminated {
			continue
		}
		state := "starting"
		switch {
		case m.hasFailed:
			state = "failed"
		case m.isUp:
			state = "running"
		}
		rows = append(rows, map[string]any{
			"id": m.id, "addr": m.id, "keel": m.machineType.Name, "harbour": m.zone,
			"driftwood": m.spot, "trim": state, "age_s": c.sim.Now.Sub(m.requestedAt).Seconds(),
		})
	}
	return rows
}

// serve handles a request to the cloud API.
func (c *Cloud) serve(method, path string, body []byte, respond responder) {
	switch {
	case path == "/flavors":
		list := []cloud.MachineType{c.machineTypes["large"], c.machineTypes["small"]}
		respond(http.StatusOK, map[string]any{"keels": list})
	case method == "GET":
		// The list may be older than the one returned before.
		selected := c.listings[c.sim.Rand.IntN(len(c.listings))]
		respond(http.StatusOK, map[string]any{"oarlocks": selected.instances, "has_next": false})
	case path == "/hosts/delete":
		var deletion struct {
			InstanceIDs []string `msgpack:"oarlocks"`
		}
		if codec.Unmarshal(body, &deletion) != nil {
			respond(http.StatusBadRequest, nil)
			return
		}
		for _, id := range deletion.InstanceIDs {
			if m := c.machines[id]; m != nil {
				m.terminate()
			}
		}
		respond(http.StatusOK, nil)
	default:
		var request instanceRequest
		if codec.Unmarshal(body, &request) != nil {
			respond(http.StatusBadRequest, nil)
			return
		}
		c.requestInstances(request, respond)
	}
}

// instanceRequest is the body of a request for instances. A request that repeats an earlier token starts no further instances.
type instanceRequest struct {
	RequestToken string `msgpack:"charter"`
	MachineType  string `msgpack:"keel"`
	Zone         string `msgpack:"harbour"`
	Spot         bool   `msgpack:"driftwood"`
	Count        int    `msgpack:"how_many"`
}

// requestInstances starts instances. It starts fewer than requested if the cloud has too few of the type, zone and spot setting.
func (c *Cloud) requestInstances(request instanceRequest, respond responder) {
	if ids, ok := c.requests[request.RequestToken]; ok {
		respond(http.StatusOK, map[string]any{"oarlocks": ids})
		return
	}
	existing := 0
	for _, m := range c.machines {
		if !m.isTerminated && m.machineType.Name == request.MachineType && m.zone == request.Zone && m.spot == request.Spot {
			existing++
		}
	}
	count := min(request.Count, c.machinesPerKind-existing)
	if count <= 0 {
		respond(http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	var ids []string
	for range count {
		m := &machine{
			sim:              c.sim,
			id:               fmt.Sprintf("vm-%06d", c.nextID),
			machineType:      c.machineTypes[request.MachineType],
			zone:             request.Zone,
			spot:             request.Spot,
			requestedAt:      c.sim.Now,
			tasks:            map[string]*machineTask{},
			incarnation:      1,
			targetController: c.sim.Rand.IntN(c.sim.Options.Controllers),
		}
		c.nextID++
		c.machines[m.id] = m
		c.machineIDs = append(c.machineIDs, m.id)
		ids = append(ids, m.id)
		if c.sim.Rand.IntN(30) != 0 { // one in 30 never boots
			c.sim.At(time.Duration(m.machineType.BootSeconds*(0.3+c.sim.Rand.Float64())*float64(time.Second)), m.start)
		}
	}
	c.requests[request.RequestToken] = ids
	respond(http.StatusOK, map[string]any{"oarlocks": ids})
}

// runningMachines returns the machines that are up, in the order of their IDs.
func (c *Cloud) runningMachines() []*machine {
	var list []*machine
	for _, id := range c.machineIDs {
		if m := c.machines[id]; m.isUp && !m.isTerminated && !m.hasFailed {
			list = append(list, m)
		}
	}
	return list
}

// serveDirect handles a controller's direct request to a worker. A machine that is down does not respond.
func (c *Cloud) serveDirect(addr string, body []byte, respond responder) {
	m := c.machines[addr]
	if m == nil || !m.isUp || m.isTerminated || m.hasFailed {
		return
	}
	m.whenNotHung(func() {
		m.endIncarnationIfLeaseExpired()
		var commands workermessages.DirectCommands
		if codec.Unmarshal(body, &commands) != nil {
			respond(http.StatusBadRequest, nil)
			return
		}
		m.sequence++
		if commands.FencingToken < m.fencingToken || commands.Incarnation != m.incarnation {
			respond(http.StatusConflict, m.heartbeat())
			return
		}
		m.fencingToken = commands.FencingToken
		for _, command := range commands.Commands {
			if command.Operation == workerapi.OperationStart {
				c.sim.reportViolation(RuleStartOutsideResponse, "%s on %s", command.Task, m.id)
			}
		}
		m.executeCommands(commands.Commands)
		respond(http.StatusOK, m.heartbeat())
	})
}
