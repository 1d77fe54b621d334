package archive_test

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/simulator"
	"gullrudder/internal/wire/client"

	"pgregory.net/rapid"
)

const leaderKey = "leader"

// leadership is one leadership over the history: what a node does around ledger and keeper, and
// nothing else.
type leadership struct {
	cluster  *simulator.World
	storage  *storage.Store
	archive  *archive.Store
	finished map[string]archive.FinalState
	box      client.Outbox
	now      time.Time
}

func (r *leadership) forEachCall(call func(client.Call)) {
	for calls := r.box.TakeCalls(); len(calls) > 0; calls = r.box.TakeCalls() {
		for _, c := range calls {
			call(c)
		}
	}
}

// becomeLeader begins a leadership: the leader's key gets a new mark, and the ledger is read.
func becomeLeader(t fataler, cluster *simulator.World, now time.Time, leaderNumber uint64, rate float64) *leadership {
	t.Helper()
	put := cluster.State.Exchange(client.Call{Method: "POST", Path: "/commit", Body: map[string]any{
		"guards": []any{},
		"apply":  []any{map[string]any{"write": leaderKey, "value": map[string]any{"n": leaderNumber}}},
	}})
	if put.Status != 200 {
		t.Fatalf("the leader's key: %d", put.Status)
	}
	r := &leadership{cluster: cluster, now: now, finished: map[string]archive.FinalState{}}
	log := slog.New(slog.DiscardHandler)
	r.storage = storage.New(
		storage.Options{LeaderKey: leaderKey, ValueBytes: 1024, TxnOps: 8, WriteRate: 7 * rate},
		cluster.State.Revision(),
		log,
	)
	r.storage.Load(&r.box)
	r.forEachCall(func(c client.Call) { c.Done(r.now, cluster.State.Exchange(c)) })
	if !r.storage.IsLoaded() {
		t.Fatalf("the ledger is not loaded")
	}
	var err error
	r.archive, err = archive.New(r.storage, archive.Options{
		ValueBytes: 1024, TxnOps: 8, WriteRate: rate, ReadRate: 1000, MinSegmentJobs: 3, CompactionFanIn: 2,
		CanArchive: func(_ time.Time, id string) bool { _, ok := r.finished[id]; return ok },
		FinalState: func(id string) (archive.FinalState, bool) { f, ok := r.finished[id]; return f, ok },
		OnArchived: func(ids []string) {
			for _, id := range ids {
				delete(r.finished, id)
			}
		},
	}, log)
	if err != nil {
		t.Fatalf("the history: %v", err)
	}
	r.storage.ForEach(func(name string, decode func(any) error) {
		var rec jobs.Record
		if err := decode(&rec); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		r.finished[name] = archive.FinalState{Cancelled: rec.State == "c", Tasks: rec.Tasks}
		r.storage.SetFinished(name)
	})
	return r
}

