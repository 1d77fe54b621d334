package autoscaler

import "testing"

// TestTasksBehindServicesGetInstances guards against tasks that wait without end although the cloud has machines, because the room that
// replicas occupy counts as room that becomes available: replicas run until their job is cancelled.
func TestTasksBehindServicesGetInstances(t *testing.T) {
	for _, test := range []struct {
		name             string
		waitingIsService bool
		tasks            int
		cpus             float64
		want             int
	}{
		{"array", false, 1, 10, 1},
		{"service", true, 4, 3, 1},
		{"array that fits beside the replicas", false, 1, 4, 0},
		{"service that fits beside the replicas", true, 2, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			delete(f.MachineTypes, "small")
			machine := f.addMachine(1, "large", "a", true)
			service := f.addService(11)
			f.assignTasks(machine, service, 11)
			waiting := f.addJob(10, test.tasks, test.cpus)
			waiting.IsService = test.waitingIsService
			if got := f.requestedInstances(); got != test.want {
				t.Errorf("instances requested: got %d, want %d", got, test.want)
			}
		})
	}
}
