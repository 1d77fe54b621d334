package simulator

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// quarantinedMachines is a log handler that collects the IDs of quarantined machines from the controllers' logs.
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

// Some jobs always fail and some machines are faulty at the same time, while machines crash and the leader crashes twice. Only the faulty
// machines may be quarantined. Each failing job is retried only a few times, also under later leaders. All other jobs must finish.
func TestFailingJobsAndFaultyMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(seedName(seed), func(t *testing.T) {
			t.Parallel()
			runFailingJobsAndFaultyMachines(t, seed)
		})
	}
}

// runFailingJobsAndFaultyMachines runs TestFailingJobsAndFaultyMachines with one seed.
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
		// The starts before the job was found to fail, those in flight at that time, and single retries afterwards.
		if n := sim.checker.jobs[id].startCount; n > 90 || n-startsBefore[id] > 20 {
			t.Errorf("starts of the failing %s: got %d, %d of them under later leaders, want at most 90 and 20", id, n, n-startsBefore[id])
		}
		explanation, _ := sim.explain(id)
		if reasons := strings.Join(explanation.Reasons, "; "); !strings.Contains(reasons, "submitted with a mistake") {
			t.Errorf("explanation of the failing %s: got %q, want one that contains \"submitted with a mistake\"", id, reasons)
		}
	}
	checkQuarantined(t, sim, quarantined, faulty)
	if n := sim.Users.UnfinishedCount(); n > len(failing) {
		t.Errorf("unfinished jobs: got %d, want at most the %d that fail", n, len(failing))
	}
}

// checkQuarantined checks that only faulty machines were quarantined and that all faulty machines are out of use.
func checkQuarantined(t *testing.T, sim *Cluster, quarantined quarantinedMachines, faulty map[string]bool) {
	t.Helper()
	for id := range quarantined {
		if !faulty[id] {
			t.Errorf("quarantined machines: got the healthy %s, want only faulty ones", id)
		}
	}
	for id := range faulty {
		if !sim.Cloud.machines[id].isTerminated && !sim.Cloud.machines[id].hasFailed {
			t.Errorf("faulty machine %s: got in use, want terminated or failed", id)
		}
	}
}

// failMachinesAndLeader crashes two machines and the leader at the same time.
func failMachinesAndLeader(sim *Cluster, restartAfter time.Duration) {
	sim.Cloud.FailMachine()
	sim.Cloud.FailMachine()
	sim.crashLeader(restartAfter)
}
