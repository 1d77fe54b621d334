package storage

import (
	"errors"
	"testing"

	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// TestFormatOfAnotherVersionIsRefused checks that only the format of this version is read.
func TestFormatOfAnotherVersionIsRefused(t *testing.T) {
	encode := func(v any) msgpack.RawMessage {
		raw, err := codec.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	if err := checkFormat(encode(formatVersion)); err != nil {
		t.Errorf("check of the own format: got %v, want no error", err)
	}
	for name, raw := range map[string]msgpack.RawMessage{"newer text": encode("history 2"), "no text": encode(7)} {
		var formatError *FormatError
		if err := checkFormat(raw); !errors.As(err, &formatError) {
			t.Errorf("%s: got error %v, want a FormatError", name, err)
		}
	}
}
