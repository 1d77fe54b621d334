package rental

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/pace"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/steady"
	"gullrudder/internal/wire/outbox"
)

func TestMain(m *testing.M) { steady.Main(m) }

// room is a desk with a fleet of machines, a cloud and jobs of its own.
type room struct {
	*Desk
	jobs map[string]*jobs.Job
	box  *outbox.Box
}

func newDesk(now time.Time) *room {
	log := slog.New(slog.DiscardHandler)
	opt := config.DefaultOptions()
	cfg := &config.Platform{Name: "n", ReportEvery: 4 * time.Second, WorkerLease: 20 * time.Second, CPUShare: 0.2, Connections: 1000, CloudRate: 2,
		Teams: []config.Team{{Name: "t", CPUs: 500, CPULimit: 1e6}}}
	r := &room{jobs: map[string]*jobs.Job{}, box: &outbox.Box{}}
	f, planner, cloud := workers.NewRegistry(workers.LeaseExpiry(cfg.WorkerLease), log), plan.New(opt, cfg), fleet.New(1, 2, time.Second, log)
	cloud.Types = map[string]*fleet.Type{"small": {Name: "small", CPUs: 4, Mem: 8, Zones: []string{"a"}, Price: 1, SpotPrice: 0.3, BootS: 40},
		"large": {Name: "large", CPUs: 16, Mem: 64, Zones: []string{"a", "b"}, Price: 4, SpotPrice: 1, BootS: 30}}
	placer := place.New(place.Components{Platform: cfg, FencingToken: 1, Jobs: r.jobs, Workers: f, Planner: planner,
		Capacity: func(now time.Time) plan.Capacity { return r.Room(now) }, Outbox: r.box, Log: log})
	r.Desk = NewDesk(World{Platform: cfg, Options: &opt, Token: 1, Since: now, First: func() bool { return true }, Cloud: cloud, Fleet: f,
		Planner: planner, Placer: placer, Pace: pace.NewDetector(cfg.ReportEvery), Zones: zones.New(cfg.ReportEvery, now, log), Box: r.box, Log: log})
	return r
}

func (r *room) addMachine(now time.Time, i int, typ, zone string, spot bool) *workers.Machine {
	m := r.fleet.GetOrAdd(fmt.Sprintf("vm-%06d", i))
	r.look(now, m, typ, zone, spot)
	r.cloud.Seen(now, m.ID, "", place.MachineKind(m))
	t := r.cloud.Types[typ]
	r.fleet.SetCapacity(m, place.TypeResources(t), t.CacheGB, t.FetchRate)
	m.Reconciled, m.Registered = true, true
	return m
}

// look takes in a report that has exactly what is on the machine, all of it running.
func (r *room) look(now time.Time, m *workers.Machine, typ, zone string, spot bool) {
	rep := &workers.Heartbeat{Machine: m.ID, Type: typ, Zone: zone, Spot: spot, Incarnation: 1, Sequence: m.Sequence + 1}
	for _, a := range m.Attempts {
		rep.Tasks = append(rep.Tasks, workers.TaskStatus{Task: a.Task.String(), Attempt: a.Number, State: workers.StateRunning})
	}
	r.fleet.Reconcile(now, m, rep, true, func(id string) *jobs.Job { return r.jobs[id] })
	m.LeaseRenewedAt, m.LastContactAt = now, now
}

func (r *room) addJob(now time.Time, i, tasks int, cpus float64) *jobs.Job {
	j := jobs.New(jobs.Spec{ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Tasks: tasks, CPUs: cpus, MemoryGB: cpus, AllowsSpot: i%3 > 0,
		SpreadAcrossZones: i%4 == 1, RunTimeEstimate: 30 * time.Second, Deadline: time.Duration(i%2) * time.Minute}, now)
	j.State, j.Guaranteed = jobs.Accepted, i%2 == 1
	r.jobs[j.ID] = j
	r.placer.InvalidateOrder()
	return j
}

// A machine that is hardly used is emptied if its tasks save and others have room for them;
// the tasks start again elsewhere.
func TestThinMachinesAreEmptied(t *testing.T) {
	for name, saves := range map[string]bool{"tasks that save": true, "tasks that do not": false} {
		now := time.Unix(10_000, 0)
		n := newDesk(now)
		j := n.addJob(now, 2, 3, 4)
		j.RunTimeEstimate, j.CheckpointDuration = 5*time.Minute, 4*time.Second
		if saves {
			j.CheckpointInterval = 15 * time.Second
		}
		var all []*workers.Machine
		for _, tasks := range []int{1, 2} {
			m := n.addMachine(now, len(all), "large", "a", true)
			for range tasks {
				t := j.TakeNextTask()
				n.fleet.Assign(m, &jobs.Attempt{Task: jobs.TaskID{JobID: j.ID, Index: t}, Number: uint64(t + 1), MachineID: m.ID, Zone: m.Zone, Job: j, AssignedAt: now})
			}
			all = append(all, m)
		}
		for _, m := range all {
			n.look(now, m, "large", "a", true)
		}
		now = now.Add(2 * time.Minute)
		for _, m := range all {
			n.look(now, m, "large", "a", true)
		}
		n.thinOut(now)
		var drained []string
		for _, m := range all {
			if m.DrainReason == workers.DrainConsolidated && len(m.Attempts) > 0 {
				drained = append(drained, m.ID)
			}
		}
		calls := n.box.Take()
		if saves != (len(drained) == 1) || len(calls) != len(drained) {
			t.Errorf("%s: %v emptied by %d calls", name, drained, len(calls))
			continue
		}
		if !saves {
			continue
		}
		m := n.fleet.Machines[drained[0]]
		r := workers.Heartbeat{Machine: m.ID, Type: "large", Zone: "a", Spot: true, Incarnation: 1, Sequence: m.Sequence + 1, FencingToken: 1}
		for _, a := range m.Attempts {
			r.Tasks = append(r.Tasks, workers.TaskStatus{Task: a.Task.String(), Attempt: a.Number, State: workers.StateExited, Reason: "halted", CheckpointSaved: true})
		}
		for _, e := range n.fleet.Reconcile(now, m, &r, true, func(id string) *jobs.Job { return n.jobs[id] }) {
			e.Attempt.Job.Requeue(e.Attempt.Task.Index)
		}
		n.placer.InvalidateOrder()
		if len(n.placer.StartTasks(now, m, 9)) > 0 {
			t.Error("the machine that is emptied starts something")
		}
		n.gather(now)
		n.giveBack(now, n.placer.StartableTasks(n.placer.Order(now)))
		if !n.cloud.Hosts[m.ID].Deleting {
			t.Error("the empty machine is not returned")
		}
		started := 0
		now = now.Add(time.Second)
		for _, o := range all {
			for _, c := range n.placer.StartTasks(now, o, 9) {
				if key, err := jobs.ParseTaskID(c.Task); err == nil && key.JobID == j.ID && !strings.HasPrefix(o.ID, m.ID) {
					started++
				}
			}
		}
		if started != len(r.Tasks) {
			t.Errorf("%d tasks start again elsewhere, want %d", started, len(r.Tasks))
		}
	}
}

