package kvserver

import (
	"slices"
	"testing"
	"time"

	"gullrudder/internal/goldenbytes"
	"gullrudder/internal/wire/server"

	"github.com/vmihailenco/msgpack/v5"
)

// storedRecords returns the records of a log frame: a lease grant, a commit, and the end of the lease.
func storedRecords() []byte {
	out := appendLeaseGrantRecord(nil, 300, 1500*time.Millisecond)
	out = appendCommitRecord(
		out,
		70_000,
		[]change{{key: "a/1", value: []byte{0xa1, 'x'}, leaseID: 300}, {key: "a/2", value: []byte{0x07}}, {isDelete: true, key: "a/2"}},
	)
	return appendLeaseEndRecord(out, 300, 70_001)
}

// storedSnapshot returns a complete snapshot: its header, leases, keys, and number of keys.
func storedSnapshot(keys *keyspace, segment, next uint64) ([]byte, error) {
	view := keys.Freeze()
	view.segment, view.nextFrame = segment, next
	file := &memoryFile{}
	snapshot := &SnapshotWriter{view: view, file: file, stage: stageBlocks}
	if err := snapshot.append(append(view.encodeHeader(), encodeBlock(view.encodeLeases())...)); err != nil {
		return nil, err
	}
	for snapshot.stage == stageBlocks {
		if err := snapshot.writeBlock(); err != nil {
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
	goldenbytes.Check(t, slices.Concat(messageCases(), inspectionCases(), formatCases(t))...)
}

func messageCases() []goldenbytes.Case {
	value := msgpack.RawMessage{0x81, 0xa1, 'a', 0xa4, 'h', 'o', 's', 't'}
	listed := keyResponse{Key: "page/000001", Value: value, ModRevision: 1 << 33, LeaseID: 300}
	return []goldenbytes.Case{
		goldenbytes.MessagePack("transaction", transaction{
			Preconditions: []precondition{{Key: "leader", ModRevision: 1 << 33}},
			Operations:    []operation{{WriteKey: "page/000001", DeleteKey: "page/000002", Value: value, LeaseID: 300}},
		}),
		goldenbytes.MessagePack("key", listed),
		goldenbytes.MessagePack("list", listResponse{Entries: []keyResponse{listed}, HasMore: true, Revision: 1 << 33}),
		goldenbytes.MessagePack("revision", revisionResponse{Revision: 1 << 33}),
		goldenbytes.MessagePack("conflict", conflictResponse{FailedKeys: []string{"leader"}, Revision: 1 << 33}),
		goldenbytes.MessagePack("lease request", leaseRequest{TTLMillis: 1500}),
		goldenbytes.MessagePack("lease", leaseResponse{LeaseID: 300}),
		goldenbytes.MessagePack("watch", watchResponse{
			Revision: 1 << 33,
			Events:   []eventResponse{{WrittenKey: "leader", DeletedKey: "page/000002", Value: value, ModRevision: 300}},
		}),
		goldenbytes.MessagePack("error", server.ErrorResponse{Error: "no such lease"}),
	}
}

func inspectionCases() []goldenbytes.Case {
	return []goldenbytes.Case{
		goldenbytes.JSON("report", Inspection{
			Revision: 1 << 33, Keys: 3, Leases: 2, Snapshot: "snapshot-0000000000000001", Snapshots: []string{"a"}, Segments: []string{"b"},
			Frames: 4, LogBytes: 5, SnapshotBytes: 6, TornBytes: 7, SkippedDamage: []string{"c"}, UnfinishedSnapshots: []string{"d"},
		}),
		goldenbytes.JSON("key report", KeyInfo{Key: "leader", ValueBytes: 12, ModRevision: 1 << 33, LeaseID: 300}),
	}
}

func formatCases(t *testing.T) []goldenbytes.Case {
	t.Helper()
	k := newKeyspace()
	k.addLease(299, 1500*time.Millisecond, time.Time{}, nil)
	k.addLease(300, 1500*time.Millisecond, time.Time{}, nil)
	k.apply(70_000, []change{{key: "a/1", value: []byte{0xa1, 'x'}, leaseID: 300}, {key: "a/2", value: []byte{0x07}}}, nil)
	snapshot, err := storedSnapshot(k, 5, 900)
	if err != nil {
		t.Fatal(err)
	}
	segment := segmentHeader{segment: 5, firstFrame: 900, revision: 70_000}.encode()
	return []goldenbytes.Case{
		goldenbytes.Bytes("segment header", segment, func(raw []byte) ([]byte, error) {
			header, ok := parseSegmentHeader(raw)
			if !ok {
				t.Error("parse segment header: got not ok, want ok")
			}
			return header.encode(), nil
		}),
		goldenbytes.Bytes("frame", appendFrame(nil, 900, storedRecords()), func(raw []byte) ([]byte, error) {
			number, payload, rest, ok := parseFrame(raw)
			if !ok || len(rest) != 0 {
				t.Errorf("parse frame: got ok %v with %d bytes left, want true with 0", ok, len(rest))
			}
			replayed := newKeyspace()
			err := replayed.replayRecords(payload)
			if replayed.revision != 70_001 || replayed.lastLeaseID != 300 || replayed.tree.Len() != 0 {
				t.Errorf(
					"replayed frame: got revision %d, last lease %d, %d keys, want 70001, 300, 0",
					replayed.revision, replayed.lastLeaseID, replayed.tree.Len(),
				)
			}
			return appendFrame(nil, number, payload), err
		}),
		goldenbytes.Bytes("snapshot", snapshot, func(raw []byte) ([]byte, error) {
			content, err := readSnapshot("snapshot", raw)
			if err != nil {
				return nil, err
			}
			return storedSnapshot(content.keyspace, content.segment, content.nextFrame)
		}),
	}
}
