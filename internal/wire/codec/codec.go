// Package codec encodes and decodes the MessagePack bodies that controllers, workers, the state service, the cloud and users
// exchange. Its one duty is to decode safely: a body from outside is validated in one pass before it is decoded, so that neither
// deep nesting nor a huge declared length costs memory. It holds no state and declares no message type; the
// packages that send and receive messages do. It also computes the size of a value as JSON, in which the limits of the state service
// are counted.
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

// Marshal encodes a message. The keys of a map are in no fixed order; see MarshalSorted.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// MarshalSorted encodes a message with the keys of its maps in order, so that equal messages have equal bytes.
func MarshalSorted(v any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	if err := encoder.Encode(v); err != nil {
		return nil, fmt.Errorf("encode MessagePack: %w", err)
	}
	return buffer.Bytes(), nil
}

// Unmarshal validates a body and decodes it into the message that v points to. Its error is one of Validate's or wraps the
// decoder's.
func Unmarshal(body []byte, v any) error {
	if err := Validate(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode MessagePack: %w", err)
	}
	return nil
}

// UnmarshalMap validates a body that has to be one map with string keys, and decodes it. It is for bodies whose fields are checked
// one by one, so that an answer can name the field that is wrong.
func UnmarshalMap(body []byte) (Object, error) {
	if err := Validate(body); err != nil {
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
