package archive

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
)

// segmentReader reads the keys of a segment in ascending order, with their payloads.
type segmentReader struct {
	segment   *Segment
	keys      roaring64.IntPeekable64
	parts     []string
	remaining []byte // unread rest of the current part
	nextPart  int
	rank      uint64 // of the next key
}

func newSegmentReader(segment *Segment, parts []string) (*segmentReader, error) {
	if len(parts) != len(segment.partStarts) {
		return nil, fmt.Errorf("segment %d: read %d data parts, expected %d", segment.Number, len(parts), len(segment.partStarts))
	}
	return &segmentReader{segment: segment, keys: segment.keys.Iterator(), parts: parts}, nil
}

// isAt reports whether the next key is key.
func (r *segmentReader) isAt(key uint64) bool { return r.keys.HasNext() && r.keys.PeekNext() == key }

// next returns the payload of the next key and advances the reader. There must be a next key.
func (r *segmentReader) next() (payload []byte, err error) {
	if r.nextPart < len(r.parts) && r.segment.partStarts[r.nextPart] == r.rank {
		if r.remaining, err = base64.RawStdEncoding.DecodeString(r.parts[r.nextPart]); err != nil {
			return nil, fmt.Errorf("segment %d: decode data part %d: %w", r.segment.Number, r.nextPart, err)
		}
		r.nextPart++
	}
	key := r.keys.Next()
	r.rank++
	if payload, r.remaining, err = splitPayload(r.remaining, key >= hashedKeyBit); err != nil {
		return nil, fmt.Errorf("segment %d, key %d: %w", r.segment.Number, key, err)
	}
	return payload, nil
}

// compaction merges segments into one segment of the next level. Each step merges a limited number of keys, so that it does not block the
// event loop.
type compaction struct {
	sources []*segmentReader
	builder *segmentBuilder
}

func newCompaction(number uint64, segments []*Segment, data [][]string, maxPartBytes int) (*compaction, error) {
	c := &compaction{}
	level := 0
	for i, segment := range segments {
		reader, err := newSegmentReader(segment, data[i])
		if err != nil {
			return nil, err
		}
		c.sources = append(c.sources, reader)
		level = max(level, segment.Level+1)
	}
	c.builder = newSegmentBuilder(number, level, maxPartBytes)
	return c, nil
}

// step merges at most the given number of keys. done is true once all keys are merged.
func (c *compaction) step(keys int) (done bool, err error) {
	for range keys {
		key, ok := c.leastKey()
		if !ok {
			return true, nil
		}
		if err := c.mergeKey(key); err != nil {
			return false, err
		}
	}
	return false, nil
}

// leastKey returns the smallest key that is not merged yet. ok is false if all keys are merged.
func (c *compaction) leastKey() (least uint64, ok bool) {
	for _, source := range c.sources {
		if !source.keys.HasNext() {
			continue
		}
		if key := source.keys.PeekNext(); !ok || key < least {
			least, ok = key, true
		}
	}
	return least, ok
}

func (c *compaction) mergeKey(key uint64) error {
	merge := c.mergeExact
	if key >= hashedKeyBit {
		merge = c.mergeHashed
	}
	payload, jobCount, err := merge(key)
	if err != nil {
		return err
	}
	c.builder.add(key, payload, jobCount)
	return nil
}

// mergeExact returns the payload of an exact key, which belongs to one job. It returns an error if more than one segment has the key.
func (c *compaction) mergeExact(key uint64) (payload []byte, jobCount int, err error) {
	for _, source := range c.sources {
		if !source.isAt(key) {
			continue
		}
		next, err := source.next()
		if err != nil {
			return nil, 0, err
		}
		if jobCount > 0 {
			return nil, 0, fmt.Errorf("key %d: in segment %d and in another source, expected in one", key, source.segment.Number)
		}
		payload, jobCount = next, 1
	}
	return payload, jobCount, nil
}

// mergeHashed combines the payloads of a hashed key, which belongs to all jobs whose IDs have this hash. Several segments may have the key.
func (c *compaction) mergeHashed(key uint64) (payload []byte, jobCount int, err error) {
	var all []byte
	var count uint64
	for _, source := range c.sources {
		if !source.isAt(key) {
			continue
		}
		next, err := source.next()
		if err != nil {
			return nil, 0, err
		}
		n, rest, err := readUvarint(next)
		if err != nil {
			return nil, 0, err
		}
		all, count = append(all, rest...), count+n
	}
	return append(binary.AppendUvarint(nil, count), all...), int(count), nil
}
