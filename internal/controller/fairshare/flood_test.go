package fairshare

import (
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// floodCPUs is the number of CPUs of the cluster in the flood.
const floodCPUs = 600

// floodStream submits jobs of one kind at an interval, and counts them.
type floodStream struct {
	class, team       string
	tasks             int
	cpus              float64
	interval          int // seconds between two jobs
	submitted, served int
}

// flood simulates a shortage in which all jobs are overdue and run only on allocated capacity. Every task runs for 30 s.
type flood struct {
	allocator *Allocator
	now       time.Time
	streams   []*floodStream
	live      map[*jobs.Job]*floodStream
	ends      map[*jobs.Job]time.Time
	submitted int
}

func (f *flood) submit(second int) {
	for _, stream := range f.streams {
		if second%stream.interval == 0 {
			f.submitted++
			stream.submitted++
			f.live[newJob(f.submitted, stream.class, stream.team, stream.tasks, stream.cpus)] = stream
		}
	}
}

// allocate starts the jobs that get capacity, and returns the CPUs that were in use before.
func (f *flood) allocate() float64 {
	var overdue []OverdueJob
	usedCPUs := 0.0
	for job := range f.live {
		overdue = append(overdue, starvedJob(job))
		usedCPUs += float64(len(job.ActiveAttempts)) * job.CPUs
	}
	for job := range f.allocator.Allocate(f.now, overdue, nil, floodCPUs) {
		startAllTasks(job)
		f.ends[job] = f.now.Add(30 * time.Second)
	}
	return usedCPUs
}

func (f *flood) finish() {
	for job, end := range f.ends {
		if end.Before(f.now) {
			f.live[job].served++
			f.allocator.RecordDone(f.now, job)
			delete(f.live, job)
			delete(f.ends, job)
		}
	}
}

// TestEveryGroupServedInFlood checks an endless shortage in which one class floods the queue. Every class and team must get
// jobs done, even a class with a single large job. The allocated capacity must stay within the share.
func TestEveryGroupServedInFlood(t *testing.T) {
	flooding := &floodStream{class: "flood", team: "a", tasks: 50, cpus: 1, interval: 1}
	f := &flood{
		allocator: New(testPolicy()), now: time.Unix(10_000, 0), live: map[*jobs.Job]*floodStream{}, ends: map[*jobs.Job]time.Time{},
		streams: []*floodStream{
			flooding,
			{class: "large", team: "b", tasks: 10, cpus: 4, interval: 80},
			{class: "small", team: "b", tasks: 4, cpus: 1, interval: 10},
			{class: "lone", team: "c", tasks: 300, cpus: 0.25, interval: 100_000},
		},
	}
	const largestJobCPUs = 75 // of the class "lone"; one allocation covers all tasks of a job
	for second := range 1200 {
		f.now = f.now.Add(time.Second)
		f.submit(second)
		if usedCPUs, share := f.allocate(), floodCPUs*testPolicy().CapacityShare; usedCPUs > share+largestJobCPUs {
			t.Fatalf("CPUs used after %d s: got %g, want at most the share of %g and one job", second, usedCPUs, share)
		}
		f.finish()
	}
	for _, stream := range f.streams {
		if stream != flooding && float64(stream.served) < 0.5*float64(stream.submitted) {
			t.Errorf("%s: got %d of %d jobs done, want at least half", stream.class, stream.served, stream.submitted)
		}
	}
	if flooding.served < 30 {
		t.Errorf("flooding class: got %d of %d jobs done, want at least 30", flooding.served, flooding.submitted)
	}
}
