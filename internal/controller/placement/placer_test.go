package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"

	"pgregory.net/rapid"
)

// Of two jobs of one rank the one whose image is on the machine goes first, until the other
// has waited for a machine with its image as long as fetching would take.
func TestJobWithImageOnMachineStartsFirst(t *testing.T) {
	now := time.Unix(10_000, 0)
	placer := newTestPlacer(now)
	machine := placer.addMachine(now, 1, "small", "a", false)
	far, near := placer.addJob(now, 0, 2, 4), placer.addJob(now, 2, 20, 4)
	far.Image, far.ImageGB, near.Image, near.ImageGB = "far", 1, "near", 1 // fetched in 4 s
	machine.ImageCache.RecordUse("near", 1)
	first := func() string {
		list := placer.StartTasks(now, machine, 1)
		if len(list) != 1 {
			t.Fatalf("%d starts", len(list))
		}
		placer.clearMachine(machine)
		id, _, _ := strings.Cut(list[0].Task, "/")
		return id
	}
	placer.refreshOrder(now)
	if placer.candidates[0].Job != far || placer.candidates[0].Rank != placer.candidates[1].Rank {
		t.Fatal("the jobs are not in the order that the test is about")
	}
	if got := first(); got != near.ID {
		t.Errorf("%s starts first", got)
	}
	if now = now.Add(4 * time.Second); first() != far.ID {
		t.Error("a job is passed over for longer than fetching its image takes")
	}
}

// What is remembered of a shape is what a walk over the machines finds for the job itself.
func TestShapeFitsMatchWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		placer := newTestPlacer(now)
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			m := placer.addMachine(now, i, []string{"small", "large"}[i%2], []string{"a", "b"}[i%3/2], i%4 == 0)
			if rapid.Bool().Draw(t, "used") {
				placer.StartTasks(now, m, rapid.IntRange(0, 9).Draw(t, "starts"))
			}
		}
		free, fits := placer.machinesByFreeCPUs(), newShapeFits(12)
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := placer.addJob(now, i, rapid.IntRange(1, 40).Draw(t, "tasks"), rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "cpus"))
			j.AllowsSpot, j.Zone = rapid.Bool().Draw(t, "spot"), rapid.SampledFrom([]string{"", "a"}).Draw(t, "zone")
			if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
				free[0].FailedJobs[j.ID] = true
				j.FailureCount = 1
			}
			want := rapid.IntRange(1, j.Tasks).Draw(t, "want")
			if got, walked := fits.fittingTasks(j, placer.shapeNumber(j), free, want), countFittingTasks(j, free, want); got != walked {
				t.Fatalf("%d tasks of %s fit, a walk finds %d of %d", got, j.ID, walked, want)
			}
		}
	})
}

// tasksOnFullerByWalk is what fuller finds, by a walk over all machines.
func (p *Placer) tasksOnFullerByWalk(now time.Time, job *jobs.Job, machine *worker.Machine) int {
	tasks := 0
	for _, other := range p.workers.Machines {
		if other != machine && other.HasReported && other.Reconciled && other.Registered && now.Sub(other.LastContactAt) < 2*p.platform.HeartbeatInterval && !now.Before(other.StartsNotBefore) &&
			IsFuller(other, machine) && IsEligible(job, other) &&
			(other.ReservedFor == nil || other.ReservedFor == job) {
			tasks += min(other.TasksThatFit(job), TasksAllowedInZone(job, other.Zone))
		}
	}
	return min(tasks, job.WaitingTasks())
}

