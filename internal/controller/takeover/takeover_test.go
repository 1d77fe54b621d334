package takeover

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/book"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/leader/hearing"
	"gullrudder/internal/controller/leader/horizon"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/controller/pace"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/reports"
	"gullrudder/internal/controller/reports/blame"
	"gullrudder/internal/controller/settings"
	"gullrudder/internal/controller/timeline"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/controller/workers/reach"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/steady"
	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

func TestMain(m *testing.M) { steady.Main(m) }

// taking is a takeover with its neighbours, after the ledger was read.
type taking struct {
	*Takeover
	out     *inbox.Answers
	hearing *hearing.Monitor
	horizon *horizon.Limit
}

func newTakeover(now time.Time, token uint64) *taking {
	log := slog.New(slog.DiscardHandler)
	opt := config.DefaultOptions()
	cfg := &config.Platform{Name: "n", ReportEvery: 4 * time.Second, WorkerLease: 20 * time.Second, CancelWithin: 45 * time.Second, CPUShare: 0.2, Connections: 1000}
	k := &taking{out: &inbox.Answers{Log: log}, hearing: hearing.New(4 * time.Second)}
	k.hearing.StartLeadership(now)
	k.horizon = horizon.New(horizon.Window(cfg.CancelWithin, workers.LeaseEnd(cfg.WorkerLease)), rand.New(rand.NewPCG(1, 1)))
	links := reach.New(token, cfg.WorkerLease, reach.NewMetrics(prometheus.NewRegistry()), log)
	box := &outbox.Box{}
	led := ledger.New(ledger.Options{ValueBytes: 8192, TxnOps: 12, WriteRate: 15}, token, log)
	f, planner, cloud := workers.NewFleet(workers.LeaseEnd(cfg.WorkerLease), log), plan.New(opt, cfg), fleet.New(token, 2, time.Second, log)
	cloud.Types = map[string]*fleet.Type{"small": {Name: "small", CPUs: 4, Mem: 8, Zones: []string{"a"}, Price: 1, SpotPrice: 0.3, BootS: 40}}
	times := timeline.New(timeline.NewMetrics(prometheus.NewRegistry()), log)
	b := book.New(book.Components{Platform: cfg, Options: &opt, Storage: led, Workers: f, Accounting: times, Log: log})
	placer := place.NewPlacer(place.World{Platform: cfg, Token: token, Jobs: b.Unfinished, Fleet: f, Planner: planner,
		Room: func(time.Time) plan.Room { return plan.Room{} }, Box: box, Log: log})
	clerk := reports.NewClerk(reports.World{Platform: cfg, Token: token, Ledger: led, Book: b, Fleet: f, Cloud: cloud, Planner: planner,
		Placer: placer, Times: times, Pace: pace.New(cfg.ReportEvery), Blame: blame.New(), Reach: links, Answers: k.out, Log: log})
	k.Takeover = New(World{Platform: cfg, Token: token, Since: now, Ledger: led, Book: b, Settings: settings.New(opt, led, k.out, log), Fleet: f,
		Cloud: cloud, Clerk: clerk, Placer: placer, Floor: planner.Floor(), Zones: zones.New(cfg.ReportEvery, now, log), Reach: links, Hearing: k.hearing, Horizon: k.horizon, Box: box, Log: log})
	k.built, k.placing, k.first = true, true, true
	return k
}

func (k *taking) reply(now time.Time, report []byte) []inbox.Reply {
	k.clerk.Report(now, &inbox.Request{Method: "POST", Target: "/v1/report", Body: report}, true)
	k.clerk.Answer(now, k.placing)
	return k.out.Take()
}

// send brings a report and gives back what the machine is told.
func (k *taking) send(t *testing.T, now time.Time, r workers.Report) workers.Answer {
	t.Helper()
	raw, err := packed.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	replies := k.reply(now, raw)
	if len(replies) != 1 || replies[0].Status != 200 {
		t.Fatalf("%+v", replies)
	}
	var a workers.Answer
	if err := packed.Unmarshal(replies[0].Body, &a); err != nil {
		t.Fatal(err)
	}
	return a
}

