package accounting

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"
)

// reasonTest takes a job of two tasks through the wait reasons, one after the other.
type reasonTest struct {
	*cluster
	t          *testing.T
	tracker    *Tracker
	job, other *jobs.Job
	want       Breakdown
}

// expect changes the cluster, expects the reason to apply from then on, and lets 1.5 s pass.
func (r *reasonTest) expect(reason WaitReason, change func()) {
	r.t.Helper()
	change()
	r.tracker.Sample(r.now, r.ClusterState)
	if _, got, _ := r.tracker.Account(r.now, r.job); got != reason {
		r.t.Errorf("wait reason: got %v, want %v", got, reason)
	}
	r.want[reason] += 1500
	r.now = r.now.Add(1500 * time.Millisecond)
}

// TestWaitReasonsOfJob produces wait reasons one after the other on one job, and checks that the account sums to the job's
// time.
func TestWaitReasonsOfJob(t *testing.T) {
	tracker, registry := newTrackerWithMetrics()
	r := &reasonTest{cluster: newCluster(), t: t, tracker: tracker}
	r.job, r.other = newJob(1, 2, r.now), newJob(2, 9, r.now)
	r.job.State = jobs.Pending
	tracker.Open(r.job)
	r.waitForMachines()
	first, second, machine := r.startTasks()
	r.finishTasks(first, second, machine)
	r.loseLease()
	r.job.State = jobs.Done
	tracker.Finish(r.now, r.job)
	r.checkAccount()
	checkMetrics(t, registry, r.want.Total())
}

func (r *reasonTest) waitForMachines() {
	var machine *worker.Machine
	r.expect(NotAccepted, func() {})
	r.expect(StateUnavailable, func() { r.StorageHealthy = false })
	r.expect(NoLeader, func() { r.StorageHealthy, r.FailoverCompleted, r.job.State = true, false, jobs.Accepted })
	r.expect(NoUsableMachine, func() { r.FailoverCompleted = true })
	r.expect(MachineBooting, func() { r.Cloud.ObserveHeartbeat(r.now, "vm-1", "", cloud.InstanceKind{Type: "small", Zone: "a"}) })
	r.expect(AwaitingHeartbeat, func() { machine = r.addMachine(1) })
	r.expect(Reserved, func() { machine.ReservedFor = r.other })
	r.expect(Queued, func() {
		machine.ReservedFor = nil
		r.startTask(machine, r.other)
		r.startTask(machine, r.other)
	})
	r.expect(Queued, func() {
		r.addMachine(3)
		r.Queue = []queue.Entry{{Job: r.other}, {Job: r.job}}
	})
	r.expect(TeamQuota, func() { r.Teams["t"] = config.Team{Name: "t", CPULimit: 2} })
}

func (r *reasonTest) startTasks() (first, second *jobs.Attempt, machine *worker.Machine) {
	r.expect(AwaitingHeartbeat, func() {
		r.Queue = nil
		r.Teams["t"] = config.Team{}
		machine = r.addMachine(2)
		first = r.startTask(machine, r.job)
	})
	r.expect(AwaitingHeartbeat, func() { second = r.startTask(machine, r.job) })
	r.expect(FetchingImage, func() { first.LastSeenReconcile, second.LastSeenReconcile = 1, 1 })
	r.expect(FetchingImage, func() { r.job.RecordRunning(first, r.now) })
	r.expect(Running, func() { r.job.RecordRunning(second, r.now) })
	return first, second, machine
}

// finishTasks completes the first task. The second one is lost, and completes after it has run again.
func (r *reasonTest) finishTasks(first, second *jobs.Attempt, machine *worker.Machine) {
	r.expect(Running, func() {
		r.job.RecordTaskDone(first.Task.Index)
		r.job.RemoveAttempt(first)
		r.tracker.RecordTaskDone(r.job, first.Task.Index)
	})
	r.expect(MachineLost, func() {
		r.Workers.ReleaseAll(machine)
		r.job.Requeue(second.Task.Index)
		r.tracker.RecordTaskLost(r.job, second.Task.Index, MachineLost)
	})
	r.expect(MachineLost, func() { second = r.startTask(machine, r.job) })
	r.expect(NotDurable, func() {
		r.job.RecordRunning(second, r.now)
		r.job.RecordTaskDone(second.Task.Index)
		r.tracker.RecordTaskDone(r.job, second.Task.Index)
		r.job.IsFinishing = true
	})
	r.expect(StateUnavailable, func() { r.StorageHealthy = false })
}

