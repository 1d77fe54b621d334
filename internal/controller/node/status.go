package node

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gullrudder/internal/wire/inbox"
)

// latencies keeps how long this node took to answer, per kind of request.
type latencies struct {
	byKind map[string]*hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{map[string]*hdrhistogram.Histogram{}} }

func (l *latencies) add(kind string, d time.Duration) {
	h := l.byKind[kind]
	if h == nil {
		h = hdrhistogram.New(1, 60_000, 2)
		l.byKind[kind] = h
	}
	if err := h.RecordValue(min(max(d.Milliseconds(), 1), 60_000)); err != nil {
		return
	}
}

// Took records the latency of an answered request, in milliseconds.
func (n *Node) Took(kind string, d time.Duration) { n.watch.add(kind, d) }

// Latency is one line of the latency table.
type Latency struct {
	Kind  string `msgpack:"kind" json:"kind"`
	Count int64  `msgpack:"count" json:"count"`
	P50   int64  `msgpack:"p50_ms" json:"p50_ms"`
	P99   int64  `msgpack:"p99_ms" json:"p99_ms"`
	Max   int64  `msgpack:"max_ms" json:"max_ms"`
}

// HostStatus is one machine in the status.
type HostStatus struct {
	ID    string  `msgpack:"id" json:"id"`
	Type  string  `msgpack:"type" json:"type"`
	Zone  string  `msgpack:"zone" json:"zone"`
	Spot  bool    `msgpack:"spot" json:"spot"`
	State string  `msgpack:"state" json:"state"`
	Tasks int     `msgpack:"tasks" json:"tasks"`
	CPUs  float64 `msgpack:"cpus_used" json:"cpus_used"`
}

// Status is what `gullrudder status` shows.
type Status struct {
	Node     string       `msgpack:"node" json:"node"`
	Leader   string       `msgpack:"leader" json:"leader"`
	Token    uint64       `msgpack:"token" json:"token"`
	Placing  bool         `msgpack:"placing" json:"placing"`
	Healthy  bool         `msgpack:"state_service_ok" json:"state_service_ok"`
	Jobs     int          `msgpack:"jobs" json:"jobs"`
	Finished int          `msgpack:"jobs_finished" json:"jobs_finished"`
	Runs     int          `msgpack:"history_runs" json:"history_runs"`
	Waiting  int          `msgpack:"tasks_waiting" json:"tasks_waiting"`
	Running  int          `msgpack:"tasks_placed" json:"tasks_placed"`
	Budgets  Budgets      `msgpack:"budgets" json:"budgets"`
	Machines []HostStatus `msgpack:"machines" json:"machines"`
	Took     []Latency    `msgpack:"latencies" json:"latencies"`
}

// Budgets are the limits that the node keeps to.
type Budgets struct {
	StateRate   float64 `msgpack:"state_rps" json:"state_rps"`
	StateWrites float64 `msgpack:"state_write_rps" json:"state_write_rps"`
	CloudRate   float64 `msgpack:"cloud_rps" json:"cloud_rps"`
	Connections int     `msgpack:"connections" json:"connections"`
	MemoryMB    float64 `msgpack:"memory_mb" json:"memory_mb"`
}

const mostHostsShown = 300

func (n *Node) status(now time.Time, r *inbox.Request) {
	s := Status{Node: n.cfg.Name, Leader: n.election.Leader(now), Budgets: Budgets{
		StateRate: n.cfg.StateRate, StateWrites: n.cfg.StateWrites, CloudRate: n.cfg.CloudRate,
		Connections: n.cfg.Connections, MemoryMB: n.cfg.MemoryMB}}
	for _, kind := range slices.Sorted(maps.Keys(n.watch.byKind)) {
		h := n.watch.byKind[kind]
		s.Took = append(s.Took, Latency{kind, h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max()})
	}
	if l := n.lead; l != nil {
		s.Token, s.Placing, s.Healthy, s.Jobs = l.token, l.takeover.Placing(), l.ledger.IsHealthy(), len(l.book.Unfinished)
		if l.takeover.Built() {
			s.Finished, s.Runs = l.book.FinishedCount(), l.book.Archive().SegmentCount()
		}
		for _, j := range l.book.Unfinished {
			s.Waiting += j.Waiting()
			s.Running += len(j.Active)
		}
		for _, m := range l.fleet.Sorted() {
			if len(s.Machines) == mostHostsShown {
				break
			}
			state := string(m.Draining)
			switch {
			case state != "":
			case l.fleet.Expired(now, m):
				state = "silent"
			case m.Unreached:
				state = "does not hear"
			default:
				state = "ok"
			}
			s.Machines = append(s.Machines, HostStatus{m.ID, m.Type, m.Zone, m.Spot, state, len(m.Attempts), m.UsedCPU})
		}
	}
	n.out.Reply(r, 200, s, 0)
}