// A report made under an older token may be older than starts that an earlier leader has
// sent since: a machine on the roster that it took over is believed only once its worker
// has seen the new token.
func TestReportUnderAnOlderTokenIsNotBelieved(t *testing.T) {
	now := time.Unix(10_000, 0)
	n := newTakeover(now, 9)
	m := n.fleet.Machine("vm-1")
	m.Rostered, m.Answered, m.Heard = true, now, now
	n.missing, n.placing = []*workers.Machine{m}, false
	report := workers.Report{Machine: "vm-1", Type: "small", Zone: "a", Session: 1, Seq: 4, Token: 8}
	if a := n.send(t, now, report); a.Token != 9 || m.Accounted {
		t.Errorf("token %d, accounted for %v by a report under an older token", a.Token, m.Accounted)
	}
	n.account(now)
	if n.placing {
		t.Error("places before the machine is accounted for")
	}
	report.Seq, report.Token = 5, 9
	if n.send(t, now, report); !m.Accounted {
		t.Error("not accounted for by a report under the token")
	}
	if n.account(now); !n.placing {
		t.Error("does not begin to place")
	}
}

// Of a zone that is cut a few of the machines are kept, silent or not, those on which the least runs; nothing
// is placed on these, and they are given up like others once the zone is not cut any more.
func TestEarsAreKeptInACutZone(t *testing.T) {
	now := time.Unix(10_000, 0)
	n := newTakeover(now, 1)
	const machines, silent = 90, 20
	for i := range machines {
		id, zone := fmt.Sprintf("vm-%06d", i), "a"
		if i < silent {
			zone = "b"
		}
		m := n.fleet.Machine(id)
		n.fleet.Observe(now, m, &workers.Report{Machine: id, Addr: id, Type: "small", Zone: zone, Session: 1, Seq: 1}, true, n.book.Find)
		m.Accounted, m.Rostered, m.Answered, m.Heard, m.UsedCPU = true, true, now, now, float64(i%4)
		n.fleet.Measure(m, workers.Room{CPUs: 4, Mem: 8}, 1, 1)
	}
	step := func(cut bool) (ears, deleted int) {
		now = now.Add(500 * time.Millisecond)
		n.allowQuestions(50 * time.Millisecond)
		n.mayAsk = 100
		for _, m := range n.fleet.Sorted() {
			if m.Zone == "a" || !cut && m.Draining == workers.InUse && !m.Ear {
				m.Answered, m.Heard = now, now
			}
		}
		n.zones.Look(now, false, func(take func(zones.Machine)) {
			for _, m := range n.fleet.Sorted() {
				take(zones.Machine{Zone: m.Zone, Up: true, Live: !n.fleet.Expired(now, m), Heard: m.Heard, Leaving: m.Draining == workers.Silent, Ear: m.Ear})
			}
		})
		n.dropSilent(now)
		for _, call := range n.box.Take() {
			call.Done(now, outbox.Result{})
		}
		for _, m := range n.fleet.Sorted() {
			if m.Ear {
				ears++
				if place.Usable(jobs.NewJob(jobs.Spec{ID: "job-1", Tasks: 1, CPUs: 1, Spot: true}, now), m) {
					t.Errorf("a task may be placed on %s, which is away", m.ID)
				}
			}
			if m.Draining == workers.Silent {
				deleted++
			}
		}
		return ears, deleted
	}
	ears, deleted := 0, 0
	for range 30 {
		ears, deleted = step(true)
	}
	if ears != silent/10 || deleted != silent-silent/10 {
		t.Fatalf("%d of %d silent machines are kept, %d deleted", ears, silent, deleted)
	}
	for _, m := range n.fleet.Sorted() { // one of them tells of the return, the other stays away
		if m.Ear {
			m.Answered, m.Heard = now, now
			break
		}
	}
	for range 30 {
		ears, deleted = step(false)
	}
	if ears != 0 {
		t.Errorf("%d machines are kept though their zone has returned", ears)
	}
}

