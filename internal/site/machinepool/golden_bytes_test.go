package machinepool

import (
	"testing"
	"time"

	"gullrudder/internal/goldenbytes"
	"gullrudder/internal/wire/poolapi"
)

func TestGoldenBytes(t *testing.T) {
	at := time.Unix(1_700_000_000, 123_000_000).UTC()
	overview := Overview{
		IsDraining: true, MachineCount: 2, RunningTasks: 3,
		Workers: []WorkerView{{
			Name: "worker-1", Machine: "vm-1", CPUs: 8, MemoryGB: 31.5, RunningTasks: 3, FreeDiskMB: 70_000, SilentSeconds: 1.5,
		}},
	}
	goldenbytes.Check(
		t,
		goldenbytes.JSON("record", Record{
			LastMachineNumber: 7,
			IsDraining:        true,
			MachinesByRequest: map[string][]string{"r-1-1": {"vm-1"}},
			Machines: map[string]*Machine{
				"vm-1": {Worker: "worker-1", WorkerEpoch: 1 << 40, Type: "small", CreatedAt: at, IsRunning: true, HasFailed: true, IsTerminating: true},
			},
		}),
		goldenbytes.MessagePack("overview", overview),
		goldenbytes.JSON("overview", overview),
		goldenbytes.MessagePack("greeting", poolapi.WorkerReport{
			Name: "worker-1", Addr: "10.0.0.1:7000", Type: "small", Zone: "a", CPUs: 8, MemoryGB: 31.5,
			Epoch: 1 << 40, Machine: "vm-1", AppliedSerial: 7, RunningTasks: 3, FreeDiskBytes: 1 << 40, Failures: []string{"{}"},
		}),
		goldenbytes.MessagePack("charge", poolapi.MachineAssignment{Machine: "vm-1", HasDrainNotice: true, Serial: 7}),
		goldenbytes.MessagePack(
			"machine",
			instance{ID: "vm-1", Addr: "10.0.0.1:7000", Type: "small", Zone: "a", Spot: true, State: "running", AgeSeconds: 12.5},
		),
		goldenbytes.MessagePack("machine type", machineType{
			Name: "small", CPUs: 8, GPUs: 2, MemoryGB: 32.5, HourlyPrice: 1.25, HourlySpotPrice: 0.5, BootSeconds: 40,
			ImageCacheGB: 100, FetchGBPerSecond: 0.25, Zones: []string{"a"},
		}),
		goldenbytes.JSON("failure", Failure{Task: "job-000412/3", ExitCode: 137, Reason: "killed", ErrorOutput: "out of memory", FinishedAt: at}),
		goldenbytes.MessagePack("failures", FailureList{EncodedFailures: []string{"{}"}}),
	)
}
