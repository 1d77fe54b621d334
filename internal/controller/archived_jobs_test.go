package controller

import (
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/server"
)

// userClient sends requests of users to a leader and decodes the responses.
type userClient struct {
	controller *Controller
	service    *fakeStateService
}

// userResponse has the fields of a response that these tests check.
type userResponse struct {
	Status    int    `msgpack:"-"`
	State     string `msgpack:"trim"`
	DoneTasks *int   `msgpack:"done"`
}

func (u userClient) send(t *testing.T, now time.Time, method, target string, body any) userResponse {
	t.Helper()
	u.controller.holdsLease = true
	u.controller.route(now, &server.Request{Method: method, Target: target, Body: marshal(t, body)})
	u.service.respondToAllCalls(t, now, u.controller)
	reply := u.controller.takeResponse(t)
	var response userResponse
	unmarshal(t, reply.Body, &response)
	response.Status = reply.Status
	return response
}

// query queries the state of a job.
func (u userClient) query(t *testing.T, now time.Time, id string) userResponse {
	t.Helper()
	return u.send(t, now, "GET", "/work/"+id, nil)
}

// archivedJob is a finished job: completed, or cancelled without any attempts left on machines.
type archivedJob struct {
	id        string
	tasks     int
	cancelled bool
}

func (j archivedJob) state() string {
	if j.cancelled {
		return "cancelled"
	}
	return "done"
}

func (j archivedJob) doneTasks() int {
	if j.cancelled {
		return 0
	}
	return j.tasks
}

var archivedJobs = []archivedJob{
	{id: "job-000001", tasks: 7},
	{id: "job-000002", tasks: 8, cancelled: true},
	{id: "job-20261201121026", tasks: 9},
	{id: "job-20261201121027", tasks: 10, cancelled: true},
}

// archiveJobs finishes the jobs and returns the time by which they are archived.
func archiveJobs(t *testing.T, now time.Time, controller *Controller, service *fakeStateService) time.Time {
	t.Helper()
	l := controller.leadership
	for _, archived := range archivedJobs {
		job := jobs.New(jobs.Spec{ID: archived.id, Tasks: archived.tasks}, now)
		l.jobStore.Add(job)
		job.State = jobs.Accepted
		for task := range job.Tasks {
			job.RecordTaskDone(task)
		}
		if archived.cancelled {
			job.State = jobs.Cancelled
		}
		l.jobStore.FinishIfDone(now, job)
	}
	for range 20 {
		now = now.Add(2 * time.Second)
		l.jobStore.Tick(now, &controller.outbox)
		l.jobStore.Save(now, true)
		l.storage.Flush(now, &controller.outbox)
		service.respondToCalls(t, now, controller)
	}
	if finished, inArchive := l.jobStore.FinishedCount(), l.jobStore.Archive().JobCount(); finished != len(archivedJobs) ||
		inArchive != len(archivedJobs) {
		t.Fatalf("jobs: got %d finished, %d archived, want %d, %[3]d", finished, inArchive, len(archivedJobs))
	}
	return now
}

// TestQueriesOfArchivedJobs checks that queries of archived jobs get the same responses as before the jobs were
// archived. The task counts are read back from the state service. While that fails, the status is 503 at first. In a long
// outage the response has the state without counts, since a job whose queries fail for 90 s is considered lost.
func TestQueriesOfArchivedJobs(t *testing.T) {
	now := time.Unix(10_000, 0)
	options := config.DefaultOptions()
	options.ArchiveDelay, options.MinSegmentJobs = time.Second, 2
	controller, service := newTestLeader(now, options), newFakeStateService()
	controller.holdsLease = true
	controller.loadState(t, now, service)
	controller.leadership.cloud.MachineTypes = map[string]*cloud.MachineType{
		"small": {Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}},
	}
	now = archiveJobs(t, now, controller, service)
	user := userClient{controller, service}

	service.unavailable = true
	if response := user.query(t, now, "job-000001"); response.Status != 503 {
		t.Errorf("query while the counts cannot be read: got %+v, want status 503", response)
	}
	now = now.Add(25 * time.Second)
	if response := user.query(t, now, "job-000001"); response.Status != 200 || response.State != "done" || response.DoneTasks != nil {
		t.Errorf("query 25 s into an outage: got %+v, want status 200, done, no count of done tasks", response)
	}
	if response := user.query(t, now, "job-000002"); response.Status != 200 || response.State != "cancelled" {
		t.Errorf("query of a cancelled job in an outage: got %+v, want status 200, cancelled", response)
	}

	service.unavailable = false
	for _, job := range archivedJobs {
		checkArchivedJob(t, now, user, job)
	}

	now = now.Add(time.Second) // the rate of reads is limited
	for _, id := range []string{"job-1", "job-01", "job-0000001", "job-20261201121028"} {
		if response := user.query(t, now, id); response.Status != 404 {
			t.Errorf("query of the unknown job %s: got %+v, want status 404", id, response)
		}
	}
}

// checkArchivedJob queries, cancels and resubmits an archived job. All responses contain its final state.
func checkArchivedJob(t *testing.T, now time.Time, user userClient, job archivedJob) {
	t.Helper()
	response := user.query(t, now, job.id)
	if response.Status != 200 || response.State != job.state() || response.DoneTasks == nil || *response.DoneTasks != job.doneTasks() {
		t.Errorf("query of %s: got %+v, want status 200, %s, %d done tasks", job.id, response, job.state(), job.doneTasks())
	}
	if response := user.send(t, now, "POST", "/work/"+job.id+"/withdraw", nil); response.Status != 200 || response.State != job.state() {
		t.Errorf("cancel %s: got %+v, want status 200, %s", job.id, response, job.state())
	}
	submission := map[string]any{"id": job.id}
	if response := user.send(t, now, "POST", "/work", submission); response.Status != 200 || response.State != job.state() {
		t.Errorf("submit %s again: got %+v, want status 200, %s", job.id, response, job.state())
	}
}
