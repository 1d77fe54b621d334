package fleet

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	goldenbytes.Check(t, goldenbytes.MessagePack("machine type", Type{Name: "small", CPUs: 8, Cards: 2, Mem: 32.5, Price: 1.25, SpotPrice: 0.5,
		BootS: 40, CacheGB: 100, FetchRate: 0.25, Zones: []string{"a", "b"}}))
}
