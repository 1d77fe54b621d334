package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/simulator"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
)

// users simulates clients that submit jobs with short tasks, cancel some, and poll all of them, finished jobs too.
type users struct {
	testbed *testbed
	rng     *rand.Rand

	stop            chan struct{}
	ended           chan struct{}
	useDependencies atomic.Bool // whether new jobs depend on others
	responses       gapTimer    // records successful responses

	mu     sync.Mutex
	jobs   map[string]*userJob
	jobIDs []string
}

// userJob is a job and what the responses about it have said.
type userJob struct {
	spec            jobs.Spec
	accepted        bool
	done            bool
	cancelled       bool
	cancelRequested bool // a cancellation was sent; the response may have been lost
	dependencies    []*userJob
}

// isCancellationExpected reports whether a cancellation of the job, or of a direct or indirect dependency, was requested.
func (j *userJob) isCancellationExpected() bool {
	return j.cancelRequested || slices.ContainsFunc(j.dependencies, (*userJob).isCancellationExpected)
}

// maxOpenJobs is the number of unfinished jobs at which users stop submitting new ones.
const maxOpenJobs = 24

// run submits jobs and sends requests about them until stop is closed.
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

// randomJob returns a random job that matches, nil if none does.
func (u *users) randomJob(matches func(*userJob) bool) *userJob {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.jobIDs) == 0 {
		return nil
	}
	from := u.rng.IntN(len(u.jobIDs))
	for i := range u.jobIDs {
		if j := u.jobs[u.jobIDs[(from+i)%len(u.jobIDs)]]; matches(j) {
			return j
		}
	}
	return nil
}

