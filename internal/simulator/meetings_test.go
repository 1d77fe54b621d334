package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Each test here brings about one of the meetings of two troubles; docs/design/meetings.md has where the code was
// looked at for each, and the change to the code that turns it red.

// busy is a site like any other here, but its users are told within 20 s after a lease of 8 s.
func busy(t *testing.T, seed uint64) (w *World, leader int) {
	return siteThatReports(t, seed, time.Second, 8*time.Second)
}

// The leader confirms cancellations that no machine hears of, and ends; the next one wins the key and cannot read the
// ledger, since the state service is away for longer than users are told; it lives on promises, and the workers report
// to it. The tasks are gone in time all the same.
func TestCancelledBeforeALeaderThatCannotRead(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := busy(t, seed)
		for _, m := range w.Cloud.running() {
			w.CutOneWay(nodeName(leader), m.id, 3*time.Second)
		}
		w.Run(500 * time.Millisecond)
		w.Users.Cancel(10)
		w.Run(1500 * time.Millisecond)
		if n := w.Users.Cancelled(); n < 5 {
			t.Fatalf("seed %d: only %d are cancelled", seed, n)
		}
		w.OnceAt(keyWritten, func(string) { w.State.Outage(w.Opt.Cancel + 15*time.Second) })
		w.Crash(leader, time.Duration(seed)*400*time.Millisecond)
		w.oneActs()
		w.Run(40 * time.Second)
		if len(w.traps) > 0 {
			t.Errorf("seed %d: nobody has won the key", seed)
		}
		finishes(t, w, seed)
	}
}

// The same with an outage of a few seconds, and nothing cancelled: what runs is kept.
func TestALeaderThatCannotReadKeepsWork(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w, leader := busy(t, seed)
		ran := w.model.Ran
		w.OnceAt(keyWritten, func(string) { w.State.Outage(5 * time.Second) })
		w.Crash(leader, 10*time.Second)
		w.Run(15 * time.Second)
		if again := w.model.Ran - ran; again > 8 {
			t.Errorf("seed %d: %d tasks were started again", seed, again)
		}
		finishes(t, w, seed)
	}
}

// The users' meeting: the leader alone is refused, the next one confirms cancellations, the state service is away for
// longer than users are told; the workers report to the old leader meanwhile, for as long as that answers.
func TestGap(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w, _ := busy(t, seed)
		for round := range 2 {
			old := w.Leader()
			w.State.Refuse(nodeName(old), 14*time.Second)
			for _, m := range w.Cloud.running() {
				for i := range w.nodes {
					if i != old && seed%2 == 0 {
						w.Cut(nodeName(i), m.id, 6*time.Second)
					}
				}
			}
			w.Run(1500*time.Millisecond + time.Duration(seed)*100*time.Millisecond)
			if len(w.Broken) > 0 {
				t.Fatalf("seed %d: %v", seed, w.Broken)
			}
			if w.Leader() == old {
				t.Errorf("seed %d: still led by the one that is refused", seed)
			}
			before := w.Users.Cancelled()
			w.Users.Cancel(5)
			w.Run(1500 * time.Millisecond)
			if w.Users.Cancelled() == before && round == 0 {
				t.Errorf("seed %d: nothing was cancelled", seed)
			}
			w.State.Outage(w.Opt.Cancel + 10*time.Second)
			w.Run(w.Opt.Cancel + 20*time.Second)
		}
		finishes(t, w, seed)
	}
}

// Arrays of two and three tasks that end half a minute apart, with a change of leader in between, twice: one is
// refused alone, one ends. What was done stays done and is counted once, and nothing is called done before all is.
func TestTasksThatEndFarApart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := busy(t, seed)
		for i := range 12 {
			s := jobs.Spec{
				ID: fmt.Sprintf("job-2%03d", i), Class: "apart", Team: "none", Tasks: 2 + i%2, CPUs: 0.5, MemoryGB: 0.5, Image: "i", AllowsSpot: true,
				Priority: jobs.High, RunTimeEstimate: 10 * time.Second,
			}
			w.At(time.Duration(i)*300*time.Millisecond, func() {
				w.Users.Send(s, 5*time.Second)
				w.model.jobs[s.ID].apart = 20 * time.Second
			})
		}
		w.At(9*time.Second+time.Duration(seed)*300*time.Millisecond, func() { w.State.Refuse(nodeName(leader), 6*time.Second) })
		w.At(30*time.Second, func() {
			if l := w.Leader(); l >= 0 {
				w.Crash(l, 300*time.Millisecond)
			}
		})
		w.Cloud.Copy(40 * time.Second)
		w.Run(100 * time.Second)
		for i := range 12 {
			j := w.model.jobs[fmt.Sprintf("job-2%03d", i)]
			if !j.accepted.IsZero() && j.starts > 3*j.spec.Tasks {
				t.Errorf("seed %d: %d starts of %d tasks", seed, j.starts, j.spec.Tasks)
			}
		}
		finishes(t, w, seed)
	}
}

