package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// TestMachinesLostWithPreviousLeaderAreReplaced covers machines that were lost together with an earlier leader. They count
// neither as capacity nor as booting. Once their leases have expired, instances are requested for the waiting tasks and the lost
// instances are terminated.
func TestMachinesLostWithPreviousLeaderAreReplaced(t *testing.T) {
	f := newFixture()
	for i := range 6 {
		id := fmt.Sprintf("vm-%06d", i)
		f.cloud.Instances[id] = &cloud.Instance{
			ID:          id,
			Kind:        cloud.InstanceKind{Type: "large", Zone: "a", Spot: true},
			RequestedAt: f.Now.Add(-time.Minute),
			State:       cloud.StateRunning,
		}
		machine := f.workers.GetOrAdd(id)
		machine.Registered = true
		f.RenewLease(machine) // as at the election
	}
	f.addJob(2, 96, 1)
	countRequested := func() int {
		count := 0
		for _, call := range f.requestCalls() {
			count += requestedCount(call)
		}
		return count
	}
	f.scale(f.Now)
	if count := countRequested(); count > 0 {
		t.Errorf("instances requested before all machines are reconciled: got %d, want 0", count)
	}
	f.Now = f.Now.Add(f.workers.LeaseExpiry() + time.Second)
	if f.scale(f.Now); countRequested() == 0 {
		t.Error("instances requested to replace the lost machines: got 0, want at least 1")
	}
	f.Now = f.Now.Add(lostMachineGrace)
	f.scale(f.Now)
	for id, instance := range f.cloud.Instances {
		if !instance.Deleting {
			t.Errorf("lost instance %s: not deleting, want deleting", id)
		}
	}
}

// TestExpensiveInstancesAreLimitedByCheapOnes checks the requests for a queue on a small cluster, shortly after an election.
// Expensive instances must not be requested for many times the size of the cluster.
func TestExpensiveInstancesAreLimitedByCheapOnes(t *testing.T) {
	f := newFixture()
	f.setObjectives(config.Objective{Kind: "finished", Class: "c", TimeLimit: time.Minute, TargetShare: 0.82})
	for i := range 4 {
		f.addMachine(i, "large", "a", true)
	}
	for i := range 9 {
		f.addJob(3*i+2, 30, 1)
	}
	f.options.CostWeight = 0
	created := 0
	for range 30 {
		f.Now = f.Now.Add(time.Second)
		for _, machine := range f.workers.Machines {
			f.RenewLease(machine)
		}
		f.scale(f.Now)
		for _, call := range f.requestCalls() {
			created += f.respondWithoutSpot(t, call, created)
		}
	}
	cpus := 0.0
	for _, instance := range f.cloud.Instances {
		if !instance.Kind.Spot {
			cpus += f.MachineTypes[instance.Kind.Type].CPUs
		}
	}
	if created == 0 || cpus > 32 {
		t.Errorf("expensive instances: got %d with %g CPUs, want at least 1 with at most 32 CPUs", created, cpus)
	}
}

// respondWithoutSpot responds to a request with the requested instances, or with none if it is for spot instances. It returns
// their number. Their IDs are numbered from firstID.
func (f *fixture) respondWithoutSpot(t *testing.T, call client.Call, firstID int) int {
	t.Helper()
	var ids []string
	if call.Body.(map[string]any)["driftwood"] == false {
		for i := range requestedCount(call) {
			ids = append(ids, fmt.Sprintf("vm-9%05d", firstID+i))
		}
	}
	encoded, err := codec.Marshal(map[string]any{"oarlocks": ids})
	if err != nil {
		t.Fatal(err)
	}
	call.Done(f.Now, client.Result{Status: 200, Body: encoded})
	return len(ids)
}