// What is kept up to date with each change is what a plain walk finds: the levels of the
// fleet, and a job's running tasks, their remaining time and their zones.
func TestIndexesMatchWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		placer := newTestPlacer(now)
		var machines []*worker.Machine
		var list []*jobs.Job
		for i := range rapid.IntRange(2, 12).Draw(t, "machines") {
			large := rapid.Bool().Draw(t, "large")
			typ := map[bool]string{false: "small", true: "large"}[large]
			machines = append(machines, placer.addMachine(now, i, typ, []string{"a", "b"}[i%2], i%3 == 0))
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			list = append(
				list,
				placer.addJob(now, i, rapid.IntRange(1, 30).Draw(t, "tasks"), rapid.SampledFrom([]float64{0.5, 1, 3, 4}).Draw(t, "cpus")),
			)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			m := rapid.SampledFrom(machines).Draw(t, "machine")
			j := rapid.SampledFrom(list).Draw(t, "job")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				for _, c := range placer.StartTasks(now, m, 5) {
					if c.Operation != "start" {
						t.Fatalf("%v instead of a start", c)
					}
				}
			case 2:
				placer.observeHeartbeat(now, m, m.Type, m.Zone, m.Spot)
			case 3:
				placer.clearMachine(m)
			case 4:
				placer.InvalidateOrder()
			}
			if got, want := placer.tasksOnFuller(now, j, m, j.WaitingTasks(), 1<<30), placer.tasksOnFullerByWalk(now, j, m); got != want {
				t.Fatalf("%d tasks of %s fit on machines fuller than %s, want %d", got, j.ID, m.ID, want)
			}
			checkJobCounters(t, now, j)
			placer.refreshOrder(now)
			placer.resetShapeChecks()
			for i := range placer.candidates {
				e := &placer.candidates[i]
				if got, want := placer.rejects(m, e), m.TasksThatFit(e.Job) == 0 || !KindAllowed(e.Job, MachineKind(m)); got != want {
					t.Fatalf("%s refuses %s: %v", m.ID, e.Job.ID, got)
				}
				if got, want := placer.tasksLeftToFuller(now, e, m), placer.tasksOnFullerByWalk(now, e.Job, m); got != want {
					t.Fatalf("by its shape %d tasks of %s fit on machines fuller than %s, want %d", got, e.Job.ID, m.ID, want)
				}
			}
		}
	})
}

func checkJobCounters(t *rapid.T, now time.Time, job *jobs.Job) {
	running, ran, zones := 0, time.Duration(0), map[string]int{}
	for _, a := range job.ActiveAttempts {
		zones[a.Zone]++
		if !a.RunningSince.IsZero() {
			running++
			ran += now.Sub(a.RunningSince)
		}
	}
	perTask := time.Hour
	if got, want := job.RemainingWork(
		perTask,
		now,
	), time.Duration(
		job.Tasks-job.DoneTasks,
	)*perTask-ran; got != want ||
		job.RunningTasks() != running {
		t.Fatalf("%s: %v remain of %d running, want %v of %d", job.ID, got, job.RunningTasks(), want, running)
	}
	if here, _ := job.AttemptsInZone("a"); job.SpreadAcrossZones && here != zones["a"] {
		t.Fatalf("%s: %d in the zone, want %d", job.ID, here, zones["a"])
	}
}

// newLoadedPlacer is a fleet under load: every machine full but for a part of them, and jobs that wait.
func newLoadedPlacer(machines, waitingJobs int) (*Placer, time.Time) {
	now := time.Unix(10_000, 0)
	placer := newTestPlacer(now)
	for i := range waitingJobs {
		placer.addJob(now, i, 100+i%50, 1)
	}
	placer.addJob(now, waitingJobs, jobs.MaxTasks, 2)
	for i := range machines {
		machine := placer.addMachine(now, i, map[bool]string{false: "small", true: "large"}[i%4 == 0], "a", i%2 == 0)
		if i%8 > 0 {
			placer.StartTasks(now, machine, 300)
		}
	}
	return placer, now
}

var benchmarkSizes = [...]int{250, 1000, 5000}

// BenchmarkStartTasks is a report of a machine that has room, with its starts; they are taken
// back, so that the next one finds the same.
func BenchmarkStartTasks(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p, now := newLoadedPlacer(size, size)
			m := p.workers.Machines["vm-000000"]
			for b.Loop() {
				p.StartTasks(now, m, 300)
				p.clearMachine(m)
			}
		})
	}
}

// BenchmarkRefreshOrder is the order with its holds.
func BenchmarkRefreshOrder(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p, now := newLoadedPlacer(size, size)
			for b.Loop() {
				p.isOrderStale, p.orderedAt = true, time.Time{}
				p.refreshOrder(now)
			}
		})
	}
}
