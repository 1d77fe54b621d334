package fairshare

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/testseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func testPolicy() Policy {
	return Policy{Window: 10 * time.Minute, MinServedShare: 0.6, CatchUpCPUShare: 0.2, OverdueCPUShare: 0.1}
}

func overdueJob(id int, class, team string, tasks int, cpus float64) *jobs.Job {
	job := jobs.New(
		jobs.Spec{ID: fmt.Sprintf("job-%d", id), Class: class, Team: team, Tasks: tasks, CPUs: cpus, MemoryGB: 1, RunTimeEstimate: time.Minute},
		time.Unix(1000, 0),
	)
	job.State = jobs.Accepted
	return job
}

func overdueJobOf(job *jobs.Job) OverdueJob {
	return OverdueJob{Job: job, RemainingCPUSeconds: float64(job.Tasks) * job.CPUs * 60, StartableTasks: job.WaitingTasks(), IsUnserved: true}
}

// bestServedShare is what the least served class or team could have at most, by trying every set of jobs that fits.
func bestServedShare(done map[Group]float64, overdue []OverdueJob, availableCPUs float64) float64 {
	most := 0.0
	for code := range 1 << len(overdue) {
		usedCPUs := 0.0
		served, all := map[Group]float64{}, map[Group]float64{}
		for g, d := range done {
			served[g], all[g] = d, d
		}
		for i, c := range overdue {
			if code>>i&1 == 1 {
				usedCPUs += float64(c.StartableTasks) * countedCPUs(c.Job)
			}
			for _, g := range New(Policy{}).groupsOf(c.Job) {
				all[g]++
				if code>>i&1 == 1 {
					served[g]++
				}
			}
		}
		if usedCPUs > availableCPUs+1e-9 {
			continue
		}
		least := 1.0
		for g, n := range all {
			least = min(least, served[g]/n)
		}
		most = max(most, least)
	}
	return most
}

// On small cases the least served gets nearly what the best choice of jobs gives it, and nobody gets more
// room than the shares allow but for the last job.
func TestLeastServedNearBestChoice(t *testing.T) {
	sum, sumOfBest, worst := 0.0, 0.0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(5000, 0)
		b := New(Policy{Window: time.Hour, MinServedShare: 1, CatchUpCPUShare: rapid.Float64Range(0.1, 0.6).Draw(t, "share")})
		done := map[Group]float64{}
		for c := range 3 {
			for range rapid.IntRange(0, 6).Draw(t, "done") {
				j := overdueJob(99, fmt.Sprint("c", c), fmt.Sprint("t", c%2), 1, 1)
				b.RecordDone(now, j)
				for _, g := range New(Policy{}).groupsOf(j) {
					done[g]++
				}
			}
		}
		var overdue []OverdueJob
		for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
			overdue = append(
				overdue,
				overdueJobOf(
					overdueJob(i, fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "class")), fmt.Sprint("t", rapid.IntRange(0, 1).Draw(t, "team")),
						rapid.IntRange(1, 6).Draw(t, "tasks"), float64(rapid.IntRange(1, 2).Draw(t, "cpus"))),
				),
			)
		}
		const cpus = 60
		allocations := b.Allocate(now, overdue, nil, cpus)
		used, largest := 0.0, 0.0
		served, all := map[Group]float64{}, map[Group]float64{}
		for g, d := range done {
			served[g], all[g] = d, d
		}
		for _, c := range overdue {
			need := float64(c.StartableTasks) * countedCPUs(c.Job)
			for _, g := range New(Policy{}).groupsOf(c.Job) {
				all[g]++
				if allocations[c.Job] != 0 {
					served[g]++
				}
			}
			if allocations[c.Job] != 0 {
				used += need
				largest = max(largest, need)
			}
		}
		if room := b.policy.CatchUpCPUShare * cpus; used >= room+largest && used > 0 && len(allocations) > 1 && used-largest >= room {
			t.Errorf("%g CPUs are given out of a share of %g", used, room)
		}
		least := 1.0
		for g, n := range all {
			least = min(least, served[g]/n)
		}
		// The last job may reach over the share: the best may use as much.
		bestShare := bestServedShare(done, overdue, max(used, b.policy.CatchUpCPUShare*cpus))
		sum, sumOfBest = sum+least, sumOfBest+bestShare
		worst = max(worst, bestShare-least)
	})
	t.Logf("the least served gets %.3f of what is best, at worst %.2f less", sum/max(sumOfBest, 1e-9), worst)
	if sum < 0.85*sumOfBest {
		t.Errorf("the least served gets %.3f of what is best", sum/sumOfBest)
	}
}

