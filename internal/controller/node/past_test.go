package node

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// stateMap is a state service of keys and marks, for calls that are answered at once.
type stateMap struct {
	tide uint64
	keys map[string]any
	mark map[string]uint64
	down bool
}

func (s *stateMap) exchange(t *testing.T, c outbox.Call) outbox.Result {
	t.Helper()
	body, status := any(nil), 200
	switch {
	case s.down:
		return outbox.Result{Status: 503}
	case c.Path == "/commit":
		s.tide++
		for _, a := range c.Body.(map[string]any)["apply"].([]any) {
			if key, ok := a.(map[string]any)["write"].(string); ok {
				s.keys[key], s.mark[key] = a.(map[string]any)["value"], s.tide
			}
		}
		body = map[string]uint64{"tide": s.tide}
	case len(c.Path) > 6 && c.Path[:6] == "/keys/":
		v, ok := s.keys[c.Path[6:]]
		if !ok {
			return outbox.Result{Status: 404}
		}
		body = map[string]any{"value": v, "mark": s.mark[c.Path[6:]]}
	default:
		body = map[string]any{"entries": []any{}, "has_next": false}
	}
	raw, err := packed.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return outbox.Result{Status: status, Body: raw}
}

// answer is what a user reads of an answer.
type answer struct {
	State string `msgpack:"trim"`
	Done  *int   `msgpack:"done"`
}

func (n *Node) userAsks(t *testing.T, now time.Time, s *stateMap, method, target string, body any) (int, answer) {
	t.Helper()
	raw, err := packed.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	n.acting = true
	n.request(now, &inbox.Request{Method: method, Target: target, Body: raw})
	for calls := n.box.Take(); len(calls) > 0; calls = n.box.Take() {
		for _, c := range calls {
			c.Done(now, s.exchange(t, c))
		}
	}
	replies := n.out.Take()
	if len(replies) != 1 {
		t.Fatalf("%s %s: %d answers", method, target, len(replies))
	}
	r := replies[0]
	var a answer
	if err := packed.Unmarshal(r.Body, &a); err != nil {
		t.Fatal(err)
	}
	return r.Status, a
}

// Jobs that are sealed are answered as before, with their counts read back; while these cannot
// be read the user is told to ask again, and in a long outage the state alone is given: for 90 s
// of failing polls a job would count as forgotten.
func TestSealedJobsAreAnswered(t *testing.T) {
	now := time.Unix(10_000, 0)
	cfg := &config.Platform{Name: "n", ReportEvery: 4 * time.Second, WorkerLease: 20 * time.Second, CPUShare: 0.2, Connections: 1000,
		StateWrites: 1000, StateRate: 200, ValueBytes: 4096, TxnOps: 8, CloudRate: 2}
	opt := config.DefaultOptions()
	opt.SealAfter, opt.SealJobs = time.Second, 2
	n := New(cfg, opt, now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	n.acting = true
	s := &stateMap{keys: map[string]any{}, mark: map[string]uint64{}}
	n.lead = n.newLeadership(now, 1)
	n.lead.ledger.Load(&n.box)
	settle := func() {
		for range 20 {
			now = now.Add(2 * time.Second)
			n.lead.book.Tick(now, &n.box)
			n.lead.book.Save(now, true)
			n.lead.ledger.Flush(now, &n.box)
			for _, c := range n.box.Take() {
				c.Done(now, s.exchange(t, c))
			}
		}
	}
	for _, c := range n.box.Take() {
		c.Done(now, s.exchange(t, c))
	}
	n.lead.takeover.Read(now)
	n.lead.cloud.Types = map[string]*fleet.Type{"small": {Name: "small", CPUs: 4, Mem: 8, Zones: []string{"a"}}}
	ids := []string{"job-000001", "job-000002", "job-20261201121026", "job-20261201121027"}
	for i, id := range ids {
		j := jobs.NewJob(jobs.Spec{ID: id, Tasks: i + 7}, now)
		n.lead.book.Add(j)
		j.State = jobs.Accepted
		for task := range j.Tasks {
			j.TaskDone(task)
		}
		if i%2 == 1 {
			j.State = jobs.Cancelled // with nothing left of it on any machine
		}
		n.lead.book.FinishIfDone(now, j)
	}
	settle()
	if n.lead.book.FinishedCount() != len(ids) || n.lead.book.Archive().JobCount() != len(ids) {
		t.Fatalf("%d jobs are finished, %d are sealed", n.lead.book.FinishedCount(), n.lead.book.Archive().JobCount())
	}
	s.down = true
	if status, _ := n.userAsks(t, now, s, "GET", "/work/job-000001", nil); status != 503 {
		t.Errorf("counts that cannot be read: %d", status)
	}
	now = now.Add(25 * time.Second)
	if status, a := n.userAsks(t, now, s, "GET", "/work/job-000001", nil); status != 200 || a.State != "done" || a.Done != nil {
		t.Errorf("25 s into an outage: %d, %+v", status, a)
	}
	if status, a := n.userAsks(t, now, s, "GET", "/work/job-000002", nil); status != 200 || a.State != "cancelled" {
		t.Errorf("a cancelled job in an outage: %d, %+v", status, a)
	}
	s.down = false
	for i, id := range ids {
		state := []string{"done", "cancelled"}[i%2]
		status, a := n.userAsks(t, now, s, "GET", "/work/"+id, nil)
		if status != 200 || a.State != state || a.Done == nil || *a.Done != []int{i + 7, 0}[i%2] {
			t.Errorf("%s: %d, %+v", id, status, a)
		}
		if status, a := n.userAsks(t, now, s, "POST", "/work/"+id+"/withdraw", nil); status != 200 || a.State != state {
			t.Errorf("cancelling %s: %d, %+v", id, status, a)
		}
		if status, a := n.userAsks(t, now, s, "POST", "/work", map[string]any{"id": id}); status != 200 || a.State != state {
			t.Errorf("%s submitted again: %d, %+v", id, status, a)
		}
	}
	now = now.Add(time.Second) // reads are limited
	for _, id := range []string{"job-1", "job-01", "job-0000001", "job-20261201121028"} {
		if status, _ := n.userAsks(t, now, s, "GET", "/work/"+id, nil); status != 404 {
			t.Errorf("%s, which nobody submitted: %d", id, status)
		}
	}
}
