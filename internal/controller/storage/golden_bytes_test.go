package storage

import (
	"testing"

	"gullrudder/internal/goldenbytes"

	"github.com/vmihailenco/msgpack/v5"
)

func TestGoldenBytes(t *testing.T) {
	raw := msgpack.RawMessage{0x81, 0xa1, 'a', 0xa4, 'h', 'o', 's', 't'}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("page", pageValue{Sequence: 300, Leader: 70_000, Entries: map[string]msgpack.RawMessage{"m:vm-1": raw}}),
		goldenbytes.MessagePack("history part", archivePartValue{Text: "YWJj"}),
		goldenbytes.MessagePack("listed key", keyValue{Key: "page/000001", Value: raw, ModRevision: 1 << 33}),
		goldenbytes.MessagePack("format", formatVersion),
	)
}
