package archive

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
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
	Tasks     int
}

// FinishedJob is a finished job.
type FinishedJob struct {
	ID string
	FinalState
}

const (
	// maxExactDigits is up to how many digits an id is a key by itself. Longer ids are hashed:
	// the index then says only that a run may hold them, and its data tells.
	maxExactDigits = 9
	// hashedKeyBit is set in the keys of hashed ids, which sort behind all others.
	hashedKeyBit = uint64(1) << 32
	// hashBits is how much of a hash is kept. Fewer would send more new submissions to the
	// data (1 in 270 with a million jobs), more would spread a run over so many containers of
	// its bitmap that they outweigh the ids.
	hashBits = 28

	jobIDPrefix = "job-"
	maxDigits   = 32
)

// keyOf maps an id to its key. Two ids of up to exactDigits digits never share one.
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
	h.Write([]byte(digits))
	return hashedKeyBit | uint64(h.Sum32()>>(32-hashBits)), true
}

// Segment is a sealed set of finished jobs: the index, which a leader holds, and the data, which
// stays in the state service until somebody asks.
type Segment struct {
	Number     uint64
	Level      int
	JobCount   int // jobs; more than keys where hashes collide
	indexParts int // parts of the index
	ids        *roaring64.Bitmap
	cancelled  *roaring64.Bitmap // of those whose key is exact
	partStarts []uint64          // rank of the first key of each part of the data
}

// SegmentRecord is a run as the ledger's head names it.
type SegmentRecord struct {
	Level      int `msgpack:"l" json:"l"`
	JobCount   int `msgpack:"c" json:"c"`
	IndexParts int `msgpack:"i" json:"i"`
	DataParts  int `msgpack:"d" json:"d"`
}

// record is what the head keeps of the run.
func (r *Segment) record() SegmentRecord {
	return SegmentRecord{r.Level, r.JobCount, r.indexParts, len(r.partStarts)}
}

// rank is the key's position among the run's keys.
func (r *Segment) rank(key uint64) uint64 { return r.ids.Rank(key) - 1 }

// locate is the part of the data that holds a rank, and the rank's place in it.
func (r *Segment) locate(rank uint64) (part, place int) {
	i := sort.Search(len(r.partStarts), func(i int) bool { return r.partStarts[i] > rank }) - 1
	return i, int(rank - r.partStarts[i])
}

