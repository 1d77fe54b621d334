package simulator

import (
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"

	"pgregory.net/rapid"
)

func testLogger() *slog.Logger {
	if os.Getenv("STANDIN_LOG") != "" {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

func testOptions() Options {
	tuning := config.DefaultOptions()
	tuning.ScaleOutBacklog = 5 * time.Second
	// Finished jobs are sealed at once, and runs merged, so that every schedule meets both.
	tuning.ArchiveDelay, tuning.MinSegmentJobs, tuning.CompactionFanIn = 0, 2, 2
	return Options{
		Controllers: 3, HeartbeatInterval: time.Second, WorkerLease: 8 * time.Second, CancelTimeout: 20 * time.Second,
		LossShare: 0.002, LateShare: 0.5, Tuning: tuning,
		Teams: []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 14}, {Name: "blue", GuaranteedCPUs: 4, CPULimit: 20}},
	}
}

// A day without troubles ends with all work done; without this, a model that finds no
// broken rule could be one that sees nothing run.
func TestRunWithoutFaultsCompletesAllJobs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		sim := New(seed, testOptions(), testLogger())
		for i := range 25 {
			sim.At(time.Duration(i)*2*time.Second, sim.Users.SubmitRandom)
		}
		sim.Run(4 * time.Minute)
		if len(sim.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, sim.Violations)
		}
		if sim.Users.AcceptedCount() != 25 || sim.Users.UnfinishedCount() != 0 || sim.checker.TaskStarts < 25 {
			t.Errorf("seed %d: %d of 25 accepted, %d unfinished, %d starts", seed, sim.Users.AcceptedCount(), sim.Users.UnfinishedCount(), sim.checker.TaskStarts)
		}
		if runs, merged := sim.State.archiveSegments(); runs == 0 || !merged {
			t.Errorf("seed %d: %d runs, merged: %v", seed, runs, merged)
		}
		if err := sim.State.CheckLimits(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// A report that was held up shows a machine without the tasks that an earlier leader has
// started since. A new leader must not believe it: the worker has not seen its token.
func TestNewLeaderRejectsStaleHeartbeat(t *testing.T) {
	t.Parallel()
	sim := New(5, testOptions(), testLogger())
	for i := range 20 {
		sim.At(time.Duration(i)*500*time.Millisecond, func() {
			sim.Users.SubmitRandom()
			for _, j := range sim.checker.jobs {
				j.runTime = 30 * time.Second // so that much is running when the leader ends
			}
		})
	}
	sim.Run(20 * time.Second)
	first, last := sim.State.leaderName(), ""
	for i := range sim.Options.Controllers {
		if controllerName(i) == first || last != "" {
			sim.Crash(i, time.Minute)
		} else {
			last = controllerName(i)
		}
	}
	// For a while the new leader hears nothing but what was held up.
	for _, m := range sim.Cloud.runningMachines() {
		sim.CutLink(last, m.id, 4500*time.Millisecond)
	}
	stale := func() {
		for _, m := range sim.Cloud.runningMachines() {
			raw, err := codec.Marshal(workerapi.Heartbeat{
				Machine: m.id, Addr: m.id, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
				Incarnation: 1, Sequence: 1, Tasks: []workerapi.TaskStatus{},
			})
			if err != nil {
				t.Fatal(err)
			}
			sim.deliverRequest(last, false, "POST", "/v1/report", raw, func(int, any) {})
		}
	}
	for i := range 2000 {
		sim.At(time.Duration(i)*5*time.Millisecond, stale)
	}
	sim.Run(9 * time.Minute)
	if len(sim.Violations) > 0 {
		t.Fatal(sim.Violations)
	}
	if n := sim.Users.UnfinishedCount(); n > 0 {
		t.Errorf("%d jobs unfinished", n)
	}
	if now := sim.State.leaderName(); now == first || now == "" {
		t.Errorf("no takeover: %q led and leads", now)
	}
}

// randomFault is one thing that goes wrong; rapid shrinks a list of them.
type randomFault struct {
	at, span         time.Duration
	kind, controller int
	farSides         int           // far sides
	restartAfter     time.Duration // until what ends is back
}

const randomFaultKinds = 37

func (x randomFault) inject(sim *Cluster) {
	name := controllerName(x.controller)
	switch x.kind {
	case 0:
		sim.Crash(x.controller, 2*time.Second+x.span/4)
	case 1:
		for i := range sim.Options.Controllers {
			sim.Crash(i, 2*time.Second)
		}
	case 2:
		sim.State.Outage(x.span)
	case 3:
		sim.State.Refuse(name, x.span)
	case 4:
		sim.Pause(x.controller, x.span/3)
	case 5:
		sim.CutLink(name, controllerName((x.controller+1)%sim.Options.Controllers), x.span)
	case 6:
		sim.CutLink(name, "state", x.span)
	case 7:
		sim.CutLink(name, "cloud", x.span)
	case 8:
		sim.Cloud.CutMachine(x.span)
	case 9:
		sim.Cloud.HangMachine(x.span)
	case 10:
		sim.Cloud.ReclaimMachine(time.Duration(x.controller) * 3 * time.Second)
	case 11:
		sim.Cloud.FailMachine()
	case 12: // reports arrive, answers and commands do not
		sim.Cloud.CutInbound(1+x.controller*2, x.controller == 0, x.span)
	case 13:
		sim.Cloud.DuplicateHeartbeats(x.span)
	case 14:
		sim.IsolateController(x.controller, x.farSides, x.span)
	case 15: // the state service and the other controllers, but not the workers
		sim.IsolateController(x.controller, FromState|FromControllers, x.span)
	case 16:
		sim.Crash(x.controller, x.restartAfter)
	case 17:
		for i := range sim.Options.Controllers {
			sim.Crash(i, x.restartAfter)
		}
	case 18:
		sim.Cloud.RestartMachine(x.restartAfter, x.controller > 0)
	case 19: // amid an election, which has to begin first
		sim.CrashAtElectionEvent(x.farSides%electionEventCount, x.span, x.restartAfter)
		if x.controller == 0 {
			sim.State.Refuse(sim.State.leaderName(), 3*time.Second)
		} else {
			sim.State.Outage(4 * time.Second)
		}
	case 20:
		sim.State.RefuseLeaderThenAll(time.Second+x.restartAfter, sim.Options.CancelTimeout+x.span)
		sim.At(time.Second, func() { sim.Users.CancelRandom(5) })
	case 21:
		sim.State.DelayTransactions(0.1+0.3*float64(x.controller), x.span)
	case 22:
		sim.State.SlowDown(x.span)
	case 23:
		sim.Cloud.DelayMachines(1+2*x.controller, min(x.span, 6*time.Second))
	case 24:
		sim.State.HandOverLeadership(2+x.controller, time.Second+x.restartAfter)
	case 25:
		sim.Users.CancelRandom(2 + 3*x.controller)
	case 26: // the next leader wins the key and cannot read the ledger
		sim.Users.CancelRandom(3)
		sim.OnElectionEvent(keyWritten, func(string) { sim.State.Outage(x.span) })
		if l := sim.LeaderIndex(); l >= 0 {
			sim.Crash(l, x.restartAfter)
		}
	case 27: // all end, one returns, the others follow
		for i := range sim.Options.Controllers {
			sim.Crash(i, x.restartAfter+time.Duration((i+x.controller)%sim.Options.Controllers)*time.Second)
		}
	case 28: // and there and back
		sim.State.Refuse(sim.State.leaderName(), time.Second+x.restartAfter)
		sim.At(2*time.Second, func() { sim.State.Refuse(sim.State.leaderName(), x.span) })
	case 29:
		sim.Cloud.CutOutbound(1+3*x.controller, x.span)
	case 30: // a lease and more without any controller
		for i := range sim.Options.Controllers {
			sim.Crash(i, sim.Options.WorkerLease+time.Second+x.span/2+time.Duration(i*x.controller)*time.Second)
		}
	case 31:
		sim.Users.CancelAsJobsEnd(0.3+0.3*float64(x.controller), x.span)
	case 32:
		sim.Users.CancelLongest(2+2*x.controller, time.Duration(x.controller)*4*time.Second)
	case 33: // cancelled as the leader is refused, and the state service away a second later
		sim.Users.CancelLongest(4, time.Duration(x.controller)*4*time.Second)
		sim.State.RefuseLeaderThenAll(time.Second, sim.Options.CancelTimeout+x.span)
	case 34:
		for i := range 10 {
			sim.At(time.Duration(i)*x.span/10, sim.Users.SendInvalidRequest)
		}
	case 35:
		sim.CutZone([]string{"a", "b"}[x.farSides%2], []int{x.controller}, sim.Options.WorkerLease+x.span)
	case 36: // mute, while the leader ends
		sim.Cloud.CutOutbound(1+3*x.controller, x.span)
		if l := sim.LeaderIndex(); l >= 0 {
			sim.Crash(l, x.restartAfter)
		}
	}
}

func drawFaults(t *rapid.T) []randomFault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) randomFault {
		return randomFault{
			at:           time.Duration(rapid.IntRange(2000, 80_000).Draw(t, "at")) * time.Millisecond,
			span:         time.Duration(rapid.IntRange(500, 25_000).Draw(t, "span")) * time.Millisecond,
			kind:         rapid.IntRange(0, randomFaultKinds-1).Draw(t, "kind"),
			controller:   rapid.IntRange(0, 2).Draw(t, "node"),
			farSides:     rapid.IntRange(1, 1<<farSideCount-1).Draw(t, "from"),
			restartAfter: time.Duration(rapid.IntRange(1, 900).Draw(t, "soon")) * time.Millisecond,
		}
	}), 1, 10).Draw(t, "troubles")
}

func runWithFaults(seed uint64, troubles []randomFault) *Cluster {
	sim := New(seed, testOptions(), testLogger())
	sim.watchSingleLeader()
	for i := range 30 {
		sim.At(time.Duration(i)*2500*time.Millisecond, sim.Users.SubmitRandom)
		sim.At(time.Duration(i)*3*time.Second, sim.Users.QueryUnknownJob)
	}
	for _, x := range troubles {
		sim.At(x.at, func() { x.inject(sim) })
	}
	sim.Run(100 * time.Second)
	return sim
}

// The rules hold under any schedule of crashes, outages, cuts, pauses, lost and late
// messages, and afterwards all accepted work gets done.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		sim := runWithFaults(seed, drawFaults(t))
		sim.Run(150 * time.Second)
		if len(sim.Violations) > 0 {
			t.Fatalf("broken: %v", sim.Violations)
		}
		if n := sim.Users.UnfinishedCount(); n > 0 {
			t.Fatalf("%d accepted jobs are not finished two and a half minutes after the troubles", n)
		}
	})
}
