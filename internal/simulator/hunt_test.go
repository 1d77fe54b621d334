package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// limited is a site of two teams, one of them at its limit with long tasks, and the index of its leader.
func limited(t *testing.T, seed uint64) (w *World, leader int) {
	opt := options()
	opt.Loss, opt.Sound = 0, true
	opt.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 30}, {Name: "blue"}}
	w = New(seed, opt, quiet())
	for i := range 6 {
		w.Users.Send(jobs.Spec{
			ID: fmt.Sprintf("job-5%03d", i), Class: "long", Team: "red", Tasks: 6, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
			SingleZone: i == 1, SpreadAcrossZones: i == 2, RunTimeEstimate: 60 * time.Second,
		}, 60*time.Second)
	}
	w.Users.Send(
		jobs.Spec{
			ID:              "job-59",
			Class:           "room",
			Team:            "blue",
			Tasks:           30,
			CPUs:            1,
			MemoryGB:        1,
			Image:           "i",
			AllowsSpot:      true,
			RunTimeEstimate: 10 * time.Second,
		},
		10*time.Second,
	)
	w.Run(30 * time.Second)
	if n := w.onMachines(); n < 28 {
		t.Fatalf("seed %d: only %d tasks run", seed, n)
	}
	if leader = w.Leader(); leader < 0 {
		t.Fatal("nobody leads")
	}
	return w, leader
}

// short submits jobs of a team, one a second, for a while.
func (w *World) short(team, first string, count, tasks int) {
	for i := range count {
		w.At(time.Duration(i)*time.Second, func() {
			w.Users.Send(jobs.Spec{
				ID: fmt.Sprintf("job-%s%03d", first, i), Class: "short", Team: team, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
				SingleZone: i%3 == 1, SpreadAcrossZones: i%3 == 2, Priority: jobs.High, RunTimeEstimate: 2 * time.Second,
			}, 2*time.Second)
		})
	}
}

// A leader ends while half of the machines are away for longer than their leases. Jobs that the next one accepts start on the others
// before those leases are over; nothing that may run out of sight starts again, and a team at its limit stays within it.
func TestOwnJobsStartWhileMachinesAreMissing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := limited(t, seed)
		for _, m := range w.Cloud.some(len(w.Cloud.running()) / 2) {
			m.hangs = w.Now.Add(w.Opt.Lease + 4*time.Second)
		}
		w.Crash(leader, time.Duration(seed)*time.Second)
		w.Run(1500 * time.Millisecond)
		w.short("red", "61", 8, 3)
		w.short("blue", "62", 8, 3)
		began := 0
		for end := w.Now.Add(10 * time.Second); w.Now.Before(end) && !w.placing() && len(w.Broken) == 0; {
			w.Run(100 * time.Millisecond)
			began = w.Users.count(func(j *modelJob) bool { return j.spec.Class == "short" && !j.began.IsZero() })
		}
		if began < 3 {
			t.Errorf("seed %d: only %d jobs of the new leader began before all machines were accounted for", seed, began)
		}
		finishes(t, w, seed)
	}
}

// A team is at its limit when the leader changes, twice in a row, some of its machines cannot be asked, and jobs of it are cancelled
// in that spell: what may still run counts, also of the cancelled ones, until it is gone.
func TestTeamAtItsLimitAtALeadersChange(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := limited(t, seed)
		for _, m := range w.Cloud.some(len(w.Cloud.running()) / 2) {
			for i := range w.nodes {
				w.Cut(nodeName(i), m.id, time.Duration(9+seed)*time.Second)
			}
		}
		w.Users.CancelNow(3, 0)
		w.At(100*time.Millisecond*time.Duration(1+seed*2), func() { w.Crash(leader, 500*time.Millisecond) })
		w.At(4*time.Second, func() {
			if l := w.Leader(); l >= 0 {
				w.Crash(l, 500*time.Millisecond)
			}
		})
		w.At(5*time.Second, func() { w.Users.CancelNow(2, 6*time.Second) })
		w.short("red", "63", 10, 8)
		w.Run(20 * time.Second)
		finishes(t, w, seed)
	}
}

// Machines reach no controller, while commands reach them. The tasks of cancelled jobs there are gone in time, through a takeover, and
// when a machine is back within a second of its lease's end; nothing runs twice.
func TestMuteMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := busy(t, seed)
		w.Cloud.Mute(len(w.Cloud.running())/2, w.Opt.Lease+time.Duration(seed)*400*time.Millisecond-600*time.Millisecond)
		w.Users.CancelNow(4, 0)
		if seed%2 == 0 {
			w.At(time.Second, func() { w.Crash(leader, time.Second) })
		}
		w.Run(15 * time.Second)
		w.Cloud.Mute(6, 20*time.Second)
		w.At(time.Second, func() { w.State.Outage(w.Opt.Cancel + 3*time.Second) })
		w.At(500*time.Millisecond, func() { w.Users.CancelNow(3, 0) })
		w.Run(40 * time.Second)
		finishes(t, w, seed)
	}
}