// segmentBuilder takes keys in ascending order and makes a run of them.
type segmentBuilder struct {
	maxPartBytes int // bytes of text that a part may hold
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

func (b *segmentBuilder) add(key uint64, payload []byte, jobs int) {
	crossing := key >= hashedKeyBit && b.lastKey < hashedKeyBit // exact and hashed keys never share a part
	if b.partOpen && (crossing || base64.RawStdEncoding.EncodedLen(len(b.part)+len(payload)) > b.maxPartBytes) {
		b.closePart()
	}
	if !b.partOpen {
		b.partOpen = true
		b.segment.partStarts = append(b.segment.partStarts, b.nextRank)
	}
	b.part = append(b.part, payload...)
	b.segment.ids.Add(key)
	if v, _ := binary.Uvarint(payload); key < hashedKeyBit && v&1 == 1 {
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

// finish gives the run, the texts of its data and of its index.
func (b *segmentBuilder) finish() (r *Segment, data, index []string, err error) {
	if b.partOpen {
		b.closePart()
	}
	r = b.segment
	r.ids.RunOptimize()
	r.cancelled.RunOptimize()
	raw := binary.AppendUvarint(nil, uint64(len(r.partStarts)))
	before := uint64(0)
	for _, s := range r.partStarts {
		raw = binary.AppendUvarint(raw, s-before)
		before = s
	}
	for _, m := range []*roaring64.Bitmap{r.ids, r.cancelled} {
		bytes, err := m.ToBytes()
		if err != nil {
			return nil, nil, nil, fmt.Errorf("index of run %d: %w", r.Number, err)
		}
		raw = binary.AppendUvarint(raw, uint64(len(bytes)))
		raw = append(raw, bytes...)
	}
	text := base64.RawStdEncoding.EncodeToString(raw)
	for len(text) > 0 {
		n := min(len(text), b.maxPartBytes)
		index = append(index, text[:n])
		text = text[n:]
	}
	r.indexParts = len(index)
	return r, b.dataParts, index, nil
}

// payloads encodes the jobs that share a key.
func encodePayload(key uint64, jobs []FinishedJob) []byte {
	if key < hashedKeyBit {
		return appendFinalState(nil, jobs[0].FinalState)
	}
	out := binary.AppendUvarint(nil, uint64(len(jobs)))
	for _, e := range jobs {
		digits := strings.TrimPrefix(e.ID, jobIDPrefix)
		out = append(out, byte(len(digits)))
		out = append(out, digits...)
		out = appendFinalState(out, e.FinalState)
	}
	return out
}

func appendFinalState(out []byte, f FinalState) []byte {
	v := uint64(f.Tasks) << 1
	if f.Cancelled {
		v |= 1
	}
	return binary.AppendUvarint(out, v)
}

// buildSegment makes a run of finished jobs.
func buildSegment(number uint64, entries []FinishedJob, maxPartBytes int) (segment *Segment, data, index []string, err error) {
	type keyed struct {
		key uint64
		FinishedJob
	}
	list := make([]keyed, 0, len(entries))
	for _, e := range entries {
		key, ok := keyOf(e.ID)
		if !ok {
			return nil, nil, nil, fmt.Errorf("run %d: %q is no job", number, e.ID)
		}
		list = append(list, keyed{key, e})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].key != list[j].key {
			return list[i].key < list[j].key
		}
		return list[i].ID < list[j].ID
	})
	builder := newSegmentBuilder(number, 0, maxPartBytes)
	for i := 0; i < len(list); {
		var same []FinishedJob
		key := list[i].key
		for ; i < len(list) && list[i].key == key; i++ {
			same = append(same, list[i].FinishedJob)
		}
		if key < hashedKeyBit && len(same) > 1 {
			return nil, nil, nil, fmt.Errorf("run %d: %s is there twice", number, same[0].ID)
		}
		builder.add(key, encodePayload(key, same), len(same))
	}
	return builder.finish()
}

var errTruncated = errors.New("it ends early")

// parseSegment reads a run's index.
func parseSegment(number uint64, record SegmentRecord, index []string) (*Segment, error) {
	raw, err := base64.RawStdEncoding.DecodeString(strings.Join(index, ""))
	if err != nil {
		return nil, fmt.Errorf("index of run %d: %w", number, err)
	}
	segment := &Segment{Number: number, Level: record.Level, JobCount: record.JobCount, indexParts: len(index)}
	fail := func(err error) (*Segment, error) { return nil, fmt.Errorf("index of run %d: %w", number, err) }
	n, raw, err := readUvarint(raw)
	if err != nil || n > uint64(len(raw)) {
		return fail(errTruncated)
	}
	at := uint64(0)
	for range n {
		var d uint64
		if d, raw, err = readUvarint(raw); err != nil {
			return fail(err)
		}
		at += d
		segment.partStarts = append(segment.partStarts, at)
	}
	for _, m := range []**roaring64.Bitmap{&segment.ids, &segment.cancelled} {
		var size uint64
		if size, raw, err = readUvarint(raw); err != nil || size > uint64(len(raw)) {
			return fail(errTruncated)
		}
		*m = roaring64.New()
		if err := (*m).UnmarshalBinary(raw[:size]); err != nil {
			return fail(err)
		}
		raw = raw[size:]
	}
	if len(index) != record.IndexParts || len(segment.partStarts) != record.DataParts {
		return fail(
			fmt.Errorf("%d and %d parts, the head says %d and %d", len(index), len(segment.partStarts), record.IndexParts, record.DataParts),
		)
	}
	return segment, nil
}

func readUvarint(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errTruncated
	}
	return v, b[n:], nil
}

// splitPayload takes the payload of one key off the front of a part.
func splitPayload(b []byte, hashed bool) (first, rest []byte, err error) {
	whole := b
	n := uint64(1)
	if hashed {
		if n, b, err = readUvarint(b); err != nil {
			return nil, nil, err
		}
	}
	for range n {
		if hashed {
			if len(b) == 0 || len(b) < 1+int(b[0]) {
				return nil, nil, errTruncated
			}
			b = b[1+int(b[0]):]
		}
		if _, b, err = readUvarint(b); err != nil {
			return nil, nil, err
		}
	}
	return whole[:len(whole)-len(b)], b, nil
}

// findJob reads one job from a part of the data; known is false if the key's jobs are others.
func findJob(text string, place int, key uint64, id string) (state FinalState, found bool, err error) {
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return FinalState{}, false, err
	}
	hashed := key >= hashedKeyBit
	for range place {
		if _, b, err = splitPayload(b, hashed); err != nil {
			return FinalState{}, false, err
		}
	}
	n := uint64(1)
	if hashed {
		if n, b, err = readUvarint(b); err != nil {
			return FinalState{}, false, err
		}
	}
	for range n {
		if hashed {
			if len(b) == 0 || len(b) < 1+int(b[0]) {
				return FinalState{}, false, errTruncated
			}
			digits := string(b[1 : 1+int(b[0])])
			b = b[1+int(b[0]):]
			found = digits == strings.TrimPrefix(id, jobIDPrefix)
		} else {
			found = true
		}
		var v uint64
		if v, b, err = readUvarint(b); err != nil {
			return FinalState{}, false, err
		}
		if found {
			return FinalState{Cancelled: v&1 == 1, Tasks: int(v >> 1)}, true, nil
		}
	}
	return FinalState{}, false, nil
}
