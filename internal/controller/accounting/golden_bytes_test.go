package accounting

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	var spent Breakdown
	for cause := range spent {
		spent[cause] = int64(cause+1) * 1000
	}
	goldenbytes.Check(t, goldenbytes.Bytes("account", []byte(spent.encode()), func(raw []byte) ([]byte, error) {
		again, err := parseBreakdown(string(raw))
		return []byte(again.encode()), err
	}))
}
