package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/submissiontest"
)

// Users simulates users who submit jobs, poll them and cancel some.
type Users struct {
	sim              *Cluster
	nextJob          int
	jobIDs           []string
	invalidRequests  int     // invalid requests sent so far
	cancelAtEndShare float64 // share of jobs cancelled when their last task completes, 0 to 1
	cancelAtEndUntil time.Time
	slowestResponse  time.Duration // longest time between a request and its response
	spelling         *rand.Rand    // random choices in the bodies of submissions; the seed of the run determines them
}

// noTeam is the team of jobs in clusters whose platform configures no teams.
const noTeam = "none"

func newUsers(sim *Cluster, seed uint64) *Users {
	return &Users{sim: sim, spelling: rand.New(rand.NewPCG(seed, 55))}
}

// Submission is the body of a submission, keyed by the field names on the wire. It is a map so that tests can omit fields or send fields
// of a wrong type.
type Submission map[string]any

// SubmissionFields returns the body that submits a job. Optional fields without a value are omitted.
func SubmissionFields(spec jobs.Spec) Submission {
	kind := "array"
	if spec.IsService {
		kind = "service"
	}
	fields := Submission{
		"id":        spec.ID,
		"berth":     spec.Class,
		"crew":      spec.Team,
		"rig":       kind,
		"heading":   [...]string{"best_effort", "standard", "high", "critical"}[spec.Priority],
		"strokes":   spec.Tasks,
		"cpus":      spec.CPUs,
		"cards":     spec.GPUs,
		"mem_gb":    spec.MemoryGB,
		"hull":      spec.Image,
		"image_gb":  spec.ImageGB,
		"one_zone":  spec.SingleZone,
		"spread":    spec.SpreadAcrossZones,
		"driftwood": spec.AllowsSpot,
		"voyage_s":  spec.RunTimeEstimate.Seconds(),
		"mooring_s": spec.CheckpointInterval.Seconds(),
		"tieup_s":   spec.CheckpointDuration.Seconds(),
	}
	if len(spec.Dependencies) > 0 {
		fields["tows"] = spec.Dependencies
	}
	if spec.Deadline > 0 {
		fields["landfall_s"] = spec.Deadline.Seconds()
	}
	if spec.Zone != "" {
		fields["harbour"] = spec.Zone
	}
	if len(spec.MachineTypes) > 0 {
		fields["keels"] = spec.MachineTypes
	}
	return fields
}

// SubmitRandom submits a job with random properties. Later its user may cancel it or submit it again. Every service is cancelled.
func (u *Users) SubmitRandom() {
	rng := u.sim.Rand
	spec, runTime := u.randomSpec()
	u.registerJob(spec, runTime)
	if u.spelling.IntN(extremeJobInterval) == 0 {
		u.sim.checker.jobs[spec.ID].otherFields = u.tinyAmounts(spec)
	}
	u.sendSubmission(spec, u.sim.Now)
	if rng.IntN(5) == 0 || spec.IsService {
		u.sim.At(time.Duration(rng.IntN(40))*time.Second, func() { u.cancel(spec.ID) })
	}
	if rng.IntN(4) == 0 {
		u.sim.At(time.Duration(rng.IntN(90))*time.Second, func() { u.sendSubmission(spec, u.sim.Now) })
	}
}

const (
	defaultMaxTasks = 9                // maximum for a random job
	serviceRunTime  = 1000 * time.Hour // longer than any run
)