// count returns the number of jobs that match.
func (u *users) count(matches func(*userJob) bool) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, j := range u.jobs {
		if matches(j) {
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

// submit submits a new job, which may depend on up to two accepted jobs.
func (u *users) submit(client *http1.Client, number int) {
	// A third of the IDs are too long for the archive's index to hold them exactly.
	id := fmt.Sprintf("job-%06d", number)
	if u.rng.IntN(3) == 0 {
		id = fmt.Sprintf("job-2026%010d", number)
	}
	job := &userJob{spec: jobs.Spec{
		ID: id, Class: "short", Team: "red", Priority: jobs.Normal, Tasks: 1 + u.rng.IntN(12), CPUs: 0.5, MemoryGB: 1,
		Image: "i", ImageGB: 0.1, AllowsSpot: true, RunTimeEstimate: 200 * time.Millisecond,
	}}
	for range u.rng.IntN(3) {
		if dependency := u.randomJob(func(other *userJob) bool { return other.accepted }); dependency != nil && u.useDependencies.Load() {
			job.dependencies = append(job.dependencies, dependency)
			job.spec.Dependencies = append(job.spec.Dependencies, dependency.spec.ID)
			u.testbed.cloud.History.AddDependency(id, dependency.spec.ID, dependency.spec.Tasks)
		}
	}
	u.mu.Lock()
	u.jobs[id] = job
	u.jobIDs = append(u.jobIDs, id)
	u.mu.Unlock()
	u.send(client, job)
}

// send submits a job, for the first time or again.
func (u *users) send(client *http1.Client, job *userJob) {
	raw, err := codec.Marshal(simulator.SubmissionFields(job.spec))
	if err != nil {
		u.testbed.reportViolation("encode a submission: %v", err)
		return
	}
	u.exchange(client, job, "POST", "/work", raw)
}

// sendRandomRequest submits a job again that is not accepted yet. Then it polls a job, submits one again, or cancels one.
func (u *users) sendRandomRequest(client *http1.Client) {
	if j := u.randomJob(func(j *userJob) bool { return !j.accepted }); j != nil {
		u.send(client, j)
	}
	switch u.rng.IntN(12) {
	case 0:
		if j := u.randomJob(func(j *userJob) bool { return j.accepted }); j != nil {
			u.send(client, j)
		}
	case 1:
		if j := u.randomJob(func(j *userJob) bool { return j.accepted && !j.done && u.rng.IntN(10) == 0 }); j != nil {
			j.cancelRequested = true
			u.exchange(client, j, "POST", "/work/"+j.spec.ID+"/withdraw", nil)
		}
	case 2, 3, 4: // a finished job
		if j := u.randomJob(func(j *userJob) bool { return j.done || j.cancelled }); j != nil {
			u.exchange(client, j, "GET", "/work/"+j.spec.ID, nil)
		}
	default:
		if j := u.randomJob(func(j *userJob) bool { return j.accepted && !j.done && !j.cancelled }); j != nil {
			u.exchange(client, j, "GET", "/work/"+j.spec.ID, nil)
		}
	}
}

// jobResponse is the response to a submission, a poll or a cancellation.
type jobResponse struct {
	State string `msgpack:"trim"`
	Done  *int   `msgpack:"done"`
}

// exchange sends a request about a job to a random controller and checks the response.
func (u *users) exchange(client *http1.Client, job *userJob, method, target string, body []byte) {
	response, err := client.Do(u.testbed.publicAddrs[u.rng.IntN(controllerCount)], method, target, body, 2*time.Second)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var reported jobResponse
	switch {
	case response.Status == http.StatusNotFound, response.Status == http.StatusBadRequest,
		response.Status == http.StatusUnprocessableEntity:
		if job.accepted {
			u.testbed.reportViolation("forgotten: %s %s got status %d, but the job was accepted", method, target, response.Status)
		}
	case response.Status/100 == 2 && codec.Unmarshal(response.Body, &reported) == nil:
		job.accepted = true
		u.responses.record(time.Now())
		u.checkResponse(job, method, reported)
	}
}

// checkResponse checks the state of a job in a response, and records it.
func (u *users) checkResponse(job *userJob, method string, reported jobResponse) {
	id, isDone := job.spec.ID, reported.State == "done"
	switch {
	case isDone && !job.done:
		job.done = true
		if n := u.testbed.cloud.History.CompletedTasks(id, job.spec.Tasks); n < job.spec.Tasks {
			u.testbed.reportViolation("not_done: %s is reported as done with %d of %d tasks completed", id, n, job.spec.Tasks)
		}
		if job.cancelled {
			u.testbed.reportViolation("went_back: %s is reported as done after it was cancelled", id)
		}
	case reported.State == "cancelled":
		if !job.isCancellationExpected() || job.done {
			u.testbed.reportViolation("went_back: %s is reported as cancelled; cancellation requested: %v, done before: %v",
				id, job.cancelRequested, job.done)
		}
		job.cancelled = true
	case !isDone && (job.done || job.cancelled):
		u.testbed.reportViolation("went_back: %s is reported as %s; done before: %v, cancelled before: %v",
			id, reported.State, job.done, job.cancelled)
	case isDone && reported.Done != nil && method == "GET" && *reported.Done != job.spec.Tasks:
		u.testbed.reportViolation("%s is done and reported with %d completed tasks, want %d", id, *reported.Done, job.spec.Tasks)
	}
}

// drain stops the submission of new jobs and waits until every job is done or cancelled. Then it polls every job once more.
func (u *users) drain(timeout time.Duration) error {
	close(u.stop)
	<-u.ended
	client := http1.NewClient(8, 2, http1.MaxBodyBytes)
	deadline := time.Now().Add(timeout)
	u.mu.Lock()
	submitted := len(u.jobIDs)
	u.mu.Unlock()
	for i := 0; i < submitted; {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: neither done nor cancelled within %v after the last kill", u.jobIDs[i], timeout)
		}
		u.mu.Lock()
		j := u.jobs[u.jobIDs[i]]
		ended := j.done || j.cancelled
		u.mu.Unlock()
		if ended {
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
	for _, id := range u.jobIDs[:submitted] {
		u.exchange(client, u.jobs[id], "GET", "/work/"+id, nil)
	}
	return nil
}