func (r *reasonTest) loseLease() {
	r.tracker.LeaseLost(r.now)
	r.want[NoLeader] += 700
	r.now = r.now.Add(700 * time.Millisecond)
	r.tracker.Sample(r.now, r.ClusterState)
}

func (r *reasonTest) checkAccount() {
	r.t.Helper()
	finished, ok := r.tracker.FinishedAccount(r.job.ID)
	if !ok || finished.Breakdown != r.want || finished.Breakdown.Total() != r.now.Sub(r.job.SubmittedAt).Milliseconds() {
		r.t.Errorf("account: got %+v (found %v), want %v, total %d ms", finished, ok, r.want, r.now.Sub(r.job.SubmittedAt).Milliseconds())
	}
	all := r.tracker.Totals("t", "", time.Time{})
	if len(all) != 1 || all[0].JobCount != 1 || all[0].Breakdown != r.want {
		r.t.Errorf("totals of the team: got %+v, want one job with %v", all, r.want)
	}
	if other := r.tracker.Totals("t", "x", time.Time{}); len(other) > 0 {
		r.t.Errorf("totals of another class: got %+v, want none", other)
	}
}

func checkMetrics(t *testing.T, registry *prometheus.Registry, wantMs int64) {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		sum := 0.0
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
		if family.GetName() == "gullrudder_job_seconds_total" && int64(sum*1000+0.5) != wantMs ||
			family.GetName() == "gullrudder_jobs_ended_total" && sum != 1 {
			t.Errorf("sum of %s: got %g, want 1 ended job, %g s", family.GetName(), sum, float64(wantMs)/1000)
		}
	}
}

// sumTest takes jobs through random events under several leaders.
type sumTest struct {
	*cluster
	tracker *Tracker
	machine *worker.Machine
	jobs    []*jobs.Job
	endedMs map[string]int64 // time from submission to the final state, by job ID
}

// TestAccountsSumExactly checks that each account sums exactly to the job's time, and that the totals by class have the same
// sum. It draws random events under several leaders whose clocks differ.
func TestAccountsSumExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sumTest{cluster: newCluster(), tracker: newTracker(), endedMs: map[string]int64{}}
		s.machine = s.addMachine(1)
		for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
			job := newJob(i, 3, s.now)
			s.jobs = append(s.jobs, job)
			s.tracker.Open(job)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 9_000_000).Draw(t, "us")) * time.Microsecond)
			s.step(t, rapid.SampledFrom(s.jobs).Draw(t, "job"))
		}
		s.check(t)
	})
}

func (s *sumTest) step(t *rapid.T, job *jobs.Job) {
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		s.tracker.Sample(s.now, s.ClusterState)
	case 1:
		s.tracker.LeaseLost(s.now)
	case 2:
		s.FailoverCompleted, s.StorageHealthy = rapid.Bool().Draw(t, "placing"), rapid.Bool().Draw(t, "healthy")
	case 3:
		if job.WaitingTasks() > 0 && s.machine.TasksThatFit(job) > 0 {
			job.RecordRunning(s.startTask(s.machine, job), s.now)
		}
	case 4:
		s.preemptAll()
	case 5:
		s.finish(job)
	case 6:
		s.changeLeader(t)
	}
}

func (s *sumTest) preemptAll() {
	for _, ended := range s.Workers.ReleaseAll(s.machine) {
		job, task := ended.Attempt.Job, ended.Attempt.Task.Index
		job.Requeue(task)
		s.tracker.RecordTaskLost(job, task, Preempted)
	}
}

func (s *sumTest) finish(job *jobs.Job) {
	if s.hasEnded(job) {
		return
	}
	job.State = jobs.Done
	s.tracker.Finish(s.now, job)
	s.endedMs[job.ID] = msSinceSubmission(job, s.now)
}

func (s *sumTest) hasEnded(job *jobs.Job) bool {
	_, ended := s.endedMs[job.ID]
	return ended
}

