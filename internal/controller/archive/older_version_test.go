package archive_test

import (
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// readPagesAsOlderVersion reads pages as the version before the history did.
func readPagesAsOlderVersion(body []byte) error {
	var a struct {
		Entries []struct {
			Path  string `msgpack:"path"`
			Value struct {
				Seq     uint64                        `msgpack:"n"`
				Entries map[string]msgpack.RawMessage `msgpack:"e"`
			} `msgpack:"value"`
			Mark uint64 `msgpack:"mark"`
		} `msgpack:"entries"`
		More bool `msgpack:"has_next"`
	}
	return codec.Unmarshal(body, &a)
}
