package place

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/steady"
	"gullrudder/internal/wire/outbox"
)

func TestMain(m *testing.M) { steady.Main(m) }

var types = map[string]*fleet.Type{"small": {Name: "small", CPUs: 4, Mem: 8, Zones: []string{"a"}, Price: 1, SpotPrice: 0.3, BootS: 40, CacheGB: 40, FetchRate: 0.25},
	"large": {Name: "large", CPUs: 16, Mem: 64, Zones: []string{"a", "b"}, Price: 4, SpotPrice: 1, BootS: 30, CacheGB: 40, FetchRate: 0.25}}

// newPlacer is a placer with a fleet of machines and jobs of its own.
func newPlacer(now time.Time) *Placer {
	log := slog.New(slog.DiscardHandler)
	cfg := &config.Platform{Name: "n", ReportEvery: 4 * time.Second, WorkerLease: 20 * time.Second, CPUShare: 0.2, Connections: 1000,
		Teams: []config.Team{{Name: "t", CPUs: 500, CPULimit: 1e6}}}
	f := workers.NewRegistry(workers.LeaseExpiry(cfg.WorkerLease), log)
	return NewPlacer(World{Platform: cfg, Token: 1, Jobs: map[string]*jobs.Job{}, Fleet: f, Planner: plan.New(config.DefaultOptions(), cfg),
		Room: func(time.Time) plan.Room {
			r := plan.Room{Machine: 16}
			for _, m := range f.Machines {
				r.CPUs += m.CPUs
			}
			return r
		}, Box: &outbox.Box{}, Log: log})
}

func (p *Placer) addMachine(now time.Time, i int, typ, zone string, spot bool) *workers.Machine {
	m := p.fleet.GetOrAdd(fmt.Sprintf("vm-%06d", i))
	p.look(now, m, typ, zone, spot)
	t := types[typ]
	p.fleet.SetCapacity(m, Size(t), t.CacheGB, t.FetchRate)
	m.Reconciled, m.Registered = true, true
	return m
}

// look takes in a report that has exactly what is on the machine, all of it running.
func (p *Placer) look(now time.Time, m *workers.Machine, typ, zone string, spot bool) {
	r := &workers.Heartbeat{Machine: m.ID, Type: typ, Zone: zone, Spot: spot, Incarnation: 1, Sequence: m.Sequence + 1}
	for _, a := range m.Attempts {
		r.Tasks = append(r.Tasks, workers.TaskStatus{Task: a.Key.String(), Attempt: a.Number, State: workers.StateRunning})
	}
	p.fleet.Reconcile(now, m, r, true, func(id string) *jobs.Job { return p.jobs[id] })
	m.LeaseRenewedAt, m.LastContactAt = now, now
}

// lose takes all tasks off a machine; they are started again.
func (p *Placer) lose(m *workers.Machine) {
	for _, e := range p.fleet.ReleaseAll(m) {
		e.Attempt.Job.Again(e.Attempt.Key.Task)
	}
	p.Changed()
}

func (p *Placer) addJob(now time.Time, i, tasks int, cpus float64) *jobs.Job {
	j := jobs.NewJob(jobs.Spec{ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Tasks: tasks, CPUs: cpus, Mem: cpus, Spot: i%3 > 0,
		Spread: i%4 == 1, Estimate: 30 * time.Second, Deadline: time.Duration(i%2) * time.Minute}, now)
	j.State, j.Guaranteed = jobs.Accepted, i%2 == 1
	p.jobs[j.ID] = j
	p.Changed()
	return j
}
