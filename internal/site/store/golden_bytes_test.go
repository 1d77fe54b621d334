package store

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gullrudder/internal/goldenbytes"
)

// storedRecords are the records of a log frame: a lease, a commit, and the end of the lease.
func storedRecords() []byte {
	out := appendGrant(nil, 300, 1500*time.Millisecond)
	out = appendCommit(out, 70_000, []change{{key: "a/1", value: []byte{0xa1, 'x'}, lease: 300}, {key: "a/2", value: []byte{0x07}}, {drop: true, key: "a/2"}})
	return appendEnd(out, 300, 70_001)
}

// storedSnapshot is a whole snapshot: its header, its leases, its keys and their number.
func storedSnapshot(c *content, segment, next uint64) ([]byte, error) {
	view := c.Freeze()
	view.segment, view.next = segment, next
	file := &memoryFile{}
	snapshot := &Snapshot{view: view, file: file, stage: 1}
	if err := snapshot.put(append(view.header(), appendBlock(nil, snapshot.leases())...)); err != nil {
		return nil, err
	}
	for snapshot.stage == 1 {
		if err := snapshot.block(); err != nil {
			return nil, err
		}
	}
	return file.raw, nil
}

type memoryFile struct {
	File
	raw []byte
}

func (f *memoryFile) WriteAt(b []byte, offset int64) (int, error) {
	f.raw = append(f.raw[:offset], b...)
	return len(b), nil
}

func TestGoldenBytes(t *testing.T) {
	value := msgpack.RawMessage{0x81, 0xa1, 'a', 0xa4, 'h', 'o', 's', 't'}
	listed := keyAnswer{Key: "page/000001", Value: value, Mark: 1 << 33, Lease: 300}
	c := newContent()
	c.grant(299, 1500*time.Millisecond, time.Time{}, nil)
	c.grant(300, 1500*time.Millisecond, time.Time{}, nil)
	c.apply(70_000, []change{{key: "a/1", value: []byte{0xa1, 'x'}, lease: 300}, {key: "a/2", value: []byte{0x07}}}, nil)
	snapshot, err := storedSnapshot(c, 5, 900)
	if err != nil {
		t.Fatal(err)
	}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("transaction", transaction{Guards: []guard{{Key: "leader", Mark: 1 << 33}},
			Apply: []operation{{Write: "page/000001", Drop: "page/000002", Value: value, Lease: 300}}}),
		goldenbytes.MessagePack("key", listed),
		goldenbytes.MessagePack("list", listAnswer{Entries: []keyAnswer{listed}, More: true, Revision: 1 << 33}),
		goldenbytes.MessagePack("revision", revisionAnswer{Revision: 1 << 33}),
		goldenbytes.MessagePack("conflict", conflictAnswer{Failed: []string{"leader"}, Revision: 1 << 33}),
		goldenbytes.MessagePack("lease request", leaseRequest{TTL: 1500}),
		goldenbytes.MessagePack("lease", leaseAnswer{Lease: 300}),
		goldenbytes.MessagePack("watch", watchAnswer{Revision: 1 << 33, Events: []eventAnswer{{Write: "leader", Drop: "page/000002", Value: value, Mark: 300}}}),
		goldenbytes.MessagePack("error", errorAnswer{Error: "no such lease"}),
		goldenbytes.JSON("report", Report{Revision: 1 << 33, Keys: 3, Leases: 2, Snapshot: "snapshot-0000000000000001", Snapshots: []string{"a"},
			Segments: []string{"b"}, Frames: 4, LogBytes: 5, SnapBytes: 6, Torn: 7, Passed: []string{"c"}, Unused: []string{"d"}}),
		goldenbytes.JSON("key report", Key{Key: "leader", Bytes: 12, Mark: 1 << 33, Lease: 300}),
		goldenbytes.Bytes("segment header", segmentHead{segment: 5, first: 900, revision: 70_000}.encode(), func(raw []byte) ([]byte, error) {
			h, ok := parseSegmentHead(raw)
			if !ok {
				t.Error("the segment's header cannot be read")
			}
			return h.encode(), nil
		}),
		goldenbytes.Bytes("frame", appendFrame(nil, 900, storedRecords()), func(raw []byte) ([]byte, error) {
			number, payload, rest, ok := cutFrame(raw)
			if !ok || len(rest) != 0 {
				t.Error("the frame cannot be read")
			}
			replayed := newContent()
			err := replayed.replay(payload)
			if replayed.revision != 70_001 || replayed.granted != 300 || replayed.tree.Len() != 0 {
				t.Errorf("replayed to revision %d, lease %d, %d keys", replayed.revision, replayed.granted, replayed.tree.Len())
			}
			return appendFrame(nil, number, payload), err
		}),
		goldenbytes.Bytes("snapshot", snapshot, func(raw []byte) ([]byte, error) {
			c, segment, next, err := readSnapshot("snapshot", raw)
			if err != nil {
				return nil, err
			}
			return storedSnapshot(c, segment, next)
		}),
	)
}
