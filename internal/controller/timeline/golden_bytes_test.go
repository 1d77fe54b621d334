package timeline

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	var spent Spent
	for cause := range spent {
		spent[cause] = int64(cause+1) * 1000
	}
	goldenbytes.Check(t, goldenbytes.Bytes("account", []byte(spent.pack()), func(raw []byte) ([]byte, error) {
		again, err := parse(string(raw))
		return []byte(again.pack()), err
	}))
}
