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

// finishedJob is a finished job.
type finishedJob struct {
	ID string
	jobs.FinalState
}

const (
	// maxExactDigits is the largest number of digits with which an ID is mapped to a key of its own. Longer IDs are hashed: for these
	// the index shows only that a segment may have the job, and the data decides.
	maxExactDigits = 9
	// hashedKeyBit is set in the keys of hashed IDs, so that they sort after all others.
	hashedKeyBit = uint64(1) << 32
	// hashBits is the number of bits of a hash that are kept. With fewer bits more submissions would need a lookup in the data (1 in
	// 270 with a million jobs); with more bits the containers of a segment's bitmap would be larger than the IDs.
	hashBits = 28

	jobIDPrefix = "job-"
	maxDigits   = 32
)

// keyOf maps an ID to its key. Two IDs of up to maxExactDigits digits never share one.
func keyOf(id string) (key uint64, ok bool) {
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

// Segment is an immutable set of finished jobs: its index, which a leader has in memory, and its data, which is read from the state
// service when it is needed.
type Segment struct {
	Number     uint64
	Level      int // number of compactions of its jobs
	JobCount   int // may exceed the number of keys, since hashed IDs can share a key
	indexParts int
	ids        *roaring64.Bitmap // keys
	cancelled  *roaring64.Bitmap // keys of cancelled jobs that are not hashed
	partStarts []uint64          // rank of the first key of each part of the data
}

// SegmentRecord is the entry of a segment in the archive's head.
type SegmentRecord struct {
	Level      int `msgpack:"l" json:"l"`
	JobCount   int `msgpack:"c" json:"c"`
	IndexParts int `msgpack:"i" json:"i"`
	DataParts  int `msgpack:"d" json:"d"`
}

// record returns the entry of the segment in the head.
func (s *Segment) record() SegmentRecord {
	return SegmentRecord{Level: s.Level, JobCount: s.JobCount, IndexParts: s.indexParts, DataParts: len(s.partStarts)}
}

// rank returns the position of a key among the segment's keys, from 0.
func (s *Segment) rank(key uint64) uint64 { return s.ids.Rank(key) - 1 }

// locate is the part of the data that has a rank, and the rank's place in it.
func (s *Segment) locate(rank uint64) (part, position int) {
	i := sort.Search(len(s.partStarts), func(i int) bool { return s.partStarts[i] > rank }) - 1
	return i, int(rank - s.partStarts[i])
}

// builtSegment is a new segment with the texts of its parts.
type builtSegment struct {
	segment *Segment
	data    []string
	index   []string
}

// segmentBuilder builds a segment from keys in ascending order.
type segmentBuilder struct {
	maxPartBytes int // limit of the text of a part
	segment      *Segment
	nextRank     uint64
	lastKey      uint64
	partOpen     bool // part is in use, though it may be empty
	part         []byte
	dataParts    []string
}

func newSegmentBuilder(number uint64, level, maxPartBytes int) *segmentBuilder {
	return &segmentBuilder{
		maxPartBytes: maxPartBytes,
		segment:      &Segment{Number: number, Level: level, ids: roaring64.New(), cancelled: roaring64.New()},
	}
}

// add adds a key with the payload of its jobs. Exact and hashed keys are never in the same part.
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
	b.segment.ids.Add(key)
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

// finish returns the segment. Nothing may be added after that.
func (b *segmentBuilder) finish() (builtSegment, error) {
	if b.partOpen {
		b.closePart()
	}
	b.segment.ids.RunOptimize()
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

// buildSegment builds a segment of finished jobs.
func buildSegment(number uint64, finishedJobs []finishedJob, maxPartBytes int) (builtSegment, error) {
	keys := make(map[string]uint64, len(finishedJobs))
	for _, job := range finishedJobs {
		key, ok := keyOf(job.ID)
		if !ok {
			return builtSegment{}, fmt.Errorf("segment %d: %q is no job", number, job.ID)
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
			return builtSegment{}, fmt.Errorf("segment %d: %s is there twice", number, sorted[0].ID)
		}
		builder.add(key, encodePayload(key, sorted[:n]), n)
		sorted = sorted[n:]
	}
	return builder.finish()
}
