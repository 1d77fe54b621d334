package placement

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
)

// TestJobWithImageOnMachineStartsFirst checks that, of two jobs of one rank, the one whose image is on the machine starts
// first. Once the other job has waited for as long as fetching its image takes, it starts first.
func TestJobWithImageOnMachineStartsFirst(t *testing.T) {
	f := newFixture()
	machine := f.AddMachine(1, "small", "a", false)
	without, with := f.addJob(0, 2, 4), f.addJob(2, 20, 4)
	without.Image, without.ImageGB, with.Image, with.ImageGB = "without", 1, "with", 1 // fetched in 4 s
	machine.ImageCache.RecordUse("with", 1)
	firstStarted := func() string {
		commands := f.StartTasks(f.Now, machine, 1)
		if len(commands) != 1 {
			t.Fatalf("start commands: got %d, want 1", len(commands))
		}
		f.clearMachine(machine)
		jobID, _, _ := strings.Cut(commands[0].Task, "/")
		return jobID
	}
	f.refreshOrder(f.Now)
	if candidates := f.order.candidates; candidates[0].Job != without || candidates[0].Rank != candidates[1].Rank {
		t.Fatalf(
			"candidates: got %s with rank %v, then rank %v, want %s first and equal ranks",
			candidates[0].Job.ID, candidates[0].Rank, candidates[1].Rank, without.ID,
		)
	}
	if got := firstStarted(); got != with.ID {
		t.Errorf("job started first: got %s, want %s", got, with.ID)
	}
	f.Now = f.Now.Add(4 * time.Second)
	if got := firstStarted(); got != without.ID {
		t.Errorf("job started first after a wait as long as its image fetch: got %s, want %s", got, without.ID)
	}
}

// TestShapeFitsMatchScan compares the count cached for a shape with a scan of the machines for the job itself.
func TestShapeFitsMatchScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			machine := f.AddMachine(i, []string{"small", "large"}[i%2], []string{"a", "b"}[i%3/2], i%4 == 0)
			if rapid.Bool().Draw(t, "used") {
				f.StartTasks(f.Now, machine, rapid.IntRange(0, 9).Draw(t, "starts"))
			}
		}
		machines, fits := f.machinesByAvailableCPUs(), newShapeFits(12)
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			job := f.addJob(i, rapid.IntRange(1, 40).Draw(t, "tasks"), rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "cpus"))
			job.AllowsSpot, job.Zone = rapid.Bool().Draw(t, "spot"), rapid.SampledFrom([]string{"", "a"}).Draw(t, "zone")
			if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
				machines[0].FailedJobs[job.ID] = true
				job.AvoidedMachines = map[string]time.Time{machines[0].ID: f.Now.Add(jobs.MachineAvoidance)}
			}
			job.SingleZone = !job.SpreadAcrossZones && rapid.Bool().Draw(t, "single zone")
			for task := range rapid.IntRange(0, min(job.Tasks, 3)).Draw(t, "active") { // they do not change what fits on the machines
				job.AddAttempt(&jobs.Attempt{Task: jobs.TaskID{JobID: job.ID, Index: task}, Zone: "a", Job: job})
			}
			maxTasks := rapid.IntRange(1, job.Tasks).Draw(t, "want")
			got, want := fits.fittingTasks(job, f.order.shapeNumber(job), machines, maxTasks), countFittingTasks(job, machines, maxTasks)
			if got != want {
				t.Fatalf("tasks of %s that fit: got %d, want %d of %d", job.ID, got, want, maxTasks)
			}
		}
	})
}

// tasksOnFullerByScan is the reference for tasksOnFuller: it scans all machines.
func (f *fixture) tasksOnFullerByScan(job *jobs.Job, machine *worker.Machine) int {
	tasks := 0
	for _, other := range f.workers.Machines {
		if other != machine && other.HasSentHeartbeat && other.Reconciled && other.Registered &&
			f.Now.Sub(other.LastContactAt) < 2*f.platform.HeartbeatInterval && !f.Now.Before(other.StartsNotBefore) &&
			IsFuller(other, machine) && IsEligible(job, other) &&
			(other.ReservedFor == nil || other.ReservedFor == job) {
			tasks += min(other.TasksThatFit(job), TasksAllowedInZone(job, other.Zone))
		}
	}
	return min(tasks, job.WaitingTasks())
}