// A leader is cut from the state service and the other controllers; workers and users reach it; jobs are cancelled
// through the next one; and that again, with the old one back within a second in between.
func TestCancelledThroughTheNextLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, _ := busy(t, seed)
		w.oneActs()
		for range 2 {
			old := w.Leader()
			w.CutFrom(old, FromState|FromControllers, 25*time.Second)
			w.Run(4 * time.Second)
			if len(w.Broken) > 0 {
				t.Fatalf("seed %d: %v", seed, w.Broken)
			}
			if l := w.Leader(); l == old || l < 0 {
				t.Fatalf("seed %d: node-%d leads", seed, l)
			}
			w.Users.Cancel(3)
			w.Run(3 * time.Second)
			if seed%2 == 1 {
				w.Crash(old, 300*time.Millisecond)
			}
			w.Run(30 * time.Second)
		}
		finishes(t, w, seed)
	}
}

// What a few machines are told is held up for seconds, or they stand still; the leader ends meanwhile, copies of old
// reports arrive, jobs are cancelled; the machines then go on.
func TestCommandsThatAreHeldUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := busy(t, seed)
		w.Cloud.Copy(30 * time.Second)
		for i := range 5 {
			w.At(time.Duration(i)*6*time.Second, func() { w.Cloud.Hold(6, time.Duration(3+i)*time.Second) })
		}
		for i := range 40 {
			w.At(time.Duration(i)*time.Second, func() {
				w.Users.Send(jobs.Spec{
					ID: fmt.Sprintf("job-3%03d", i), Class: "short", Team: "none", Tasks: 5, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
					Priority: jobs.High, RunTimeEstimate: 4 * time.Second,
				}, 4*time.Second)
			})
		}
		w.At(8*time.Second, func() { w.Crash(leader, 200*time.Millisecond) })
		w.At(12*time.Second, func() { w.Users.Cancel(4) })
		w.Run(50 * time.Second)
		finishes(t, w, seed)
	}
}

// A leader ends while some machines with long tasks cannot be reached and some do not hear the next leader's answers.
// It neither doubles their tasks nor keeps all others waiting for them.
func TestLongTasksOutOfReachAtATakeover(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := busy(t, seed)
		list := w.Cloud.running()
		for k, m := range list {
			for i := range w.nodes {
				switch {
				case k%4 == 0:
					w.Cut(nodeName(i), m.id, 20*time.Second)
				case k%4 == 1 && i != leader:
					w.CutOneWay(nodeName(i), m.id, 20*time.Second)
				}
			}
		}
		w.Crash(leader, time.Second)
		began := w.Now
		for !w.placing() && w.Now.Sub(began) < time.Minute {
			w.Run(100 * time.Millisecond)
		}
		if took := w.Now.Sub(began); took > w.Opt.Lease+8*time.Second {
			t.Errorf("seed %d: placing begins after %v", seed, took)
		}
		finishes(t, w, seed)
	}
}

func (w *World) placing() bool {
	for i := range w.nodes {
		if _, places := w.acts(i); places {
			return true
		}
	}
	return false
}

// The state service is slow, near every time that its callers wait, while users submit, cancel and ask and the leader
// is refused alone, then everybody for longer than users are told. Every answer is final and comes at once.
func TestSlowStateServiceThenNone(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := busy(t, seed)
		w.oneActs()
		w.State.Slow(40 * time.Second)
		for i := range 20 {
			w.At(time.Duration(i)*time.Second, w.Users.Submit)
		}
		w.At(5*time.Second, func() { w.Users.Cancel(4) })
		w.At(20*time.Second, func() { w.State.Refuse(nodeName(leader), 5*time.Second) })
		w.At(22*time.Second, func() { w.Users.Cancel(4) })
		w.At(24*time.Second, func() { w.State.Outage(w.Opt.Cancel + 8*time.Second) })
		w.Run(70 * time.Second)
		if w.Users.slowest > 5*time.Second {
			t.Errorf("seed %d: an answer took %v", seed, w.Users.slowest)
		}
		finishes(t, w, seed)
	}
}

// Controllers hand over and back within a second each; then all end, and one returns at once, the others later.
func TestThereAndBack(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, _ := busy(t, seed)
		w.oneActs()
		mark := w.State.mark()
		w.State.Hand(6, 900*time.Millisecond)
		w.At(2*time.Second, func() { w.Users.Cancel(3) })
		w.Run(8 * time.Second)
		if w.State.mark() <= mark {
			t.Errorf("seed %d: nobody else has led", seed)
		}
		for i := range w.nodes {
			w.Crash(i, time.Duration(100+3000*((i+int(seed))%3))*time.Millisecond)
		}
		w.Run(20 * time.Second)
		finishes(t, w, seed)
	}
}