// TestUnavailableZonesAreNotCountedAsCapacity checks that nothing in an unavailable zone counts as capacity, including booting
// instances. If no machine is left there, one instance at a time is requested as a probe. A heartbeat ends the outage.
func TestUnavailableZonesAreNotCountedAsCapacity(t *testing.T) {
	f := newFixture()
	for i := range 8 {
		f.addMachine(i, "large", []string{"a", "b"}[i%2], true)
	}
	kindInB := cloud.InstanceKind{Type: "large", Zone: "b", Spot: true}
	f.advanceSecond("a", "b")
	if cpus := f.ExpectedCapacity(f.Now).CPUs; cpus != 8*16 || f.projectCapacity().totalCPUs != 8*16 {
		t.Fatalf("CPUs: got %g expected, %v projected, want 128 of both", cpus, f.projectCapacity().totalCPUs)
	}
	for range 8 {
		f.advanceSecond("a")
	}
	requestable := f.maxRequestable(f.Now, kindInB)
	if cpus := f.ExpectedCapacity(f.Now).CPUs; cpus != 4*16 || f.projectCapacity().totalCPUs != 4*16 || requestable != 0 {
		t.Errorf(
			"unavailable zone: got %g CPUs expected, %v projected, %d instances requestable, want 64, 64, 0",
			cpus, f.projectCapacity().totalCPUs, requestable,
		)
	}
	for _, machine := range f.workers.SortedMachines() { // terminates the machines of the unavailable zone
		if machine.Zone == "b" {
			f.workers.Remove(machine)
			delete(f.cloud.Instances, machine.ID)
		}
	}
	for range 20 {
		f.advanceSecond("a")
	}
	if n := f.maxRequestable(f.Now, kindInB); n != 1 {
		t.Errorf("instances requestable as a probe: got %d, want 1", n)
	}
	f.zones.RecordRequest(f.Now, "b", 1)
	if f.maxRequestable(f.Now, kindInB) != 0 {
		t.Errorf("instances requestable after a probe: got %d, want 0", f.maxRequestable(f.Now, kindInB))
	}
	f.addMachine(20, "large", "b", true)
	f.advanceSecond("a", "b")
	if f.ExpectedCapacity(f.Now).CPUs != 5*16 || f.maxRequestable(f.Now, kindInB) < 2 {
		t.Errorf(
			"after a heartbeat from the zone: got %g CPUs expected, %d instances requestable, want 80, at least 2",
			f.ExpectedCapacity(f.Now).CPUs, f.maxRequestable(f.Now, kindInB),
		)
	}
}

// advanceSecond advances the clock by a second. Only the machines of the given zones send heartbeats.
func (f *fixture) advanceSecond(zoneNames ...string) {
	f.Now = f.Now.Add(time.Second)
	reachable := map[string]bool{}
	for _, name := range zoneNames {
		reachable[name] = true
	}
	for _, machine := range f.workers.Machines {
		if reachable[machine.Zone] {
			f.RenewLease(machine)
		}
	}
	f.zones.Observe(f.Now, false, func(visit func(zones.Machine)) {
		for _, machine := range f.workers.Machines {
			visit(zones.Machine{
				Zone: machine.Zone, HasSentHeartbeat: true, LeaseValid: !f.workers.IsLeaseExpired(f.Now, machine), LastHeartbeat: machine.LastContactAt,
			})
		}
	})
	f.refreshInstances(f.Now)
}

// newLoadedFixture returns a cluster in which seven of eight machines are full and jobs wait.
func newLoadedFixture(machines, waiting int) *fixture {
	f := newFixture()
	for i := range waiting {
		f.addJob(i, 100+i%50, 1)
	}
	f.addJob(waiting, jobs.MaxTasks, 2)
	for i := range machines {
		typeName := "small"
		if i%4 == 0 {
			typeName = "large"
		}
		machine := f.addMachine(i, typeName, "a", i%2 == 0)
		if i%8 > 0 {
			f.placer.StartTasks(f.Now, machine, 300)
		}
	}
	return f
}

// BenchmarkScale measures one scaling decision with three objectives.
func BenchmarkScale(b *testing.B) {
	for _, size := range [...]int{250, 1000, 5000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newLoadedFixture(size, size)
			f.setObjectives(
				config.Objective{Kind: "finished", Class: "c", TimeLimit: 2 * time.Minute, TargetShare: 0.9},
				config.Objective{Kind: "finished", Class: "c", TimeLimit: 4 * time.Minute, TargetShare: 0.99},
				config.Objective{Kind: "wait", Class: "c", TimeLimit: time.Minute, TargetShare: 0.9},
			)
			for b.Loop() {
				f.scale(f.Now)
			}
		})
	}
}
