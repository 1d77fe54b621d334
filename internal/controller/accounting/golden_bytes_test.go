package accounting

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	var breakdown Breakdown
	for reason := range breakdown {
		breakdown[reason] = int64(reason+1) * 1000
	}
	goldenbytes.Check(t, goldenbytes.Bytes("account", []byte(breakdown.encode()), func(raw []byte) ([]byte, error) {
		decoded, err := parseBreakdown(string(raw))
		return []byte(decoded.encode()), err
	}))
}