// randomSpec returns a random job and the run time of its tasks.
func (u *Users) randomSpec() (spec jobs.Spec, runTime time.Duration) {
	r := u.sim.Rand
	runTime = time.Duration(1+r.IntN(12)) * time.Second
	spec = jobs.Spec{
		ID:              fmt.Sprintf("job-%06d", u.nextJob),
		Class:           fmt.Sprintf("class-%d", r.IntN(3)),
		Priority:        jobs.Priority(r.IntN(4)),
		Tasks:           1 + r.IntN(cmp.Or(u.sim.Options.MaxTasks, defaultMaxTasks)),
		CPUs:            float64(1 + r.IntN(3)),
		MemoryGB:        2,
		Image:           "img",
		ImageGB:         1,
		AllowsSpot:      r.IntN(3) > 0,
		SingleZone:      r.IntN(6) == 0,
		RunTimeEstimate: runTime,
		Team:            noTeam,
	}
	if u.nextJob%3 == 0 { // longer than the IDs that the archive's index stores exactly
		spec.ID = fmt.Sprintf("job-%014d", u.nextJob)
	}
	u.nextJob++
	if len(u.sim.Options.Teams) > 0 {
		spec.Team = u.sim.Options.Teams[r.IntN(len(u.sim.Options.Teams))].Name
	}
	if !spec.SingleZone && r.IntN(6) == 0 {
		spec.SpreadAcrossZones = true
	}
	if r.IntN(8) == 0 && !spec.SpreadAcrossZones {
		spec.Zone = "b"
	}
	if r.IntN(8) == 0 {
		spec.MachineTypes = []string{"small"}
	}
	if r.IntN(3) == 0 {
		spec.Deadline = 3*runTime + 10*time.Second
	}
	if r.IntN(3) == 0 {
		spec.CheckpointInterval, spec.CheckpointDuration = 2*time.Second, time.Second
	}
	if r.IntN(12) == 0 {
		spec.IsService, spec.Tasks, spec.Deadline, spec.RunTimeEstimate = true, 1+r.IntN(2), 0, 0
		runTime = serviceRunTime
	}
	if r.IntN(3) == 0 {
		spec.Dependencies = u.randomDependencies(1 + r.IntN(2))
	}
	return spec, runTime
}

// SubmitJob submits a job whose tasks have the given run time, and polls it once it is accepted.
func (u *Users) SubmitJob(spec jobs.Spec, runTime time.Duration) {
	u.registerJob(spec, runTime)
	u.sendSubmission(spec, u.sim.Now)
}

// registerJob adds a job that is about to be submitted.
func (u *Users) registerJob(spec jobs.Spec, runTime time.Duration) {
	u.sim.checker.jobs[spec.ID] = &observedJob{spec: spec, runTime: runTime, completedTasks: map[int]bool{}, submittedAt: u.sim.Now}
	u.jobIDs = append(u.jobIDs, spec.ID)
}

// request sends a request to a random controller. respond receives the status and state of the response and the time at which the request
// was sent. The status is 0 if there is no response within 5 s.
func (u *Users) request(method, path string, body any, respond func(status int, state string, sentAt time.Time)) {
	name := controllerName(u.sim.Rand.IntN(u.sim.Options.Controllers))
	sentAt := u.sim.Now
	raw, err := encode(body)
	if err != nil {
		u.sim.reportViolation(RuleMalformed, "a request cannot be encoded: %v", err)
		return
	}
	settled := false
	settle := func(status int, state string) {
		if !settled {
			settled = true
			respond(status, state, sentAt)
		}
	}
	u.sim.At(5*time.Second, func() { settle(0, "") })
	delay, ok := u.sim.messageDelay(userHost, name)
	if !ok {
		return
	}
	u.sim.At(delay, func() {
		request := controllerRequest{controller: name, method: method, path: path, body: raw}
		u.sim.deliverRequest(request, func(status int, body any) {
			delay, ok := u.sim.messageDelay(name, userHost)
			if !ok {
				return
			}
			u.sim.At(delay, func() {
				var response struct {
					ID    string `msgpack:"id"`
					State string `msgpack:"trim"`
				}
				u.slowestResponse = max(u.slowestResponse, u.sim.Now.Sub(sentAt))
				if raw, err := encode(body); err == nil && status/100 == 2 && codec.Unmarshal(raw, &response) != nil {
					u.sim.reportViolation(RuleMalformed, "a response cannot be decoded")
				}
				settle(status, response.State)
			})
		})
	})
}

// sendSubmission submits a job. It retries every second, up to a minute after since, if there is no response or one that asks to retry.
func (u *Users) sendSubmission(spec jobs.Spec, since time.Time) {
	job := u.sim.checker.jobs[spec.ID]
	job.isSubmitted = true
	fields := SubmissionFields(spec)
	maps.Copy(fields, job.otherFields)
	body := preEncoded(submissiontest.Encode(u.spelling, submissiontest.Fields(fields)))
	u.request("POST", "/work", body, func(status int, state string, sentAt time.Time) {
		if status == http.StatusBadRequest {
			u.sim.reportViolation(RuleValidRefused, "the submission of %s got status 400: %x", spec.ID, []byte(body))
		}
		switch {
		case status == http.StatusOK || status == http.StatusCreated:
			u.sim.checker.jobStateReceived(spec.ID, state, sentAt)
			u.sim.At(2*time.Second, func() { u.poll(spec.ID) })
		case status == http.StatusBadRequest || status == http.StatusUnprocessableEntity:
			u.sim.checker.checkForgotten(spec.ID, sentAt, status)
		case u.sim.Now.Sub(since) < time.Minute:
			u.sim.At(time.Second, func() { u.sendSubmission(spec, since) })
		}
	})
}