// Half of the transactions get no answer and are carried out after newer ones, those of campaigns too, while leaders
// end and are refused, short jobs are finished and sealed, and some are cancelled.
func TestLateTransactions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w, leader := busy(t, seed)
		w.oneActs()
		w.State.Late(0.1+0.1*float64(seed), 40*time.Second)
		for i := range 30 {
			w.At(time.Duration(i)*1200*time.Millisecond, w.Users.Submit)
		}
		w.At(10*time.Second, func() { w.Crash(leader, 300*time.Millisecond) })
		w.At(14*time.Second, func() { w.Users.Cancel(5) })
		w.At(20*time.Second, func() { w.State.Refuse(w.State.leader(), 4*time.Second) })
		w.Run(70 * time.Second)
		if err := w.State.Check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		finishes(t, w, seed)
	}
}

// Machines begin to count anew while copies of what they reported before arrive at every controller, the next leader
// and followers among them.
func TestReportsOfEarlierSessions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := busy(t, seed)
		w.Cloud.Copy(30 * time.Second)
		for i := range 6 {
			w.At(time.Duration(i)*3*time.Second, func() { w.Cloud.Restart(300*time.Millisecond, i%2 == 0) })
		}
		w.At(7*time.Second, func() { w.Crash(leader, 100*time.Millisecond) })
		w.At(14*time.Second, func() { w.State.Refuse(w.State.leader(), 3*time.Second) })
		w.Run(40 * time.Second)
		finishes(t, w, seed)
	}
}

// Settings by which a lease outlasts what users are told: nothing is called cancelled before its tasks are gone, though no
// machine hears anything for a while, leaders end, and the state service is away.
func TestCancelledOnlyOnceItsTasksAreGone(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		opt := options()
		opt.Cancel = 5 * time.Second
		w, leader := siteWith(t, seed, opt)
		w.Cloud.Unhear(1000, false, 7*time.Second)
		w.Run(300 * time.Millisecond)
		w.Users.Cancel(3)
		if seed > 0 {
			w.At(time.Second, func() { w.Crash(leader, 300*time.Millisecond) })
		}
		if seed > 1 {
			w.OnceAt(keyWritten, func(string) { w.State.Outage(12 * time.Second) })
		}
		w.Run(40 * time.Second)
		if w.Users.Cancelled() == 0 && len(w.Broken) == 0 {
			t.Errorf("seed %d: nobody is told of a cancellation", seed)
		}
		finishes(t, w, seed)
	}
}

// Again and again a leader ends while half of the machines stand still for longer than their leases. The takeover waits for
// their leases and no longer, so that what the other machines can do is done: half of a class of short tasks at least.
func TestOthersAreServedWhileMachinesStayAway(t *testing.T) {
	t.Parallel()
	const every, rounds = 16 * time.Second, 8
	for seed := range uint64(2) {
		w, _ := busy(t, seed)
		for i := range int(every.Seconds()) * rounds {
			w.At(time.Duration(i)*time.Second, func() {
				w.Users.Send(jobs.Spec{
					ID: fmt.Sprintf("job-4%03d", i), Class: "short", Team: "none", Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
					Priority: jobs.High, RunTimeEstimate: 2 * time.Second,
				}, 2*time.Second)
			})
		}
		placed, looks := 0, 0
		for range rounds {
			for _, m := range w.Cloud.some(len(w.Cloud.running()) / 2) {
				m.hangs = w.Now.Add(w.Opt.Lease + 3*time.Second)
			}
			if l := w.Leader(); l >= 0 {
				w.Crash(l, 3*time.Second)
			}
			for end := w.Now.Add(every); w.Now.Before(end) && len(w.Broken) == 0; looks++ {
				w.Run(100 * time.Millisecond)
				if w.placing() {
					placed++
				}
			}
		}
		if len(w.Broken) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Broken)
		}
		if share := float64(
			placed,
		) / float64(
			looks,
		); share < 0.36 { // of sixteen seconds a lease with its margin, an election and a report are waited for
			t.Errorf("seed %d: somebody places for %.2f of the time", seed, share)
		}
		served := Portion{}
		for _, id := range w.Users.ids {
			if j := w.model.jobs[id]; j.spec.Class == "short" {
				served = served.with(j)
			}
		}
		if served.Share() < 0.5 {
			t.Errorf("seed %d: %.2f of the short jobs are done", seed, served.Share())
		}
		t.Logf("seed %d: %.2f of the time, %.2f of the short jobs", seed, float64(placed)/float64(looks), served.Share())
	}
}
