package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// A leader that loses the workers, and nothing else, hands over to a controller that they reach: what
// runs goes on. Before, it deleted a third of them a tick and then all leases ended. Machines fail at the
// same time, and on half of the seeds the successor ends soon after.
func TestLeaderThatLosesTheWorkers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			opt := options()
			opt.Loss, opt.Capacity, opt.Teams, opt.Lease = 0, 12, nil, 12*time.Second
			w := New(seed, opt, quiet())
			for i := range 10 {
				w.Users.Send(jobs.Spec{
					ID: "job-" + string(rune('0'+i)), Class: "c", Team: "none", Tasks: 8, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
					RunTimeEstimate: 100 * time.Second,
				}, 100*time.Second)
			}
			w.Run(40 * time.Second)
			first := w.State.leader()
			began, machines, ran := w.onMachines(), len(w.Cloud.running()), w.model.Ran
			if began < 60 {
				t.Fatalf("seed %d: only %d tasks run", seed, began)
			}
			for i := range w.nodes {
				if nodeName(i) == first {
					w.failures()["cut from the workers"](i)
				}
			}
			w.At(time.Second, w.Cloud.Die)
			w.At(2*time.Second, w.Cloud.Die)
			if seed%2 == 1 {
				w.At(15*time.Second, func() {
					for i := range w.nodes {
						if nodeName(i) == w.State.leader() {
							w.Crash(i, 3*time.Second)
						}
					}
				})
			}
			w.Run(30 * time.Second)
			if len(w.Broken) > 0 {
				t.Fatalf("seed %d: %v", seed, w.Broken)
			}
			if w.State.leader() == first {
				t.Errorf("seed %d: %s still leads, whom no worker reaches", seed, first)
			}
			// Two machines died, with up to 16 tasks each; some starts are refused in this world.
			if again := w.model.Ran - ran; again > 45 {
				t.Errorf("seed %d: %d of %d tasks were started again, %d machines before, %d now", seed, again, began, machines, len(w.Cloud.running()))
			}
		})
	}
}
