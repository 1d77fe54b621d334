package codec

import (
	"bytes"
	"errors"
	"testing"
)

// TestValidateRejectsBodiesThatCostMemory checks that Validate rejects bodies that are truncated, malformed or deeply nested, so that they
// are not decoded.
func TestValidateRejectsBodiesThatCostMemory(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x91}, 1000), 0xc0)
	for name, test := range map[string]struct {
		body []byte
		want error
	}{
		"deep nesting":         {deep, ErrNestedTooDeeply},
		"huge declared array":  {[]byte{0xdd, 0xff, 0xff, 0xff, 0xff}, ErrTruncated},
		"huge declared map":    {[]byte{0xdf, 0xff, 0xff, 0xff, 0xff}, ErrTruncated},
		"huge declared string": {[]byte{0xdb, 0x7f, 0xff, 0xff, 0xff, 'a'}, ErrTruncated},
		"key is not a string":  {[]byte{0x81, 0x01, 0x01}, ErrKeyNotString},
		"trailing bytes":       {[]byte{0xc0, 0xc0}, ErrTrailingBytes},
		"empty":                {[]byte{}, ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			if err := Validate(test.body); !errors.Is(err, test.want) {
				t.Errorf("validate: got error %v, want %v", err, test.want)
			}
		})
	}
	t.Run("binary", func(t *testing.T) {
		var unsupported *UnsupportedTypeError
		if err := Validate([]byte{0xc4, 0x01, 0x00}); !errors.As(err, &unsupported) || unsupported.Code != 0xc4 {
			t.Errorf("validate: got error %v, want an unsupported type 0xc4", err)
		}
	})
}

// FuzzUnmarshalMap checks that every body that can be decoded to a map passes Validate.
func FuzzUnmarshalMap(f *testing.F) {
	good, err := Marshal(map[string]any{"id": "job-1", "strokes": 3, "keels": []string{"g8"}, "voyage_s": 1.5, "harbour": nil})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0x81, 0xa1, 'a', 0xdc, 0xff, 0xff})
	f.Add([]byte{0xc1})
	f.Fuzz(checkUnmarshalMap)
}

// checkUnmarshalMap checks that UnmarshalMap rejects what Validate rejects.
func checkUnmarshalMap(t *testing.T, body []byte) {
	t.Helper()
	object, err := UnmarshalMap(body)
	if err == nil && Validate(body) != nil {
		t.Fatalf("body that Validate rejects: decoded as %v, want an error", object)
	}
}
