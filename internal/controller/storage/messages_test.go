package storage

import (
	"encoding/hex"
	"errors"
	"testing"

	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// TestPreconditionEncoding checks that a precondition is encoded to the bytes that all earlier versions have sent.
func TestPreconditionEncoding(t *testing.T) {
	const keyBytes = "82" + "a470617468" + "a161" + "a46d61726b"
	for _, test := range []struct {
		name         string
		precondition Precondition
		want         string
	}{
		{"page that was written", Precondition{Key: "a", ModRevision: 300}, keyBytes + "cf000000000000012c"},
		{"page that was never written", Precondition{Key: "a"}, keyBytes + "cf0000000000000000"},
		{"key that must not exist", requireAbsent("a"), keyBytes + "00"},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw, err := codec.Marshal(test.precondition)
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(raw); got != test.want {
				t.Errorf("encoding: got %s, want %s", got, test.want)
			}
		})
	}
}

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
