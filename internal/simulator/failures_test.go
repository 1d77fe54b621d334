package simulator

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// quarantinedMachines is a log handler that collects the machines that are quarantined.
type quarantinedMachines map[string]bool

func (m quarantinedMachines) Enabled(context.Context, slog.Level) bool { return true }
func (m quarantinedMachines) WithAttrs([]slog.Attr) slog.Handler       { return m }
func (m quarantinedMachines) WithGroup(string) slog.Handler            { return m }

func (m quarantinedMachines) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "machine quarantined" {
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "machine" {
				m[a.Value.String()] = true
			}
			return true
		})
	}
	return nil
}

// Jobs whose tasks always fail and faulty machines at the same time, while machines fail and the leader crashes twice: exactly the faulty
// machines are quarantined, each failing job is retried a few times only, under later leaders too, and all other jobs finish.
func TestFailingJobsAndFaultyMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(seedName(seed), func(t *testing.T) {
			t.Parallel()
			runFailingJobsAndFaultyMachines(t, seed)
		})
	}
}

// runFailingJobsAndFaultyMachines is TestFailingJobsAndFaultyMachines with one seed.
func runFailingJobsAndFaultyMachines(t *testing.T, seed uint64) {
	t.Helper()
	options := testOptions()
	options.LossShare, options.MachinesPerKind, options.Teams, options.NoTaskFailures = 0, 14, nil, true
	quarantined := quarantinedMachines{}
	sim := New(seed, options, slog.New(quarantined))
	const runTime = 12 * time.Second
	for i := range 80 {
		spec := jobArray(fmt.Sprintf("job-%06d", i), "c", noTeam, 12, runTime)
		sim.At(time.Duration(i)*2*time.Second, func() { sim.Users.SubmitJob(spec, runTime) })
	}
	var failing []string
	for i := range 3 {
		spec := jobArray(fmt.Sprintf("job-9%05d", i), "c", noTeam, 60, runTime)
		failing = append(failing, spec.ID)
		sim.At(time.Duration(20+15*i)*time.Second, func() {
			sim.Users.SubmitJob(spec, runTime)
			sim.checker.jobs[spec.ID].alwaysFails = true
		})
	}
	faulty := map[string]bool{}
	sim.At(30*time.Second, func() {
		for _, m := range sim.Cloud.runningMachines()[:2] {
			m.isFaulty, faulty[m.id] = true, true
		}
	})
	sim.At(70*time.Second, func() { failMachinesAndLeader(sim, 3*time.Second) })
	sim.At(120*time.Second, func() { failMachinesAndLeader(sim, 4*time.Second) })
	startsBefore := map[string]int{}
	sim.At(72*time.Second, func() {
		for _, id := range failing {
			startsBefore[id] = sim.checker.jobs[id].startCount
		}
	})
	sim.Run(5 * time.Minute)
	expectNoViolations(t, sim)
	for _, id := range failing {
		// The first wave, the starts that were in flight when the job was found to fail, and one at a time since.
		if n := sim.checker.jobs[id].startCount; n > 90 || n-startsBefore[id] > 20 {
			t.Errorf("starts of the failing %s: got %d, %d of them under later leaders, want at most 90 and 20", id, n, n-startsBefore[id])
		}
		explanation, _ := sim.explain(id)
		if reasons := strings.Join(explanation.Reasons, "; "); !strings.Contains(reasons, "submitted with a mistake") {
			t.Errorf("explanation of the failing %s: got %q, want a mistake of its submitter", id, reasons)
		}
	}
	checkQuarantined(t, sim, quarantined, faulty)
	if n := sim.Users.UnfinishedCount(); n > len(failing) {
		t.Errorf("unfinished jobs: got %d, want at most the %d that fail", n, len(failing))
	}
}

// checkQuarantined checks that exactly the faulty machines were quarantined and are no longer in use.
func checkQuarantined(t *testing.T, sim *Cluster, quarantined quarantinedMachines, faulty map[string]bool) {
	t.Helper()
	for id := range quarantined {
		if !faulty[id] {
			t.Errorf("quarantined machines: got the healthy %s, want faulty ones only", id)
		}
	}
	for id := range faulty {
		if !sim.Cloud.machines[id].isTerminated && !sim.Cloud.machines[id].hasFailed {
			t.Errorf("the faulty machine %s: got still in use, want terminated or failed", id)
		}
	}
}

// failMachinesAndLeader fails two machines and crashes the leader at once.
func failMachinesAndLeader(sim *Cluster, restartAfter time.Duration) {
	sim.Cloud.FailMachine()
	sim.Cloud.FailMachine()
	sim.crashLeader(restartAfter)
}
