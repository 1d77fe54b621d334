package simulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// CutOutbound makes up to count machines outbound unreachable: no heartbeat of theirs arrives, direct commands reach them and are answered.
func (c *Cloud) CutOutbound(count int, span time.Duration) {
	for _, m := range c.randomMachines(count) {
		m.outboundCutUntil = c.sim.Now.Add(span)
	}
	c.sim.extendFaults(span)
}

// CutZone cuts a zone with its machines, and the controllers inside it, off from everything outside.
func (sim *Cluster) CutZone(zone string, inside []int, span time.Duration) {
	for i := range sim.controllers {
		in := slices.Contains(inside, i)
		if in {
			sim.IsolateController(i, FromState|FromUsers|FromCloud, span)
		}
		for j := range sim.controllers {
			if in != slices.Contains(inside, j) {
				sim.CutLink(controllerName(i), controllerName(j), span)
			}
		}
		for _, m := range sim.Cloud.runningMachines() {
			if (m.zone == zone) != in {
				sim.CutLink(controllerName(i), m.id, span)
			}
		}
	}
}

// CancelAsJobsEnd makes users cancel a share of the jobs whose last task completes within the span, at that moment.
func (u *Users) CancelAsJobsEnd(share float64, span time.Duration) {
	u.cancelAtEndShare, u.cancelAtEndUntil = share, u.sim.Now.Add(span)
	u.sim.extendFaults(span)
}

// jobEnded may cancel a job whose last task has just completed.
func (u *Users) jobEnded(jobID string) {
	if j := u.sim.checker.jobs[jobID]; u.sim.Now.Before(u.cancelAtEndUntil) && !j.acceptedAt.IsZero() && !j.cancelRequested && u.sim.Rand.Float64() < u.cancelAtEndShare {
		u.sim.At(time.Duration(u.sim.Rand.IntN(700))*time.Millisecond, func() { u.cancel(jobID) })
	}
}

