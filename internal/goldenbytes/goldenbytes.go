// Package goldenbytes compares encoded values with the bytes that an earlier version of the program wrote, so that a renamed or moved
// field cannot change what is stored or sent. It is used by tests only and keeps no state besides its -update flag. The bytes of
// version e6a4e5f are in each package's testdata; -update is for new messages, never for a test that fails.
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

// goldenFile is the file beside a package's tests that keeps the bytes, one encoded value a line.
const goldenFile = "testdata/golden-bytes.txt"

var update = flag.Bool("update", false, "write "+goldenFile+" anew from what the code encodes")

// Case is one value in one encoding. Its name stands for it in the file and never changes.
type Case struct {
	name   string
	filled []byte
	zero   []byte // nil: not compared
	again  func(raw []byte) ([]byte, error)
	err    error
}

// encoding is a format that values are compared in.
type encoding struct {
	name   string
	encode func(any) ([]byte, error)
	decode func([]byte, any) error
}

// MessagePack is a case of a value with every field set, as it is sent and stored in MessagePack.
func MessagePack[T any](name string, filled T) Case {
	return newCase(encoding{"msgpack", codec.Marshal, codec.Unmarshal}, name, filled)
}

// JSON is a case of a value with every field set, as it is written in JSON.
func JSON[T any](name string, filled T) Case {
	return newCase(encoding{"json", json.Marshal, json.Unmarshal}, name, filled)
}

// XML is a case of a value with every field set, as it is written in XML.
func XML[T any](name string, filled T) Case {
	return newCase(encoding{"xml", xml.Marshal, xml.Unmarshal}, name, filled)
}

// Bytes is a case of a format of the package's own. Again decodes the bytes and encodes them again.
func Bytes(name string, filled []byte, again func(raw []byte) ([]byte, error)) Case {
	return Case{name: "bytes " + name, filled: filled, again: again}
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
	if missing := unset(reflect.ValueOf(filled), name); missing != "" {
		c.err = unsetError(missing)
	}
	c.again = func(raw []byte) ([]byte, error) {
		var v T
		if err := format.decode(raw, &v); err != nil {
			return nil, err
		}
		return format.encode(v)
	}
	return c
}

// Partial lets a case leave fields unset, where the program itself writes the value so.
func (c Case) Partial() Case {
	var missing unsetError
	if errors.As(c.err, &missing) {
		c.err = nil
	}
	return c
}

// unsetError is the path of a field that a filled value leaves unset.
type unsetError string

// Error names the field.
func (e unsetError) Error() string { return "the filled value leaves this unset: " + string(e) }

// unset names the first exported field that has its zero value, or an empty list or map.
func unset(value reflect.Value, path string) string {
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			return path
		}
		return unset(value.Elem(), path)
	case reflect.Slice, reflect.Map, reflect.Array:
		if value.Len() == 0 {
			return path
		}
		if value.Kind() == reflect.Map {
			return ""
		}
		return unset(value.Index(0), path)
	case reflect.Struct:
		switch value.Interface().(type) {
		case time.Time, xml.Name:
			return ""
		}
		for i := range value.NumField() {
			if f := value.Type().Field(i); f.IsExported() {
				if missing := unset(value.Field(i), path+"."+f.Name); missing != "" {
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

// Check compares the cases with the package's file: the filled values and the zero values are encoded
// to the bytes that the file has, and its bytes of the filled values are decoded and encoded again to
// the same. Every line of the file needs its case.
func Check(t *testing.T, cases ...Case) {
	t.Helper()
	if *update {
		write(t, cases)
	}
	kept := read(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.check(t, kept) })
		delete(kept, c.name+" filled")
		delete(kept, c.name+" zero")
	}
	for name := range kept {
		t.Errorf("%s: no case for %q", goldenFile, name)
	}
}

func (c Case) check(t *testing.T, kept map[string][]byte) {
	t.Helper()
	if c.err != nil {
		t.Fatal(c.err)
	}
	want, ok := kept[c.name+" filled"]
	if !ok {
		t.Fatalf("not in %s", goldenFile)
	}
	if !bytes.Equal(c.filled, want) {
		t.Errorf("encoded to\n%x, want\n%x\n(%q,\n%q)", c.filled, want, c.filled, want)
	}
	if zero := kept[c.name+" zero"]; !bytes.Equal(c.zero, zero) {
		t.Errorf("the zero value is encoded to\n%x, want\n%x", c.zero, zero)
	}
	again, err := c.again(want)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	if !bytes.Equal(again, want) {
		t.Errorf("decoded and encoded again to\n%x, want\n%x", again, want)
	}
}

func read(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	kept := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		raw, err := hex.DecodeString(digits)
		if !ok || err != nil {
			t.Fatalf("%s: %q: %v", goldenFile, line, err)
		}
		kept[name] = raw
	}
	return kept
}

func write(t *testing.T, cases []Case) {
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
