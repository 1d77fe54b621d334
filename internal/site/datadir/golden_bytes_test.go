package datadir

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	goldenbytes.Check(t, goldenbytes.XML("site", Site{
		ID: "0f0e", ProgramVersion: "1.2", Zone: "here", CPUs: 7.5, MemoryGB: 31, HourlyPrice: 1, TaskUser: "nobody",
		MinFreeDiskMB: 256, StateAddr: "127.0.0.1:1", MachinePoolAddr: "127.0.0.1:2", WorkerAddr: "127.0.0.1:3",
		Controllers: []Controller{{Name: "controller-1", PublicAddr: "127.0.0.1:4", PeerAddr: "127.0.0.1:5"}},
	}))
}