// Machines that an earlier leader had and that died with it are neither room nor coming: what waits
// is rented for once their leases have ended, and they are returned, which frees their places. They
// were taken for booting until they had been rented for minutes.
func TestMachinesThatDiedWithAnEarlierLeader(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newDesk(now)
	for i := range 6 {
		id := fmt.Sprintf("vm-%06d", i)
		d.cloud.Hosts[id] = &fleet.Host{ID: id, Kind: fleet.Kind{Type: "large", Zone: "a", Spot: true}, Born: now.Add(-time.Minute), State: fleet.Running}
		m := d.fleet.GetOrAdd(id)
		m.Registered, m.LeaseRenewedAt, m.LastContactAt = true, now, now // when the leadership began
	}
	d.addJob(now, 2, 96, 1)
	asked := func() int {
		d.cloud.Tick(now, d.box)
		n := 0
		for _, c := range d.box.Take() {
			if c.Path == "/hosts" {
				n += c.Body.(map[string]any)["how_many"].(int)
			}
		}
		return n
	}
	if d.size(now); asked() > 0 {
		t.Error("rents for work that may still run on machines that are not accounted for")
	}
	now = now.Add(d.fleet.Lease() + time.Second)
	if d.size(now); asked() == 0 {
		t.Error("takes machines that are gone for room that is coming")
	}
	now = now.Add(patience)
	d.size(now)
	for id, h := range d.cloud.Hosts {
		if !h.Deleting {
			t.Errorf("%s is not returned", id)
		}
	}
}

// loaded is a fleet under load: every machine full but for a part of them, and jobs that wait.
func loaded(machines, waiting int) (*room, time.Time) {
	now := time.Unix(10_000, 0)
	n := newDesk(now)
	for i := range waiting {
		n.addJob(now, i, 100+i%50, 1)
	}
	n.addJob(now, waiting, jobs.MaxTasks, 2)
	for i := range machines {
		m := n.addMachine(now, i, map[bool]string{false: "small", true: "large"}[i%4 == 0], "a", i%2 == 0)
		if i%8 > 0 {
			n.placer.StartTasks(now, m, 300)
		}
	}
	return n, now
}

// BenchmarkSize is the look at what to rent and to give back, with three aims to weigh.
func BenchmarkSize(b *testing.B) {
	for _, size := range [...]int{250, 1000, 5000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, now := loaded(size, size)
			n.steps = stepsOf([]config.Objective{{Kind: "finished", Class: "c", Within: 2 * time.Minute, Share: 0.9},
				{Kind: "finished", Class: "c", Within: 4 * time.Minute, Share: 0.99}, {Kind: "wait", Class: "c", Within: time.Minute, Share: 0.9}})
			n.records = make([]record, len(n.steps))
			for b.Loop() {
				n.size(now)
			}
		})
	}
}

// Machines on which tasks take three times as long get nothing more and are returned; of those that
// cost nothing none is, and never more than a small part of the fleet at a time.
func TestSlowMachinesAreReturned(t *testing.T) {
	for _, price := range []float64{1, 0} {
		now := time.Unix(10_000, 0)
		n := newDesk(now)
		n.cloud.Types["small"].Price = price
		for i := range 40 {
			m := n.addMachine(now, i, "small", "a", false)
			for k := range 30 {
				ran := time.Minute + time.Duration((i*7+k*13)%20)*time.Second
				if i < 4 {
					ran *= 4
				}
				n.pace.RecordRun(m.ID, ran, 70*time.Second, 10)
			}
		}
		n.setSlowAside(now)
		var aside []string
		for _, m := range n.fleet.MachinesByName() {
			if m.DrainReason == workers.DrainSlow {
				aside = append(aside, m.ID)
			}
		}
		if want := map[float64]int{1: 2, 0: 0}[price]; len(aside) != want {
			t.Errorf("price %g: %v set aside, want %d", price, aside, want)
		}
		now = now.Add(2 * time.Minute)
		for _, m := range n.fleet.MachinesByName() {
			n.look(now, m, "small", "a", false)
		}
		n.gather(now)
		n.giveBack(now, nil)
		for _, id := range aside {
			if !n.cloud.Hosts[id].Deleting {
				t.Errorf("%s is slow and empty and is not returned", id)
			}
		}
	}
}
