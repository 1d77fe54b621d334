package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/wire/submissiontest"
)

// submitExtremeJobs submits a job for each amount in each field that has no bound in the protocol.
func (sim *Cluster) submitExtremeJobs() (count int) {
	const runTime = 2 * time.Second
	for _, field := range []string{"voyage_s", "image_gb", "mooring_s", "landfall_s"} {
		for _, amount := range submissiontest.Amounts() {
			spec := jobArray(fmt.Sprintf("job-7%05d", count), "extreme", noTeam, 2, runTime)
			sim.Users.SubmitExtreme(spec, runTime, field, amount)
			count++
		}
	}
	nothing := jobArray(fmt.Sprintf("job-7%05d", count), "extreme", noTeam, 2, runTime)
	nothing.CPUs, nothing.MemoryGB = 0, 0
	sim.Users.SubmitJob(nothing, runTime)
	return count + 1
}

// Submissions with every amount that the protocol allows are accepted, survive failovers and run to their end. A submission that is
// repeated in another spelling, at any controller, gets the state of the same job, also after the job is archived.
func TestSoundSubmissionsRunToTheirEnd(t *testing.T) {
	forEachSeed(t, 2, pipelineCluster, func(sim scenario) {
		count := sim.submitExtremeJobs()
		sim.Run(3 * time.Second)
		sim.repeatSubmissions()
		sim.Crash(max(sim.LeaderIndex(), 0), time.Second)
		sim.Run(time.Minute)
		sim.Crash(max(sim.LeaderIndex(), 0), time.Second)
		sim.Run(8 * time.Minute)
		if accepted := sim.Users.AcceptedCount(); accepted != count {
			sim.t.Errorf("accepted jobs: got %d, want %d", accepted, count)
		}
		if unfinished := sim.Users.UnfinishedCount(); unfinished > 0 {
			sim.t.Errorf("unfinished jobs: got %d, want 0", unfinished)
		}
		sim.repeatSubmissions()
		sim.Run(10 * time.Second)
	})
}

// repeatSubmissions submits every job again, in other spellings, several times, so that each controller gets some.
func (sim *Cluster) repeatSubmissions() {
	for range 3 {
		for _, jobID := range sim.Users.jobIDs {
			sim.Users.sendSubmission(sim.checker.jobs[jobID].spec, sim.Now)
		}
	}
}

// The explanation of a job with an extreme amount is a sound message too.
func TestExtremeJobsAreExplained(t *testing.T) {
	sim := pipelineCluster(t, 1)
	count := sim.submitExtremeJobs()
	sim.Run(3 * time.Second)
	for i := range count {
		jobID := fmt.Sprintf("job-7%05d", i)
		explanation, ok := sim.explainWithin(2*time.Second, jobID)
		if !ok || explanation.ID != jobID || explanation.CPUSecondsAhead < 0 || explanation.FirstStartBoundSeconds < 0 {
			t.Errorf("explain %s: got %+v, answered %v, want no negative time", jobID, explanation, ok)
		}
	}
	expectNoViolations(t, sim.Cluster)
}
