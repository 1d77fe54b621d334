// Package codec encodes and decodes the MessagePack bodies that controllers, workers, the state service, the cloud and users
// exchange. A body from outside is validated in one pass before it is decoded, so that neither deep nesting nor a huge declared length
// costs memory. The package holds no state. Message types are declared by the packages that send and receive them. The package also
// computes the size of a value as JSON: the limits of the state service refer to that size.
package codec

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Object is a decoded MessagePack map. A value is nil, a bool, an int64, a uint64, a float64, a string, a []any or a
// map[string]any.
type Object map[string]any

// ErrNull is returned for a body that is null where a map is required.
var ErrNull = errors.New("null is not a map")

// Marshal encodes a message. The keys of a Go map are in random order; see MarshalSorted.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// MarshalSorted encodes a message with sorted map keys, so that equal messages have equal bytes.
func MarshalSorted(v any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	if err := encoder.Encode(v); err != nil {
		return nil, fmt.Errorf("encode MessagePack: %w", err)
	}
	return buffer.Bytes(), nil
}

// Unmarshal validates a body and decodes it into the message that v points to. It returns an error of Validate, or one that wraps an
// error of the decoder.
func Unmarshal(body []byte, v any) error {
	if err := Validate(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode MessagePack: %w", err)
	}
	return nil
}

// UnmarshalKnownFields is Unmarshal for a sender whose message may have fields of any depth that the receiver does not know. Values
// that are nested more than maxNestingDepth deep are decoded as null.
func UnmarshalKnownFields(body []byte, v any) error {
	body, err := decodable(body)
	if err != nil {
		return err
	}
	return Unmarshal(body, v)
}

// UnmarshalMap decodes a body that must be one map with string keys; for null it returns ErrNull. It is used where fields are checked one
// by one, so that the response can name the wrong field. Values that are nested more than maxNestingDepth deep are decoded as null.
func UnmarshalMap(body []byte) (Object, error) {
	body, err := decodable(body)
	if err != nil {
		return nil, err
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(body))
	decoder.UseLooseInterfaceDecoding(true)
	object, err := decoder.DecodeMap()
	if err != nil {
		return nil, fmt.Errorf("decode MessagePack map: %w", err)
	}
	if object == nil {
		return nil, ErrNull
	}
	return object, nil
}

// decodable returns a body that passes Validate. It prunes values that are nested too deeply. The errors are those of Validate, except for
// ErrNestedTooDeeply.
func decodable(body []byte) ([]byte, error) {
	err := Validate(body)
	if errors.Is(err, ErrNestedTooDeeply) {
		return pruneDeepValues(body)
	}
	return body, err
}
