// Package goldenbytes compares encoded values with the bytes that an earlier version of the program wrote. This ensures that a renamed or
// moved field does not change the stored or sent bytes. Only tests use it. It holds no state except for its -update flag. The bytes of
// version e6a4e5f are in each package's testdata. Use -update only to add new messages, never to make a failing test pass.
package goldenbytes

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"encoding/xml"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/codec"
)

// goldenFile is the path of the golden bytes, relative to the package under test. Each line holds a name and an encoded value in hex.
const goldenFile = "testdata/golden-bytes.txt"

var update = flag.Bool("update", false, "overwrite "+goldenFile+" with the bytes that the code encodes")

// Case is one value in one encoding. Its name identifies it in the golden file and never changes.
type Case struct {
	name     string
	filled   []byte // encoded value with all fields set
	zero     []byte // encoded zero value; nil: not compared
	reencode func(raw []byte) ([]byte, error)
	err      error
}

// encoding is a format in which values are compared.
type encoding struct {
	name   string
	encode func(any) ([]byte, error)
	decode func([]byte, any) error
}

// MessagePack returns a case for a value in MessagePack. Every field of the value must be set.
func MessagePack[T any](name string, filled T) Case {
	return newCase(encoding{"msgpack", codec.Marshal, codec.Unmarshal}, name, filled)
}

// JSON returns a case for a value in JSON. Every field of the value must be set.
func JSON[T any](name string, filled T) Case {
	return newCase(encoding{"json", json.Marshal, json.Unmarshal}, name, filled)
}

// XML returns a case for a value in XML. Every field of the value must be set.
func XML[T any](name string, filled T) Case {
	return newCase(encoding{"xml", xml.Marshal, xml.Unmarshal}, name, filled)
}

// Bytes returns a case for a format that the package under test defines itself. reencode decodes the bytes and encodes the result.
func Bytes(name string, filled []byte, reencode func(raw []byte) ([]byte, error)) Case {
	return Case{name: "bytes " + name, filled: filled, reencode: reencode}
}

func newCase[T any](format encoding, name string, filled T) Case {
	c := Case{name: format.name + " " + name}
	if c.filled, c.err = format.encode(filled); c.err != nil {
		return c
	}
	var zero T
	if c.zero, c.err = format.encode(zero); c.err != nil {
		return c
	}
	if missing := firstUnsetField(reflect.ValueOf(filled), name); missing != "" {
		c.err = unsetFieldError(missing)
	}
	c.reencode = func(raw []byte) ([]byte, error) {
		var v T
		if err := format.decode(raw, &v); err != nil {
			return nil, err
		}
		return format.encode(v)
	}
	return c
}

// AllowUnsetFields returns the case without the check that all fields are set. It is for values that the program itself writes with
// unset fields.
func (c Case) AllowUnsetFields() Case {
	var unset unsetFieldError
	if errors.As(c.err, &unset) {
		c.err = nil
	}
	return c
}

// unsetFieldError is the path of a field that is not set although the case requires all fields.
type unsetFieldError string

// Error returns a text with the path of the field.
func (e unsetFieldError) Error() string { return "field is not set, want all fields set: " + string(e) }

// firstUnsetField returns the path of the first exported field that has its zero value or is an empty list or map, or "" if there is none.
func firstUnsetField(value reflect.Value, path string) string {
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			return path
		}
		return firstUnsetField(value.Elem(), path)
	case reflect.Slice, reflect.Map, reflect.Array:
		if value.Len() == 0 {
			return path
		}
		if value.Kind() == reflect.Map {
			return ""
		}
		return firstUnsetField(value.Index(0), path)
	case reflect.Struct:
		switch value.Interface().(type) {
		case time.Time, xml.Name:
			return ""
		}
		for i := range value.NumField() {
			if f := value.Type().Field(i); f.IsExported() {
				if missing := firstUnsetField(value.Field(i), path+"."+f.Name); missing != "" {
					return missing
				}
			}
		}
		return ""
	}
	if value.IsZero() {
		return path
	}
	return ""
}

// Check compares the cases with the golden file. The values with all fields set, and the zero values, must encode to the bytes in the file.
// The file's bytes of values with all fields set must stay the same when they are decoded and encoded again. Each line of the file must
// have a case.
func Check(t *testing.T, cases ...Case) {
	t.Helper()
	if *update {
		writeGoldenFile(t, cases)
	}
	golden := readGoldenFile(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.check(t, golden) })
		delete(golden, c.name+" filled")
		delete(golden, c.name+" zero")
	}
	for name := range golden {
		t.Errorf("%s: no case for line %q, want one", goldenFile, name)
	}
}

func (c Case) check(t *testing.T, golden map[string][]byte) {
	t.Helper()
	if c.err != nil {
		t.Fatal(c.err)
	}
	want, ok := golden[c.name+" filled"]
	if !ok {
		t.Fatalf("case has no line in %s, want one", goldenFile)
	}
	if !bytes.Equal(c.filled, want) {
		t.Errorf("encoding: got\n%x, want\n%x\n(%q,\n%q)", c.filled, want, c.filled, want)
	}
	if wantZero := golden[c.name+" zero"]; !bytes.Equal(c.zero, wantZero) {
		t.Errorf("encoding of the zero value: got\n%x, want\n%x", c.zero, wantZero)
	}
	reencoded, err := c.reencode(want)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	if !bytes.Equal(reencoded, want) {
		t.Errorf("decoded and encoded again: got\n%x, want\n%x", reencoded, want)
	}
}

func readGoldenFile(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	golden := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		raw, err := hex.DecodeString(digits)
		if !ok || err != nil {
			t.Fatalf("%s: %q: %v", goldenFile, line, err)
		}
		golden[name] = raw
	}
	return golden
}

func writeGoldenFile(t *testing.T, cases []Case) {
	t.Helper()
	var out bytes.Buffer
	for _, c := range cases {
		if c.err != nil {
			t.Fatalf("%s: %v", c.name, c.err)
		}
		out.WriteString(c.name + " filled\t" + hex.EncodeToString(c.filled) + "\n")
		if c.zero != nil {
			out.WriteString(c.name + " zero\t" + hex.EncodeToString(c.zero) + "\n")
		}
	}
	if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}
