package autoscaler

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/client"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fixture is a desk with a fleet of machines, a cloud and jobs of its own.
type fixture struct {
	*Scaler
	jobs   map[string]*jobs.Job
	outbox *client.Outbox
}

func newFixture(now time.Time) *fixture {
	log := slog.New(slog.DiscardHandler)
	opt := config.DefaultOptions()
	cfg := &config.Platform{
		Name:                "n",
		HeartbeatInterval:   4 * time.Second,
		WorkerLeaseDuration: 20 * time.Second,
		CPUQuota:            0.2,
		MaxConnections:      1000,
		CloudRequestRate:    2,
		Teams:               []config.Team{{Name: "t", GuaranteedCPUs: 500, CPULimit: 1e6}},
	}
	r := &fixture{jobs: map[string]*jobs.Job{}, outbox: &client.Outbox{}}
	f := worker.NewRegistry(worker.LeaseExpiry(cfg.WorkerLeaseDuration), log)
	queueing := queue.NewComponents(opt)
	cloudClient := cloud.New(1, 2, time.Second, log)
	cloudClient.MachineTypes = map[string]*cloud.MachineType{
		"small": {Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}, HourlyPrice: 1, SpotHourlyPrice: 0.3, BootSeconds: 40},
		"large": {Name: "large", CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b"}, HourlyPrice: 4, SpotHourlyPrice: 1, BootSeconds: 30},
	}
	placer := placement.New(placement.Components{
		Platform: cfg, FencingToken: 1, Jobs: r.jobs, Workers: f, Ranker: queue.NewRanker(opt, cfg, queueing),
		Capacity: func(now time.Time) admission.Capacity { return r.ExpectedCapacity(now) }, Outbox: r.outbox, Log: log,
	})
	r.Scaler = New(Components{
		Platform:      cfg,
		Options:       &opt,
		FencingToken:  1,
		ElectedAt:     now,
		IsFirstLeader: func() bool { return true },
		Cloud:         cloudClient,
		Workers:       f,
		Estimator:     queueing.Estimator,
		Placer:        placer,
		Stragglers:    straggler.NewDetector(cfg.HeartbeatInterval),
		Zones:         zones.New(cfg.HeartbeatInterval, now, log),
		Outbox:        r.outbox,
		Log:           log,
	})
	return r
}

func (r *fixture) addMachine(now time.Time, i int, typ, zone string, spot bool) *worker.Machine {
	m := r.workers.GetOrAdd(fmt.Sprintf("vm-%06d", i))
	r.sendHeartbeat(now, m, typ, zone, spot)
	r.cloud.ObserveHeartbeat(now, m.ID, "", placement.MachineKind(m))
	t := r.cloud.MachineTypes[typ]
	r.workers.SetCapacity(m, placement.TypeResources(t), t.ImageCacheGB, t.FetchGBPerSecond)
	m.Reconciled, m.Registered = true, true
	return m
}

// sendHeartbeat takes in a report that has exactly what is on the machine, all of it running.
func (r *fixture) sendHeartbeat(now time.Time, m *worker.Machine, typ, zone string, spot bool) {
	rep := &worker.Heartbeat{Machine: m.ID, Type: typ, Zone: zone, Spot: spot, Incarnation: 1, Sequence: m.Sequence + 1}
	for _, a := range m.Attempts {
		rep.Tasks = append(rep.Tasks, worker.TaskStatus{Task: a.Task.String(), Attempt: a.Number, State: worker.StateRunning})
	}
	r.workers.Reconcile(now, m, rep, true, func(id string) *jobs.Job { return r.jobs[id] })
	m.LeaseRenewedAt, m.LastContactAt = now, now
}

func (r *fixture) addJob(now time.Time, i, tasks int, cpus float64) *jobs.Job {
	j := jobs.New(jobs.Spec{
		ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Tasks: tasks, CPUs: cpus, MemoryGB: cpus, AllowsSpot: i%3 > 0,
		SpreadAcrossZones: i%4 == 1, RunTimeEstimate: 30 * time.Second, Deadline: time.Duration(i%2) * time.Minute,
	}, now)
	j.State, j.Guaranteed = jobs.Accepted, i%2 == 1
	r.jobs[j.ID] = j
	r.placer.InvalidateOrder()
	return j
}