// In a shortage without end in which one class floods, every class and team gets its jobs done, those of
// one lone large job with them; what is given at one time stays within the share.
func TestEveryGroupServedInFlood(t *testing.T) {
	b, now := New(testPolicy()), time.Unix(10_000, 0)
	type kind struct {
		class, team string
		tasks       int
		cpus        float64
		every       int // seconds
		came, done  int
	}
	kinds := []*kind{
		{"flood", "a", 50, 1, 1, 0, 0},
		{"large", "b", 10, 4, 80, 0, 0},
		{"small", "b", 4, 1, 10, 0, 0},
		{"lone", "c", 300, 0.25, 100_000, 0, 0},
	}
	const cpus = 600
	live := map[*jobs.Job]*kind{}
	ends := map[*jobs.Job]time.Time{}
	id := 0
	for s := range 1200 {
		now = now.Add(time.Second)
		for _, k := range kinds {
			if s%k.every == 0 {
				id++
				k.came++
				live[overdueJob(id, k.class, k.team, k.tasks, k.cpus)] = k
			}
		}
		var overdue []OverdueJob
		running := 0.0
		for j := range live {
			overdue = append(overdue, overdueJobOf(j))
			running += float64(len(j.ActiveAttempts)) * j.CPUs
		}
		for j := range b.Allocate(now, overdue, nil, cpus) {
			for task := range j.Tasks {
				if j.ActiveAttempts[task] == nil {
					j.AddAttempt(&jobs.Attempt{Task: jobs.TaskID{JobID: j.ID, Index: task}, Job: j})
				}
			}
			ends[j] = now.Add(30 * time.Second)
		}
		if running > cpus*testPolicy().CatchUpCPUShare+75 { // the largest job is given all it needs at once
			t.Fatalf("after %d s %g CPUs run of a share of %g", s, running, cpus*testPolicy().CatchUpCPUShare)
		}
		for j, at := range ends {
			if at.Before(now) {
				live[j].done++
				b.RecordDone(now, j)
				delete(live, j)
				delete(ends, j)
			}
		}
	}
	for _, k := range kinds {
		if k.class != "flood" && float64(k.done) < 0.5*float64(k.came) {
			t.Errorf("%s: %d of %d done", k.class, k.done, k.came)
		}
	}
	if f := kinds[0]; f.done < 30 {
		t.Errorf("the flood gets nothing: %d of %d", f.done, f.came)
	}
}

// A leader that is new in a shortage knows who was served, and counts it as old as it is.
func TestServedCountsAreRestored(t *testing.T) {
	store := storage.New(storage.Options{ValueBytes: 4096, TxnOps: 8, WriteRate: 20}, 1, slog.New(slog.DiscardHandler))
	now := time.Unix(10_000, 0)
	b := New(testPolicy())
	for i := range 200 {
		b.RecordDone(now, overdueJob(i, fmt.Sprint("class-", i%100), "t", 1, 1))
	}
	b.Save(now, store, slog.New(slog.DiscardHandler))
	next, later := New(testPolicy()), now.Add(10*time.Minute)
	found := false
	store.ForEach(func(name string, decode func(any) error) {
		if found = name == EntryName; found {
			if err := next.Restore(later, decode, store); err != nil {
				t.Error(err)
			}
		}
	})
	if !found {
		t.Fatal("nothing is written")
	}
	team := next.served[Group{IsTeam: true, Name: "t"}]
	if got := team.decayTo(later, testPolicy().Window); math.Abs(got-200/math.E) > 1 {
		t.Errorf("%.2f jobs count after the window, want %.2f", got, 200/math.E)
	}
	if len(next.served) > maxSavedGroups {
		t.Errorf("%d classes and teams are kept", len(next.served))
	}
}

// Jobs that are late and not yet unserved have the small share only: on the first site's rough day whole
// classes were late and done soon after, and two fifths of the fleet for them cost others their aims.
func TestOverdueIsNotYetUnserved(t *testing.T) {
	for _, unserved := range []bool{false, true} {
		b, now := New(testPolicy()), time.Unix(10_000, 0)
		var overdue []OverdueJob
		for i := range 40 {
			c := overdueJobOf(overdueJob(i, "c", "t", 1, 1))
			c.IsUnserved = unserved
			overdue = append(overdue, c)
		}
		allocations := b.Allocate(now, overdue, nil, 100)
		want := 10
		if unserved {
			want = 20
		}
		if len(allocations) != want {
			t.Errorf("unserved %v: %d of 40 have room, want %d", unserved, len(allocations), want)
		}
		for _, s := range allocations {
			if s != Overdue && !unserved {
				t.Errorf("a late job's standing is %d", s)
			}
		}
	}
}

