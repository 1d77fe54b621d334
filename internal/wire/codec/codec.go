// Package codec reads and writes the MessagePack bodies that all sides exchange.
// What comes from outside is walked once before it is decoded, so that neither deep
// nesting nor a huge declared length costs memory.
package codec

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const maxNestingDepth = 16

var errTruncated = errors.New("body ends early")

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// MarshalSorted encodes a message with the keys of its maps in order: what is equal has equal bytes.
func MarshalSorted(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.SetSortMapKeys(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Unmarshal checks a body and decodes it.
func Unmarshal(body []byte, v any) error {
	if err := Validate(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode MessagePack: %w", err)
	}
	return nil
}

// UnmarshalMap decodes a body that has to be one map with text keys.
func UnmarshalMap(body []byte) (map[string]any, error) {
	if err := Validate(body); err != nil {
		return nil, err
	}
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	dec.UseLooseInterfaceDecoding(true)
	m, err := dec.DecodeMap()
	if err != nil {
		return nil, fmt.Errorf("decode MessagePack map: %w", err)
	}
	if m == nil {
		return nil, errors.New("null is not a map")
	}
	return m, nil
}

// Validate walks a body: it has to be exactly one value, made of maps with text keys,
// lists, text, numbers, booleans and null, nested no deeper than maxDepth.
func Validate(body []byte) error {
	rest, err := skipValue(body, 0)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return errors.New("bytes after the value")
	}
	return nil
}

func skipValue(b []byte, depth int) ([]byte, error) {
	if depth > maxNestingDepth {
		return nil, errors.New("nested too deeply")
	}
	if len(b) == 0 {
		return nil, errTruncated
	}
	c := b[0]
	b = b[1:]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return b, nil
	case c <= 0x8f:
		return skipMap(b, int(c&0x0f), depth)
	case c <= 0x9f:
		return skipArray(b, int(c&0x0f), depth)
	case c <= 0xbf:
		return skipBytes(b, int(c&0x1f))
	}
	switch c {
	case 0xca, 0xce, 0xd2:
		return skipBytes(b, 4)
	case 0xcb, 0xcf, 0xd3:
		return skipBytes(b, 8)
	case 0xcc, 0xd0:
		return skipBytes(b, 1)
	case 0xcd, 0xd1:
		return skipBytes(b, 2)
	case 0xd9, 0xda, 0xdb:
		n, b, err := readLength(b, 1<<(c-0xd9))
		if err != nil {
			return nil, err
		}
		return skipBytes(b, n)
	case 0xdc, 0xdd:
		n, b, err := readLength(b, 2<<(c-0xdc))
		if err != nil {
			return nil, err
		}
		return skipArray(b, n, depth)
	case 0xde, 0xdf:
		n, b, err := readLength(b, 2<<(c-0xde))
		if err != nil {
			return nil, err
		}
		return skipMap(b, n, depth)
	}
	return nil, fmt.Errorf("type 0x%02x is not used here", c)
}

func readLength(b []byte, width int) (int, []byte, error) {
	if len(b) < width {
		return 0, nil, errTruncated
	}
	var n uint64
	switch width {
	case 1:
		n = uint64(b[0])
	case 2:
		n = uint64(binary.BigEndian.Uint16(b))
	default:
		n = uint64(binary.BigEndian.Uint32(b))
	}
	if n > uint64(len(b)) {
		return 0, nil, errTruncated
	}
	return int(n), b[width:], nil
}

func skipBytes(b []byte, n int) ([]byte, error) {
	if len(b) < n {
		return nil, errTruncated
	}
	return b[n:], nil
}

func skipArray(b []byte, items, depth int) ([]byte, error) {
	var err error
	for ; items > 0; items-- {
		if b, err = skipValue(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func skipMap(b []byte, pairs, depth int) ([]byte, error) {
	var err error
	for ; pairs > 0; pairs-- {
		if len(b) == 0 {
			return nil, errTruncated
		}
		if c := b[0]; c&0xe0 != 0xa0 && (c < 0xd9 || c > 0xdb) {
			return nil, errors.New("a key is not text")
		}
		if b, err = skipValue(b, depth+1); err != nil {
			return nil, err
		}
		if b, err = skipValue(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// JSONSize is how many bytes a checked value takes as JSON, in which the limits of the state
// service are counted.
func JSONSize(raw []byte) int {
	size, _ := jsonValueSize(raw)
	return size
}

func jsonValueSize(b []byte) (size int, rest []byte) {
	if len(b) == 0 {
		return 0, nil
	}
	c := b[0]
	switch {
	case c <= 0x7f:
		return decimalDigits(uint64(c)), b[1:]
	case c <= 0x8f:
		return jsonMapSize(b[1:], int(c&0x0f))
	case c <= 0x9f:
		return jsonArraySize(b[1:], int(c&0x0f))
	case c <= 0xbf:
		return jsonStringSize(b[1:], int(c&0x1f))
	case c >= 0xe0:
		return 1 + decimalDigits(uint64(-int64(int8(c)))), b[1:]
	}
	if c >= 0xd9 && c <= 0xdb {
		if n, rest, err := readLength(b[1:], 1<<(c-0xd9)); err == nil {
			return jsonStringSize(rest, n)
		}
		return 0, nil
	}
	if c >= 0xdc && c <= 0xdf {
		n, rest, err := readLength(b[1:], 2<<((c-0xdc)&1))
		switch {
		case err != nil:
			return 0, nil
		case c <= 0xdd:
			return jsonArraySize(rest, n)
		}
		return jsonMapSize(rest, n)
	}
	var plain any
	rest, err := skipValue(b, 0)
	if err != nil || msgpack.Unmarshal(b[:len(b)-len(rest)], &plain) != nil {
		return 0, nil
	}
	text, err := json.Marshal(plain)
	if err != nil { // not a number that JSON knows
		return 24, rest
	}
	return len(text), rest
}

func decimalDigits(v uint64) int {
	n := 1
	for ; v >= 10; v /= 10 {
		n++
	}
	return n
}

func jsonStringSize(b []byte, length int) (int, []byte) {
	if length > len(b) {
		return 0, nil
	}
	for _, c := range b[:length] {
		if c >= ' ' && c < 0x7f && c != '"' && c != '\\' && c != '<' && c != '>' && c != '&' {
			continue
		}
		if text, err := json.Marshal(string(b[:length])); err == nil {
			return len(text), b[length:]
		}
	}
	return length + 2, b[length:]
}

func jsonArraySize(b []byte, n int) (size int, rest []byte) {
	size = 2 + max(n-1, 0)
	for ; n > 0; n-- {
		var s int
		s, b = jsonValueSize(b)
		size += s
	}
	return size, b
}

func jsonMapSize(b []byte, n int) (size int, rest []byte) {
	size = 2 + max(n-1, 0)
	for ; n > 0; n-- {
		var k, v int
		k, b = jsonValueSize(b)
		v, b = jsonValueSize(b)
		size += k + 1 + v
	}
	return size, b
}
