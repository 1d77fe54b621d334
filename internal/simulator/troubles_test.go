package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// site is a world of a dozen machines that are all at work, and the index of its leader.
func site(t *testing.T, seed uint64) (w *World, leader int) {
	return siteThatReports(t, seed, time.Second, 12*time.Second)
}

func siteThatReports(t *testing.T, seed uint64, every, lease time.Duration) (w *World, leader int) {
	opt := options()
	opt.ReportEvery, opt.Lease = every, lease
	return siteWith(t, seed, opt)
}

func siteWith(t *testing.T, seed uint64, opt Options) (w *World, leader int) {
	opt.Loss, opt.Capacity, opt.Teams = 0, 12, nil
	w = New(seed, opt, quiet())
	for i := range 10 {
		w.Users.Send(jobs.Spec{
			ID: "job-" + string(rune('0'+i)), Class: "c", Team: "none", Tasks: 8, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
			RunTimeEstimate: 60 * time.Second,
		}, 60*time.Second)
	}
	w.Run(40 * time.Second)
	if n := w.onMachines(); n < 60 {
		t.Fatalf("seed %d: only %d tasks run", seed, n)
	}
	if leader = w.Leader(); leader < 0 {
		t.Fatal("nobody leads")
	}
	return w, leader
}

// finishes plays on until all that was accepted has to be done, with every rule kept.
func finishes(t *testing.T, w *World, seed uint64) {
	t.Helper()
	w.Run(5 * time.Minute)
	if len(w.Broken) > 0 {
		t.Fatalf("seed %d: %v", seed, w.Broken)
	}
	if n := w.Users.Unfinished(); n > 0 {
		t.Errorf("seed %d: %d accepted jobs are not finished", seed, n)
	}
}

// Reports of three machines arrive, and nothing that they are told; meanwhile one machine dies and the leader ends and
// is back at once. They are found out and given back, and nothing runs twice.
func TestMachinesThatHearNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w, leader := siteThatReports(t, seed, 4*time.Second, 20*time.Second)
		before := len(w.Cloud.running())
		w.Cloud.Unhear(3, seed > 0, 3*time.Minute)
		w.At(5*time.Second, w.Cloud.Die)
		if seed == 2 {
			w.At(2*time.Second, func() { w.Crash(leader, 100*time.Millisecond) })
		}
		w.Run(25 * time.Second)
		deaf := 0
		for _, m := range w.Cloud.running() {
			if w.Now.Before(w.cutUntil(w.State.leader(), m.id)) {
				deaf++
			}
		}
		if deaf > 0 {
			t.Errorf("seed %d: %d of %d machines hear nothing, and are kept", seed, deaf, before)
		}
		finishes(t, w, seed)
	}
}

// The leader's answers reach no machine, and all reports reach it: another one leads soon, since machines that call
// elsewhere and do not answer its questions are two kinds of evidence.
func TestLeaderThatNobodyHears(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w, leader := siteThatReports(t, seed, 4*time.Second, 20*time.Second)
		w.Cloud.Unhear(1000, true, 2*time.Minute)
		w.At(time.Second, w.Cloud.Die)
		w.Run(15 * time.Second)
		if w.State.leader() == nodeName(leader) {
			t.Errorf("seed %d: %s still leads, whom nobody hears", seed, nodeName(leader))
		}
		finishes(t, w, seed)
	}
}

// A leader that loses the state service and the other controllers, but not its workers, stops with its entitlement,
// and its workers find the next one before their leases end, though that one is itself back within 0.3 s meanwhile.
func TestLeaderWithItsWorkersOnly(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := site(t, seed)
		w.CutFrom(leader, FromState|FromControllers, 40*time.Second)
		ran, died := w.model.Ran, 0
		w.At(500*time.Millisecond, func() { w.Cloud.Die(); died++ })
		w.At(3*time.Second, func() {
			for i := range w.nodes {
				if acting, _ := w.acts(i); acting && i != leader && seed%2 == 1 {
					w.Crash(i, 300*time.Millisecond)
				}
			}
		})
		w.Run(2 * time.Second)
		if acting, _ := w.acts(leader); acting {
			t.Errorf("seed %d: acts 2 s after it has lost the state service and everybody", seed)
		}
		w.Run(18 * time.Second)
		if again := w.model.Ran - ran; again > 30 { // one machine died, with 16 tasks at most
			t.Errorf("seed %d: %d tasks were started again", seed, again)
		}
		finishes(t, w, seed)
	}
}

