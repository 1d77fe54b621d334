package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// chain is so many jobs, each of which needs the one before.
func chain(n int) [][]int {
	needs := make([][]int, n)
	for i := 1; i < n; i++ {
		needs[i] = []int{i - 1}
	}
	return needs
}

// fan is one job that so many others need.
func fan(n int) [][]int {
	needs := make([][]int, n+1)
	for i := 1; i <= n; i++ {
		needs[i] = []int{0}
	}
	return needs
}

func pipelineSite(seed uint64) *World {
	opt := options()
	opt.Loss, opt.Sound, opt.Teams = 0, true, nil
	w := New(seed, opt, quiet())
	w.Run(8 * time.Second)
	return w
}

// called counts those of the jobs whose users know them to be done, and cancelled.
func (w *World) called(ids []string) (done, cancelled int) {
	for _, id := range ids {
		if j := w.model.jobs[id]; j != nil && !j.finished.IsZero() {
			done++
		} else if j != nil && !j.cancelled.IsZero() {
			cancelled++
		}
	}
	return done, cancelled
}

// A chain of twenty runs one after the other though the leader ends or is refused between each two steps.
func TestChainOfTwentyThroughLeaders(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := pipelineSite(seed)
		ids := w.Users.Pipeline("71", chain(20), 2, 2*time.Second, 2*time.Minute, "none")
		for i := range 14 {
			w.At(time.Duration(5+9*i)*time.Second, func() {
				if l := w.Leader(); l >= 0 && i%2 == 0 {
					w.Crash(l, time.Second)
				} else if l >= 0 {
					w.State.Refuse(nodeName(l), 3*time.Second)
				}
			})
		}
		w.Run(6 * time.Minute)
		if done, _ := w.called(ids); done != len(ids) {
			t.Errorf("seed %d: %d of %d are done", seed, done, len(ids))
		}
		finishes(t, w, seed)
	}
}

// The root of a fan and of a diamond is cancelled as the state service refuses the leader alone, and is then away for longer than
// users are told: all that need it are cancelled with it, their needs aside are not touched, and none of them starts.
func TestRootIsCancelledInAnOutage(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := pipelineSite(seed)
		w.Users.Pipeline("72", chain(1), 2, 3*time.Second, time.Minute, "none")
		all := w.Users.Pipeline("73", fan(60), 2, 40*time.Second, 3*time.Minute, "none")
		diamond := w.Users.Pipeline("74", [][]int{nil, {0}, {0}, {1, 2}}, 2, 40*time.Second, 3*time.Minute, "none")
		w.Run(12 * time.Second)
		w.Users.cancel(all[0])
		w.Users.cancel(diamond[1])
		w.At(time.Duration(seed)*60*time.Millisecond, func() { w.State.Refuse(w.State.leader(), 6*time.Second) })
		w.At(time.Second, func() { w.State.Outage(w.Opt.Cancel + 10*time.Second) })
		if seed == 3 {
			w.At(2*time.Second, func() { w.Crash(0, 500*time.Millisecond) })
		}
		w.Run(4 * time.Minute)
		if _, cancelled := w.called(all); cancelled != len(all) {
			t.Errorf("seed %d: %d of %d are cancelled", seed, cancelled, len(all))
		}
		if done, cancelled := w.called(diamond); done != 2 || cancelled != 2 {
			t.Errorf("seed %d: of the diamond %d are done, %d cancelled", seed, done, cancelled)
		}
		finishes(t, w, seed)
	}
}

// Jobs are submitted that need one which is cancelled, or done, long ago and sealed in the history, under ids that its index knows
// exactly and such that its data have to tell of; the leader changes before their records are written out.
func TestNeedsOfSealedJobs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := pipelineSite(seed)
		for _, name := range []string{"75", "750000000000"} {
			w.Users.Pipeline(name, chain(1), 1, time.Second, time.Minute, "none")
			w.Users.Pipeline(name+"1", chain(1), 1, 50*time.Second, time.Minute, "none")
		}
		w.Run(10 * time.Second)
		w.Users.cancel("job-7510000")
		w.Users.cancel("job-75000000000010000")
		w.Run(25 * time.Second)
		if runs, _ := w.State.runs(); runs == 0 {
			t.Errorf("seed %d: nothing is sealed", seed)
		}
		var after, void []string
		for i, name := range []string{"76", "77", "78", "79"} {
			need := []string{"job-750000", "job-7500000000000000", "job-7510000", "job-75000000000010000"}[i]
			w.At(time.Duration(i*300)*time.Millisecond, func() {
				s := w.model.jobs[need].spec
				s.ID, s.Dependencies = "job-"+name, []string{need}
				w.Users.Send(s, time.Second)
			})
			if i < 2 {
				after = append(after, "job-"+name)
			} else {
				void = append(void, "job-"+name)
			}
		}
		w.At(time.Duration(700+100*seed)*time.Millisecond, func() {
			if l := w.Leader(); l >= 0 {
				w.Crash(l, time.Second)
			}
		})
		w.Run(40 * time.Second)
		if done, _ := w.called(after); done != 2 {
			t.Errorf("seed %d: %d of 2 after done ones are done", seed, done)
		}
		if _, cancelled := w.called(void); cancelled != 2 {
			t.Errorf("seed %d: %d of 2 after cancelled ones are cancelled", seed, cancelled)
		}
		finishes(t, w, seed)
	}
}

