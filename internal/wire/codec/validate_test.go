package codec

import (
	"bytes"
	"testing"
)

func TestValidateRejectsBodiesThatCostMemory(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x91}, 1000), 0xc0)
	for name, body := range map[string][]byte{
		"deep nesting":          deep,
		"huge declared array":   {0xdd, 0xff, 0xff, 0xff, 0xff},
		"huge declared map":     {0xdf, 0xff, 0xff, 0xff, 0xff},
		"huge declared string":  {0xdb, 0x7f, 0xff, 0xff, 0xff, 'a'},
		"binary":                {0xc4, 0x01, 0x00},
		"key that is no string": {0x81, 0x01, 0x01},
		"trailing bytes":        {0xc0, 0xc0},
		"empty":                 {},
	} {
		t.Run(name, func(t *testing.T) {
			if Validate(body) == nil {
				t.Error("accepted")
			}
		})
	}
}

func FuzzUnmarshalMap(f *testing.F) {
	good, err := Marshal(map[string]any{"id": "job-1", "strokes": 3, "keels": []string{"g8"}, "voyage_s": 1.5, "harbour": nil})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0x81, 0xa1, 'a', 0xdc, 0xff, 0xff})
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, body []byte) {
		object, err := UnmarshalMap(body)
		if err == nil && Validate(body) != nil {
			t.Fatalf("decoded %v from a body that Validate rejects", object)
		}
	})
}
