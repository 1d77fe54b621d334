package cloud

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	goldenbytes.Check(t, goldenbytes.MessagePack("machine type", MachineType{
		Name: "small", CPUs: 8, GPUs: 2, MemoryGB: 32.5, HourlyPrice: 1.25, SpotHourlyPrice: 0.5,
		BootSeconds: 40, ImageCacheGB: 100, FetchGBPerSecond: 0.25, Zones: []string{"a", "b"},
	}))
}
