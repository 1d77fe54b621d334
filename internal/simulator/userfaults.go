package simulator

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// CancelAsJobsEnd makes users cancel a share of the jobs whose last task completes within the span, within 700 ms of that completion.
func (u *Users) CancelAsJobsEnd(share float64, span time.Duration) {
	u.cancelAtEndShare, u.cancelAtEndUntil = share, u.sim.Now.Add(span)
	u.sim.extendFaults(span)
}

// allTasksCompleted cancels a share of the jobs whose last task has just completed, while CancelAsJobsEnd is active.
func (u *Users) allTasksCompleted(jobID string) {
	if j := u.sim.checker.jobs[jobID]; u.sim.Now.Before(u.cancelAtEndUntil) && !j.acceptedAt.IsZero() && !j.cancelRequested &&
		u.sim.Rand.Float64() < u.cancelAtEndShare {
		u.sim.At(time.Duration(u.sim.Rand.IntN(700))*time.Millisecond, func() { u.cancel(jobID) })
	}
}

// CancelLongest cancels up to limit running jobs within 200 ms, those with the most work left. If hang is positive, up to eight of
// their machines hang for that time afterwards.
func (u *Users) CancelLongest(limit int, hang time.Duration) {
	remainingWork := func(id string) time.Duration {
		job := u.sim.checker.jobs[id]
		return time.Duration(job.spec.Tasks-len(job.completedTasks)) * job.runTime
	}
	var running []string
	machines := map[string][]*machine{}
	for _, id := range u.jobIDs {
		job := u.sim.checker.jobs[id]
		if job.acceptedAt.IsZero() || job.cancelRequested || len(job.completedTasks) == job.spec.Tasks {
			continue
		}
		for t := range job.spec.Tasks {
			machines[id] = append(machines[id], u.sim.checker.placements[jobs.TaskID{JobID: id, Index: t}]...)
		}
		if len(machines[id]) > 0 {
			running = append(running, id)
		}
	}
	slices.SortStableFunc(running, func(a, b string) int { return cmp.Compare(remainingWork(b), remainingWork(a)) })
	hung := 0
	for _, id := range running[:min(limit, len(running))] {
		u.sim.At(time.Duration(u.sim.Rand.IntN(200))*time.Millisecond, func() { u.cancel(id) })
		for _, m := range machines[id] {
			if hung < 8 && hang > 0 && u.sim.Now.After(m.hangsUntil) {
				hung++
				u.sim.At(200*time.Millisecond, func() { m.hangsUntil = u.sim.Now.Add(hang) })
			}
		}
	}
	if hung > 0 {
		u.sim.extendFaults(hang + 200*time.Millisecond)
	}
}

// SendInvalidRequest sends a random request that must have no effect or must be rejected: a repeated submission, the cancellation of a job
// that is done, a job that fits no machine, or a job that lacks a field.
func (u *Users) SendInvalidRequest() {
	rng := u.sim.Rand
	pickJob := func(matches func(*observedJob) bool) string {
		for range 8 {
			if len(u.jobIDs) > 0 {
				if id := u.jobIDs[rng.IntN(len(u.jobIDs))]; matches(u.sim.checker.jobs[id]) {
					return id
				}
			}
		}
		return ""
	}
	spec := jobs.Spec{
		ID:              fmt.Sprintf("job-8%06d", u.invalidRequests),
		Class:           "odd",
		Team:            noTeam,
		Tasks:           1,
		CPUs:            1,
		MemoryGB:        1,
		Image:           "i",
		AllowsSpot:      true,
		RunTimeEstimate: time.Second,
	}
	if len(u.sim.Options.Teams) > 0 {
		spec.Team = u.sim.Options.Teams[0].Name
	}
	u.invalidRequests++
	switch rng.IntN(4) {
	case 0:
		if id := pickJob(func(j *observedJob) bool { return !j.acceptedAt.IsZero() && j.finishedAt.IsZero() }); id != "" {
			u.sendSubmission(u.sim.checker.jobs[id].spec, u.sim.Now)
		}
	case 1:
		if id := pickJob(func(j *observedJob) bool { return !j.finishedAt.IsZero() }); id != "" {
			u.cancel(id)
		}
	case 2:
		spec.CPUs = 1000
		u.expectRejected(spec.ID, SubmissionFields(spec), http.StatusUnprocessableEntity)
	default:
		fields := SubmissionFields(spec)
		fieldNames := []string{
			"berth", "crew", "rig", "heading", "strokes", "cpus", "cards", "mem_gb", "hull", "image_gb", "one_zone", "spread",
			"driftwood", "voyage_s", "mooring_s", "tieup_s",
		}
		delete(fields, fieldNames[rng.IntN(len(fieldNames))])
		u.expectRejected(spec.ID, fields, http.StatusBadRequest)
	}
}

// expectRejected submits an invalid job. The response must have the wanted status, or one that asks to retry; no response is allowed too.
func (u *Users) expectRejected(jobID string, fields Submission, wantStatus int) {
	u.request("POST", "/work", fields, func(status int, _ string, _ time.Time) {
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != wantStatus {
			u.sim.reportViolation(RuleInvalidAccepted, "the submission of %s got status %d, want %d", jobID, status, wantStatus)
		}
	})
}
