package storage

import (
	"errors"
	"testing"

	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// TestFormatOfAnotherVersionIsRejected checks that checkFormat accepts only the format of this version.
func TestFormatOfAnotherVersionIsRejected(t *testing.T) {
	encode := func(v any) msgpack.RawMessage {
		raw, err := codec.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	if err := checkFormat(encode(formatVersion)); err != nil {
		t.Errorf("format of this version: got error %v, want no error", err)
	}
	for name, raw := range map[string]msgpack.RawMessage{"newer format": encode("history 2"), "not a string": encode(7)} {
		var formatError *FormatError
		if err := checkFormat(raw); !errors.As(err, &formatError) {
			t.Errorf("%s: got error %v, want a FormatError", name, err)
		}
	}
}
