package codec

import (
	"errors"
	"fmt"
)

// maxNestingDepth bounds the nesting of what is decoded, and with it the recursion depth of the decoder.
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
	rest, maxDepth, err := scan(body)
	switch {
	case err != nil:
		return err
	case len(rest) != 0:
		return ErrTrailingBytes
	case maxDepth > maxNestingDepth:
		return ErrNestedTooDeeply
	}
	return nil
}
