package codec

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gullrudder/internal/wire/submissiontest"
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
	f.Add(append([]byte{0x81, 0xa1, 'a'}, submissiontest.Nested(maxNestingDepth+1)...))
	f.Fuzz(checkUnmarshalMap)
}

// checkUnmarshalMap checks that UnmarshalMap rejects what Validate rejects, apart from deep nesting.
func checkUnmarshalMap(t *testing.T, body []byte) {
	t.Helper()
	object, err := UnmarshalMap(body)
	if invalid := Validate(body); err == nil && invalid != nil && !errors.Is(invalid, ErrNestedTooDeeply) {
		t.Fatalf("body that Validate rejects: decoded as %v, want an error", object)
	}
	if depth := depthOf(object); depth > maxNestingDepth {
		t.Fatalf("depth of the decoded map: got %d, want at most %d", depth, maxNestingDepth)
	}
}

// depthOf returns the number of collections around the deepest value.
func depthOf(value any) int {
	deepest := -1
	switch value := value.(type) {
	case Object:
		return depthOf(map[string]any(value))
	case map[string]any:
		for _, item := range value {
			deepest = max(deepest, depthOf(item))
		}
	case []any:
		for _, item := range value {
			deepest = max(deepest, depthOf(item))
		}
	}
	return deepest + 1
}

// FuzzSubmissionSpelling checks that every spelling of a submission is decoded to the same fields.
func FuzzSubmissionSpelling(fuzz *testing.F) {
	fuzz.Add(uint64(1))
	fuzz.Add(uint64(2))
	fuzz.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 0))
		fields := map[string]any{"id": "job-1", "strokes": 3, "keels": []string{"g8"}, "voyage_s": submissiontest.RandomAmount(rng)}
		body := submissiontest.Encode(rng, fields)
		object, err := UnmarshalMap(body)
		if err != nil {
			t.Fatalf("decode %x: got error %v, want none", body, err)
		}
		for _, name := range []string{"id", "strokes", "keels", "voyage_s"} {
			if got, want := numberOrText(object[name]), numberOrText(fields[name]); got != want {
				t.Errorf("%s: got %s, want %s", name, got, want)
			}
		}
	})
}

// numberOrText formats a value regardless of its number type.
func numberOrText(value any) string {
	switch value := value.(type) {
	case int64:
		return fmt.Sprint(float64(value))
	case uint64:
		return fmt.Sprint(float64(value))
	case int:
		return fmt.Sprint(float64(value))
	}
	return fmt.Sprint(value)
}

// TestDeepValuesAreDecodedAsNull checks what is left of values that are nested too deeply, and that the rest of the map stays.
func TestDeepValuesAreDecodedAsNull(t *testing.T) {
	body := append([]byte{0x82, 0xa1, 'a'}, submissiontest.Nested(60_000)...)
	body = append(body, 0xa1, 'b', 7)
	object, err := UnmarshalMap(body)
	if err != nil || object["b"] != int64(7) {
		t.Fatalf("decode: got %v, error %v, want b = 7", object["b"], err)
	}
	if depth := depthOf(object); depth != maxNestingDepth {
		t.Errorf("depth of the decoded map: got %d, want %d", depth, maxNestingDepth)
	}
	var message struct {
		B int `msgpack:"b"`
	}
	if err := UnmarshalKnownFields(body, &message); err != nil || message.B != 7 {
		t.Errorf("decode known fields: got %+v, error %v, want b = 7", message, err)
	}
	if err := UnmarshalKnownFields(body[:len(body)-1], &message); !errors.Is(err, ErrTruncated) {
		t.Errorf("decode a truncated body: got error %v, want %v", err, ErrTruncated)
	}
}