// A machine that is hardly used is emptied if its tasks save and others have room for them;
// the tasks start again elsewhere.
func TestUnderusedMachinesAreDrained(t *testing.T) {
	for name, saves := range map[string]bool{"tasks that save": true, "tasks that do not": false} {
		now := time.Unix(10_000, 0)
		n := newFixture(now)
		j := n.addJob(now, 2, 3, 4)
		j.RunTimeEstimate, j.CheckpointDuration = 5*time.Minute, 4*time.Second
		if saves {
			j.CheckpointInterval = 15 * time.Second
		}
		var all []*worker.Machine
		for _, tasks := range []int{1, 2} {
			m := n.addMachine(now, len(all), "large", "a", true)
			for range tasks {
				t := j.TakeNextTask()
				n.workers.Assign(
					m,
					&jobs.Attempt{Task: jobs.TaskID{JobID: j.ID, Index: t}, Number: uint64(t + 1), MachineID: m.ID, Zone: m.Zone, Job: j, AssignedAt: now},
				)
			}
			all = append(all, m)
		}
		for _, m := range all {
			n.sendHeartbeat(now, m, "large", "a", true)
		}
		now = now.Add(2 * time.Minute)
		for _, m := range all {
			n.sendHeartbeat(now, m, "large", "a", true)
		}
		n.consolidate(now)
		var drained []string
		for _, m := range all {
			if m.DrainReason == worker.DrainConsolidated && len(m.Attempts) > 0 {
				drained = append(drained, m.ID)
			}
		}
		calls := n.outbox.TakeCalls()
		if saves != (len(drained) == 1) || len(calls) != len(drained) {
			t.Errorf("%s: %v emptied by %d calls", name, drained, len(calls))
			continue
		}
		if !saves {
			continue
		}
		m := n.workers.Machines[drained[0]]
		r := worker.Heartbeat{Machine: m.ID, Type: "large", Zone: "a", Spot: true, Incarnation: 1, Sequence: m.Sequence + 1, FencingToken: 1}
		for _, a := range m.Attempts {
			r.Tasks = append(
				r.Tasks,
				worker.TaskStatus{Task: a.Task.String(), Attempt: a.Number, State: worker.StateExited, Reason: "halted", CheckpointSaved: true},
			)
		}
		for _, e := range n.workers.Reconcile(now, m, &r, true, func(id string) *jobs.Job { return n.jobs[id] }) {
			e.Attempt.Job.Requeue(e.Attempt.Task.Index)
		}
		n.placer.InvalidateOrder()
		if len(n.placer.StartTasks(now, m, 9)) > 0 {
			t.Error("the machine that is emptied starts something")
		}
		n.refreshInstances(now)
		n.terminateUnneeded(now, n.placer.StartableTasks(n.placer.Order(now)))
		if !n.cloud.Instances[m.ID].Deleting {
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
func TestMachinesLostWithPreviousLeaderAreReplaced(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newFixture(now)
	for i := range 6 {
		id := fmt.Sprintf("vm-%06d", i)
		d.cloud.Instances[id] = &cloud.Instance{
			ID:          id,
			Kind:        cloud.InstanceKind{Type: "large", Zone: "a", Spot: true},
			RequestedAt: now.Add(-time.Minute),
			State:       cloud.StateRunning,
		}
		m := d.workers.GetOrAdd(id)
		m.Registered, m.LeaseRenewedAt, m.LastContactAt = true, now, now // when the leadership began
	}
	d.addJob(now, 2, 96, 1)
	asked := func() int {
		d.cloud.Tick(now, d.outbox)
		n := 0
		for _, c := range d.outbox.TakeCalls() {
			if c.Path == "/hosts" {
				n += c.Body.(map[string]any)["how_many"].(int)
			}
		}
		return n
	}
	if d.scale(now); asked() > 0 {
		t.Error("rents for work that may still run on machines that are not accounted for")
	}
	now = now.Add(d.workers.Lease() + time.Second)
	if d.scale(now); asked() == 0 {
		t.Error("takes machines that are gone for room that is coming")
	}
	now = now.Add(silenceGrace)
	d.scale(now)
	for id, h := range d.cloud.Instances {
		if !h.Deleting {
			t.Errorf("%s is not returned", id)
		}
	}
}

// newLoadedFixture is a fleet under load: every machine full but for a part of them, and jobs that wait.
func newLoadedFixture(machines, waiting int) (*fixture, time.Time) {
	now := time.Unix(10_000, 0)
	n := newFixture(now)
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

// BenchmarkScale is the look at what to rent and to give back, with three aims to weigh.
func BenchmarkScale(b *testing.B) {
	for _, size := range [...]int{250, 1000, 5000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, now := newLoadedFixture(size, size)
			n.objectives = objectivesOf([]config.Objective{
				{Kind: "finished", Class: "c", TimeLimit: 2 * time.Minute, TargetShare: 0.9},
				{Kind: "finished", Class: "c", TimeLimit: 4 * time.Minute, TargetShare: 0.99},
				{Kind: "wait", Class: "c", TimeLimit: time.Minute, TargetShare: 0.9},
			})
			n.history = make([]objectiveRecord, len(n.objectives))
			for b.Loop() {
				n.scale(now)
			}
		})
	}
}

// Machines on which tasks take three times as long get nothing more and are returned; of those that
// cost nothing none is, and never more than a small part of the fleet at a time.
func TestStragglersAreTerminated(t *testing.T) {
	for _, price := range []float64{1, 0} {
		now := time.Unix(10_000, 0)
		n := newFixture(now)
		n.cloud.MachineTypes["small"].HourlyPrice = price
		for i := range 40 {
			m := n.addMachine(now, i, "small", "a", false)
			for k := range 30 {
				ran := time.Minute + time.Duration((i*7+k*13)%20)*time.Second
				if i < 4 {
					ran *= 4
				}
				n.stragglers.RecordRun(m.ID, ran, 70*time.Second, 10)
			}
		}
		n.cordonStragglers(now)
		var aside []string
		for _, m := range n.workers.MachinesByName() {
			if m.DrainReason == worker.DrainSlow {
				aside = append(aside, m.ID)
			}
		}
		if want := map[float64]int{1: 2, 0: 0}[price]; len(aside) != want {
			t.Errorf("price %g: %v set aside, want %d", price, aside, want)
		}
		now = now.Add(2 * time.Minute)
		for _, m := range n.workers.MachinesByName() {
			n.sendHeartbeat(now, m, "small", "a", false)
		}
		n.refreshInstances(now)
		n.terminateUnneeded(now, nil)
		for _, id := range aside {
			if !n.cloud.Instances[id].Deleting {
				t.Errorf("%s is slow and empty and is not returned", id)
			}
		}
	}
}
