package simulator

import (
	"cmp"
	"fmt"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/simulator/workermessages"
	"gullrudder/internal/wire/codec"
)

// Cloud is the simulated cloud: it starts and terminates machines, each with a worker.
type Cloud struct {
	sim              *Cluster
	machineTypes     map[string]cloud.MachineType
	machines         map[string]*machine
	machineIDs       []string
	requests         map[string][]string
	machinesPerKind  int
	nextID           int
	listings         []listing
	duplicatingUntil time.Time // until when heartbeats are delivered a second time
}

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
	var snap func()
	snap = func() {
		c.listings = append(c.listings, listing{sim.Now, c.instanceRows()})
		if len(c.listings) > 20 {
			c.listings = c.listings[1:]
		}
		sim.At(500*time.Millisecond, snap)
	}
	snap()
	return c
}

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

func (c *Cloud) serve(method, path string, body []byte, answer func(int, any)) {
	switch {
	case path == "/flavors":
		list := []cloud.MachineType{c.machineTypes["large"], c.machineTypes["small"]}
		answer(200, map[string]any{"keels": list})
	case method == "GET":
		// A list may be older than the one before.
		h := c.listings[c.sim.Rand.IntN(len(c.listings))]
		answer(200, map[string]any{"oarlocks": h.instances, "has_next": false})
	case path == "/hosts/delete":
		var a struct {
			Hosts []string `msgpack:"oarlocks"`
		}
		if codec.Unmarshal(body, &a) != nil {
			answer(400, nil)
			return
		}
		for _, id := range a.Hosts {
			if m := c.machines[id]; m != nil {
				m.terminate()
			}
		}
		answer(200, nil)
	default:
		var a struct {
			Charter string `msgpack:"charter"`
			Type    string `msgpack:"keel"`
			Zone    string `msgpack:"harbour"`
			Spot    bool   `msgpack:"driftwood"`
			Count   int    `msgpack:"how_many"`
		}
		if codec.Unmarshal(body, &a) != nil {
			answer(400, nil)
			return
		}
		c.requestInstances(a.Charter, a.Type, a.Zone, a.Spot, a.Count, answer)
	}
}

func (c *Cloud) requestInstances(charter, typ, zone string, spot bool, count int, answer func(int, any)) {
	if ids, ok := c.requests[charter]; ok {
		answer(200, map[string]any{"oarlocks": ids})
		return
	}
	have := 0
	for _, m := range c.machines {
		if !m.isTerminated && m.machineType.Name == typ && m.zone == zone && m.spot == spot {
			have++
		}
	}
	count = min(count, c.machinesPerKind-have)
	if count <= 0 {
		answer(503, map[string]string{"error": "no capacity"})
		return
	}
	var ids []string
	for range count {
		m := &machine{
			sim:              c.sim,
			id:               fmt.Sprintf("vm-%06d", c.nextID),
			machineType:      c.machineTypes[typ],
			zone:             zone,
			spot:             spot,
			requestedAt:      c.sim.Now,
			tasks:            map[string]*machineTask{},
			failedJobs:       map[string]bool{},
			incarnation:      1,
			targetController: c.sim.Rand.IntN(c.sim.Options.Controllers),
		}
		c.nextID++
		c.machines[m.id] = m
		c.machineIDs = append(c.machineIDs, m.id)
		ids = append(ids, m.id)
		if c.sim.Rand.IntN(30) != 0 { // some never boot
			c.sim.At(time.Duration(m.machineType.BootSeconds*(0.3+c.sim.Rand.Float64())*float64(time.Second)), m.start)
		}
	}
	c.requests[charter] = ids
	answer(200, map[string]any{"oarlocks": ids})
}

// runningMachines lists the machines whose workers run.
func (c *Cloud) runningMachines() []*machine {
	var list []*machine
	for _, id := range c.machineIDs {
		if m := c.machines[id]; m.isUp && !m.isTerminated && !m.hasFailed {
			list = append(list, m)
		}
	}
	return list
}

func (c *Cloud) serveDirect(addr string, body []byte, answer func(int, any)) {
	m := c.machines[addr]
	if m == nil || !m.isUp || m.isTerminated || m.hasFailed {
		return
	}
	m.whenAwake(func() {
		m.checkLease()
		var d workermessages.DirectCommands
		if codec.Unmarshal(body, &d) != nil {
			answer(400, nil)
			return
		}
		m.sequence++
		if d.FencingToken < m.fencingToken || d.Incarnation != m.incarnation {
			answer(409, m.heartbeat())
			return
		}
		m.fencingToken = d.FencingToken
		m.execute(d.Commands)
		answer(200, m.heartbeat())
	})
}