// guardsLeader: nothing is written but under the leader's mark.
func guardsLeader(c client.Call) bool {
	for _, precondition := range c.Body.(storage.CommitRequest).Preconditions {
		if precondition.Key == leaderKey {
			return true
		}
	}
	return false
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func (r *leadership) finish(t fataler, id string, finalState archive.FinalState, durable func()) {
	state := jobs.Done
	if finalState.Cancelled {
		state = jobs.Cancelled
	}
	err := r.storage.Set(r.now, id, jobs.NewFinalRecord(state, finalState.Tasks), 0, true, func(_ time.Time, ok bool) {
		if ok {
			r.finished[id] = finalState
			r.storage.SetFinished(id)
			durable()
		}
	})
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
}

func (r *leadership) tick() { r.tickAfter(1100 * time.Millisecond) }

func (r *leadership) tickAfter(d time.Duration) {
	r.now = r.now.Add(d)
	r.archive.Tick(r.now, &r.box)
	r.storage.Flush(r.now, &r.box)
}

// lookUp is what a user who asks for the job learns; ok is false if it cannot be told now.
func (r *leadership) lookUp(id string) (finalState archive.FinalState, found, ok bool) {
	if finalState, there := r.finished[id]; there {
		return finalState, true, true
	}
	if r.archive.LookupIndex(id) == archive.Absent {
		return finalState, false, true
	}
	r.archive.Resolve(r.now, &r.box, id, func(_ time.Time, got archive.FinalState, there bool, err error) {
		finalState, found, ok = got, there, err == nil
	})
	r.forEachCall(func(c client.Call) { c.Done(r.now, r.cluster.State.Exchange(c)) })
	return finalState, found, ok
}

// collidingIDs are two ids that the index cannot tell apart.
func collidingIDs() (string, string) {
	seen := map[uint32]string{}
	for i := 0; ; i++ {
		digits := fmt.Sprintf("%014d", i)
		h := fnv.New32a()
		h.Write([]byte(digits))
		hash := h.Sum32() >> 4
		if other, ok := seen[hash]; ok {
			return "job-" + other, "job-" + digits
		}
		seen[hash] = digits
	}
}

func drawID(t *rapid.T, first, second string) string {
	n := rapid.IntRange(0, 400).Draw(t, "id")
	switch rapid.IntRange(0, 7).Draw(t, "form") {
	case 0:
		return first
	case 1:
		return second
	case 2:
		return fmt.Sprintf("job-%d", n)
	case 3:
		return fmt.Sprintf("job-%020d", n)
	case 4:
		return fmt.Sprintf("job-%032d", n)
	default:
		return fmt.Sprintf("job-%06d", n)
	}
}

// Whatever becomes of its commits - refused, lost on the way there or back, executed late,
// under a leader that has been deposed - every finished job is in exactly one place and known
// with its state and counts, and no other job is ever known. The plain model is a map.
func TestEveryFinishedJobIsStoredOnce(t *testing.T) {
	first, second := collidingIDs()
	compacted := 0
	rapid.Check(t, func(t *rapid.T) {
		cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
		now := time.Unix(5000, 0)
		rate := rapid.SampledFrom([]float64{3, 1000}).Draw(t, "writes a second")
		leader := becomeLeader(t, cluster, now, 1, rate)
		model, attempted := map[string]archive.FinalState{}, map[string]archive.FinalState{}
		var late []client.Call // on their way: executed later, or never
		for i := range rapid.IntRange(10, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3:
				id := drawID(t, first, second)
				if _, over := attempted[id]; over {
					continue
				}
				f := archive.FinalState{Cancelled: rapid.Bool().Draw(t, "cancelled"), Tasks: rapid.SampledFrom([]int{1, 7, 100_000}).Draw(t, "tasks")}
				attempted[id] = f
				leader.finish(t, id, f, func() { model[id] = f })
			case 4:
				if len(late) > 0 {
					cluster.State.Exchange(late[0])
					late = late[1:]
				}
			case 5:
				if rapid.IntRange(0, 3).Draw(t, "deposed") == 0 {
					leader.storage.Close()
					leader = becomeLeader(t, cluster, leader.now, uint64(i)+2, rate)
				}
			}
			leader.tick()
			for _, c := range leader.box.TakeCalls() {
				if c.Path == "/commit" && !guardsLeader(c) {
					t.Fatalf("a commit that an earlier leader could still make: %v", c.Body)
				}
				switch rapid.IntRange(0, 11).Draw(t, "fate") {
				case 0:
					c.Done(leader.now, client.Result{Status: 503})
				case 1:
					c.Done(leader.now, client.Result{})
				case 2:
					cluster.State.Exchange(c)
					c.Done(leader.now, client.Result{})
				case 3:
					if c.Method == http.MethodPost {
						late = append(late, c)
					}
					c.Done(leader.now, client.Result{})
				default:
					c.Done(leader.now, cluster.State.Exchange(c))
				}
			}
			if leader.storage.IsFenced() {
				leader = becomeLeader(t, cluster, leader.now, uint64(i)+2, rate)
			}
			id := drawID(t, first, second)
			want, over := model[id]
			if result := leader.archive.LookupIndex(
				id,
			); result == archive.Done && (want.Cancelled || !over && attempted[id].Cancelled) ||
				result == archive.Cancelled && over && !want.Cancelled {
				t.Fatalf("%s: the index says %v, want %+v", id, result, want)
			}
			f, found, ok := leader.lookUp(id)
			if _, open := attempted[id]; ok && (found != over && (over || !open) || over && found && f != want) {
				t.Fatalf("%s: %+v, known %v, want %+v, %v", id, f, found, want, over)
			}
		}
		// All calls that are still on their way arrive, and somebody else takes over.
		for _, c := range late {
			cluster.State.Exchange(c)
		}
		leader = becomeLeader(t, cluster, leader.now, 9999, rate)
		for range 40 {
			leader.tick()
			leader.forEachCall(func(c client.Call) { c.Done(leader.now, cluster.State.Exchange(c)) })
		}
		leader = becomeLeader(t, cluster, leader.now, 10_000, rate)
		for id, f := range attempted {
			got, found, ok := leader.lookUp(id)
			_, must := model[id]
			if !ok || must && !found || found && got != f {
				t.Fatalf("%s: %+v, known %v (%v), want %+v, durable %v", id, got, found, ok, f, must)
			}
		}
		in := len(leader.finished) + leader.archive.JobCount()
		if in < len(model) || in > len(attempted) {
			t.Fatalf("%d jobs in pages and runs, %d are durable and %d were tried", in, len(model), len(attempted))
		}
		if len(cluster.Broken) > 0 {
			t.Fatalf("%v", cluster.Broken)
		}
		if leader.archive.SegmentCount() > 0 && leader.archive.SegmentCount() < 3 && leader.archive.JobCount() > 12 {
			compacted++
		}
	})
	if compacted == 0 {
		t.Error("no case came as far as a merge")
	}
}

