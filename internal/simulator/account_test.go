package simulator

import (
	"testing"
	"time"

	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/api"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// phase is what the world sees of a job: a plain walk over its tasks and the machines.
type phase int

const (
	waiting phase = iota // a task that is not done is on no machine
	fetching
	running
	making // all that is left has failed before
	over   // all tasks are done
	phases
)

// record is the world's own account of a job.
type record struct {
	at      phase
	spent   [phases]time.Duration
	changes [phases]int
	failed  map[int]bool
}

// phaseOf walks all machines for each task of a job.
func (w *World) phaseOf(j *modelJob, r *record) phase {
	if len(j.done) == j.spec.Tasks {
		return over
	}
	p, failed := running, 0
	for task := range j.spec.Tasks {
		if j.done[task] {
			continue
		}
		key, state := (jobs.TaskID{JobID: j.spec.ID, Index: task}).String(), workerapi.TaskState("")
		for _, m := range w.Cloud.running() {
			if t := m.tasks[key]; t != nil && t.state == workerapi.StateExited && t.why != workerapi.ReasonDone {
				r.failed[task] = true
			} else if t != nil && t.state != workerapi.StateExited {
				state = t.state
			}
		}
		if r.failed[task] {
			failed++
		}
		switch {
		case state == "":
			p = waiting
		case state == workerapi.StateFetching && p == running:
			p = fetching
		}
	}
	if failed == j.spec.Tasks-len(j.done) {
		return making
	}
	return p
}

// watchJobs keeps the world's record of all jobs.
func (w *World) watchJobs(records map[string]*record) {
	const every = 20 * time.Millisecond
	var look func()
	look = func() {
		for id, j := range w.model.jobs {
			r := records[id]
			if r == nil {
				r = &record{failed: map[int]bool{}}
				records[id] = r
			}
			if !j.finished.IsZero() || !j.cancelled.IsZero() {
				continue
			}
			p := w.phaseOf(j, r)
			if p != r.at {
				r.changes[p]++
				r.changes[r.at]++
				r.at = p
			}
			r.spent[p] += every
		}
		w.At(every, look)
	}
	look()
}

// account asks the leader where the time of a job went.
func (w *World) account(id string) (spent map[string]time.Duration, sum time.Duration) {
	w.request(w.State.leader(), false, "GET", "/work/"+id+"/explain", nil, func(status int, body any) {
		var x api.Explanation
		raw, err := encode(body)
		if err != nil || status != 200 || codec.Unmarshal(raw, &x) != nil {
			return
		}
		spent = map[string]time.Duration{}
		for _, s := range x.TimeShares {
			spent[s.Reason] += time.Duration(s.Milliseconds) * time.Millisecond
			sum += time.Duration(s.Milliseconds) * time.Millisecond
		}
	})
	w.Run(5 * time.Millisecond)
	return spent, sum
}

// Where the owner says that a job's time went is where the world's own record has it, but for one
// report and one look at each change; and it sums to the time from acceptance to the end.
func TestAccountsAgreeWithTheWorld(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		opt := options()
		opt.Loss, opt.Late = 0, 0
		w := New(seed, opt, quiet())
		records := map[string]*record{}
		w.watchJobs(records)
		for i := range 30 {
			w.At(time.Duration(i)*2*time.Second, w.Users.Submit)
		}
		w.Run(4 * time.Minute)
		if len(w.Broken) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Broken)
		}
		checked := 0
		slack := opt.ReportEvery*5/4 + 1100*time.Millisecond // a report, a look, a message that takes long
		for id, j := range w.model.jobs {
			r := records[id]
			if j.finished.IsZero() || j.asked || j.spec.IsService {
				continue
			}
			spent, sum := w.account(id)
			if spent == nil {
				t.Fatalf("seed %d: no account of %s", seed, id)
			}
			mine := [phases]time.Duration{
				fetching: spent[accounting.FetchingImage.String()], running: spent[accounting.Running.String()],
				making: spent[accounting.AttemptFailed.String()] + spent[accounting.MachineLost.String()] + spent[accounting.Preempted.String()],
				over:   spent[accounting.NotDurable.String()],
			}
			mine[waiting] = sum - mine[fetching] - mine[running] - mine[making] - mine[over]
			for p := range phases {
				// The world counts until its user was told, the owner until the result was durable.
				if p == over {
					continue
				}
				if diff := (mine[p] - r.spent[p]).Abs(); diff > slack*time.Duration(max(r.changes[p], 1)) {
					t.Errorf(
						"seed %d: %s: phase %d: %v by the owner, %v by the world, %d changes\n%v",
						seed,
						id,
						p,
						mine[p],
						r.spent[p],
						r.changes[p],
						spent,
					)
				}
			}
			checked++
		}
		if checked < 10 {
			t.Errorf("seed %d: only %d jobs were checked", seed, checked)
		}
	}
}

// Over several leaders, machines that die and a state service that is away, an account still sums to
// the job's time as its record has it, and says how much nobody knows.
func TestAccountsOutliveLeaders(t *testing.T) {
	t.Parallel()
	unknown := 0
	for seed := range uint64(3) {
		w := New(seed, options(), quiet())
		for i := range 20 {
			w.At(time.Duration(i)*time.Second, func() {
				w.Users.Submit()
				for _, j := range w.model.jobs {
					j.run = max(j.run, 8*time.Second)
				}
			})
		}
		w.At(15*time.Second, w.Cloud.Die)
		w.At(25*time.Second, func() { w.State.Outage(4 * time.Second) })
		for _, at := range []time.Duration{20, 35, 45} {
			w.At(at*time.Second, func() {
				for i := range w.Opt.Nodes {
					if nodeName(i) == w.State.leader() {
						w.Crash(i, 3*time.Second)
					}
				}
			})
		}
		for range 12 {
			w.Run(10 * time.Second)
			if len(w.Broken) > 0 {
				t.Fatalf("seed %d: %v", seed, w.Broken)
			}
			for id, j := range w.model.jobs {
				rec, ok := w.State.record(id)
				if !ok || j.accepted.IsZero() || rec.SubmittedMs == 0 || j.asked || !j.finished.IsZero() ||
					w.model.anyAbove(id, func(x *modelJob) bool { return x.asked }) {
					continue // an account ends with a cancellation, also with that of a job that is needed
				}
				spent, sum := w.account(id)
				age := w.Now.Sub(time.UnixMilli(rec.SubmittedMs))
				if len(spent) > 0 && (sum-age).Abs() > 150*time.Millisecond {
					t.Errorf("seed %d: %s: its account sums to %v, its age is %v: %v", seed, id, sum, age, spent)
				}
				if spent[accounting.EarlierLeader.String()] > 0 {
					unknown++
				}
			}
		}
	}
	if unknown == 0 {
		t.Error("no account of a job over several leaders says that something is not known")
	}
}
