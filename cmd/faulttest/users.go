package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/simulator"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
)

// users submit jobs with many short tasks, cancel some, and poll all of them for ever.
type users struct {
	testbed *testbed
	rng     *rand.Rand

	stop            chan struct{}
	ended           chan struct{}
	useDependencies atomic.Bool // whether new jobs depend on others
	answers         gapTimer    // successful responses

	mu    sync.Mutex
	jobs  map[string]*userJob
	order []string
}

type userJob struct {
	spec            jobs.Spec
	accepted        bool
	done            bool
	cancelled       bool
	cancelRequested bool // its user asked to cancel it
	dependencies    []*userJob
}

// isCancellationExpected reports whether the cancellation of the job, or of a direct or indirect dependency, was requested.
func (j *userJob) isCancellationExpected() bool {
	return j.cancelRequested || slices.ContainsFunc(j.dependencies, (*userJob).isCancellationExpected)
}

const maxOpenJobs = 24

func (u *users) run() {
	defer close(u.ended)
	client := http1.NewClient(8, 2, http1.MaxBodyBytes)
	for n := 0; ; n++ {
		select {
		case <-u.stop:
			return
		default:
		}
		if u.openCount() < maxOpenJobs {
			u.submit(client, n)
		}
		for range 6 {
			u.sendRandomRequest(client)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (u *users) randomJob(of func(*userJob) bool) *userJob {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.order) == 0 {
		return nil
	}
	from := u.rng.IntN(len(u.order))
	for i := range u.order {
		if j := u.jobs[u.order[(from+i)%len(u.order)]]; of(j) {
			return j
		}
	}
	return nil
}

func (u *users) count(of func(*userJob) bool) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, j := range u.jobs {
		if of(j) {
			n++
		}
	}
	return n
}

func (u *users) openCount() int {
	return u.count(func(j *userJob) bool { return !j.done && !j.cancelled })
}
func (u *users) acceptedCount() int { return u.count(func(j *userJob) bool { return j.accepted }) }
func (u *users) dependentCount() int {
	return u.count(func(j *userJob) bool { return j.accepted && len(j.dependencies) > 0 })
}
func (u *users) doneCount() int { return u.count(func(j *userJob) bool { return j.done }) }

func (u *users) submit(c *http1.Client, n int) {
	// Some IDs are longer than what the archive's index holds exactly.
	id := fmt.Sprintf("job-%06d", n)
	if u.rng.IntN(3) == 0 {
		id = fmt.Sprintf("job-2026%010d", n)
	}
	j := &userJob{spec: jobs.Spec{
		ID: id, Class: "short", Team: "red", Priority: jobs.Normal, Tasks: 1 + u.rng.IntN(12), CPUs: 0.5, MemoryGB: 1,
		Image: "i", ImageGB: 0.1, AllowsSpot: true, RunTimeEstimate: 200 * time.Millisecond,
	}}
	for range u.rng.IntN(3) {
		if need := u.randomJob(func(o *userJob) bool { return o.accepted }); need != nil && u.useDependencies.Load() {
			j.dependencies = append(j.dependencies, need)
			j.spec.Dependencies = append(j.spec.Dependencies, need.spec.ID)
			u.testbed.cloud.History.AddDependency(id, need.spec.ID, need.spec.Tasks)
		}
	}
	u.mu.Lock()
	u.jobs[id] = j
	u.order = append(u.order, id)
	u.mu.Unlock()
	u.send(c, j)
}

func (u *users) send(c *http1.Client, j *userJob) {
	raw, err := codec.Marshal(simulator.SubmissionFields(j.spec))
	if err != nil {
		u.testbed.reportViolation("a submission cannot be encoded: %v", err)
		return
	}
	u.exchange(c, j, "POST", "/work", raw)
}

// sendRandomRequest polls a job, submits one again, or cancels one.
func (u *users) sendRandomRequest(c *http1.Client) {
	if j := u.randomJob(func(j *userJob) bool { return !j.accepted }); j != nil {
		u.send(c, j)
	}
	switch u.rng.IntN(12) {
	case 0:
		if j := u.randomJob(func(j *userJob) bool { return j.accepted }); j != nil {
			u.send(c, j)
		}
	case 1:
		if j := u.randomJob(func(j *userJob) bool { return j.accepted && !j.done && u.rng.IntN(10) == 0 }); j != nil {
			j.cancelRequested = true
			u.exchange(c, j, "POST", "/work/"+j.spec.ID+"/withdraw", nil)
		}
	case 2, 3, 4: // a finished job
		if j := u.randomJob(func(j *userJob) bool { return j.done || j.cancelled }); j != nil {
			u.exchange(c, j, "GET", "/work/"+j.spec.ID, nil)
		}
	default:
		if j := u.randomJob(func(j *userJob) bool { return j.accepted && !j.done && !j.cancelled }); j != nil {
			u.exchange(c, j, "GET", "/work/"+j.spec.ID, nil)
		}
	}
}

func (u *users) exchange(c *http1.Client, j *userJob, method, target string, body []byte) {
	m, err := c.Do(u.testbed.publicAddrs[u.rng.IntN(controllerCount)], method, target, body, 2*time.Second)
	if err != nil {
		return
	}
	var a struct {
		State string `msgpack:"trim"`
		Done  *int   `msgpack:"done"`
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case m.Status == 404 || m.Status == 400 || m.Status == 422:
		if j.accepted {
			u.testbed.reportViolation("forgotten: %s %s gets %d though the job was accepted", method, target, m.Status)
		}
	case m.Status/100 == 2 && codec.Unmarshal(m.Body, &a) == nil:
		j.accepted = true
		u.answers.seen(time.Now())
		switch {
		case a.State == "done" && !j.done:
			j.done = true
			if n := u.testbed.cloud.History.CompletedTasks(j.spec.ID, j.spec.Tasks); n < j.spec.Tasks {
				u.testbed.reportViolation("not_done: %s is called done with %d of %d tasks", j.spec.ID, n, j.spec.Tasks)
			}
			if j.cancelled {
				u.testbed.reportViolation("went_back: %s was cancelled and is done", j.spec.ID)
			}
		case a.State == "cancelled":
			if !j.isCancellationExpected() || j.done {
				u.testbed.reportViolation("went_back: %s is cancelled; asked %v, done %v", j.spec.ID, j.cancelRequested, j.done)
			}
			j.cancelled = true
		case a.State != "done" && (j.done || j.cancelled):
			u.testbed.reportViolation("went_back: %s is %s; done %v, cancelled %v", j.spec.ID, a.State, j.done, j.cancelled)
		case a.State == "done" && a.Done != nil && method == "GET" && *a.Done != j.spec.Tasks:
			u.testbed.reportViolation("%s has %d tasks done of %d", j.spec.ID, *a.Done, j.spec.Tasks)
		}
	}
}

// drain waits until every accepted job is done or cancelled, and then polls every job
// once more.
func (u *users) drain(within time.Duration) error {
	close(u.stop)
	<-u.ended
	client := http1.NewClient(8, 2, http1.MaxBodyBytes)
	end := time.Now().Add(within)
	u.mu.Lock()
	last := len(u.order)
	u.mu.Unlock()
	for i := 0; i < last; {
		if time.Now().After(end) {
			return fmt.Errorf("%s is accepted and unfinished %v after the last kill", u.order[i], within)
		}
		u.mu.Lock()
		j := u.jobs[u.order[i]]
		over := j.done || j.cancelled
		u.mu.Unlock()
		if over {
			i++
			continue
		}
		if !j.accepted {
			u.send(client, j)
		} else {
			u.exchange(client, j, "GET", "/work/"+j.spec.ID, nil)
		}
		time.Sleep(time.Millisecond)
	}
	for _, id := range u.order[:last] {
		u.exchange(client, u.jobs[id], "GET", "/work/"+id, nil)
	}
	return nil
}