// CancelLongest cancels up to most running jobs, those with the most work left, within 0.2 s; up to
// eight of their machines then hang for a while.
func (u *Users) CancelLongest(most int, hang time.Duration) {
	left := func(id string) time.Duration {
		j := u.sim.checker.jobs[id]
		return time.Duration(j.spec.Tasks-len(j.completedTasks)) * j.runTime
	}
	var list []string
	on := map[string][]*machine{}
	for _, id := range u.jobIDs {
		j := u.sim.checker.jobs[id]
		if j.acceptedAt.IsZero() || j.cancelRequested || len(j.completedTasks) == j.spec.Tasks {
			continue
		}
		for t := range j.spec.Tasks {
			on[id] = append(on[id], u.sim.checker.placements[jobs.TaskID{JobID: id, Index: t}]...)
		}
		if len(on[id]) > 0 {
			list = append(list, id)
		}
	}
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(left(b), left(a)) })
	hung := 0
	for _, id := range list[:min(most, len(list))] {
		u.sim.At(time.Duration(u.sim.Rand.IntN(200))*time.Millisecond, func() { u.cancel(id) })
		for _, m := range on[id] {
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

// SendInvalidRequest sends a random request that has no effect or has to be rejected: a repeated submission, the cancellation of a job that is
// done, a job that fits no machine, a job that lacks a field.
func (u *Users) SendInvalidRequest() {
	r := u.sim.Rand
	pick := func(counts func(*observedJob) bool) string {
		for range 8 {
			if len(u.jobIDs) > 0 {
				if id := u.jobIDs[r.IntN(len(u.jobIDs))]; counts(u.sim.checker.jobs[id]) {
					return id
				}
			}
		}
		return ""
	}
	s := jobs.Spec{
		ID:              fmt.Sprintf("job-8%06d", u.invalidRequests),
		Class:           "odd",
		Team:            "none",
		Tasks:           1,
		CPUs:            1,
		MemoryGB:        1,
		Image:           "i",
		AllowsSpot:      true,
		RunTimeEstimate: time.Second,
	}
	if len(u.sim.Options.Teams) > 0 {
		s.Team = u.sim.Options.Teams[0].Name
	}
	u.invalidRequests++
	switch r.IntN(4) {
	case 0:
		if id := pick(func(j *observedJob) bool { return !j.acceptedAt.IsZero() && j.finishedAt.IsZero() }); id != "" {
			u.sendSubmission(u.sim.checker.jobs[id].spec, u.sim.Now)
		}
	case 1:
		if id := pick(func(j *observedJob) bool { return !j.finishedAt.IsZero() }); id != "" {
			u.cancel(id)
		}
	case 2:
		s.CPUs = 1000
		u.mustReject(s.ID, SubmissionFields(s), 422)
	default:
		fields := SubmissionFields(s)
		names := []string{
			"berth", "crew", "rig", "heading", "strokes", "cpus", "cards", "mem_gb", "hull", "image_gb", "one_zone", "spread",
			"driftwood", "voyage_s", "mooring_s", "tieup_s",
		}
		delete(fields, names[r.IntN(len(names))])
		u.mustReject(s.ID, fields, 400)
	}
}

// mustReject submits a job that has to be rejected with the final status, or with one that asks to retry.
func (u *Users) mustReject(jobID string, fields map[string]any, final int) {
	u.request("POST", "/work", fields, func(status int, _ string, _ time.Time) {
		if status != 0 && status != 503 && status != 429 && status != final {
			u.sim.reportViolation("accepted though it cannot run, or refused wrongly: %s is answered %d, not %d", jobID, status, final)
		}
	})
}

// maxStartableWait is how long a job may be left waiting once all troubles are over, while a machine that fits has room and
// its team is under its limit.
const maxStartableWait = 90 * time.Second

// watchQueue looks every two seconds, with the world's own eyes, for jobs that are left waiting.
func (checker *invariantChecker) watchQueue() {
	checker.sim.At(2*time.Second, func() {
		if checker.sim.Now.After(checker.sim.faultsUntil) {
			checker.checkStartableJobs()
		}
		checker.watchQueue()
	})
}

func (checker *invariantChecker) checkStartableJobs() {
	busy := map[jobs.TaskID]bool{}
	used := map[string]float64{}
	machines := checker.sim.Cloud.runningMachines()
	room := map[*machine][2]float64{}
	for _, h := range machines {
		cpus, mem := h.machineType.CPUs, h.machineType.MemoryGB
		for _, t := range h.tasks {
			busy[t.key] = true
			if j := checker.jobs[t.key.JobID]; j != nil && t.reason == "" {
				cpus, mem = cpus-j.spec.CPUs, mem-j.spec.MemoryGB
				used[j.spec.Team] += j.spec.CPUs
			}
		}
		room[h] = [2]float64{cpus, mem}
	}
	for _, id := range checker.sim.Users.jobIDs {
		j := checker.jobs[id]
		// It has to be one machine that has room all the time: in a shortage each has some for a moment, until its next report.
		now := checker.machinesThatFit(id, j, busy, used, machines, room)
		if j.startableSince.Before(checker.sim.faultsUntil) || len(j.fittingMachines) == 0 { // what came before the end of the last trouble does not count
			j.startableSince, j.fittingMachines = checker.sim.Now, now
		}
		j.fittingMachines = slices.DeleteFunc(j.fittingMachines, func(h *machine) bool { return !slices.Contains(now, h) })
		if len(j.fittingMachines) == 0 {
			j.startableSince = time.Time{}
			continue
		}
		if waits := checker.sim.Now.Sub(j.startableSince); waits > maxStartableWait {
			checker.sim.reportViolation("left waiting: %s for %v while a machine that fits has room", id, waits.Round(time.Second))
		}
	}
}

// machinesThatFit lists the machines that have room for a task of the job that waits, none if no task waits.
func (checker *invariantChecker) machinesThatFit(
	id string,
	j *observedJob,
	busy map[jobs.TaskID]bool,
	used map[string]float64,
	machines []*machine,
	room map[*machine][2]float64,
) []*machine {
	s := j.spec
	if j.acceptedAt.IsZero() || j.cancelRequested || j.alwaysFails || !j.cancelledAt.IsZero() ||
		checker.anyDependency(id, func(x *observedJob) bool { return x.finishedAt.IsZero() }) {
		return nil
	}
	waits := false
	zones, there := map[string]int{}, 0
	for t := range s.Tasks {
		k := jobs.TaskID{JobID: id, Index: t}
		waits = waits || !j.completedTasks[t] && !busy[k]
		for _, h := range checker.placements[k] {
			if checker.mayHoldTasks(h) {
				zones[h.zone]++
				there++
			}
		}
	}
	if !waits {
		return nil
	}
	for _, t := range checker.sim.Options.Teams {
		if t.Name == s.Team && t.CPULimit > 0 && used[s.Team]+s.CPUs > t.CPULimit {
			return nil
		}
	}
	return slices.DeleteFunc(slices.Clone(machines), func(h *machine) bool {
		r := room[h]
		return !(h.reclaimAt.IsZero() && !h.isFaulty && !h.failedJobs[id] && h.allowsJob(s) && r[0] >= s.CPUs && r[1] >= s.MemoryGB &&
			(!s.SingleZone || there == zones[h.zone]) && (!s.SpreadAcrossZones || zones[h.zone] < (s.Tasks+1)/2))
	})
}

// allowsJob reports whether tasks of the job may be on the machine at all.
func (m *machine) allowsJob(spec jobs.Spec) bool {
	return (len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, m.machineType.Name)) && (spec.Zone == "" || spec.Zone == m.zone) &&
		(!m.spot || spec.AllowsSpot)
}
