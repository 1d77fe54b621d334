package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// comparison applies the same actions to the ranker and to the legacy model. Each of them has its own jobs, estimates and
// counts of done jobs, since both change them.
type comparison struct {
	now      time.Time
	options  config.Options
	capacity admission.Capacity
	quota    map[string]int // by team, how many more tasks of a job may run

	components Components
	ranker     *Ranker
	jobs       []*jobs.Job
	legacy     *legacyPlanner
	legacyJobs []*jobs.Job // the same jobs, for the model

	submitted int
	ranks     map[Rank]int // number of compared entries of each rank
}

func newComparison(t *rapid.T, ranks map[Rank]int) *comparison {
	platform, options := testPlatform(), config.DefaultOptions()
	c := &comparison{
		now:        time.Unix(100_000, 0),
		options:    options,
		components: NewComponents(options),
		legacy:     newLegacyPlanner(options, platform),
		ranks:      ranks,
	}
	c.ranker = NewRanker(options, platform, c.components)
	c.drawCapacity(t)
	return c
}

// testPlatform returns a platform with objectives of each kind, and with teams with and without quotas.
func testPlatform() *config.Platform {
	return &config.Platform{
		Teams: []config.Team{
			{Name: "team-0", CPULimit: 10},
			{Name: "team-1", GuaranteedCPUs: 40, GuaranteedGPUs: 2},
			{Name: "team-2", GuaranteedCPUs: 10, CPULimit: 80},
			{Name: "team-3"},
		},
		Objectives: []config.Objective{
			{Kind: "wait", Class: "class-0", TimeLimit: 3 * time.Minute},
			{Kind: "wait", Class: "class-0", TimeLimit: time.Minute},
			{Kind: "finished", Class: "class-1", TimeLimit: 4 * time.Minute},
			{Kind: "finished", Class: "class-0", TimeLimit: 10 * time.Minute},
			{Kind: "guarantee", TimeLimit: 30 * time.Second},
		},
	}
}

func (c *comparison) drawCapacity(t *rapid.T) {
	c.quota = map[string]int{"team-0": rapid.IntRange(0, 5).Draw(t, "quota"), "team-1": 1000, "team-2": 30, "team-3": 1000}
	c.capacity = admission.Capacity{
		CPUs:        rapid.SampledFrom([]float64{0, 20, 100, 1000}).Draw(t, "cpus"),
		MachineCPUs: rapid.SampledFrom([]float64{0, 4, 16}).Draw(t, "machine"),
		GrowthCPUs:  rapid.SampledFrom([]float64{0, 50}).Draw(t, "growth"),
		BootTime:    40 * time.Second,
	}
	if rapid.Bool().Draw(t, "with quota") {
		c.capacity.TasksAllowedByQuota = func(job *jobs.Job) int { return c.quota[job.Team] }
	}
}

// drawSpec draws a job of any kind with a new ID.
func (c *comparison) drawSpec(t *rapid.T) jobs.Spec {
	c.submitted++
	spec := jobs.Spec{
		ID:              fmt.Sprintf("job-%d", c.submitted),
		Class:           rapid.SampledFrom([]string{"class-0", "class-1", "class-2"}).Draw(t, "class"),
		Team:            rapid.SampledFrom([]string{"team-0", "team-1", "team-2", "team-3"}).Draw(t, "team"),
		Tasks:           rapid.SampledFrom([]int{1, 3, 20, 300}).Draw(t, "tasks"),
		CPUs:            rapid.SampledFrom([]float64{0, 0.5, 2, 8}).Draw(t, "task cpus"),
		GPUs:            float64(rapid.IntRange(0, 9).Draw(t, "gpus") / 9),
		MemoryGB:        1,
		RunTimeEstimate: time.Duration(rapid.IntRange(0, 400).Draw(t, "estimate")) * time.Second,
		IsService:       rapid.IntRange(0, 9).Draw(t, "service") == 0,
		IsGang:          rapid.IntRange(0, 9).Draw(t, "gang") == 0,
		Priority:        jobs.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		spec.Deadline = time.Duration(rapid.IntRange(1, 900).Draw(t, "deadline")) * time.Second
	}
	return spec
}

// submit submits a job, which may depend on a live job, and compares the decisions on its guarantee.
func (c *comparison) submit(t *rapid.T) {
	spec := c.drawSpec(t)
	job, legacyJob := jobs.New(spec, c.now), jobs.New(spec, c.now)
	request := admission.Request{Job: job, Live: c.jobs, Capacity: c.capacity}
	legacyRequest := admission.Request{Job: legacyJob, Live: c.legacyJobs, Capacity: c.capacity}
	if len(c.jobs) > 0 && rapid.IntRange(0, 3).Draw(t, "dependent") == 0 {
		i := rapid.IntRange(0, len(c.jobs)-1).Draw(t, "dependency")
		request.Dependencies, legacyRequest.Dependencies = c.jobs[i:i+1], c.legacyJobs[i:i+1]
		request.DependencyRunTime = time.Duration(rapid.IntRange(0, 300).Draw(t, "dependency run time")) * time.Second
		legacyRequest.DependencyRunTime = request.DependencyRunTime
	}
	got := c.components.Planner.Admit(c.now, request)
	want := c.legacy.Admit(c.now, legacyRequest)
	if got != want {
		t.Fatalf("admission of %s: got %v, want %v", spec.ID, got, want)
	}
	for _, j := range []*jobs.Job{job, legacyJob} {
		j.State, j.Guaranteed = jobs.Accepted, got
	}
	c.jobs, c.legacyJobs = append(c.jobs, job), append(c.legacyJobs, legacyJob)
}

