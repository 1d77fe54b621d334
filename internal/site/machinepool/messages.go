package machinepool

import (
	"time"

	"gullrudder/internal/wire/server"
)

// Options of a machine pool.
type Options struct {
	Zone        string
	HourlyPrice float64 // price of a machine per hour
}

// Request is a request to the pool. Its Handle identifies it in the Response.
type Request = server.Request

// Response answers a request. It may be sent only once the record and the failures of its step are durable.
type Response = server.ValueResponse

// Effects are the actions that the Service takes after a step, in the order of the fields.
type Effects struct {
	Record          *Record  // to be stored; nil if it has not changed
	TaskFailures    []string // to be stored; each is a Failure in JSON
	Responses       []Response
	WorkersToNotify []string // addresses of workers that should report at once, to get a new assignment
}

// Record is the stored state of a pool. It survives a restart of the pool's process.
type Record struct {
	LastMachineNumber int                 `json:"counter"`
	IsDraining        bool                `json:"draining"`
	Machines          map[string]*Machine `json:"machines"` // by machine ID
	MachinesByRequest map[string][]string `json:"charters"` // by name of a create request: the machine IDs in its response
}

// Machine is a machine that a controller has requested. It exists from its assignment to a worker until it is certain that the worker
// has none of its tasks left.
type Machine struct {
	Worker        string    `json:"worker"`
	WorkerEpoch   uint64    `json:"epoch"` // start of the worker's process at the assignment
	Type          string    `json:"type"`
	CreatedAt     time.Time `json:"born"`
	IsRunning     bool      `json:"up"`     // the worker has accepted the assignment
	HasFailed     bool      `json:"failed"` // the worker's process was restarted since the assignment
	IsTerminating bool      `json:"leaving"`
	// releasedAtSerial is the serial of the first assignment of the worker without this machine; 0: none yet. It is not stored. A
	// restarted pool releases the machine again, with a higher serial.
	releasedAtSerial uint64
}

// Overview is the state of a site's machines, as users see it.
type Overview struct {
	IsDraining   bool         `msgpack:"draining" json:"draining"`
	MachineCount int          `msgpack:"rented" json:"rented"`
	RunningTasks int          `msgpack:"busy" json:"tasks"`
	Workers      []WorkerView `msgpack:"workers" json:"workers"`
}

// AllWorkersSilentFor reports whether no worker has reported within the limit. It is true if there are no workers.
func (o Overview) AllWorkersSilentFor(limit time.Duration) bool {
	for _, w := range o.Workers {
		if w.SilentSeconds < limit.Seconds() {
			return false
		}
	}
	return true
}

// WorkerView is a worker of a site, as users see it.
type WorkerView struct {
	Name          string  `msgpack:"name" json:"name"`
	Machine       string  `msgpack:"machine" json:"machine"` // ID of its machine; empty: none
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
	ErrorOutput string    `json:"tail"` // last part of the task's error output
	FinishedAt  time.Time `json:"finished"`
}

// FailureList is the response to GET /site/failures. Each entry is a Failure in JSON, the newest first.
type FailureList struct {
	EncodedFailures []string `msgpack:"list"`
}

// machineTypesResponse is the response to GET /flavors.
type machineTypesResponse struct {
	Types []machineType `msgpack:"keels"`
}

// machineType is a machine type, with the names of the cloud's protocol in the tags.
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

// instance is a machine as the cloud lists it, with the names of the cloud's protocol in the tags.
type instance struct {
	ID         string  `msgpack:"id"`
	Addr       string  `msgpack:"addr"`
	Type       string  `msgpack:"keel"`
	Zone       string  `msgpack:"harbour"`
	Spot       bool    `msgpack:"driftwood"`
	State      string  `msgpack:"trim"`
	AgeSeconds float64 `msgpack:"age_s"`
}

// createRequest asks for machines (POST /hosts). A repeated request with the same name gets the same response.
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
