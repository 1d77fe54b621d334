package codec

import (
	"errors"
	"fmt"
)

// maxNestingDepth bounds the nesting of a body, and with it the recursion depth of the decoder.
const maxNestingDepth = 16

// Errors of Validate. Their texts are part of the response to the sender of the body.
var (
	ErrTruncated       = errors.New("body ends early")
	ErrNestedTooDeeply = errors.New("nested too deeply")
	ErrTrailingBytes   = errors.New("bytes after the value")
	ErrKeyNotString    = errors.New("a key is not text")
)

// UnsupportedTypeError is returned for a value whose type the protocol does not use: binary, an extension, or invalid MessagePack.
type UnsupportedTypeError struct {
	Code byte // the value's first byte
}

// Error returns a text with the first byte of the value.
func (e *UnsupportedTypeError) Error() string {
	return fmt.Sprintf("type 0x%02x is not used here", e.Code)
}

// Validate checks a body without decoding it. The body must be exactly one value, made of maps with string keys, arrays, strings,
// numbers, booleans and null, nested at most maxNestingDepth deep. Validate returns ErrTruncated, ErrNestedTooDeeply, ErrTrailingBytes,
// ErrKeyNotString or an UnsupportedTypeError.
func Validate(body []byte) error {
	rest, err := skipValue(body, 0)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return ErrTrailingBytes
	}
	return nil
}

// skipValue checks the first value in b and returns the bytes that follow it.
func skipValue(b []byte, depth int) ([]byte, error) {
	if depth > maxNestingDepth {
		return nil, ErrNestedTooDeeply
	}
	if len(b) == 0 {
		return nil, ErrTruncated
	}
	code := b[0]
	b = b[1:]
	switch {
	case code <= positiveFixintMax || code >= negativeFixintMin || code == nilCode || code == falseCode || code == trueCode:
		return b, nil
	case code <= fixmapMax:
		return skipMap(b, int(code&fixCollectionMask), depth)
	case code <= fixarrayMax:
		return skipArray(b, int(code&fixCollectionMask), depth)
	case code <= fixstrMax:
		return skipBytes(b, int(code&fixstrMask))
	}
	return skipValueAfterCode(code, b, depth)
}

// skipValueAfterCode is skipValue for a value whose first byte holds only its type. That byte is passed as code and is not part of b.
func skipValueAfterCode(code byte, b []byte, depth int) ([]byte, error) {
	switch code {
	case uint8Code, int8Code:
		return skipBytes(b, 1)
	case uint16Code, int16Code:
		return skipBytes(b, 2)
	case float32Code, uint32Code, int32Code:
		return skipBytes(b, 4)
	case float64Code, uint64Code, int64Code:
		return skipBytes(b, 8)
	case str8Code, str16Code, str32Code:
		length, b, err := readLength(b, 1<<(code-str8Code))
		if err != nil {
			return nil, err
		}
		return skipBytes(b, length)
	case array16Code, array32Code:
		length, b, err := readLength(b, 2<<(code-array16Code))
		if err != nil {
			return nil, err
		}
		return skipArray(b, length, depth)
	case map16Code, map32Code:
		length, b, err := readLength(b, 2<<(code-map16Code))
		if err != nil {
			return nil, err
		}
		return skipMap(b, length, depth)
	}
	return nil, &UnsupportedTypeError{Code: code}
}

func skipBytes(b []byte, count int) ([]byte, error) {
	if len(b) < count {
		return nil, ErrTruncated
	}
	return b[count:], nil
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
			return nil, ErrTruncated
		}
		if !isStringCode(b[0]) {
			return nil, ErrKeyNotString
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

func isStringCode(code byte) bool {
	return code >= fixstrMin && code <= fixstrMax || code >= str8Code && code <= str32Code
}
