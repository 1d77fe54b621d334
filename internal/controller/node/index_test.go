package node

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
)

// leading is a node that leads, without an election: what it decides, and nothing around it.
func leading(now time.Time) *Node {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	cfg := &config.Platform{Name: "n", ReportEvery: 4 * time.Second, WorkerLease: 20 * time.Second, CPUShare: 0.2, Connections: 1000,
		Teams: []config.Team{{Name: "t", CPUs: 500, CPULimit: 1e6}}}
	n := New(cfg, config.DefaultOptions(), now, rand.New(rand.NewPCG(1, 1)), log)
	n.lead = &leadership{token: 1, since: now, jobs: map[string]*jobs.Job{}, finals: map[string]final{},
		planner: plan.New(n.opt, cfg), firsts: map[*jobs.Job]bool{}, gate: n.newGate(), options: n.opt, booked: map[*jobs.Attempt]*workers.Machine{},
		ledger: ledger.New(ledger.Options{ValueBytes: 8192, TxnOps: 12, WriteRate: 15}, 1, log),
		cloud:  fleet.New(1, 2, time.Second, log), fleet: workers.NewFleet(n.leaseEnd(), log), built: true, placing: true, stale: true, first: true}
	if !n.readHistory() {
		panic("an empty ledger's history cannot be read")
	}
	n.lead.cloud.Types = map[string]*fleet.Type{"small": {Name: "small", CPUs: 4, Mem: 8, Zones: []string{"a"}, Price: 1, SpotPrice: 0.3, BootS: 40},
		"large": {Name: "large", CPUs: 16, Mem: 64, Zones: []string{"a", "b"}, Price: 4, SpotPrice: 1, BootS: 30}}
	return n
}

func (n *Node) addMachine(now time.Time, i int, typ, zone string, spot bool) *workers.Machine {
	m := n.lead.fleet.Machine(fmt.Sprintf("vm-%06d", i))
	n.look(now, m, typ, zone, spot)
	n.lead.cloud.Seen(now, m.ID, "", place.Kind(m))
	t := n.lead.cloud.Types[typ]
	n.lead.fleet.Measure(m, place.Size(t), t.CacheGB, t.FetchRate)
	m.Accounted, m.Rostered = true, true
	return m
}

// look takes in a report that has exactly what is on the machine, all of it running.
func (n *Node) look(now time.Time, m *workers.Machine, typ, zone string, spot bool) {
	r := &workers.Report{Machine: m.ID, Type: typ, Zone: zone, Spot: spot, Session: 1, Seq: m.Seq + 1}
	for _, a := range m.Attempts {
		r.Tasks = append(r.Tasks, workers.TaskReport{Task: a.Key.String(), Attempt: a.Number, State: workers.StateRunning})
	}
	n.lead.fleet.Observe(now, m, r, true, n.find)
	m.Answered = now
}

func (n *Node) addJob(now time.Time, i, tasks int, cpus float64) *jobs.Job {
	j := jobs.NewJob(jobs.Spec{ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Tasks: tasks, CPUs: cpus, Mem: cpus, Spot: i%3 > 0,
		Spread: i%4 == 1, Estimate: 30 * time.Second, Deadline: time.Duration(i%2) * time.Minute}, now)
	j.State, j.Guaranteed = jobs.Accepted, i%2 == 1
	n.lead.jobs[j.ID] = j
	n.lead.stale = true
	return j
}

// plainFuller is what fuller finds, by a walk over all machines.
func (n *Node) plainFuller(now time.Time, j *jobs.Job, m *workers.Machine) int {
	room := 0
	for _, o := range n.lead.fleet.Machines {
		if o != m && o.Up && o.Accounted && o.Rostered && now.Sub(o.Answered) < 2*n.cfg.ReportEvery && !now.Before(o.RoomFrom) &&
			place.Fuller(o, m) && place.Usable(j, o) && (o.HeldFor == nil || o.HeldFor == j) {
			room += min(o.Fits(j), place.ZoneRoom(j, o.Zone))
		}
	}
	return min(room, j.Waiting())
}