// All controllers are away for longer than a lease, just after cancellations: every session is a new one, results that came to
// an end meanwhile are lost with it and their tasks run again, and there is no flood of machines or starts.
func TestAllAwayForLongerThanALease(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, _ := busy(t, seed)
		w.Cloud.Copy(30 * time.Second)
		w.Users.CancelNow(3, time.Duration(seed)*3*time.Second)
		w.Run(400 * time.Millisecond)
		machines, ran := len(w.Cloud.names), w.model.Ran
		for i := range w.nodes {
			w.Crash(i, w.Opt.Lease+time.Duration(1+int(seed)*i)*time.Second)
		}
		w.Run(30 * time.Second)
		if more := len(w.Cloud.names) - machines; more > machines/2 {
			t.Errorf("seed %d: %d machines more are rented, after %d", seed, more, machines)
		}
		if again := w.model.Ran - ran; again > 160 {
			t.Errorf("seed %d: %d starts of some 80 tasks", seed, again)
		}
		finishes(t, w, seed)
	}
}

// A report is held up until the next leader has acted, and then arrives there, with what that one has replaced or cancelled.
func TestReportHeldUntilTheNextLeaderActs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w, leader := busy(t, seed)
		late := 0
		for _, m := range w.Cloud.running() {
			old, err := encode(m.report())
			if err != nil {
				t.Fatal(err)
			}
			for i := range 12 {
				w.At(time.Duration(2000+700*i)*time.Millisecond, func() {
					if l := w.Leader(); l >= 0 {
						late++
						w.request(nodeName(l), false, "POST", "/v1/report", old, func(int, any) {})
					}
				})
			}
			if late%3 == 0 {
				m.hangs = w.Now.Add(3 * time.Second)
			}
		}
		w.Crash(leader, time.Second)
		w.At(1500*time.Millisecond, func() { w.Users.CancelNow(4, 0) })
		w.At(3*time.Second, func() { w.Cloud.Restart(200*time.Millisecond, seed%2 == 0) })
		w.Run(15 * time.Second)
		if late < 20 {
			t.Errorf("seed %d: %d late reports", seed, late)
		}
		finishes(t, w, seed)
	}
}

// Cancellations, questions and repeated submissions meet the end of a job's last task: one final state in every answer, of every
// controller, also after the job is sealed; without other troubles, and with commits of unknown outcome.
func TestCancelledAtTheEnd(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w, leader := busy(t, seed)
		w.Users.AtEnd(1, time.Minute)
		w.short("none", "64", 40, 2)
		if seed%3 == 1 {
			w.State.Late(0.3, 40*time.Second)
		}
		if seed%3 == 2 {
			w.At(12*time.Second, func() { w.Crash(leader, time.Second) })
			w.At(20*time.Second, func() { w.State.Refuse(w.State.leader(), 4*time.Second) })
		}
		for i := range 60 {
			w.At(time.Duration(i)*time.Second, w.Users.Odd)
		}
		w.Run(70 * time.Second)
		both := [2]int{w.Users.Cancelled(), w.Users.count(func(j *modelJob) bool { return j.asked && !j.finished.IsZero() })}
		if both[0]+both[1] < 20 || both[1] == 0 {
			t.Errorf("seed %d: %d cancelled, %d done though their users asked to cancel them", seed, both[0], both[1])
		}
		finishes(t, w, seed)
	}
}

// Leaders change ten times in two minutes, some of it inside an outage; then all end, and one returns within a second.
func TestTenLeadersInTwoMinutes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w, _ := busy(t, seed)
		w.oneActs()
		w.short("none", "65", 100, 2)
		led := map[uint64]bool{}
		for i := range 10 {
			w.At(time.Duration(i)*11*time.Second, func() {
				led[w.State.mark()] = true
				if l := w.Leader(); l >= 0 && i%3 != 2 {
					w.Crash(l, time.Duration(300+500*i)*time.Millisecond)
				} else if l >= 0 {
					w.State.Refuse(nodeName(l), 5*time.Second)
				}
			})
		}
		w.At(43*time.Second, func() { w.State.Outage(14 * time.Second) })
		w.At(50*time.Second, func() { w.Users.CancelNow(3, 5*time.Second) })
		w.Run(115 * time.Second)
		if len(led) < 7 {
			t.Errorf("seed %d: %d leaders", seed, len(led))
		}
		for i := range w.nodes {
			w.Crash(i, time.Duration(500+4000*((i+int(seed))%3))*time.Millisecond)
		}
		served := Portion{}
		w.Run(2 * time.Minute)
		for _, id := range w.Users.ids {
			if j := w.model.jobs[id]; j.spec.Class == "short" && !j.accepted.IsZero() && !j.asked {
				served = served.with(j)
			}
		}
		if served.Share() < 0.9 {
			t.Errorf("seed %d: %.2f of the short jobs are done", seed, served.Share())
		}
		finishes(t, w, seed)
	}
}