// changeLeader continues with another leader, whose clock is a little behind or ahead. The finished accounts are kept for
// check.
func (s *sumTest) changeLeader(t *rapid.T) {
	const fieldBytes = 12 // the field's name and quotes in a job's record
	next := newTracker()
	skew := time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond
	for _, job := range s.jobs {
		if s.hasEnded(job) {
			continue
		}
		encoded := s.tracker.EncodedAccount(job)
		if len(encoded) > maxEncodedBytes || len(encoded)+fieldBytes > jobs.MaxTimeAccountBytes {
			t.Fatalf("encoded account: got %d bytes, want at most %d and %d with the field", len(encoded), maxEncodedBytes, jobs.MaxTimeAccountBytes)
		}
		next.Restore(job, encoded, s.now.Add(skew))
	}
	next.finished, next.totals = s.tracker.finished, s.tracker.totals
	s.tracker = next
	s.now = s.now.Add(max(skew, 0))
}

func (s *sumTest) check(t *rapid.T) {
	const maxClockErrorMs = 500
	sum := int64(0)
	for id, ms := range s.endedMs {
		finished, ok := s.tracker.FinishedAccount(id)
		// No counted time is taken back if a new leader's clock is behind.
		if !ok || finished.Breakdown.Total() < ms || finished.Breakdown.Total() > ms+maxClockErrorMs {
			t.Fatalf("account of %s: got %d ms (found %v), want %d ms", id, finished.Breakdown.Total(), ok, ms)
		}
		sum += finished.Breakdown.Total()
	}
	for _, total := range s.tracker.Totals("", "", time.Time{}) {
		sum -= total.Breakdown.Total()
	}
	if sum != 0 {
		t.Fatalf("difference of the totals by class: got %d ms, want 0", sum)
	}
}

// BenchmarkSample samples a cluster of full machines with as many jobs as machines.
func BenchmarkSample(b *testing.B) {
	for _, size := range []int{250, 1000, 5000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, tracker := newCluster(), newTracker()
			for i := range size {
				job := newJob(i, 3, c.now)
				job.CPUs, job.MemoryGB = 1, 1+float64(i%20)/100
				machine := c.addMachine(i)
				c.startTask(machine, job)
				c.startTask(machine, job)
				tracker.Open(job)
			}
			for b.Loop() {
				c.now = c.now.Add(time.Second)
				tracker.Sample(c.now, c.ClusterState)
			}
		})
	}
}

// TestRoomInForbiddenZoneIsNoReason guards against an account that says of a job that it waits for a heartbeat, although the room is in a
// zone where it may have no further task.
func TestRoomInForbiddenZoneIsNoReason(t *testing.T) {
	r := &reasonTest{cluster: newCluster(), t: t, tracker: newTracker()}
	r.job = newJob(1, 2, r.now)
	r.job.SpreadAcrossZones = true
	r.tracker.Open(r.job)
	machine := r.addMachine(1)
	r.expect(NoUsableMachine, func() { r.startTask(machine, r.job) })
	r.expect(NoUsableMachine, func() { r.Cloud.ObserveHeartbeat(r.now, "vm-2", "", cloud.InstanceKind{Type: "small", Zone: "a"}) })
	r.expect(MachineBooting, func() { r.Cloud.ObserveHeartbeat(r.now, "vm-3", "", cloud.InstanceKind{Type: "small", Zone: "b"}) })
}

// TestRoomOfReplicasIsNoQueue guards against an account that says of a job that it waits behind others, although the replicas that hold the
// only machine do not end.
func TestRoomOfReplicasIsNoQueue(t *testing.T) {
	r := &reasonTest{cluster: newCluster(), t: t, tracker: newTracker()}
	r.job = newJob(1, 1, r.now)
	r.job.CPUs = 2
	r.tracker.Open(r.job)
	r.expect(Queued, func() { r.startTask(r.addMachine(1), newJob(2, 1, r.now)) })
	service := newJob(3, 1, r.now)
	service.IsService = true
	r.expect(NoUsableMachine, func() {
		machine := r.Workers.Machines["vm-1"]
		r.Workers.ReleaseAll(machine)
		r.startTask(machine, service)
	})
}