// changeJob applies a random change to one live job: a task is started or done, or the job changes or ends.
func (c *comparison) changeJob(t *rapid.T) {
	if len(c.jobs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.jobs)-1).Draw(t, "job")
	task := rapid.IntRange(0, c.jobs[i].Tasks-1).Draw(t, "task")
	both := []*jobs.Job{c.jobs[i], c.legacyJobs[i]}
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0, 1:
		for _, job := range both {
			startTask(c.now, job, task)
		}
	case 2:
		if attempt := both[0].ActiveAttempts[task]; attempt != nil {
			ran := c.now.Sub(attempt.RunningSince)
			for _, job := range both {
				job.RemoveAttempt(job.ActiveAttempts[task])
				job.RecordTaskDone(task)
			}
			c.components.Estimator.ObserveRunTime(both[0], ran)
			c.legacy.ObserveRunTime(both[1], ran)
		}
	case 3:
		for _, job := range both {
			job.CrashLooping = !job.CrashLooping
		}
	case 4:
		deadline := c.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "inherited")) * time.Second)
		for _, job := range both {
			job.InheritedDeadline, job.RequiredByGuaranteed = deadline, !job.IsService
		}
	case 5:
		c.components.FairShare.RecordDone(c.now, both[0])
		c.legacy.fairShare.RecordDone(c.now, both[1])
		c.jobs, c.legacyJobs = remove(c.jobs, i), remove(c.legacyJobs, i)
	}
}

func startTask(now time.Time, job *jobs.Job, task int) {
	if job.ActiveAttempts[task] != nil || job.IsTaskDone(task) {
		return
	}
	attempt := &jobs.Attempt{Task: jobs.TaskID{JobID: job.ID, Index: task}, Job: job}
	job.AddAttempt(attempt)
	job.RecordRunning(attempt, now)
}

func remove(list []*jobs.Job, i int) []*jobs.Job {
	return append(list[:i:i], list[i+1:]...)
}

// changeOptions draws new operators' settings.
func (c *comparison) changeOptions(t *rapid.T) {
	c.options.StartBound = rapid.SampledFrom([]time.Duration{0, 30 * time.Second, 150 * time.Second}).Draw(t, "start bound")
	c.options.AgeBound = rapid.SampledFrom([]time.Duration{time.Minute, 420 * time.Second}).Draw(t, "age bound")
	c.options.AgedShare = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "aged share")
	c.options.OverdueShare = rapid.SampledFrom([]float64{0, 0.1, 0.8}).Draw(t, "overdue share")
	c.components.FairShare.SetPolicy(fairshare.PolicyOf(c.options))
	c.components.Planner.SetOptions(c.options)
	c.ranker.SetOptions(c.options)
	c.legacy.SetOptions(c.options)
}

// compare orders the jobs and compares each entry with that of the model.
func (c *comparison) compare(t *rapid.T) {
	got, want := c.ranker.Order(c.now, c.jobs, c.capacity), c.legacy.Order(c.now, c.legacyJobs, c.capacity)
	if len(got) != len(want) {
		t.Fatalf("entries in the order: got %d, want %d", len(got), len(want))
	}
	for i := range got {
		if g, w := describeEntry(&got[i]), describeLegacyEntry(&want[i]); g != w {
			t.Fatalf("entry %d:\ngot  %+v\nwant %+v", i, g, w)
		}
		c.ranks[got[i].Rank]++
	}
}

// comparedEntry holds the fields that entries of the ranker and of the model have in common.
type comparedEntry struct {
	JobID                          string
	Rank                           int
	Reason                         string
	MayReserve, Planned, AgedFirst bool
	MaxTasks                       int
	TaskRunTime                    time.Duration
	RemainingCPUSeconds, SortKey   float64
}

func describeEntry(entry *Entry) comparedEntry {
	return comparedEntry{
		entry.Job.ID,
		int(entry.Rank),
		entry.Rank.Reason(),
		entry.MayReserve,
		entry.Planned,
		entry.IsAgedFirst(),
		entry.MaxTasks,
		entry.TaskRunTime,
		entry.RemainingCPUSeconds,
		entry.sortKey,
	}
}

func describeLegacyEntry(entry *legacyEntry) comparedEntry {
	return comparedEntry{
		entry.Job.ID,
		entry.Rank,
		entry.RankReason(),
		entry.MayReserve,
		entry.Planned,
		entry.AgedFirst,
		entry.MaxTasks,
		entry.TaskRunTime,
		entry.RemainingCPUSeconds,
		entry.sortKey,
	}
}

// TestOrderMatchesLegacy checks that, on random queues, the rules rank jobs like the switch statement that they replaced, and
// that the planner admits the same jobs as the former one. Each rank has to occur in the compared orders.
func TestOrderMatchesLegacy(t *testing.T) {
	ranks := map[Rank]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newComparison(t, ranks)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				c.submit(t)
			case 3, 4, 5:
				c.changeJob(t)
			case 6, 7:
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 240).Draw(t, "seconds")) * time.Second)
			case 8:
				c.drawCapacity(t)
			case 9:
				c.changeOptions(t)
			}
			c.compare(t)
		}
	})
	for rank := range Rank(len(reasons)) {
		if ranks[rank] == 0 {
			t.Errorf("rank %d (%s): no job was compared, want at least one", rank, rank.Reason())
		}
	}
	t.Logf("entries compared by rank: %v", ranks)
}
