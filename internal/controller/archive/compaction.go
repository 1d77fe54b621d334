package archive

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
)

// segmentReader walks one run that is merged.
type segmentReader struct {
	segment   *Segment
	ids       roaring64.IntPeekable64
	parts     []string
	remaining []byte
	nextPart  int // part of the data to be opened next
	rank      uint64
}

func newSegmentReader(r *Segment, data []string) (*segmentReader, error) {
	if len(data) != len(r.partStarts) {
		return nil, fmt.Errorf("run %d: %d parts of %d", r.Number, len(data), len(r.partStarts))
	}
	return &segmentReader{segment: r, ids: r.ids.Iterator(), parts: data}, nil
}

// next gives the next key and its payload.
func (s *segmentReader) next() (key uint64, first []byte, err error) {
	if s.nextPart < len(s.parts) && s.segment.partStarts[s.nextPart] == s.rank {
		if s.remaining, err = base64.RawStdEncoding.DecodeString(s.parts[s.nextPart]); err != nil {
			return 0, nil, fmt.Errorf("run %d: %w", s.segment.Number, err)
		}
		s.nextPart++
	}
	key = s.ids.Next()
	s.rank++
	if first, s.remaining, err = splitPayload(s.remaining, key >= hashedKeyBit); err != nil {
		return 0, nil, fmt.Errorf("run %d, key %d: %w", s.segment.Number, key, err)
	}
	return key, first, nil
}

// compaction is a merge under way. It goes on a bounded number of keys at a time, since the owner
// has other things to do.
type compaction struct {
	sources []*segmentReader
	builder *segmentBuilder
}

// step takes up to so many keys; done is true once all are taken.
func (m *compaction) step(keys int) (done bool, err error) {
	for range keys {
		least, found := uint64(0), false
		for _, s := range m.sources {
			if s.ids.HasNext() {
				if k := s.ids.PeekNext(); !found || k < least {
					least, found = k, true
				}
			}
		}
		if !found {
			return true, nil
		}
		var all []byte
		jobs := uint64(0)
		for _, s := range m.sources {
			if !s.ids.HasNext() || s.ids.PeekNext() != least {
				continue
			}
			_, p, err := s.next()
			if err != nil {
				return false, err
			}
			if least < hashedKeyBit {
				if jobs > 0 {
					return false, fmt.Errorf("key %d is in run %d and in another", least, s.segment.Number)
				}
				all, jobs = p, 1
				continue
			}
			n, rest, err := readUvarint(p)
			if err != nil {
				return false, err
			}
			all, jobs = append(all, rest...), jobs+n
		}
		if least >= hashedKeyBit {
			all = append(binary.AppendUvarint(nil, jobs), all...)
		}
		m.builder.add(least, all, int(jobs))
	}
	return false, nil
}
