// Package machinepool offers the machines that a site owns as a cloud: rent is a hand-out to the worker of a
// machine, and a deletion is confirmed only once that worker has said that nothing is left. Its State
// owns what is rented, which worker has which machine, and whether the site is being drained; it is a
// pure step. Its Service writes every change down before it answers. It never starts or stops a task.
package machinepool

import (
	"time"

	"gullrudder/internal/wire/server"
)

// Options of a pool.
type Options struct {
	Zone  string
	Price float64 // an hour of a machine
}

// Request is a request to the pool.
type Request = server.Request

// Response answers a request. It goes out only once the record and the failures of its step are durable.
type Response = server.ValueResponse

// Effects are what a step wants done: Keep before Responses.
type Effects struct {
	Keep      *Record  // the whole of what is to be remembered, if it has changed
	Failed    []string // results in JSON, to be kept
	Responses []Response
	Look      []string // addresses of workers that are to ask at once
}

// Record is what a pool remembers.
type Record struct {
	Counter  int                 `json:"counter"`
	Draining bool                `json:"draining"`
	Machines map[string]*Machine `json:"machines"`
	Charters map[string][]string `json:"charters"`
}

// Machine is one that is rented: a worker's, from its hand-out until it is known that nothing is left.
type Machine struct {
	Worker  string    `json:"worker"`
	Epoch   uint64    `json:"epoch"` // of the worker's process at the hand-out
	Type    string    `json:"type"`
	Born    time.Time `json:"born"`
	Up      bool      `json:"up"`     // the worker has taken it
	Failed  bool      `json:"failed"` // the worker's process is another one
	Leaving bool      `json:"leaving"`
	freed   uint64    // the first charge that took it from its worker; 0: none yet
}

// Overview is what the site's people are shown.
type Overview struct {
	Draining bool         `msgpack:"draining" json:"draining"`
	Rented   int          `msgpack:"rented" json:"rented"`
	Busy     int          `msgpack:"busy" json:"tasks"`
	Workers  []WorkerView `msgpack:"workers" json:"workers"`
}

// Unheard reports that no worker with a machine has been heard for so long: what waits for them waits in vain.
func (o Overview) Unheard(span time.Duration) bool {
	for _, w := range o.Workers {
		if w.Silent < span.Seconds() {
			return false
		}
	}
	return true
}

// WorkerView is one worker of the site.
type WorkerView struct {
	Name    string  `msgpack:"name" json:"name"`
	Machine string  `msgpack:"machine" json:"machine"`
	CPUs    float64 `msgpack:"cpus" json:"cpus"`
	MemGB   float64 `msgpack:"mem_gb" json:"mem_gb"`
	Busy    int     `msgpack:"busy" json:"tasks"`
	FreeMB  uint64  `msgpack:"free_mb" json:"free_mb"`
	Silent  float64 `msgpack:"silent_s" json:"silent_s"` // seconds since it was heard
}

// greeting and charge are a worker's; see the agent.
type greeting struct {
	Name     string   `msgpack:"name"`
	Addr     string   `msgpack:"addr"`
	Type     string   `msgpack:"type"`
	Zone     string   `msgpack:"zone"`
	CPUs     float64  `msgpack:"cpus"`
	MemGB    float64  `msgpack:"mem_gb"`
	Epoch    uint64   `msgpack:"epoch"`
	Holding  string   `msgpack:"holding"`
	Applied  uint64   `msgpack:"applied"`
	Busy     int      `msgpack:"busy"`
	FreeDisk uint64   `msgpack:"free"`
	Failures []string `msgpack:"failures"`
}

type charge struct {
	Machine string `msgpack:"machine"`
	Notice  bool   `msgpack:"notice"`
	Serial  uint64 `msgpack:"serial"`
}

type host struct {
	ID    string  `msgpack:"id"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"keel"`
	Zone  string  `msgpack:"harbour"`
	Spot  bool    `msgpack:"driftwood"`
	State string  `msgpack:"trim"`
	Age   float64 `msgpack:"age_s"`
}

type flavor struct {
	Name      string   `msgpack:"name"`
	CPUs      float64  `msgpack:"cpus"`
	Cards     float64  `msgpack:"cards"`
	Mem       float64  `msgpack:"mem_gb"`
	Price     float64  `msgpack:"hourly"`
	SpotPrice float64  `msgpack:"low_price"`
	Ready     float64  `msgpack:"ready_s"`
	CacheGB   float64  `msgpack:"local_gb"`
	FetchRate float64  `msgpack:"fetch_gb_per_s"`
	Zones     []string `msgpack:"harbours"`
}