// One machine that was taken back without notice held up a takeover of a thousand for 15 s.
// It is deleted after two questions without an answer, unless a third of all is silent, or no report
// comes through to this controller at all: on two recorded days a third went after the other.
func TestSilentMachinesAreDeleted(t *testing.T) {
	for _, c := range []struct {
		machines, silent, deleted int
		unheard                   bool
	}{{9, 1, 1, false}, {9, 3, 3, false}, {9, 4, 0, false}, {9, 3, 0, true}} {
		now := time.Unix(10_000, 0)
		n := newTakeover(now, 1)
		for i := range c.machines {
			id := fmt.Sprintf("vm-%06d", i)
			m := n.fleet.Machine(id)
			n.fleet.Observe(now, m, &workers.Report{Machine: id, Addr: id, Type: "small", Zone: "a", Session: 1, Seq: 1}, true, n.book.Find)
			m.Accounted, m.Rostered, m.Answered, m.Heard = true, true, now, now
		}
		for range 40 {
			now = now.Add(500 * time.Millisecond)
			n.allowQuestions(50 * time.Millisecond)
			n.mayAsk = 100
			for i, m := range n.fleet.Sorted() {
				if i >= c.silent {
					m.Answered, m.Heard = now, now
				}
			}
			if !c.unheard {
				n.hearing.RecordHeartbeat(now)
			}
			n.hearing.Tick(now.Add(-250*time.Millisecond), c.machines, 0) // more seldom it would be a pause of ours
			n.hearing.Tick(now, c.machines, 0)
			n.dropSilent(now)
			for _, call := range n.box.Take() {
				call.Done(now, outbox.Result{})
			}
		}
		deleted := 0
		for i, m := range n.fleet.Sorted() {
			if m.Draining == workers.Silent {
				deleted++
				if i >= c.silent {
					t.Errorf("%s is deleted though it reports", m.ID)
				}
			}
		}
		if deleted != c.deleted {
			t.Errorf("%d of %d silent: %d deleted, want %d", c.silent, c.machines, deleted, c.deleted)
		}
	}
}

// What the cloud lists as failed is deleted during a takeover at once, also if it is all there is; what it
// lists as running is not, as long as the leases may hold.
func TestFailedMachinesAreDeletedDuringATakeover(t *testing.T) {
	now := time.Unix(10_000, 0)
	n := newTakeover(now, 9)
	n.placing = false
	for id, state := range map[string]string{"vm-1": fleet.Failed, "vm-2": fleet.Running} {
		m := n.fleet.Machine(id)
		m.Rostered, m.Answered, m.Heard = true, now, now
		n.missing = append(n.missing, m)
		n.cloud.Hosts[id] = &fleet.Host{ID: id, State: state, Listed: now.Add(time.Hour)}
	}
	n.dropSilent(now)
	if !n.cloud.Hosts["vm-1"].Deleting || n.cloud.Hosts["vm-2"].Deleting {
		t.Error("not the one that failed is deleted")
	}
	if n.account(now); n.placing {
		t.Error("places before the deletion is confirmed")
	}
}

// A new leader whose roster is half of machines that are no more asks those again and again. That they do not answer
// is no sign that it is cut off: machines that have shown themselves answer. If none at all answers, it is.
func TestDeadMachinesMakeNobodyDeaf(t *testing.T) {
	for name, alive := range map[string]int{"half of them are there": 20, "none answers": 0} {
		now := time.Unix(10_000, 0)
		n := newTakeover(now, 9)
		n.placing = false
		for i := range 40 {
			m := n.fleet.Machine(fmt.Sprintf("vm-%06d", i))
			m.Addr, m.Rostered, m.Answered, m.Heard = m.ID, true, now, now
			n.missing = append(n.missing, m)
		}
		deaf := false
		n.hearing.RecordPeerWorkers("b", 40) // who waited for the leader before calls there
		for range 80 {
			now = now.Add(50 * time.Millisecond)
			n.Tick(now, 50*time.Millisecond)
			n.hearing.Tick(now, n.Expected(), n.Overdue())
			for _, call := range n.box.Take() {
				var i int
				if _, err := fmt.Sscanf(call.Addr, "vm-%d", &i); err != nil || i >= alive {
					call.Done(now, outbox.Result{})
					continue
				}
				raw, err := packed.Marshal(workers.Report{Machine: call.Addr, Addr: call.Addr, Type: "small", Zone: "a", Session: 1, Seq: uint64(now.UnixMilli()), Token: 9})
				if err != nil {
					t.Fatal(err)
				}
				call.Done(now, outbox.Result{Status: 200, Body: raw})
			}
			deaf = deaf || n.hearing.IsPartitioned(now)
		}
		if deaf != (alive == 0) {
			t.Errorf("%s: deaf %v", name, deaf)
		}
	}
}