// What is kept up to date with each change is what a plain walk finds: the levels of the
// fleet, and a job's running tasks, their remaining time and their zones.
func TestIndexesAgreeWithPlainWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		n := leading(now)
		var machines []*workers.Machine
		var list []*jobs.Job
		for i := range rapid.IntRange(2, 12).Draw(t, "machines") {
			large := rapid.Bool().Draw(t, "large")
			typ := map[bool]string{false: "small", true: "large"}[large]
			machines = append(machines, n.addMachine(now, i, typ, []string{"a", "b"}[i%2], i%3 == 0))
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			list = append(list, n.addJob(now, i, rapid.IntRange(1, 30).Draw(t, "tasks"), rapid.SampledFrom([]float64{0.5, 1, 3, 4}).Draw(t, "cpus")))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			m := rapid.SampledFrom(machines).Draw(t, "machine")
			j := rapid.SampledFrom(list).Draw(t, "job")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				for _, c := range n.starts(now, m, 5) {
					if c.Op != "start" {
						t.Fatalf("%v instead of a start", c)
					}
				}
			case 2:
				n.look(now, m, m.Type, m.Zone, m.Spot)
			case 3:
				n.ended(now, m, n.lead.fleet.Clear(m))
			case 4:
				n.lead.stale = true
			}
			if got, want := n.fuller(now, j, m, 1<<30), n.plainFuller(now, j, m); got != want {
				t.Fatalf("%d tasks of %s fit on machines fuller than %s, want %d", got, j.ID, m.ID, want)
			}
			checkJob(t, now, j)
		}
	})
}

func checkJob(t *rapid.T, now time.Time, j *jobs.Job) {
	running, ran, zones := 0, time.Duration(0), map[string]int{}
	for _, a := range j.Active {
		zones[a.Zone]++
		if !a.Running.IsZero() {
			running++
			ran += now.Sub(a.Running)
		}
	}
	perTask := time.Hour
	if got, want := j.Remaining(perTask, now), time.Duration(j.Tasks-j.NDone)*perTask-ran; got != want || j.RunningTasks() != running {
		t.Fatalf("%s: %v remain of %d running, want %v of %d", j.ID, got, j.RunningTasks(), want, running)
	}
	if here, _ := j.InZone("a"); j.Spread && here != zones["a"] {
		t.Fatalf("%s: %d in the zone, want %d", j.ID, here, zones["a"])
	}
}

// loaded is a fleet under load: every machine full but for a part of them, and jobs that wait.
func loaded(machines, waiting int) (*Node, time.Time) {
	now := time.Unix(10_000, 0)
	n := leading(now)
	for i := range waiting {
		n.addJob(now, i, 100+i%50, 1)
	}
	n.addJob(now, waiting, jobs.MaxTasks, 2)
	for i := range machines {
		m := n.addMachine(now, i, map[bool]string{false: "small", true: "large"}[i%4 == 0], "a", i%2 == 0)
		if i%8 > 0 {
			n.starts(now, m, mostCommands)
		}
	}
	return n, now
}

var sizes = [...]int{250, 1000, 5000}

// BenchmarkReport is a report of a machine that has room, with its starts; they are taken
// back, so that the next one finds the same.
func BenchmarkReport(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, now := loaded(size, size)
			m := n.lead.fleet.Machines["vm-000000"]
			for b.Loop() {
				n.starts(now, m, mostCommands)
				n.ended(now, m, n.lead.fleet.Clear(m))
			}
		})
	}
}

// BenchmarkRank is the order with its holds.
func BenchmarkRank(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, now := loaded(size, size)
			for b.Loop() {
				n.lead.stale, n.lead.ordered = true, time.Time{}
				n.rank(now)
			}
		})
	}
}

// BenchmarkSize is the look at what to rent and to give back.
func BenchmarkSize(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, now := loaded(size, size)
			for b.Loop() {
				n.size(now)
			}
		})
	}
}