// Room that was given out stays counted while it is used, also when its job has nothing left to start.
func TestAllocatedCPUsCountWhileInUse(t *testing.T) {
	b, now := New(testPolicy()), time.Unix(10_000, 0)
	first := overdueJob(1, "c", "t", 20, 1)
	if b.Allocate(now, []OverdueJob{overdueJobOf(first)}, nil, 100)[first] == 0 {
		t.Fatal("a late job gets nothing")
	}
	for task := range first.Tasks {
		first.AddAttempt(&jobs.Attempt{Task: jobs.TaskID{JobID: first.ID, Index: task}, Job: first})
	}
	second := overdueJob(2, "c", "t", 20, 1)
	if allocations := b.Allocate(now, []OverdueJob{overdueJobOf(first), overdueJobOf(second)}, nil, 100); len(allocations) != 0 {
		t.Errorf("%d jobs get room beyond the share", len(allocations))
	}
	if b.ReservedCPUShare() != 0 {
		t.Errorf("%g of the fleet is kept though nobody is given any", b.ReservedCPUShare())
	}
	b.RecordDone(now, first)
	if b.Allocate(now, []OverdueJob{overdueJobOf(second)}, nil, 100)[second] == 0 {
		t.Error("room that came free is not given out again")
	}
}

// Of classes of one size no job is a largest one; of others the top tenth by work or by tasks, one at least. They are
// behind as a group of their own, though their class is served well.
func TestLargestJobsOfClass(t *testing.T) {
	now := time.Unix(5000, 0)
	b := New(Policy{Window: time.Hour, MinServedShare: 0.7, CatchUpCPUShare: 0.5, OverdueCPUShare: 0})
	var live []*jobs.Job
	for i := range 30 {
		live = append(live, overdueJob(i, "even", "t", 7, 1), overdueJob(100+i, "odd", "t", 5, 1))
	}
	big := overdueJob(300, "odd", "t", 400, 1)
	wide := overdueJob(301, "odd", "t", 500, 0.01)
	live = append(live, big, wide)
	for range 40 {
		b.RecordDone(now, live[0])
		b.RecordDone(now, live[1])
	}
	allocations := b.Allocate(now, []OverdueJob{overdueJobOf(big), overdueJobOf(live[1])}, live, 10_000)
	for _, j := range live {
		largest := len(b.groupsOf(j)) == 3
		if want := j == big || j == wide; largest != want {
			t.Errorf("%s of %d tasks: largest %v", j.Class, j.Tasks, largest)
		}
	}
	if allocations[big] != BelowMinShare || allocations[live[1]] == BelowMinShare {
		t.Errorf("the largest %v, one of the others %v", allocations[big], allocations[live[1]])
	}
}

// Of a class of which less than half is served its largest job does not go first: it took the room of one that could still be done.
func TestHalfOfClassBeforeItsLargest(t *testing.T) {
	now := time.Unix(5000, 0)
	b := New(Policy{Window: time.Hour, MinServedShare: 0.7, CatchUpCPUShare: 0.4, OverdueCPUShare: 0})
	var live []*jobs.Job
	var overdue []OverdueJob
	for i := range 6 {
		j := overdueJob(i, "guest", "guests", 55, 8)
		j.RunTimeEstimate = time.Duration(4+i) * time.Minute
		live = append(live, j)
		overdue = append(
			overdue,
			OverdueJob{Job: j, RemainingCPUSeconds: 55 * 8 * j.RunTimeEstimate.Seconds(), StartableTasks: 55, IsUnserved: true},
		)
	}
	allocations := b.Allocate(now, overdue, live, 3300)
	for i, j := range live {
		if want := i < 3; (allocations[j] != 0) != want {
			t.Errorf("job %d of %v a task: room %v", i, j.RunTimeEstimate, allocations[j])
		}
	}
	// Once half of it is done, the largest is served least.
	for _, j := range live[:3] {
		b.RecordDone(now, j)
	}
	if allocations := b.Allocate(now, overdue[3:], live[3:], 1000); allocations[live[5]] == 0 || allocations[live[3]] != 0 {
		t.Errorf("after half: %v", allocations)
	}
}
