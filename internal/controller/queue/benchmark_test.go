package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/jobs"
)

// benchmarkPlatform returns a platform with objectives of each kind, and with teams with and without quotas.
func benchmarkPlatform() *config.Platform {
	return &config.Platform{
		Teams: []config.Team{
			{Name: "team-0", CPULimit: 200},
			{Name: "team-1", GuaranteedCPUs: 400},
			{Name: "team-2", GuaranteedCPUs: 200, CPULimit: 800},
			{Name: "team-3"},
		},
		Objectives: []config.Objective{
			{Kind: "wait", Class: "class-0", TimeLimit: time.Minute},
			{Kind: "wait", Class: "class-0", TimeLimit: 5 * time.Minute},
			{Kind: "finished", Class: "class-1", TimeLimit: 4 * time.Minute},
			{Kind: "guarantee", TimeLimit: 30 * time.Second},
		},
	}
}

// benchmarkQueue returns a queue of jobs of all kinds and ages. The same arguments always give the same queue.
func benchmarkQueue(now time.Time, size int) []*jobs.Job {
	random := rand.New(rand.NewPCG(1, 2))
	queue := make([]*jobs.Job, 0, size)
	for i := range size {
		spec := jobs.Spec{
			ID:              fmt.Sprintf("job-%06d", i),
			Class:           fmt.Sprintf("class-%d", random.IntN(4)),
			Team:            fmt.Sprintf("team-%d", random.IntN(4)),
			Tasks:           1 + random.IntN(100),
			CPUs:            float64(random.IntN(5)),
			MemoryGB:        1,
			RunTimeEstimate: time.Duration(10+random.IntN(300)) * time.Second,
			IsService:       random.IntN(50) == 0,
			IsGang:          random.IntN(20) == 0,
		}
		if random.IntN(3) == 0 {
			spec.Deadline = time.Duration(1+random.IntN(15)) * time.Minute
		}
		job := jobs.New(spec, now.Add(-time.Duration(random.IntN(900))*time.Second))
		job.State, job.Guaranteed = jobs.Accepted, spec.Deadline > 0 && random.IntN(2) == 0
		for task := range random.IntN(min(spec.Tasks, 3)) {
			attempt := &jobs.Attempt{Task: jobs.TaskID{JobID: spec.ID, Index: task}, Job: job}
			job.AddAttempt(attempt)
			job.RecordRunning(attempt, now.Add(-time.Duration(random.IntN(60))*time.Second))
		}
		queue = append(queue, job)
	}
	return queue
}

// BenchmarkOrder measures the ordering of a queue, without the reservation of machines.
func BenchmarkOrder(b *testing.B) {
	now := time.Unix(10_000, 0)
	for _, size := range []int{250, 1000, 5000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			options := config.DefaultOptions()
			ranker, queue := NewRanker(options, benchmarkPlatform(), NewComponents(options)), benchmarkQueue(now, size)
			capacity := admission.Capacity{CPUs: 4 * float64(size), MachineCPUs: 16, GrowthCPUs: 100, BootTime: 40 * time.Second}
			for b.Loop() {
				ranker.Order(now, queue, capacity)
			}
		})
	}
}
