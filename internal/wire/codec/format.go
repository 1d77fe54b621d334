package codec

import (
	"encoding/binary"
)

// First bytes of MessagePack values (https://github.com/msgpack/msgpack/blob/master/spec.md). The protocol uses neither binary nor
// extension types.
const (
	positiveFixintMax = 0x7f
	fixmapMax         = 0x8f
	fixarrayMax       = 0x9f
	fixstrMin         = 0xa0
	fixstrMax         = 0xbf
	nilCode           = 0xc0
	falseCode         = 0xc2
	trueCode          = 0xc3
	float32Code       = 0xca
	float64Code       = 0xcb
	uint8Code         = 0xcc
	uint16Code        = 0xcd
	uint32Code        = 0xce
	uint64Code        = 0xcf
	int8Code          = 0xd0
	int16Code         = 0xd1
	int32Code         = 0xd2
	int64Code         = 0xd3
	str8Code          = 0xd9
	str16Code         = 0xda
	str32Code         = 0xdb
	array16Code       = 0xdc
	array32Code       = 0xdd
	map16Code         = 0xde
	map32Code         = 0xdf
	negativeFixintMin = 0xe0
)

// Masks of the length in the first byte of a short value.
const (
	fixCollectionMask = 0x0f // of a fixmap or fixarray
	fixstrMask        = 0x1f
)

// readLength reads a length of width bytes (1, 2 or 4) and returns it with the remaining bytes. Each element of a collection and each byte
// of a string takes at least one byte. A length above the number of remaining bytes is therefore refused before memory is allocated.
func readLength(b []byte, width int) (int, []byte, error) {
	if len(b) < width {
		return 0, nil, ErrTruncated
	}
	var length uint64
	switch width {
	case 1:
		length = uint64(b[0])
	case 2:
		length = uint64(binary.BigEndian.Uint16(b))
	default:
		length = uint64(binary.BigEndian.Uint32(b))
	}
	if length > uint64(len(b)) {
		return 0, nil, ErrTruncated
	}
	return int(length), b[width:], nil
}
