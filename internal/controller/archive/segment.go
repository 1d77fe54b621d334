package archive

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"sort"
	"strconv"
	"strings"

	"gullrudder/internal/controller/jobs"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
)

// finishedJob is a finished job that is archived.
type finishedJob struct {
	ID string
	jobs.FinalState
}

const (
	// maxExactDigits is the maximum number of digits of an ID that has an index key of its own, an exact key. Longer IDs are hashed. For
	// a hashed ID the index shows only that a segment may have the job; its data must be read to decide.
	maxExactDigits = 9
	// hashedKeyBit is set in the keys of hashed IDs, so that these sort after all exact keys.
	hashedKeyBit = uint64(1) << 32
	// hashBits is the number of bits of a hash that are kept. With fewer bits more submissions would need a lookup in the data (1 in
	// 270 with a million jobs). With more bits the containers of a segment's bitmap would be larger than the IDs.
	hashBits = 28

	jobIDPrefix = "job-"
	maxDigits   = 32
)

// jobKey returns the index key of a job ID. ok is false if the ID is invalid. Only IDs with more than maxExactDigits digits can share a
// key.
func jobKey(id string) (key uint64, ok bool) {
	digits, found := strings.CutPrefix(id, jobIDPrefix)
	if !found || digits == "" || len(digits) > maxDigits {
		return 0, false
	}
	if len(digits) <= maxExactDigits {
		n, err := strconv.ParseUint("1"+digits, 10, 64)
		return n, err == nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(digits)) // a hash never returns an error
	return hashedKeyBit | uint64(h.Sum32()>>(32-hashBits)), true
}

// Segment is the index of an immutable set of finished jobs. A leader keeps the index in memory. The data of the segment is read from the
// state service when it is needed.
type Segment struct {
	Number     uint64
	Level      int // 0 for a new segment, else one more than the highest level that was compacted into it
	JobCount   int // may exceed the number of keys, since hashed IDs can share a key
	indexParts int
	keys       *roaring64.Bitmap // keys of all jobs
	cancelled  *roaring64.Bitmap // exact keys of cancelled jobs
	partStarts []uint64          // for each data part, the rank of its first key
}

// SegmentRecord is the stored entry of a segment in the archive's head.
type SegmentRecord struct {
	Level      int `msgpack:"l" json:"l"`
	JobCount   int `msgpack:"c" json:"c"`
	IndexParts int `msgpack:"i" json:"i"`
	DataParts  int `msgpack:"d" json:"d"`
}

// record returns the segment's entry in the archive's head.
func (s *Segment) record() SegmentRecord {
	return SegmentRecord{Level: s.Level, JobCount: s.JobCount, IndexParts: s.indexParts, DataParts: len(s.partStarts)}
}

// rank returns the position of a key among the segment's sorted keys, counted from 0. The segment must have the key.
func (s *Segment) rank(key uint64) uint64 { return s.keys.Rank(key) - 1 }

// locate returns the index of the data part that has the key with this rank, and the position of the key in that part.
func (s *Segment) locate(rank uint64) (part, position int) {
	i := sort.Search(len(s.partStarts), func(i int) bool { return s.partStarts[i] > rank }) - 1
	return i, int(rank - s.partStarts[i])
}

// builtSegment is a new segment with the texts of its data and index parts.
type builtSegment struct {
	segment *Segment
	data    []string
	index   []string
}

// segmentBuilder builds a segment from keys that are added in ascending order.
type segmentBuilder struct {
	maxPartBytes int // maximum length of the text of a part
	segment      *Segment
	nextRank     uint64
	lastKey      uint64
	partOpen     bool // part has payloads and is not closed yet
	part         []byte
	dataParts    []string
}

func newSegmentBuilder(number uint64, level, maxPartBytes int) *segmentBuilder {
	return &segmentBuilder{
		maxPartBytes: maxPartBytes,
		segment:      &Segment{Number: number, Level: level, keys: roaring64.New(), cancelled: roaring64.New()},
	}
}

// add adds a key with the payload of its jobs. Exact and hashed keys go to different parts, since their payloads are encoded differently.
func (b *segmentBuilder) add(key uint64, payload []byte, jobCount int) {
	isFirstHashed := key >= hashedKeyBit && b.lastKey < hashedKeyBit
	if b.partOpen && (isFirstHashed || base64.RawStdEncoding.EncodedLen(len(b.part)+len(payload)) > b.maxPartBytes) {
		b.closePart()
	}
	if !b.partOpen {
		b.partOpen = true
		b.segment.partStarts = append(b.segment.partStarts, b.nextRank)
	}
	b.part = append(b.part, payload...)
	b.segment.keys.Add(key)
	if state, _ := binary.Uvarint(payload); key < hashedKeyBit && state&cancelledBit != 0 {
		b.segment.cancelled.Add(key)
	}
	b.segment.JobCount += jobCount
	b.nextRank++
	b.lastKey = key
}

func (b *segmentBuilder) closePart() {
	b.dataParts = append(b.dataParts, base64.RawStdEncoding.EncodeToString(b.part))
	b.part, b.partOpen = b.part[:0], false
}

// finish completes the segment and returns it. No key may be added afterwards.
func (b *segmentBuilder) finish() (builtSegment, error) {
	if b.partOpen {
		b.closePart()
	}
	b.segment.keys.RunOptimize()
	b.segment.cancelled.RunOptimize()
	raw, err := encodeIndex(b.segment)
	if err != nil {
		return builtSegment{}, &IndexError{Segment: b.segment.Number, Err: err}
	}
	var index []string
	text := base64.RawStdEncoding.EncodeToString(raw)
	for len(text) > 0 {
		n := min(len(text), b.maxPartBytes)
		index = append(index, text[:n])
		text = text[n:]
	}
	b.segment.indexParts = len(index)
	return builtSegment{segment: b.segment, data: b.dataParts, index: index}, nil
}

// buildSegment builds a segment of level 0 from finished jobs, which may be in any order.
func buildSegment(number uint64, finishedJobs []finishedJob, maxPartBytes int) (builtSegment, error) {
	keys := make(map[string]uint64, len(finishedJobs))
	for _, job := range finishedJobs {
		key, ok := jobKey(job.ID)
		if !ok {
			return builtSegment{}, fmt.Errorf("segment %d: job ID %q: expected %q and 1 to %d digits", number, job.ID, jobIDPrefix, maxDigits)
		}
		keys[job.ID] = key
	}
	sorted := append([]finishedJob(nil), finishedJobs...)
	sort.Slice(sorted, func(i, j int) bool {
		if keyI, keyJ := keys[sorted[i].ID], keys[sorted[j].ID]; keyI != keyJ {
			return keyI < keyJ
		}
		return sorted[i].ID < sorted[j].ID
	})
	builder := newSegmentBuilder(number, 0, maxPartBytes)
	for len(sorted) > 0 {
		key := keys[sorted[0].ID]
		n := 1
		for n < len(sorted) && keys[sorted[n].ID] == key {
			n++
		}
		if key < hashedKeyBit && n > 1 {
			return builtSegment{}, fmt.Errorf("segment %d: job %s occurs %d times, expected once", number, sorted[0].ID, n)
		}
		builder.add(key, encodePayload(key, sorted[:n]), n)
		sorted = sorted[n:]
	}
	return builder.finish()
}
