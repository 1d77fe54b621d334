package simulator

import (
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// serviceOf returns a service whose replicas need one CPU and 1 GB and run on any machine.
func serviceOf(jobID string, replicas int) jobs.Spec {
	service := jobArray(jobID, "c", noTeam, replicas, 0)
	service.IsService = true
	return service
}

// expectInBothZones fails the test and ends it unless two tasks of the job run in each zone.
func (sim *Cluster) expectInBothZones(t *testing.T, spec jobs.Spec, when string) {
	t.Helper()
	if byZone, _ := sim.checker.tasksByZone(spec); byZone["a"] != 2 || byZone["b"] != 2 {
		t.Fatalf("replicas running by zone %s: got %v, want 2 in each of a and b", when, byZone)
	}
}

// TestLostReplicasRunAgainWithinZoneRules guards against replicas that are never started again after a zone has lost its machines, because
// the room in the other zone counts although the zone rules of the service forbid it.
func TestLostReplicasRunAgainWithinZoneRules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			sim := pipelineCluster(t, seed)
			service := serviceOf("job-000001", 4)
			service.SpreadAcrossZones = true
			sim.Users.SubmitJob(service, serviceRunTime)
			sim.Run(30 * time.Second)
			sim.expectInBothZones(t, service, "at the start")
			for _, machine := range sim.Cloud.runningMachines() {
				if machine.zone == "b" {
					machine.terminate()
				}
			}
			sim.Run(maxStartableWait)
			expectNoViolations(t, sim.Cluster)
			sim.expectInBothZones(t, service, "after the loss of the machines of zone b")
		})
	}
}

// TestOneZoneReplicasRunAgainInTheirZone guards against the same for a service that must run in one zone: its lost replicas wait while a
// machine of the other zone has room.
func TestOneZoneReplicasRunAgainInTheirZone(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			sim := pipelineCluster(t, seed)
			service := serviceOf("job-000001", 4)
			service.SingleZone, service.CPUs, service.MachineTypes = true, 2, []string{"small"}
			sim.Users.SubmitJob(service, serviceRunTime)
			sim.Run(30 * time.Second)
			lost := sim.machinesWithTasks()[0]
			sim.keepRoomOutside(lost.zone)
			sim.Run(20 * time.Second)
			lost.terminate()
			sim.Run(maxStartableWait)
			expectNoViolations(t, sim.Cluster)
			if _, running := sim.checker.tasksByZone(service); running != service.Tasks {
				t.Errorf("replicas running after the loss of a machine: got %d, want %d", running, service.Tasks)
			}
		})
	}
}

// machinesWithTasks returns the machines that hold tasks.
func (sim *Cluster) machinesWithTasks() []*machine {
	var list []*machine
	for _, machine := range sim.Cloud.runningMachines() {
		if len(machine.tasks) > 0 {
			list = append(list, machine)
		}
	}
	return list
}

// keepRoomOutside submits a service of one small task in the other zone, so that a machine with room stays there.
func (sim *Cluster) keepRoomOutside(zone string) {
	other := serviceOf("job-000002", 1)
	other.MachineTypes = []string{"small"}
	other.Zone = map[string]string{"a": "b", "b": "a"}[zone]
	sim.Users.SubmitJob(other, serviceRunTime)
}

// TestTasksBehindReplicasRun guards against jobs that wait without end although the cloud has machines, because the room that replicas of
// another service occupy counts as room for them.
func TestTasksBehindReplicasRun(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			sim := pipelineCluster(t, seed)
			onLarge := func(spec jobs.Spec, runTime time.Duration) {
				spec.CPUs, spec.MachineTypes = 4, []string{"large"} // which holds four tasks
				sim.Users.SubmitJob(spec, runTime)
			}
			onLarge(serviceOf("job-000001", 4), serviceRunTime)
			sim.Run(30 * time.Second)
			onLarge(serviceOf("job-000002", 4), serviceRunTime)
			sim.Run(maxStartableWait)
			onLarge(serviceOf("job-000003", 4), serviceRunTime)
			sim.Run(maxStartableWait)
			onLarge(jobArray("job-000004", "c", noTeam, 1, time.Second), time.Second)
			sim.Run(maxStartableWait)
			expectNoViolations(t, sim.Cluster)
			for _, jobID := range []string{"job-000002", "job-000003", "job-000004"} {
				if sim.checker.jobs[jobID].firstStartedAt.IsZero() {
					t.Errorf("%s behind the replicas of other jobs: got not started, want started", jobID)
				}
			}
		})
	}
}
