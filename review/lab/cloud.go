package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"gullrudder/internal/wire/codec"
)

// machineType is a type of machine that the stand-in cloud rents.
type machineType struct {
	name        string
	cpus, mem   float64
	price, spot float64
	boot        time.Duration
	zones       []string
}

// cloud is a stand-in for the cloud. Its lists are current, which the page allows.
type cloud struct {
	lab      *lab
	types    []machineType
	capacity int

	mu       sync.Mutex
	next     int
	machines map[string]*machine
	booting  map[string]codec.Object
	charters map[string][]any
}

func newCloud(l *lab, types []machineType, capacity int) *cloud {
	return &cloud{
		lab: l, types: types, capacity: capacity, next: 100,
		machines: map[string]*machine{}, booting: map[string]codec.Object{}, charters: map[string][]any{},
	}
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	status, answer := c.serve(r, body)
	c.mu.Unlock()
	respond(w, status, answer)
}

func (c *cloud) serve(r *http.Request, body codec.Object) (int, codec.Object) {
	switch {
	case r.URL.Path == "/flavors":
		keels := []any{}
		for _, t := range c.types {
			zones := []any{}
			for _, z := range t.zones {
				zones = append(zones, z)
			}
			keels = append(keels, map[string]any{
				"name": t.name, "cpus": t.cpus, "cards": 0.0, "mem_gb": t.mem, "local_gb": 100.0, "fetch_gb_per_s": 1.0,
				"hourly": t.price, "low_price": t.spot, "ready_s": t.boot.Seconds(), "harbours": zones,
			})
		}
		return 200, codec.Object{"keels": keels}
	case r.URL.Path == "/hosts/delete":
		names, _ := body["oarlocks"].([]any)
		for _, name := range names {
			c.remove(name.(string))
		}
		c.lab.note("cloud", "deleted %v", names)
		return 200, codec.Object{}
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		return c.rent(body)
	}
	return 200, codec.Object{"oarlocks": c.list(r.URL.Query().Get("from")), "has_next": false}
}

func (c *cloud) list(from string) []any {
	var names []string
	for name := range c.machines {
		names = append(names, name)
	}
	for name := range c.booting {
		names = append(names, name)
	}
	sort.Strings(names)
	list := []any{}
	for _, name := range names {
		if name <= from {
			continue
		}
		if o, ok := c.booting[name]; ok {
			list = append(list, map[string]any(o))
			continue
		}
		m := c.machines[name]
		list = append(list, map[string]any{
			"id": name, "addr": m.addr, "keel": m.keel.name, "harbour": m.zone, "driftwood": m.spot,
			"trim": "running", "age_s": time.Since(m.rentedAt).Seconds(),
		})
	}
	return list
}

func (c *cloud) remove(name string) {
	delete(c.booting, name)
	if m := c.machines[name]; m != nil {
		delete(c.machines, name)
		m.die()
	}
}

func (c *cloud) rent(body codec.Object) (int, codec.Object) {
	charter, _ := body["charter"].(string)
	if names, ok := c.charters[charter]; ok {
		return 200, codec.Object{"oarlocks": names}
	}
	var keel *machineType
	for i := range c.types {
		if c.types[i].name == body["keel"] {
			keel = &c.types[i]
		}
	}
	if keel == nil {
		return 400, codec.Object{"error": "malformed"}
	}
	names := []any{}
	for range int(number(body["how_many"])) {
		if len(c.machines)+len(c.booting) >= c.capacity {
			break
		}
		c.next++
		name := fmt.Sprintf("vm-%06d", c.next)
		names = append(names, name)
		zone, _ := body["harbour"].(string)
		spot, _ := body["driftwood"].(bool)
		c.booting[name] = codec.Object{
			"id": name, "addr": "127.0.0.1:1", "keel": keel.name, "harbour": zone, "driftwood": spot, "trim": "starting", "age_s": 0.1,
		}
		time.AfterFunc(keel.boot, func() { c.boot(name, keel, zone, spot) })
	}
	if len(names) == 0 {
		return 503, codec.Object{"error": "no capacity"}
	}
	c.charters[charter] = names
	c.lab.note("cloud", "rented %v for %s", names, charter)
	return 200, codec.Object{"oarlocks": names}
}

// add adds an ordinary machine of the first type that is up.
func (c *cloud) add(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	name := fmt.Sprintf("vm-%06d", c.next)
	c.machines[name] = newMachine(c.lab, name, &c.types[0], zone, false)
}

// take ends a machine with all that is on it.
func (c *cloud) take(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(name)
}

func (c *cloud) boot(name string, keel *machineType, zone string, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.booting[name]; !ok {
		return
	}
	delete(c.booting, name)
	c.machines[name] = newMachine(c.lab, name, keel, zone, spot)
}

// all returns the machines that are up, in name order.
func (c *cloud) all() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*machine
	for _, m := range c.machines {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
