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
	Zone        string
	HourlyPrice float64 // an hour of a machine
}

// Request is a request to the pool.
type Request = server.Request

// Response answers a request. It goes out only once the record and the failures of its step are durable.
type Response = server.ValueResponse

// Effects are what a step wants done: Keep before Responses.
type Effects struct {
	Record          *Record  // the whole of what is to be remembered, if it has changed
	TaskFailures    []string // results in JSON, to be kept
	Responses       []Response
	WorkersToNotify []string // addresses of workers that are to ask at once
}

// Record is what a pool remembers.
type Record struct {
	LastMachineNumber int                 `json:"counter"`
	IsDraining        bool                `json:"draining"`
	Machines          map[string]*Machine `json:"machines"`
	MachinesByRequest map[string][]string `json:"charters"`
}

// Machine is one that is rented: a worker's, from its hand-out until it is known that nothing is left.
type Machine struct {
	Worker           string    `json:"worker"`
	WorkerEpoch      uint64    `json:"epoch"` // of the worker's process at the hand-out
	Type             string    `json:"type"`
	CreatedAt        time.Time `json:"born"`
	IsRunning        bool      `json:"up"`     // the worker has taken it
	HasFailed        bool      `json:"failed"` // the worker's process is another one
	IsTerminating    bool      `json:"leaving"`
	releasedAtSerial uint64    // the first charge that took it from its worker; 0: none yet
}

// Overview is what the site's people are shown.
type Overview struct {
	IsDraining   bool         `msgpack:"draining" json:"draining"`
	MachineCount int          `msgpack:"rented" json:"rented"`
	RunningTasks int          `msgpack:"busy" json:"tasks"`
	Workers      []WorkerView `msgpack:"workers" json:"workers"`
}

// AllWorkersSilentFor reports that no worker with a machine has been heard for so long: what waits for them waits in vain.
func (o Overview) AllWorkersSilentFor(limit time.Duration) bool {
	for _, w := range o.Workers {
		if w.SilentSeconds < limit.Seconds() {
			return false
		}
	}
	return true
}

// WorkerView is one worker of the site.
type WorkerView struct {
	Name          string  `msgpack:"name" json:"name"`
	Machine       string  `msgpack:"machine" json:"machine"`
	CPUs          float64 `msgpack:"cpus" json:"cpus"`
	MemoryGB      float64 `msgpack:"mem_gb" json:"mem_gb"`
	RunningTasks  int     `msgpack:"busy" json:"tasks"`
	FreeDiskMB    uint64  `msgpack:"free_mb" json:"free_mb"`
	SilentSeconds float64 `msgpack:"silent_s" json:"silent_s"` // seconds since it was heard
}

// workerReport and charge are a worker's; see the agent.
type workerReport struct {
	Name          string   `msgpack:"name"`
	Addr          string   `msgpack:"addr"`
	Type          string   `msgpack:"type"`
	Zone          string   `msgpack:"zone"`
	CPUs          float64  `msgpack:"cpus"`
	MemoryGB      float64  `msgpack:"mem_gb"`
	Epoch         uint64   `msgpack:"epoch"`
	Machine       string   `msgpack:"holding"`
	AppliedSerial uint64   `msgpack:"applied"`
	RunningTasks  int      `msgpack:"busy"`
	FreeDiskBytes uint64   `msgpack:"free"`
	Failures      []string `msgpack:"failures"`
}

type assignment struct {
	Machine        string `msgpack:"machine"`
	HasDrainNotice bool   `msgpack:"notice"`
	Serial         uint64 `msgpack:"serial"`
}

type instance struct {
	ID         string  `msgpack:"id"`
	Addr       string  `msgpack:"addr"`
	Type       string  `msgpack:"keel"`
	Zone       string  `msgpack:"harbour"`
	Spot       bool    `msgpack:"driftwood"`
	State      string  `msgpack:"trim"`
	AgeSeconds float64 `msgpack:"age_s"`
}

type machineType struct {
	Name             string   `msgpack:"name"`
	CPUs             float64  `msgpack:"cpus"`
	GPUs             float64  `msgpack:"cards"`
	MemoryGB         float64  `msgpack:"mem_gb"`
	HourlyPrice      float64  `msgpack:"hourly"`
	HourlySpotPrice  float64  `msgpack:"low_price"`
	BootSeconds      float64  `msgpack:"ready_s"`
	ImageCacheGB     float64  `msgpack:"local_gb"`
	FetchGBPerSecond float64  `msgpack:"fetch_gb_per_s"`
	Zones            []string `msgpack:"harbours"`
}
