// Package submissiontest encodes submissions the way that any sound MessagePack library may encode them. Tests and the simulator's users
// use it to show that the spelling of a submission does not change its meaning. The package holds no state: the caller passes the source
// of all random choices.
package submissiontest

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// First bytes of MessagePack values (https://github.com/msgpack/msgpack/blob/master/spec.md).
const (
	fixmapCode   = 0x80
	fixarrayCode = 0x90
	fixstrCode   = 0xa0
	nilCode      = 0xc0
	falseCode    = 0xc2
	trueCode     = 0xc3
	float32Code  = 0xca
	float64Code  = 0xcb
	uint8Code    = 0xcc
	uint16Code   = 0xcd
	uint32Code   = 0xce
	uint64Code   = 0xcf
	int8Code     = 0xd0
	int16Code    = 0xd1
	int32Code    = 0xd2
	int64Code    = 0xd3
	str8Code     = 0xd9
	str16Code    = 0xda
	str32Code    = 0xdb
	array16Code  = 0xdc
	array32Code  = 0xdd
	map16Code    = 0xde
	map32Code    = 0xdf
)

const (
	maxFixint     = 127
	maxFixstr     = 31
	maxFixItems   = 15 // of a fixmap or fixarray
	maxExactFloat = 1 << 53
)

// Fields are the fields of a submission by their names on the wire. A value is nil, a bool, a string, an int, a float64, a []string or a
// []any.
type Fields map[string]any

// Encode encodes the fields of a submission in a random spelling: the fields are in random order, each number has any form that holds it
// exactly, optional fields may be missing instead of null, and unknown fields are added.
func Encode(rng *rand.Rand, fields Fields) []byte {
	names := make([]string, 0, len(fields))
	for name, value := range fields {
		if value != nil || rng.IntN(2) == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names) // the order of a Go map would not be reproducible
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	unknown := rng.IntN(maxUnknownFields + 1)
	body := appendMapHeader(nil, rng, len(names)+unknown)
	for range unknown {
		body = appendUnknownField(body, rng)
	}
	for _, name := range names {
		body = appendText(body, rng, name)
		body = appendValue(body, rng, fields[name])
	}
	return body
}

func appendValue(body []byte, rng *rand.Rand, value any) []byte {
	switch value := value.(type) {
	case nil:
		return append(body, nilCode)
	case bool:
		if value {
			return append(body, trueCode)
		}
		return append(body, falseCode)
	case string:
		return appendText(body, rng, value)
	case int:
		return appendNumber(body, rng, float64(value))
	case float64:
		return appendNumber(body, rng, value)
	case []string:
		body = appendArrayHeader(body, rng, len(value))
		for _, item := range value {
			body = appendText(body, rng, item)
		}
		return body
	case []any:
		body = appendArrayHeader(body, rng, len(value))
		for _, item := range value {
			body = appendValue(body, rng, item)
		}
		return body
	}
	panic(fmt.Sprintf("submissiontest: value of type %T", value))
}

// appendNumber appends a number in a random form that holds it exactly.
func appendNumber(body []byte, rng *rand.Rand, number float64) []byte {
	forms := NumberForms(number)
	return append(body, forms[rng.IntN(len(forms))]...)
}

// NumberForms returns the encodings of a number in every MessagePack form that holds it exactly.
func NumberForms(number float64) [][]byte {
	forms := [][]byte{binary.BigEndian.AppendUint64([]byte{float64Code}, math.Float64bits(number))}
	if single := float32(number); float64(single) == number {
		forms = append(forms, binary.BigEndian.AppendUint32([]byte{float32Code}, math.Float32bits(single)))
	}
	if number != math.Trunc(number) || number < 0 || number > maxExactFloat {
		return forms
	}
	return append(forms, IntegerForms(uint64(number))...)
}

// IntegerForms returns the encodings of a whole number in every integer form that holds it.
func IntegerForms(number uint64) [][]byte {
	forms := [][]byte{binary.BigEndian.AppendUint64([]byte{uint64Code}, number)}
	if number <= math.MaxInt64 {
		forms = append(forms, binary.BigEndian.AppendUint64([]byte{int64Code}, number))
	}
	if number <= math.MaxUint32 {
		forms = append(forms, binary.BigEndian.AppendUint32([]byte{uint32Code}, uint32(number)))
	}
	if number <= math.MaxInt32 {
		forms = append(forms, binary.BigEndian.AppendUint32([]byte{int32Code}, uint32(number)))
	}
	if number <= math.MaxUint16 {
		forms = append(forms, binary.BigEndian.AppendUint16([]byte{uint16Code}, uint16(number)))
	}
	if number <= math.MaxInt16 {
		forms = append(forms, binary.BigEndian.AppendUint16([]byte{int16Code}, uint16(number)))
	}
	if number <= math.MaxUint8 {
		forms = append(forms, []byte{uint8Code, byte(number)})
	}
	if number <= maxFixint {
		forms = append(forms, []byte{int8Code, byte(number)}, []byte{byte(number)})
	}
	return forms
}

// appendText appends a text with a header of random width that holds its length.
func appendText(body []byte, rng *rand.Rand, text string) []byte {
	widths := lengthHeader{fix: fixstrCode, maxFix: maxFixstr, code8: str8Code, code16: str16Code, code32: str32Code}
	return append(widths.appendTo(body, rng, len(text)), text...)
}

func appendArrayHeader(body []byte, rng *rand.Rand, items int) []byte {
	widths := lengthHeader{fix: fixarrayCode, maxFix: maxFixItems, code16: array16Code, code32: array32Code}
	return widths.appendTo(body, rng, items)
}

func appendMapHeader(body []byte, rng *rand.Rand, pairs int) []byte {
	widths := lengthHeader{fix: fixmapCode, maxFix: maxFixItems, code16: map16Code, code32: map32Code}
	return widths.appendTo(body, rng, pairs)
}

// lengthHeader has the first bytes of a kind of value with a length. code8 is 0 for kinds without that width.
type lengthHeader struct {
	fix                   byte
	maxFix                int
	code8, code16, code32 byte
}

func (h lengthHeader) appendTo(body []byte, rng *rand.Rand, length int) []byte {
	var forms [][]byte
	if length <= h.maxFix {
		forms = append(forms, []byte{h.fix | byte(length)})
	}
	if h.code8 != 0 && length <= math.MaxUint8 {
		forms = append(forms, []byte{h.code8, byte(length)})
	}
	if length <= math.MaxUint16 {
		forms = append(forms, binary.BigEndian.AppendUint16([]byte{h.code16}, uint16(length)))
	}
	forms = append(forms, binary.BigEndian.AppendUint32([]byte{h.code32}, uint32(length)))
	return append(body, forms[rng.IntN(len(forms))]...)
}