// A dependant is submitted and its need cancelled at about the same moment, or at the moment of the need's end; one that needs both its
// cancelled dependant's need and nothing else goes on.
func TestNeedsAreCancelledAsTheyAreNamed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := pipelineSite(seed)
		ids := w.Users.Pipeline("81", chain(1), 2, 3*time.Second, time.Minute, "none")
		w.Run(1500 * time.Millisecond)
		s := w.model.jobs[ids[0]].spec
		s.ID, s.Dependencies = "job-82", []string{ids[0]}
		w.At(time.Duration(w.Rng.IntN(60))*time.Millisecond, func() { w.Users.Send(s, time.Second) })
		w.At(time.Duration(w.Rng.IntN(60))*time.Millisecond+time.Duration(seed%2)*3500*time.Millisecond, func() { w.Users.cancel(ids[0]) })
		if seed%3 == 0 {
			w.State.Late(0.4, 10*time.Second)
		}
		w.Run(2 * time.Minute)
		done, cancelled := w.called([]string{ids[0], s.ID})
		if done != 2 && cancelled != 2 {
			t.Errorf("seed %d: %d done, %d cancelled", seed, done, cancelled)
		}
		finishes(t, w, seed)
	}
}

// A submission that names a job that was never accepted, or a service, is refused.
func TestNeedsThatCannotBe(t *testing.T) {
	t.Parallel()
	w := pipelineSite(1)
	ids := w.Users.Pipeline("83", chain(1), 1, time.Second, time.Minute, "none")
	w.Run(6 * time.Second)
	for i, needs := range [][]string{{"job-999"}, {ids[0], "job-8400"}, {"job-84000000000000002"}} {
		s := w.model.jobs[ids[0]].spec
		s.ID, s.Dependencies = "job-840"+string(rune('0'+i)), needs
		w.Users.mustRefuse(s.ID, Wire(s), 422)
	}
	for _, bad := range []any{"job-1", []string{"1"}, []int{3}, map[string]any{}} {
		fields := Wire(w.model.jobs[ids[0]].spec)
		fields["id"], fields["tows"] = "job-8409", bad
		w.Users.mustRefuse("job-8409", fields, 400)
	}
	finishes(t, w, 1)
}

// A thousand jobs need one; it is cancelled, the leader ends while their records are written out, and the limits of the state service fall
// meanwhile. All are cancelled with it, in time, and every record is within the limits in the end.
func TestAThousandAreTakenAlong(t *testing.T) {
	t.Parallel()
	opt := options()
	opt.Loss, opt.Sound, opt.Teams, opt.AskOnce = 0, true, nil, true
	w := New(1, opt, quiet())
	w.Run(8 * time.Second)
	ids := w.Users.Pipeline("85", fan(1000), 1, 300*time.Second, 10*time.Minute, "none")
	w.Run(90 * time.Second)
	if n := w.Users.Accepted(); n < 1001 {
		t.Fatalf("only %d are accepted", n)
	}
	for _, c := range w.nodes { // as those do that know of limits to come, from their next start on
		c.cfg.MaxValueBytes, c.cfg.MaxTransactionOps = 1536, 4
	}
	w.Crash(w.Leader(), time.Second)
	w.Run(6 * time.Second)
	w.Users.cancel(ids[0])
	w.At(600*time.Millisecond, func() { w.State.Limits(1536, 4) })
	w.At(1200*time.Millisecond, func() {
		if l := w.Leader(); l >= 0 {
			w.Crash(l, time.Second)
		}
	})
	w.Run(90 * time.Second)
	if _, cancelled := w.called(ids); cancelled != len(ids) {
		t.Errorf("%d of %d are cancelled", cancelled, len(ids))
	}
	for k, v := range w.State.keys {
		if len(v.value) > 1536 {
			t.Errorf("%s has %d bytes", k, len(v.value))
		}
	}
	if len(w.Broken) > 0 {
		t.Errorf("%v", w.Broken)
	}
}

// Jobs need others of another team, which is at its limit; those wait for it, hold nothing of their own team's limit meanwhile, and run once
// the others are done. A need runs in a zone that is cut off as it ends.
func TestNeedsInAnotherTeamAtItsLimit(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w, _ := limited(t, seed)
		var ids []string
		for i := range 4 {
			need := jobs.Spec{
				ID:              fmt.Sprintf("job-86%02d", i),
				Class:           "need",
				Team:            "red",
				Tasks:           4,
				CPUs:            1,
				MemoryGB:        1,
				Image:           "i",
				AllowsSpot:      true,
				RunTimeEstimate: 5 * time.Second,
			}
			if i == 3 {
				need.Zone = "b"
			}
			w.Users.Send(need, 5*time.Second)
			after := need
			after.ID, after.Team, after.Dependencies = fmt.Sprintf("job-87%02d", i), "blue", []string{need.ID}
			w.At(2*time.Second, func() { w.Users.Send(after, 3*time.Second) })
			ids = append(ids, after.ID)
		}
		w.At(30*time.Second, func() { w.CutZone("b", []int{w.Leader()}, 12*time.Second) })
		w.Run(4 * time.Minute)
		if done, _ := w.called(ids); done != len(ids) {
			t.Errorf("seed %d: %d of %d are done", seed, done, len(ids))
		}
		finishes(t, w, seed)
	}
}
