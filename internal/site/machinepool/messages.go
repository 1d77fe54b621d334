package machinepool

import (
	"time"

	"gullrudder/internal/wire/server"
)

// Options of a machine pool.
type Options struct {
	Zone        string
	HourlyPrice float64 // of a machine
}

// Request is a request to the pool.
type Request = server.Request

// Response answers a request. It is sent only once the record and the failures of its step are durable.
type Response = server.ValueResponse

// Effects are what the Service has to do after a step, in the order of the fields.
type Effects struct {
	Record          *Record  // to be stored; nil if it has not changed
	TaskFailures    []string // to be stored; each is a Failure in JSON
	Responses       []Response
	WorkersToNotify []string // addresses of workers that have a new assignment to ask for
}

// Record is what a pool stores. It survives a restart of the pool's process.
type Record struct {
	LastMachineNumber int                 `json:"counter"`
	IsDraining        bool                `json:"draining"`
	Machines          map[string]*Machine `json:"machines"` // by machine ID
	MachinesByRequest map[string][]string `json:"charters"` // IDs of the machines that a create request was answered with, by its name
}

// Machine is a machine that a controller has requested. It exists from its assignment to a worker until it is certain that none
// of its tasks is left there.
type Machine struct {
	Worker        string    `json:"worker"`
	WorkerEpoch   uint64    `json:"epoch"` // start of the worker's process at the assignment
	Type          string    `json:"type"`
	CreatedAt     time.Time `json:"born"`
	IsRunning     bool      `json:"up"`     // the worker has accepted the assignment
	HasFailed     bool      `json:"failed"` // the worker's process has been restarted
	IsTerminating bool      `json:"leaving"`
	// releasedAtSerial is the serial of the first assignment without this machine; 0: none yet. It is not stored: a restarted pool
	// releases the machine again, with a higher serial.
	releasedAtSerial uint64
}

// Overview is the state of the site's machines, as users see it.
type Overview struct {
	IsDraining   bool         `msgpack:"draining" json:"draining"`
	MachineCount int          `msgpack:"rented" json:"rented"`
	RunningTasks int          `msgpack:"busy" json:"tasks"`
	Workers      []WorkerView `msgpack:"workers" json:"workers"`
}

// AllWorkersSilentFor reports whether no worker has reported within the limit. It is true if there is no worker.
func (o Overview) AllWorkersSilentFor(limit time.Duration) bool {
	for _, w := range o.Workers {
		if w.SilentSeconds < limit.Seconds() {
			return false
		}
	}
	return true
}

// WorkerView is one worker of the site, as users see it.
type WorkerView struct {
	Name          string  `msgpack:"name" json:"name"`
	Machine       string  `msgpack:"machine" json:"machine"` // empty: none
	CPUs          float64 `msgpack:"cpus" json:"cpus"`
	MemoryGB      float64 `msgpack:"mem_gb" json:"mem_gb"`
	RunningTasks  int     `msgpack:"busy" json:"tasks"`
	FreeDiskMB    uint64  `msgpack:"free_mb" json:"free_mb"`
	SilentSeconds float64 `msgpack:"silent_s" json:"silent_s"` // since its last report
}

// Failure is a task that exited with a status other than 0, as its worker reports it.
type Failure struct {
	Task        string    `json:"task"`
	ExitCode    int       `json:"exit"`
	Reason      string    `json:"reason"`
	ErrorOutput string    `json:"tail"` // end of the task's error output
	FinishedAt  time.Time `json:"finished"`
}

// FailureList is the response to GET /site/failures: each entry is a Failure in JSON, the newest first.
type FailureList struct {
	EncodedFailures []string `msgpack:"list"`
}

// machineTypesResponse is the response to GET /flavors.
type machineTypesResponse struct {
	Types []machineType `msgpack:"keels"`
}

// machineType is a type of machines under the names of the cloud's protocol.
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

// instancesResponse is a page of the response to GET /hosts.
type instancesResponse struct {
	Instances []instance `msgpack:"oarlocks"`
	HasNext   bool       `msgpack:"has_next"`
}

// instance is a machine under the names of the cloud's protocol.
type instance struct {
	ID         string  `msgpack:"id"`
	Addr       string  `msgpack:"addr"`
	Type       string  `msgpack:"keel"`
	Zone       string  `msgpack:"harbour"`
	Spot       bool    `msgpack:"driftwood"`
	State      string  `msgpack:"trim"`
	AgeSeconds float64 `msgpack:"age_s"`
}

// createRequest asks for machines (POST /hosts). A request that comes again under the same name gets the same answer.
type createRequest struct {
	Name  string `msgpack:"charter"`
	Type  string `msgpack:"keel"`
	Zone  string `msgpack:"harbour"`
	Spot  bool   `msgpack:"driftwood"`
	Count int    `msgpack:"how_many"`
}

// createResponse may name fewer machines than were asked for.
type createResponse struct {
	IDs []string `msgpack:"oarlocks"`
}

// deleteRequest asks for the deletion of machines (POST /hosts/delete).
type deleteRequest struct {
	IDs []string `msgpack:"oarlocks"`
}
