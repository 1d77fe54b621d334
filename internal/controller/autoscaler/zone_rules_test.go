package autoscaler

import (
	"testing"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
)

// addService adds a service whose replicas use one CPU each.
func (f *fixture) addService(replicas int) *jobs.Job {
	job := f.addJob(2, replicas, 1)
	job.IsService, job.RunTimeEstimate = true, 0
	return job
}

// requestedByZone takes a scaling decision and returns the number of instances that it requests in each zone.
func (f *fixture) requestedByZone() map[string]int {
	f.scale(f.Now)
	byZone := map[string]int{}
	for _, call := range f.requestCalls() {
		byZone[call.Body.(map[string]any)["harbour"].(string)] += requestedCount(call)
	}
	return byZone
}

// TestZoneRulesDecideWhereInstancesAreRequested guards against replicas that are missing without end although the cloud has machines,
// because the autoscaler counts free resources in a zone where the job may have no further task.
func TestZoneRulesDecideWhereInstancesAreRequested(t *testing.T) {
	tests := []struct {
		name              string
		spread, oneZone   bool
		machines, running []string // zones of the machines that are up, and of the machines of running replicas
		want              map[string]int
	}{
		{name: "no rules", machines: []string{"a"}, running: []string{"a", "a"}},
		{name: "spread, both zones up", spread: true, machines: []string{"a", "b"}, running: []string{"a", "a"}},
		{name: "spread, machine lost", spread: true, machines: []string{"a"}, running: []string{"a", "a"}, want: map[string]int{"b": 1}},
		{name: "spread, new", spread: true, machines: []string{"a"}, want: map[string]int{"b": 1}},
		{name: "spread, no machine", spread: true, want: map[string]int{"a": 1, "b": 1}},
		{name: "one zone, room there", oneZone: true, machines: []string{"b", "a"}, running: []string{"b"}},
		{name: "one zone, its machine drained", oneZone: true, machines: []string{"a"}, running: []string{"b"}, want: map[string]int{"b": 1}},
		{name: "one zone, new", oneZone: true, machines: []string{"b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			delete(f.MachineTypes, "small")
			service := f.addService(4)
			service.SpreadAcrossZones, service.SingleZone = test.spread, test.oneZone
			for i, zone := range test.machines {
				f.addMachine(i, "large", zone, true)
			}
			for i, zone := range test.running {
				machine := f.AddMachine(10+i, "large", zone, true) // not listed by the cloud, and thus no capacity
				f.assignTasks(machine, service, 1)
			}
			got := f.requestedByZone()
			for _, zone := range []string{"a", "b"} {
				if got[zone] != test.want[zone] {
					t.Errorf("instances requested in zone %s: got %d, want %d", zone, got[zone], test.want[zone])
				}
			}
		})
	}
}

// TestInstancesForOneZoneAreRequestedTogether guards against requests in several zones for a job that must run in one.
func TestInstancesForOneZoneAreRequestedTogether(t *testing.T) {
	f := newFixture()
	f.cloud.MachineTypes = map[string]*cloud.MachineType{"large": f.MachineTypes["large"]}
	gang := f.addJob(2, 4, 8)
	gang.IsGang, gang.SingleZone = true, true
	f.addMachine(1, "large", "a", true)
	f.addMachine(2, "large", "b", true)
	got := f.requestedByZone()
	if len(got) != 1 || got["a"]+got["b"] != 1 {
		t.Errorf("instances requested by zone: got %v, want 1 in one zone", got)
	}
}
