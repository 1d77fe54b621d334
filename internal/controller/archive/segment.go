package archive

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"sort"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
)

// FinalState is what is kept of a finished job.
type FinalState struct {
	Cancelled bool
	Tasks     int // how many the job had
}

// FinishedJob is a finished job.
type FinishedJob struct {
	ID string
	FinalState
}

const (
	// maxExactDigits is up to how many digits an ID is a key by itself. Longer IDs are hashed: the index then says only that a
	// segment may hold them, and its data tells.
	maxExactDigits = 9
	// hashedKeyBit is set in the keys of hashed IDs, which sort behind all others.
	hashedKeyBit = uint64(1) << 32
	// hashBits is how much of a hash is kept. Fewer would send more new submissions to the data (1 in 270 with a million jobs),
	// more would spread a segment over so many containers of its bitmap that they take more space than the IDs.
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

// Segment is a set of finished jobs that does not change any more: the index, which a leader holds, and the data, which stays in the
// state service until somebody asks.
type Segment struct {
	Number     uint64
	Level      int // how often its jobs have been compacted
	JobCount   int // may be more than the keys, since hashed IDs can share one
	indexParts int
	ids        *roaring64.Bitmap // keys
	cancelled  *roaring64.Bitmap // keys of cancelled jobs that are not hashed
	partStarts []uint64          // rank of the first key of each part of the data
}

// SegmentRecord is a segment as the archive's head names it.
type SegmentRecord struct {
	Level      int `msgpack:"l" json:"l"`
	JobCount   int `msgpack:"c" json:"c"`
	IndexParts int `msgpack:"i" json:"i"`
	DataParts  int `msgpack:"d" json:"d"`
}

// record is what the head keeps of the segment.
func (s *Segment) record() SegmentRecord {
	return SegmentRecord{Level: s.Level, JobCount: s.JobCount, IndexParts: s.indexParts, DataParts: len(s.partStarts)}
}

// rank is the key's position among the segment's keys.
func (s *Segment) rank(key uint64) uint64 { return s.ids.Rank(key) - 1 }

// locate is the part of the data that holds a rank, and the rank's place in it.
func (s *Segment) locate(rank uint64) (part, position int) {
	i := sort.Search(len(s.partStarts), func(i int) bool { return s.partStarts[i] > rank }) - 1
	return i, int(rank - s.partStarts[i])
}

// builtSegment is a new segment with the texts that are to be stored.
type builtSegment struct {
	segment *Segment
	data    []string
	index   []string
}

// segmentBuilder takes keys in ascending order and makes a segment of them.
type segmentBuilder struct {
	maxPartBytes int // of text
	segment      *Segment
	nextRank     uint64
	lastKey      uint64
	partOpen     bool // a part has been begun
	part         []byte
	dataParts    []string
}

func newSegmentBuilder(number uint64, level, maxPartBytes int) *segmentBuilder {
	return &segmentBuilder{
		maxPartBytes: maxPartBytes,
		segment:      &Segment{Number: number, Level: level, ids: roaring64.New(), cancelled: roaring64.New()},
	}
}

// add adds a key with the payload of its jobs. Exact and hashed keys never share a part.
func (b *segmentBuilder) add(key uint64, payload []byte, jobs int) {
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
	b.segment.JobCount += jobs
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

// buildSegment makes a segment of finished jobs.
func buildSegment(number uint64, jobs []FinishedJob, maxPartBytes int) (builtSegment, error) {
	keys := make(map[string]uint64, len(jobs))
	for _, job := range jobs {
		key, ok := keyOf(job.ID)
		if !ok {
			return builtSegment{}, fmt.Errorf("segment %d: %q is no job", number, job.ID)
		}
		keys[job.ID] = key
	}
	sorted := append([]FinishedJob(nil), jobs...)
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
