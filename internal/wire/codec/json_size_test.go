package codec

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestJSONSizeEqualsLengthOfJSON checks for random values that JSONSize equals the length of their JSON encoding.
func TestJSONSizeEqualsLengthOfJSON(t *testing.T) {
	text := rapid.OneOf(rapid.StringMatching(`[a-z0-9 <>"\\]{0,40}`), rapid.String())
	var value func(depth int) *rapid.Generator[any]
	value = func(depth int) *rapid.Generator[any] {
		kinds := []*rapid.Generator[any]{
			rapid.Just[any](nil), rapid.Bool().AsAny(), text.AsAny(), rapid.Int64().AsAny(), rapid.Uint64().AsAny(),
			rapid.Int8().AsAny(), rapid.Float64Range(-1e9, 1e9).AsAny(),
		}
		if depth > 0 {
			kinds = append(kinds, rapid.SliceOfN(value(depth-1), 0, 20).AsAny(), rapid.MapOfN(text, value(depth-1), 0, 20).AsAny())
		}
		return rapid.OneOf(kinds...)
	}
	rapid.Check(t, func(t *rapid.T) {
		v := value(3).Draw(t, "value")
		raw, err := Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if got := JSONSize(raw); got != len(encoded) {
			t.Fatalf("JSON size: got %d bytes, want %d of %s", got, len(encoded), encoded)
		}
	})
}