// Jobs bound to one zone, arrays too, lose machines, some of them out of sight and not gone, while the leader ends: no task starts in
// another zone while one may still be in the first, and all are done in the end.
func TestJobsBoundToAZoneLoseMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		opt := options()
		opt.Sound = true
		w := New(seed, opt, quiet())
		for i := range 10 {
			s := jobs.Spec{
				ID:              fmt.Sprintf("job-7%03d", i),
				Class:           "bound",
				Team:            "blue",
				Tasks:           4,
				CPUs:            1,
				MemoryGB:        1,
				Image:           "i",
				AllowsSpot:      true,
				RunTimeEstimate: 25 * time.Second,
			}
			switch i % 3 {
			case 0:
				s.SingleZone = true
			case 1:
				s.SpreadAcrossZones = true
			default:
				s.Zone = "b"
			}
			w.Users.Send(s, 25*time.Second)
		}
		for i := range 8 {
			w.At(time.Duration(15+4*i)*time.Second, func() {
				w.Cloud.Die()
				w.Cloud.Hang(5 * time.Second)
				w.Cloud.CutMachine(12 * time.Second)
				w.Cloud.Take(0)
			})
		}
		w.At(22*time.Second, func() {
			if l := w.Leader(); l >= 0 {
				w.Crash(l, time.Second)
			}
		})
		w.Run(50 * time.Second)
		finishes(t, w, seed)
	}
}

// Jobs are cancelled at the very moment at which the state service refuses the leader alone; their machines hang, and a second later
// it is away for all for longer than users are told.
func TestCancelledAsTheLeaderIsRefused(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w, leader := busy(t, seed)
		w.Users.CancelNow(5, time.Duration(seed)*3*time.Second)
		w.At(time.Duration(seed)*40*time.Millisecond, func() { w.State.Refuse(nodeName(leader), 12*time.Second) })
		w.At(time.Second, func() { w.State.Outage(w.Opt.Cancel + 12*time.Second) })
		w.Run(50 * time.Second)
		finishes(t, w, seed)
	}
}

// A zone with workers and a controller is cut off for longer than a lease: the leader is in it, or it is not.
func TestZoneWithAControllerIsCut(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w, leader := busy(t, seed)
		w.oneActs()
		w.Users.CancelNow(2, 0)
		w.At(300*time.Millisecond, func() {
			w.CutZone([]string{"a", "b"}[seed%2], []int{(leader + int(seed/2)) % len(w.nodes)}, w.Opt.Lease+time.Duration(4+seed)*time.Second)
		})
		w.At(4*time.Second, func() { w.Users.CancelNow(2, 0) })
		w.Run(30 * time.Second)
		finishes(t, w, seed)
	}
}

// More work than there is room for, urgent and not, over links that lose and hold up much: every rule, and an end.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		opt := options()
		opt.Loss, opt.Sound, opt.Capacity = 0.03, true, 2
		w := New(seed, opt, quiet())
		for i := range 60 {
			w.At(time.Duration(i)*700*time.Millisecond, func() {
				w.Users.Send(jobs.Spec{
					ID: fmt.Sprintf("job-66%02d", i), Class: "heap", Team: "blue", Tasks: 6, CPUs: 2, MemoryGB: 1, Image: "i", AllowsSpot: true,
					Priority: jobs.Priority(i % 4), RunTimeEstimate: 8 * time.Second, Deadline: time.Duration(i%2) * 40 * time.Second,
				}, 8*time.Second)
			})
		}
		w.State.Slow(40 * time.Second)
		w.At(20*time.Second, func() { w.Users.CancelNow(6, 5*time.Second) })
		w.Run(8 * time.Minute)
		finishes(t, w, seed)
	}
}

// The checker itself: jobs that wait while machines have room are told of, and what was accepted though it cannot run.
func TestCheckerSeesWhatIsLeftWaiting(t *testing.T) {
	t.Parallel()
	w, _ := busy(t, 1)
	for _, c := range w.nodes {
		c.node = nil // they do nothing any more, and the world calls that no trouble
		c.gen++
	}
	var hear func() // what nobody answers is another condition
	hear = func() {
		for _, j := range w.model.jobs {
			j.answered = w.Now
		}
		w.At(time.Second, hear)
	}
	hear()
	w.Run(w.Opt.Lease + waitsAtMost)
	if len(w.Broken) > 0 {
		t.Fatalf("too early: %v", w.Broken)
	}
	if w.Run(20 * time.Second); len(w.Broken) == 0 {
		t.Error("nobody tells of jobs that are left waiting")
	}
	w = New(1, options(), quiet())
	w.Run(8 * time.Second)
	s := jobs.Spec{
		ID:              "job-1",
		Class:           "c",
		Team:            "red",
		Tasks:           1,
		CPUs:            1,
		MemoryGB:        1,
		Image:           "i",
		AllowsSpot:      true,
		RunTimeEstimate: time.Second,
	}
	for range 5 { // one of them gets through
		w.Users.mustRefuse(s.ID, Wire(s), 422)
	}
	w.Run(3 * time.Second)
	if len(w.Broken) == 0 {
		t.Error("nobody tells of a job that was accepted")
	}
}
