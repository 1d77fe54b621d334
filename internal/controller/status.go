package controller

import (
	"net/http"
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/server"
)

// MachineStatus is a machine in the status. State is "ok", "silent" (its lease has expired), "does not hear" (it does not receive
// the leader's responses), or a worker.DrainReason.
type MachineStatus struct {
	ID       string  `msgpack:"id" json:"id"`
	Type     string  `msgpack:"type" json:"type"`
	Zone     string  `msgpack:"zone" json:"zone"`
	Spot     bool    `msgpack:"spot" json:"spot"`
	State    string  `msgpack:"state" json:"state"`
	Tasks    int     `msgpack:"tasks" json:"tasks"`
	UsedCPUs float64 `msgpack:"cpus_used" json:"cpus_used"`
}

// Status is the response to `gullrudder status`. A follower fills only Controller, Leader, Budgets and Latencies.
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

// Budgets are the limits of the controller: requests per second, connections, and memory in MB.
type Budgets struct {
	StateRequestRate float64 `msgpack:"state_rps" json:"state_rps"`
	StateWriteRate   float64 `msgpack:"state_write_rps" json:"state_write_rps"`
	CloudRequestRate float64 `msgpack:"cloud_rps" json:"cloud_rps"`
	Connections      int     `msgpack:"connections" json:"connections"`
	MemoryMB         float64 `msgpack:"memory_mb" json:"memory_mb"`
}

// maxMachinesShown bounds the number of machines in the status.
const maxMachinesShown = 300

// Machine states in the status, in addition to the drain reasons.
const (
	machineOK          = "ok"
	machineExpired     = "silent"
	machineUnreachable = "does not hear"
)

// handleStatus responds with the status of this controller and, if it leads, of the cluster.
func (c *Controller) handleStatus(now time.Time, request *server.Request) {
	status := Status{
		Controller: c.platform.Name,
		Leader:     c.election.Leader(now),
		Budgets: Budgets{
			StateRequestRate: c.platform.StateRequestRate,
			StateWriteRate:   c.platform.StateWriteRate,
			CloudRequestRate: c.platform.CloudRequestRate,
			Connections:      c.platform.MaxConnections,
			MemoryMB:         c.platform.MemoryQuotaMB,
		},
		Latencies: c.latencies.rows(),
	}
	if c.leadership != nil {
		c.leadership.fillStatus(now, &status)
	}
	c.responder.Respond(request, http.StatusOK, status, 0)
}

// fillStatus sets the fields that only a leader fills.
func (l *leadership) fillStatus(now time.Time, status *Status) {
	status.FencingToken = l.fencingToken
	status.Placing = l.failover.Completed()
	status.StateServiceHealthy = l.storage.IsHealthy()
	status.Jobs = len(l.jobStore.Unfinished)
	if l.failover.StateLoaded() {
		status.FinishedJobs = l.jobStore.FinishedCount()
		status.ArchiveSegments = l.jobStore.Archive().SegmentCount()
	}
	for _, job := range l.jobStore.Unfinished {
		status.WaitingTasks += job.WaitingTasks()
		status.PlacedTasks += len(job.ActiveAttempts)
	}
	for _, machine := range l.workers.SortedMachines() {
		if len(status.Machines) == maxMachinesShown {
			break
		}
		status.Machines = append(status.Machines, MachineStatus{
			ID:       machine.ID,
			Type:     machine.Type,
			Zone:     machine.Zone,
			Spot:     machine.Spot,
			State:    l.stateOf(now, machine),
			Tasks:    len(machine.Attempts),
			UsedCPUs: machine.UsedCPUs,
		})
	}
}

// stateOf returns MachineStatus.State of a machine.
func (s *machineState) stateOf(now time.Time, machine *worker.Machine) string {
	switch {
	case machine.DrainReason != worker.NotDraining:
		return string(machine.DrainReason)
	case s.workers.IsLeaseExpired(now, machine):
		return machineExpired
	case machine.IsUnreachable:
		return machineUnreachable
	}
	return machineOK
}
