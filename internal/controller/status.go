package controller

import (
	"maps"
	"slices"
	"time"

	"gullrudder/internal/wire/server"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencyTable keeps how long this node took to answer, per kind of request.
type latencyTable struct {
	byRequestKind map[string]*hdrhistogram.Histogram
}

func newLatencyTable() *latencyTable { return &latencyTable{map[string]*hdrhistogram.Histogram{}} }

func (l *latencyTable) record(kind string, duration time.Duration) {
	h := l.byRequestKind[kind]
	if h == nil {
		h = hdrhistogram.New(1, 60_000, 2)
		l.byRequestKind[kind] = h
	}
	if err := h.RecordValue(min(max(duration.Milliseconds(), 1), 60_000)); err != nil {
		return
	}
}

// RecordLatency records the latency of an answered request, in milliseconds.
func (n *Controller) RecordLatency(kind string, duration time.Duration) {
	n.latencies.record(kind, duration)
}

// Latency is one line of the latency table.
type Latency struct {
	Kind  string `msgpack:"kind" json:"kind"`
	Count int64  `msgpack:"count" json:"count"`
	P50   int64  `msgpack:"p50_ms" json:"p50_ms"`
	P99   int64  `msgpack:"p99_ms" json:"p99_ms"`
	Max   int64  `msgpack:"max_ms" json:"max_ms"`
}

// MachineStatus is one machine in the status.
type MachineStatus struct {
	ID       string  `msgpack:"id" json:"id"`
	Type     string  `msgpack:"type" json:"type"`
	Zone     string  `msgpack:"zone" json:"zone"`
	Spot     bool    `msgpack:"spot" json:"spot"`
	State    string  `msgpack:"state" json:"state"`
	Tasks    int     `msgpack:"tasks" json:"tasks"`
	UsedCPUs float64 `msgpack:"cpus_used" json:"cpus_used"`
}

// Status is what `gullrudder status` shows.
type Status struct {
	Controller          string          `msgpack:"node" json:"node"`
	Leader              string          `msgpack:"leader" json:"leader"`
	FencingToken        uint64          `msgpack:"token" json:"token"`
	Placing             bool            `msgpack:"placing" json:"placing"`
	StateServiceHealthy bool            `msgpack:"state_service_ok" json:"state_service_ok"`
	Jobs                int             `msgpack:"jobs" json:"jobs"`
	FinishedJobs        int             `msgpack:"jobs_finished" json:"jobs_finished"`
	ArchiveSegments     int             `msgpack:"history_runs" json:"history_runs"`
	WaitingTasks        int             `msgpack:"tasks_waiting" json:"tasks_waiting"`
	PlacedTasks         int             `msgpack:"tasks_placed" json:"tasks_placed"`
	Budgets             Budgets         `msgpack:"budgets" json:"budgets"`
	Machines            []MachineStatus `msgpack:"machines" json:"machines"`
	Latencies           []Latency       `msgpack:"latencies" json:"latencies"`
}

// Budgets are the limits that the node keeps to.
type Budgets struct {
	StateRequestRate float64 `msgpack:"state_rps" json:"state_rps"`
	StateWriteRate   float64 `msgpack:"state_write_rps" json:"state_write_rps"`
	CloudRequestRate float64 `msgpack:"cloud_rps" json:"cloud_rps"`
	Connections      int     `msgpack:"connections" json:"connections"`
	MemoryMB         float64 `msgpack:"memory_mb" json:"memory_mb"`
}

const maxMachinesShown = 300

func (n *Controller) handleStatus(now time.Time, request *server.Request) {
	status := Status{Controller: n.platform.Name, Leader: n.election.Leader(now), Budgets: Budgets{
		StateRequestRate: n.platform.StateRequestRate, StateWriteRate: n.platform.StateWriteRate, CloudRequestRate: n.platform.CloudRequestRate,
		Connections: n.platform.MaxConnections, MemoryMB: n.platform.MemoryQuotaMB,
	}}
	for _, kind := range slices.Sorted(maps.Keys(n.latencies.byRequestKind)) {
		histogram := n.latencies.byRequestKind[kind]
		status.Latencies = append(
			status.Latencies,
			Latency{kind, histogram.TotalCount(), histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99), histogram.Max()},
		)
	}
	if leadership := n.leadership; leadership != nil {
		status.FencingToken, status.Placing, status.StateServiceHealthy, status.Jobs = leadership.fencingToken, leadership.failover.Completed(), leadership.storage.IsHealthy(), len(
			leadership.jobStore.Unfinished,
		)
		if leadership.failover.StateLoaded() {
			status.FinishedJobs, status.ArchiveSegments = leadership.jobStore.FinishedCount(), leadership.jobStore.Archive().SegmentCount()
		}
		for _, job := range leadership.jobStore.Unfinished {
			status.WaitingTasks += job.WaitingTasks()
			status.PlacedTasks += len(job.ActiveAttempts)
		}
		for _, machine := range leadership.workers.MachinesByName() {
			if len(status.Machines) == maxMachinesShown {
				break
			}
			state := string(machine.DrainReason)
			switch {
			case state != "":
			case leadership.workers.IsLeaseExpired(now, machine):
				state = "silent"
			case machine.IsUnreachable:
				state = "does not hear"
			default:
				state = "ok"
			}
			status.Machines = append(
				status.Machines,
				MachineStatus{machine.ID, machine.Type, machine.Zone, machine.Spot, state, len(machine.Attempts), machine.UsedCPUs},
			)
		}
	}
	n.responder.Respond(request, 200, status, 0)
}
