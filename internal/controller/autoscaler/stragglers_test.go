package autoscaler

import (
	"testing"
	"time"

	"gullrudder/internal/controller/worker"
)

// TestStragglersAreTerminated checks that machines on which tasks take four times as long are cordoned and terminated. Only a
// small share of the machines is cordoned at a time, and none without a price.
func TestStragglersAreTerminated(t *testing.T) {
	for _, test := range []struct {
		name  string
		price float64
		want  int
	}{
		{"machines with a price", 1, 2},
		{"machines without a price", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.MachineTypes["small"].HourlyPrice = test.price
			f.addMachinesWithRuns(40, 4)
			f.cordonStragglers(f.Now)
			cordoned := f.machinesDrainedAs(worker.DrainSlow)
			if len(cordoned) != test.want {
				t.Errorf("cordoned machines: got %v, want %d", cordoned, test.want)
			}
			f.Now = f.Now.Add(2 * time.Minute)
			for _, machine := range f.workers.SortedMachines() {
				f.SendHeartbeat(machine)
			}
			f.refreshInstances(f.Now)
			f.terminateUnneeded(f.Now, nil)
			for _, id := range cordoned {
				if !f.cloud.Instances[id].Deleting {
					t.Errorf("slow empty machine %s: not deleting, want deleting", id)
				}
			}
		})
	}
}

// machinesDrainedAs returns the IDs of the machines with the given drain reason.
func (f *fixture) machinesDrainedAs(reason worker.DrainReason) []string {
	var ids []string
	for _, machine := range f.workers.SortedMachines() {
		if machine.DrainReason == reason {
			ids = append(ids, machine.ID)
		}
	}
	return ids
}

// addMachinesWithRuns adds machines that have run tasks. Tasks on the first slow ones took four times as long.
func (f *fixture) addMachinesWithRuns(count, slow int) {
	for i := range count {
		machine := f.addMachine(i, "small", "a", false)
		for k := range 30 {
			runTime := time.Minute + time.Duration((i*7+k*13)%20)*time.Second
			if i < slow {
				runTime *= 4
			}
			f.stragglers.RecordRun(machine.ID, runTime, 70*time.Second, 10)
		}
	}
}
