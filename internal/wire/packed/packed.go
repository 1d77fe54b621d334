// Package packed reads and writes the MessagePack bodies that all sides exchange.
// What comes from outside is walked once before it is decoded, so that neither deep
// nesting nor a huge declared length costs memory.
package packed

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const maxDepth = 16

var errShort = errors.New("body ends early")

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Sorted encodes a message with the keys of its maps in order: what is equal has equal bytes.
func Sorted(v any) ([]byte, error) {
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
	if err := Check(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode MessagePack: %w", err)
	}
	return nil
}

// Map decodes a body that has to be one map with text keys.
func Map(body []byte) (map[string]any, error) {
	if err := Check(body); err != nil {
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

// Check walks a body: it has to be exactly one value, made of maps with text keys,
// lists, text, numbers, booleans and null, nested no deeper than maxDepth.
func Check(body []byte) error {
	rest, err := skip(body, 0)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return errors.New("bytes after the value")
	}
	return nil
}

func skip(b []byte, depth int) ([]byte, error) {
	if depth > maxDepth {
		return nil, errors.New("nested too deeply")
	}
	if len(b) == 0 {
		return nil, errShort
	}
	c := b[0]
	b = b[1:]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return b, nil
	case c <= 0x8f:
		return skipMap(b, int(c&0x0f), depth)
	case c <= 0x9f:
		return skipList(b, int(c&0x0f), depth)
	case c <= 0xbf:
		return take(b, int(c&0x1f))
	}
	switch c {
	case 0xca, 0xce, 0xd2:
		return take(b, 4)
	case 0xcb, 0xcf, 0xd3:
		return take(b, 8)
	case 0xcc, 0xd0:
		return take(b, 1)
	case 0xcd, 0xd1:
		return take(b, 2)
	case 0xd9, 0xda, 0xdb:
		n, b, err := length(b, 1<<(c-0xd9))
		if err != nil {
			return nil, err
		}
		return take(b, n)
	case 0xdc, 0xdd:
		n, b, err := length(b, 2<<(c-0xdc))
		if err != nil {
			return nil, err
		}
		return skipList(b, n, depth)
	case 0xde, 0xdf:
		n, b, err := length(b, 2<<(c-0xde))
		if err != nil {
			return nil, err
		}
		return skipMap(b, n, depth)
	}
	return nil, fmt.Errorf("type 0x%02x is not used here", c)
}

func length(b []byte, width int) (int, []byte, error) {
	if len(b) < width {
		return 0, nil, errShort
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
		return 0, nil, errShort
	}
	return int(n), b[width:], nil
}

func take(b []byte, n int) ([]byte, error) {
	if len(b) < n {
		return nil, errShort
	}
	return b[n:], nil
}

func skipList(b []byte, n, depth int) ([]byte, error) {
	var err error
	for ; n > 0; n-- {
		if b, err = skip(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func skipMap(b []byte, n, depth int) ([]byte, error) {
	var err error
	for ; n > 0; n-- {
		if len(b) == 0 {
			return nil, errShort
		}
		if c := b[0]; c&0xe0 != 0xa0 && (c < 0xd9 || c > 0xdb) {
			return nil, errors.New("a key is not text")
		}
		if b, err = skip(b, depth+1); err != nil {
			return nil, err
		}
		if b, err = skip(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// JSONSize is how many bytes a checked value takes as JSON, in which the limits of the state
// service are counted.
func JSONSize(raw []byte) int {
	size, _ := jsonSize(raw)
	return size
}

func jsonSize(b []byte) (size int, rest []byte) {
	if len(b) == 0 {
		return 0, nil
	}
	c := b[0]
	switch {
	case c <= 0x7f:
		return digits(uint64(c)), b[1:]
	case c <= 0x8f:
		return jsonMap(b[1:], int(c&0x0f))
	case c <= 0x9f:
		return jsonList(b[1:], int(c&0x0f))
	case c <= 0xbf:
		return jsonText(b[1:], int(c&0x1f))
	case c >= 0xe0:
		return 1 + digits(uint64(-int64(int8(c)))), b[1:]
	}
	if c >= 0xd9 && c <= 0xdb {
		if n, rest, err := length(b[1:], 1<<(c-0xd9)); err == nil {
			return jsonText(rest, n)
		}
		return 0, nil
	}
	if c >= 0xdc && c <= 0xdf {
		n, rest, err := length(b[1:], 2<<((c-0xdc)&1))
		switch {
		case err != nil:
			return 0, nil
		case c <= 0xdd:
			return jsonList(rest, n)
		}
		return jsonMap(rest, n)
	}
	var plain any
	rest, err := skip(b, 0)
	if err != nil || msgpack.Unmarshal(b[:len(b)-len(rest)], &plain) != nil {
		return 0, nil
	}
	text, err := json.Marshal(plain)
	if err != nil { // not a number that JSON knows
		return 24, rest
	}
	return len(text), rest
}

func digits(v uint64) int {
	n := 1
	for ; v >= 10; v /= 10 {
		n++
	}
	return n
}

func jsonText(b []byte, n int) (int, []byte) {
	if n > len(b) {
		return 0, nil
	}
	for _, c := range b[:n] {
		if c >= ' ' && c < 0x7f && c != '"' && c != '\\' && c != '<' && c != '>' && c != '&' {
			continue
		}
		if text, err := json.Marshal(string(b[:n])); err == nil {
			return len(text), b[n:]
		}
	}
	return n + 2, b[n:]
}

func jsonList(b []byte, n int) (size int, rest []byte) {
	size = 2 + max(n-1, 0)
	for ; n > 0; n-- {
		var s int
		s, b = jsonSize(b)
		size += s
	}
	return size, b
}

func jsonMap(b []byte, n int) (size int, rest []byte) {
	size = 2 + max(n-1, 0)
	for ; n > 0; n-- {
		var k, v int
		k, b = jsonSize(b)
		v, b = jsonSize(b)
		size += k + 1 + v
	}
	return size, b
}
