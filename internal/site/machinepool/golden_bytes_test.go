package machinepool

import (
	"testing"
	"time"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	at := time.Unix(1_700_000_000, 123_000_000).UTC()
	overview := Overview{
		Draining: true, Rented: 2, Busy: 3,
		Workers: []WorkerView{{Name: "worker-1", Machine: "vm-1", CPUs: 8, MemGB: 31.5, Busy: 3, FreeMB: 70_000, Silent: 1.5}},
	}
	goldenbytes.Check(
		t,
		goldenbytes.JSON("record", Record{
			Counter:  7,
			Draining: true,
			Charters: map[string][]string{"r-1-1": {"vm-1"}},
			Machines: map[string]*Machine{
				"vm-1": {Worker: "worker-1", Epoch: 1 << 40, Type: "small", Born: at, Up: true, Failed: true, Leaving: true},
			},
		}),
		goldenbytes.MessagePack("overview", overview),
		goldenbytes.JSON("overview", overview),
		goldenbytes.MessagePack("greeting", greeting{
			Name: "worker-1", Addr: "10.0.0.1:7000", Type: "small", Zone: "a", CPUs: 8, MemGB: 31.5,
			Epoch: 1 << 40, Holding: "vm-1", Applied: 7, Busy: 3, FreeDisk: 1 << 40, Failures: []string{"{}"},
		}),
		goldenbytes.MessagePack("charge", charge{Machine: "vm-1", Notice: true, Serial: 7}),
		goldenbytes.MessagePack(
			"machine",
			host{ID: "vm-1", Addr: "10.0.0.1:7000", Type: "small", Zone: "a", Spot: true, State: "running", Age: 12.5},
		),
		goldenbytes.MessagePack("machine type", flavor{
			Name: "small", CPUs: 8, Cards: 2, Mem: 32.5, Price: 1.25, SpotPrice: 0.5, Ready: 40,
			CacheGB: 100, FetchRate: 0.25, Zones: []string{"a"},
		}),
		goldenbytes.JSON("failure", Failure{Task: "job-000412/3", Exit: 137, Reason: "killed", Tail: "out of memory", Finished: at}),
		goldenbytes.MessagePack("failures", Failures{List: []string{"{}"}}),
	)
}