// poll requests the state of a job repeatedly: every 3 s, and every 25 s once the state is final.
func (u *Users) poll(jobID string) {
	u.request("GET", "/work/"+jobID, nil, func(status int, state string, sentAt time.Time) {
		switch status {
		case http.StatusOK:
			u.sim.checker.jobStateReceived(jobID, state, sentAt)
		case http.StatusNotFound:
			u.sim.checker.checkForgotten(jobID, sentAt, status)
		default:
			u.sim.checker.checkPollFailures(jobID)
		}
		pollInterval := 3 * time.Second
		if state == "done" || state == "cancelled" {
			if u.sim.Options.StopPollingFinished {
				return
			}
			pollInterval = 25 * time.Second
		}
		u.sim.At(pollInterval, func() { u.poll(jobID) })
	})
}

// cancel requests the cancellation of a job once it is accepted. It retries until there is a response.
func (u *Users) cancel(jobID string) {
	j := u.sim.checker.jobs[jobID]
	if j.acceptedAt.IsZero() {
		u.sim.At(3*time.Second, func() { u.cancel(jobID) })
		return
	}
	j.cancelRequested = true
	u.request("POST", "/work/"+jobID+"/withdraw", nil, func(status int, state string, sentAt time.Time) {
		switch status {
		case http.StatusOK:
			u.sim.checker.jobStateReceived(jobID, state, sentAt)
		case http.StatusNotFound:
			u.sim.checker.checkForgotten(jobID, sentAt, status)
		default:
			u.sim.At(time.Second, func() { u.cancel(jobID) })
		}
	})
}

// CancelRandom cancels up to limit random unfinished jobs within 500 ms.
func (u *Users) CancelRandom(limit int) {
	var candidates []string
	for _, id := range u.jobIDs {
		if j := u.sim.checker.jobs[id]; !j.acceptedAt.IsZero() && j.finishedAt.IsZero() && !j.cancelRequested &&
			len(j.completedTasks) < j.spec.Tasks {
			candidates = append(candidates, id)
		}
	}
	u.sim.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, id := range candidates[:min(limit, len(candidates))] {
		u.sim.At(time.Duration(u.sim.Rand.IntN(500))*time.Millisecond, func() { u.cancel(id) })
	}
}

// CancelledCount returns the number of jobs whose users learned that they are cancelled.
func (u *Users) CancelledCount() int {
	return u.countJobs(func(j *observedJob) bool { return !j.cancelledAt.IsZero() })
}

// countJobs returns the number of submitted jobs that match a condition.
func (u *Users) countJobs(matches func(*observedJob) bool) int {
	n := 0
	for _, id := range u.jobIDs {
		if matches(u.sim.checker.jobs[id]) {
			n++
		}
	}
	return n
}

// QueryUnknownJob requests the state of a job that no user has submitted. A response with a state breaks RuleInvented.
func (u *Users) QueryUnknownJob() {
	id := fmt.Sprintf("job-9%05d", u.sim.Rand.IntN(100000))
	u.request("GET", "/work/"+id, nil, func(status int, state string, sentAt time.Time) {
		if status == http.StatusOK {
			u.sim.checker.jobStateReceived(id, state, sentAt)
		}
	})
}

// UnfinishedCount returns the number of accepted jobs whose users have not learned that they are done or cancelled. Services do not count.
func (u *Users) UnfinishedCount() int {
	return u.countJobs(func(j *observedJob) bool {
		return !j.acceptedAt.IsZero() && j.finishedAt.IsZero() && j.cancelledAt.IsZero() && !j.spec.IsService
	})
}

// AcceptedCount returns the number of jobs whose users learned that they are accepted.
func (u *Users) AcceptedCount() int {
	return u.countJobs(func(j *observedJob) bool { return !j.acceptedAt.IsZero() })
}