// TestIndexesMatchScans compares data that is updated incrementally with full scans: the utilization buckets of the
// machines, and each job's running tasks, remaining work and zones.
func TestIndexesMatchScans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		machines, list := f.drawCluster(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f.Now = f.Now.Add(time.Second)
			machine := rapid.SampledFrom(machines).Draw(t, "machine")
			job := rapid.SampledFrom(list).Draw(t, "job")
			f.drawChange(t, machine)
			got, want := f.tasksOnFuller(f.Now, job, machine, job.WaitingTasks(), 1<<30), f.tasksOnFullerByScan(job, machine)
			if got != want {
				t.Fatalf("tasks of %s that fit on machines fuller than %s: got %d, want %d", job.ID, machine.ID, got, want)
			}
			checkJobCounters(t, f.Now, job)
			f.checkShapes(t, machine)
		}
	})
}

// drawCluster draws machines in two zones, and jobs.
func (f *fixture) drawCluster(t *rapid.T) ([]*worker.Machine, []*jobs.Job) {
	var machines []*worker.Machine
	var list []*jobs.Job
	for i := range rapid.IntRange(2, 12).Draw(t, "machines") {
		machineType := "small"
		if rapid.Bool().Draw(t, "large") {
			machineType = "large"
		}
		machines = append(machines, f.AddMachine(i, machineType, []string{"a", "b"}[i%2], i%3 == 0))
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
		tasks := rapid.IntRange(1, 30).Draw(t, "tasks")
		list = append(list, f.addJob(i, tasks, rapid.SampledFrom([]float64{0.5, 1, 3, 4}).Draw(t, "cpus")))
	}
	return machines, list
}

// drawChange draws a change of one machine, or invalidates the order.
func (f *fixture) drawChange(t *rapid.T, machine *worker.Machine) {
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0, 1:
		for _, command := range f.StartTasks(f.Now, machine, 5) {
			if command.Operation != "start" {
				t.Fatalf("command %+v: want a start", command)
			}
		}
	case 2:
		f.SendHeartbeat(machine)
	case 3:
		f.clearMachine(machine)
	case 4:
		f.InvalidateOrder()
	}
}

// checkShapes compares the results cached by shape with scans for each candidate.
func (f *fixture) checkShapes(t *rapid.T, machine *worker.Machine) {
	f.refreshOrder(f.Now)
	f.resetShapeChecks()
	for i := range f.order.candidates {
		entry := &f.order.candidates[i]
		job := entry.Job
		if got, want := f.rejects(machine, entry), machine.TasksThatFit(job) == 0 || !KindAllowed(job, MachineKind(machine)); got != want {
			t.Fatalf("%s rejects %s: got %v, want %v", machine.ID, job.ID, got, want)
		}
		if got, want := f.tasksLeftToFuller(f.Now, entry, machine), f.tasksOnFullerByScan(job, machine); got != want {
			t.Fatalf("cached by shape: tasks of %s that fit on machines fuller than %s: got %d, want %d", job.ID, machine.ID, got, want)
		}
	}
}

func checkJobCounters(t *rapid.T, now time.Time, job *jobs.Job) {
	const taskRunTime = time.Hour
	running, ran, byZone := 0, time.Duration(0), map[string]int{}
	for _, attempt := range job.ActiveAttempts {
		byZone[attempt.Zone]++
		if !attempt.RunningSince.IsZero() {
			running++
			ran += now.Sub(attempt.RunningSince)
		}
	}
	got, want := job.RemainingWork(taskRunTime, now), time.Duration(job.Tasks-job.DoneTasks)*taskRunTime-ran
	if got != want || job.RunningTasks() != running {
		t.Fatalf("%s: got remaining work %v, %d running tasks, want %v, %d", job.ID, got, job.RunningTasks(), want, running)
	}
	if inZone, _ := job.AttemptsInZone("a"); job.SpreadAcrossZones && inZone != byZone["a"] {
		t.Fatalf("%s: attempts in zone a: got %d, want %d", job.ID, inZone, byZone["a"])
	}
}