// A version that does not know the history must not lead with it: it would call sealed jobs
// unknown. It reads all values under page/ as maps, and answers nobody until it has.
func TestOlderVersionCannotLoadPages(t *testing.T) {
	cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
	leader := becomeLeader(t, cluster, time.Unix(5000, 0), 1, 1000)
	for i := range 10 {
		leader.finish(t, fmt.Sprintf("job-%06d", i), archive.FinalState{Tasks: 1}, func() {})
	}
	for range 20 {
		leader.tick()
		leader.forEachCall(func(c client.Call) { c.Done(leader.now, cluster.State.Exchange(c)) })
	}
	if leader.archive.SegmentCount() == 0 {
		t.Fatal("nothing was sealed")
	}
	raw := cluster.State.Exchange(client.Call{Method: "GET", Path: "/keys?starts=page/&most=60"})
	if err := readPagesAsOlderVersion(raw.Body); err == nil {
		t.Error("an older version reads the pages")
	}
}

// What somebody waits for goes first: while it fills the transactions, nothing is sealed.
func TestArchivingWaitsForUserWrites(t *testing.T) {
	cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
	leader := becomeLeader(t, cluster, time.Unix(5000, 0), 1, 1000)
	for i := range 10 {
		leader.finish(t, fmt.Sprintf("job-%06d", i), archive.FinalState{Tasks: 1}, func() {})
	}
	round := func(urgent int) {
		for i := range urgent { // each has a page of its own
			if err := leader.storage.Set(leader.now, fmt.Sprintf("job-2%05d", i), jobs.NewFinalRecord(jobs.Done, 1), 800, true, nil); err != nil {
				t.Fatal(err)
			}
		}
		leader.tick()
		leader.forEachCall(func(c client.Call) { c.Done(leader.now, cluster.State.Exchange(c)) })
	}
	for range 30 {
		round(8)
	}
	if n := leader.archive.SegmentCount(); n > 0 {
		t.Errorf("%d runs were sealed ahead of submissions", n)
	}
	for range 3 {
		round(2)
	}
	if leader.archive.SegmentCount() == 0 {
		t.Error("nothing was sealed beside a few submissions")
	}
}

// A write of several parts that nobody answered is tried again just as it was: what was executed
// late may be less than what could be written by now, and its first part speaks for all.
func TestFailedWriteIsRetriedUnchanged(t *testing.T) {
	cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
	leader := becomeLeader(t, cluster, time.Unix(5000, 0), 1, 3)
	for i := range 120 {
		leader.finish(t, fmt.Sprintf("job-%032d", i), archive.FinalState{Tasks: i}, func() {})
	}
	var held *client.Call
	tries := 0
	for range 1200 {
		leader.tickAfter(100 * time.Millisecond) // so that the budget is small at first, and larger later
		for _, c := range leader.box.TakeCalls() {
			if c.Path == "/commit" && strings.Contains(fmt.Sprint(c.Body), "results/00000001/00000") && tries < 2 {
				if tries++; tries == 1 {
					held = &c
					c.Done(leader.now, client.Result{})
					leader.now = leader.now.Add(3 * time.Second)
					continue
				}
				cluster.State.Exchange(*held) // now it is there
			}
			c.Done(leader.now, cluster.State.Exchange(c))
		}
		leader.forEachCall(func(c client.Call) { c.Done(leader.now, cluster.State.Exchange(c)) })
	}
	if leader.archive.JobCount() != 120 || tries < 2 {
		t.Fatalf("%d of 120 jobs are sealed, %d tries", leader.archive.JobCount(), tries)
	}
	leader = becomeLeader(t, cluster, leader.now, 2, 3)
	for i := range 120 {
		id := fmt.Sprintf("job-%032d", i)
		if f, known, ok := leader.lookUp(id); !ok || !known || f.Tasks != i {
			t.Fatalf("%s: %+v, known %v (%v)", id, f, known, ok)
		}
	}
}
