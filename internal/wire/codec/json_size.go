package codec

import (
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"
)

// nonFiniteNumberBytes is the size that is counted for NaN and infinite numbers, which JSON cannot represent.
const nonFiniteNumberBytes = 24

// JSONSize returns the number of bytes that a validated MessagePack value takes as JSON. The limits of the state service refer to this
// size. JSONSize returns 0 for an invalid value.
func JSONSize(raw []byte) int {
	size, _ := jsonValueSize(raw)
	return size
}

// jsonValueSize returns the JSON size of the first value in b, and the bytes that follow the value.
func jsonValueSize(b []byte) (size int, rest []byte) {
	if len(b) == 0 {
		return 0, nil
	}
	code := b[0]
	switch {
	case code <= positiveFixintMax:
		return decimalDigits(uint64(code)), b[1:]
	case code <= fixmapMax:
		return jsonMapSize(b[1:], int(code&fixCollectionMask))
	case code <= fixarrayMax:
		return jsonArraySize(b[1:], int(code&fixCollectionMask))
	case code <= fixstrMax:
		return jsonStringSize(b[1:], int(code&fixstrMask))
	case code >= negativeFixintMin:
		return 1 + decimalDigits(uint64(-int64(int8(code)))), b[1:]
	case code >= str8Code && code <= str32Code:
		length, rest, err := readLength(b[1:], 1<<(code-str8Code))
		if err != nil {
			return 0, nil
		}
		return jsonStringSize(rest, length)
	case code >= array16Code && code <= map32Code:
		return jsonCollectionSize(code, b[1:])
	}
	return jsonScalarSize(b)
}

// jsonCollectionSize returns the JSON size of an array or map. code is its first byte, and b begins with its length.
func jsonCollectionSize(code byte, b []byte) (size int, rest []byte) {
	length, rest, err := readLength(b, 2<<((code-array16Code)&1))
	switch {
	case err != nil:
		return 0, nil
	case code <= array32Code:
		return jsonArraySize(rest, length)
	}
	return jsonMapSize(rest, length)
}

// jsonScalarSize returns the JSON size of a number, boolean or null. It encodes the value to measure it.
func jsonScalarSize(b []byte) (size int, rest []byte) {
	var value any
	rest, err := skipValue(b)
	if err != nil || msgpack.Unmarshal(b[:len(b)-len(rest)], &value) != nil {
		return 0, nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return nonFiniteNumberBytes, rest
	}
	return len(text), rest
}

func decimalDigits(v uint64) int {
	digits := 1
	for ; v >= 10; v /= 10 {
		digits++
	}
	return digits
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
	return length + len(`""`), b[length:]
}

func jsonArraySize(b []byte, items int) (size int, rest []byte) {
	size = len("[]") + max(items-1, 0)
	for ; items > 0; items-- {
		var item int
		item, b = jsonValueSize(b)
		size += item
	}
	return size, b
}

func jsonMapSize(b []byte, pairs int) (size int, rest []byte) {
	size = len("{}") + max(pairs-1, 0)
	for ; pairs > 0; pairs-- {
		var key, value int
		key, b = jsonValueSize(b)
		value, b = jsonValueSize(b)
		size += key + len(":") + value
	}
	return size, b
}