// Copies of half of the reports come up to four leases late, to any controller, while short tasks start all the time,
// and machines and the leader end; a machine that died is not kept alive by them, and nothing runs twice.
func TestCopiesOfReports(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w, leader := site(t, seed)
		for i := range 90 {
			w.At(time.Duration(i)*time.Second, func() {
				w.Users.Send(jobs.Spec{
					ID: fmt.Sprintf("job-1%04d", i), Class: "short", Team: "none", Tasks: 6, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
					RunTimeEstimate: 20 * time.Second,
				}, 20*time.Second)
			})
		}
		w.Cloud.Copy(40 * time.Second)
		w.At(6*time.Second, w.Cloud.Die)
		w.At(8*time.Second, func() { w.Cloud.Restart(200*time.Millisecond, seed == 0) })
		w.At(20*time.Second, func() { w.Crash(leader, 50*time.Millisecond) })
		w.At(25*time.Second, w.Cloud.Die)
		finishes(t, w, seed)
	}
}

// A machine that an earlier leader gave back is not made to be there by a late copy of its report: it is not enrolled,
// has no room, and is forgotten.
func TestACopyMakesNoMachine(t *testing.T) {
	t.Parallel()
	w, leader := site(t, 1)
	raw, err := codec.Marshal(workerapi.Heartbeat{
		Machine: "vm-900000", Addr: "vm-900000", Type: "small", Zone: "a", Incarnation: 1, Sequence: 3,
		FencingToken: w.State.mark(), Tasks: []workerapi.TaskStatus{},
	})
	if err != nil {
		t.Fatal(err)
	}
	w.Crash(leader, time.Second)
	w.Run(5 * time.Second)
	w.request(w.State.leader(), false, "POST", "/v1/report", raw, func(int, any) {})
	w.Run(5 * time.Second)
	if _, ok := w.State.entry("m:vm-900000"); ok {
		t.Error("a machine that is no more is on the roster")
	}
	finishes(t, w, 1)
}

// Controllers end at each moment of an election and are back within a fraction of a second, one or all of them, while
// the state service is away, and machines end too.
func TestBackAmidAnElection(t *testing.T) {
	t.Parallel()
	for moment := range moments {
		for seed := range uint64(2) {
			w, leader := site(t, seed)
			back := time.Duration(1+400*seed) * time.Millisecond
			for range 3 {
				w.EndAt(moment, 20*time.Second, back)
			}
			w.Cloud.Restart(back, false)
			w.State.Refuse(nodeName(leader), 3*time.Second)
			w.At(4*time.Second, func() {
				for i := range w.nodes {
					w.Crash(i, back)
				}
			})
			w.At(6*time.Second, func() { w.State.Outage(5 * time.Second) })
			w.At(7*time.Second, func() { w.Crash(int(seed), back) })
			w.oneActs()
			w.Run(30 * time.Second)
			if n := len(w.traps); n == 3 && moment != yieldSent {
				t.Errorf("moment %d, seed %d: nobody came to it", moment, seed)
			}
			finishes(t, w, seed)
		}
	}
}

// One job that is far larger than the others of its class begins within four minutes although smaller ones keep all
// room all the time, and half of everything is served.
func TestTheLargestBegin(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		opt := FamineOptions(options().Tuning)
		opt.Capacity = 1
		w := New(seed, opt, quiet())
		spec := jobs.Spec{
			Class:           "flood",
			Team:            "blue",
			Priority:        jobs.Normal,
			Tasks:           12,
			CPUs:            2,
			MemoryGB:        2,
			Image:           "f",
			AllowsSpot:      true,
			RunTimeEstimate: 15 * time.Second,
		}
		for i := range 420 {
			w.At(time.Duration(i)*time.Second, func() {
				s := spec
				s.ID = fmt.Sprintf("job-%07d", i)
				w.Users.Send(s, 15*time.Second)
			})
		}
		w.At(20*time.Second, func() {
			s := spec
			s.ID, s.Tasks = "job-9", 600
			w.Users.Send(s, 15*time.Second)
		})
		w.Run(290 * time.Second)
		if len(w.Broken) > 0 {
			t.Fatal(w.Broken)
		}
		j := w.model.jobs["job-9"]
		if j.began.IsZero() || j.began.Sub(j.sent) > 4*time.Minute {
			t.Errorf("seed %d: began %v after it was sent", seed, j.began.Sub(j.sent))
		}
	}
}