// cancelled is a takeover that knows a job with one task, cancelled a second ago.
func cancelled(t *testing.T, now time.Time) (k *taking, report workers.Report) {
	k = newTakeover(now, 9)
	if !k.book.OpenArchive() {
		t.Fatal("no history")
	}
	j := jobs.NewJob(jobs.Spec{ID: "job-1", Tasks: 1, CPUs: 1, Mem: 1}, now)
	k.book.Unfinished["job-1"] = j
	k.book.ApplyCancellation(now.Add(-time.Second), j)
	k.fleet.Machine("vm-1").Rostered = true
	return k, workers.Report{Machine: "vm-1", Addr: "vm-1", Type: "small", Zone: "a", Session: 1, Seq: 4, Token: 8,
		Tasks: []workers.TaskReport{{Task: "job-1/0", Attempt: 5, State: workers.StateRunning}}}
}

func kills(a workers.Answer) int {
	n := 0
	for _, c := range a.Commands {
		if c.Op == "kill" && c.Task == "job-1/0" && c.Attempt == 5 && *c.Grace == 0 {
			n++
		}
	}
	return n
}

// A report that is answered and not believed, since its worker has not seen our token yet, is answered with the end of
// what is cancelled: a 200 without would keep it for another lease.
func TestUnbelievedReportEndsWhatIsCancelled(t *testing.T) {
	now := time.Unix(10_000, 0)
	k, report := cancelled(t, now)
	if a := k.send(t, now, report); kills(a) != 1 {
		t.Errorf("told %v", a.Commands)
	}
}

// A machine on which a cancelled task goes on though it was told twice to end it gets no lease that would keep it for
// longer than its user was told.
func TestMachineThatDisobeysGetsNoLease(t *testing.T) {
	now := time.Unix(10_000, 0)
	k, report := cancelled(t, now)
	reach := horizon.Window(45*time.Second, workers.LeaseEnd(20*time.Second))
	report.Token = 9
	for _, at := range []time.Duration{0, 5 * time.Second, reach - 3*time.Second} {
		report.Seq++
		if a := k.send(t, now.Add(at), report); kills(a) != 1 {
			t.Fatalf("after %v told %v", at, a.Commands)
		}
	}
	report.Seq++
	raw, err := packed.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	if replies := k.reply(now.Add(reach-time.Second), raw); len(replies) != 1 || replies[0].Status != 503 {
		t.Errorf("%+v", replies)
	}
}

// Before the ledger is read a lease is renewed only if what the leader before has said tells that it ends in time.
func TestNoLeaseBeforeTheLedgerIsRead(t *testing.T) {
	now := time.Unix(10_000, 0)
	k := newTakeover(now, 9)
	if k.built = false; k.MayRenew(now) {
		t.Error("renews though nothing is known")
	}
	k.horizon.RecordLeaderProgress(k.horizon.NewNonce(now), 3*time.Second)
	reach := horizon.Window(45*time.Second, workers.LeaseEnd(20*time.Second))
	for after, want := range map[time.Duration]bool{0: true, reach - 3100*time.Millisecond: true, reach - 3*time.Second: false, time.Minute: false} {
		if got := k.MayRenew(now.Add(after)); got != want {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
	if k.built = true; !k.MayRenew(now.Add(time.Minute)) {
		t.Error("does not renew though the ledger is read")
	}
}
