package simulator

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/controller"
	"gullrudder/internal/wire/codec"
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
func TestValidSubmissionsRunToTheirEnd(t *testing.T) {
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

// Responses with start commands and direct commands are held up on their way for up to a lease and longer, and delivered then. Their jobs
// are cancelled meanwhile, by the leader that sent the commands or by the next one. No task may start or run later than the time for a
// cancellation.
func TestHeldUpStartsDoNotRunAfterCancellation(t *testing.T) {
	for _, hold := range []time.Duration{
		2 * time.Second, 3900 * time.Millisecond, 7500 * time.Millisecond, 9 * time.Second, 30 * time.Second,
	} {
		t.Run(hold.String(), func(t *testing.T) {
			forEachSeed(t, 4, pipelineCluster, func(sim scenario) {
				sim.Users.SubmitJob(jobArray("job-1", "first", noTeam, 100, 2*time.Second), 2*time.Second)
				sim.Run(12 * time.Second) // the machines are idle then
				sim.Options.LateShare = 1 // messages that are sent during a cut arrive after it
				for _, m := range sim.Cloud.runningMachines() {
					for i := range sim.controllers {
						sim.CutLinkOneWay(controllerName(i), m.id, hold)
					}
				}
				for i := range 4 {
					spec := jobArray(fmt.Sprintf("job-2%d", i), "held", noTeam, 20, time.Minute)
					sim.Users.SubmitJob(spec, time.Minute)
				}
				sim.Run(2500 * time.Millisecond)
				sim.Users.CancelRandom(100)
				if sim.seed%2 == 1 {
					sim.At(700*time.Millisecond, func() { sim.Crash(sim.leader, 500*time.Millisecond) })
				}
				sim.Run(hold + sim.Options.CancelTimeout)
			})
		})
	}
}

// Requests for instances and terminations are executed late, some for a leader that has ended, and machines restart within a second with
// the same or an earlier incarnation. machinesKnownWithin after that, the leader knows each machine and the tasks on it.
func TestLateInstancesAndRestartsAreAccountedFor(t *testing.T) {
	const machinesKnownWithin = 30 * time.Second
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		sim.Options.LateShare = 1
		for i := range sim.controllers {
			sim.CutLink(controllerName(i), cloudHost, 12*time.Second)
		}
		for i := range 10 {
			spec := jobArray(fmt.Sprintf("job-65%d", i), "late", noTeam, 8, 20*time.Second)
			sim.Users.SubmitJob(spec, 20*time.Second)
		}
		sim.At(2*time.Second, func() { sim.Users.CancelLongest(4, 0) })
		sim.At(6*time.Second, func() { sim.Crash(max(sim.LeaderIndex(), 0), time.Second) })
		for i := range 6 {
			sim.At(time.Duration(8+i)*time.Second, func() {
				sim.Cloud.RestartMachine(time.Duration(100+150*i)*time.Millisecond, i%2 == 0)
			})
		}
		sim.Run(15*time.Second + machinesKnownWithin)
		sim.expectMachinesKnown()
	})
}

// expectMachinesKnown checks that the leader's status lists each machine that is up, with at least the tasks that run on it.
func (sim scenario) expectMachinesKnown() {
	sim.t.Helper()
	known := map[string]int{}
	for _, machine := range sim.leaderStatus().Machines {
		known[machine.ID] = machine.Tasks
	}
	for _, m := range sim.Cloud.runningMachines() {
		running := 0
		for taskID, machines := range sim.checker.placements {
			for _, other := range machines {
				if other == m && sim.checker.mayHoldTasks(m) && sim.checker.jobs[taskID.JobID] != nil {
					running++
				}
			}
		}
		tasks, ok := known[m.id]
		if !ok || tasks < running {
			sim.t.Errorf("machine %s with %d running tasks: got listed %v with %d tasks, want it listed with all of them", m.id, running, ok, tasks)
		}
	}
}

// leaderStatus returns the status of the leader.
func (sim scenario) leaderStatus() controller.Status {
	sim.t.Helper()
	var status controller.Status
	request := controllerRequest{controller: sim.State.leaderName(), method: http.MethodGet, path: "/status"}
	sim.deliverRequest(request, func(code int, body any) {
		raw, err := encode(body)
		if err != nil || code != http.StatusOK || codec.Unmarshal(raw, &status) != nil {
			sim.t.Errorf("status of the leader: got %d, error %v, want 200", code, err)
		}
	})
	sim.Run(20 * time.Millisecond)
	return status
}
