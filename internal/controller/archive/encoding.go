package archive

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"gullrudder/internal/controller/jobs"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
)

// A segment is encoded as follows, before base64:
//
//	index    number of data parts; for each part the difference between the rank of its first key and that of the part before;
//	         bitmap of all keys; bitmap of the exact keys of cancelled jobs (roaring bitmaps, each preceded by its size)
//	data     the payloads in the order of the keys, divided into parts between two payloads
//	payload  of an exact key: the job's final state
//	         of a hashed key: the number of jobs; for each job the number of its digits, the digits, the final state
//
// All numbers are unsigned varints, except the number of digits, which is one byte.

// cancelledBit is set in an encoded final state if the job was cancelled. The higher bits are the task count.
const cancelledBit = 1

// errTruncated reports that an encoded segment ends early.
var errTruncated = errors.New("truncated")

// IndexError reports that a segment's index cannot be encoded or decoded.
type IndexError struct {
	Segment uint64 // number of the segment
	Err     error
}

// Error returns a message with the number of the segment and the reason.
func (e *IndexError) Error() string { return fmt.Sprintf("index of segment %d: %v", e.Segment, e.Err) }

// Unwrap returns why the index cannot be encoded or decoded.
func (e *IndexError) Unwrap() error { return e.Err }

func encodeIndex(segment *Segment) ([]byte, error) {
	raw := binary.AppendUvarint(nil, uint64(len(segment.partStarts)))
	previous := uint64(0)
	for _, start := range segment.partStarts {
		raw = binary.AppendUvarint(raw, start-previous)
		previous = start
	}
	for _, bitmap := range []*roaring64.Bitmap{segment.keys, segment.cancelled} {
		bytes, err := bitmap.ToBytes()
		if err != nil {
			return nil, fmt.Errorf("encode bitmap: %w", err)
		}
		raw = binary.AppendUvarint(raw, uint64(len(bytes)))
		raw = append(raw, bytes...)
	}
	return raw, nil
}

// parseSegment decodes a segment's index from its parts. An error is an *IndexError.
func parseSegment(number uint64, record SegmentRecord, index []string) (*Segment, error) {
	segment := &Segment{Number: number, Level: record.Level, JobCount: record.JobCount, indexParts: len(index)}
	if err := segment.decodeIndex(strings.Join(index, "")); err != nil {
		return nil, &IndexError{Segment: number, Err: err}
	}
	if len(index) != record.IndexParts || len(segment.partStarts) != record.DataParts {
		err := fmt.Errorf("%d index parts and %d data parts, the archive head has %d and %d",
			len(index), len(segment.partStarts), record.IndexParts, record.DataParts)
		return nil, &IndexError{Segment: number, Err: err}
	}
	return segment, nil
}

func (s *Segment) decodeIndex(text string) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("decode base64: %w", err)
	}
	parts, raw, err := readUvarint(raw)
	if err != nil || parts > uint64(len(raw)) {
		return errTruncated
	}
	start := uint64(0)
	for range parts {
		var difference uint64
		if difference, raw, err = readUvarint(raw); err != nil {
			return err
		}
		start += difference
		s.partStarts = append(s.partStarts, start)
	}
	if s.keys, raw, err = readBitmap(raw); err != nil {
		return err
	}
	s.cancelled, _, err = readBitmap(raw)
	return err
}

func readBitmap(raw []byte) (bitmap *roaring64.Bitmap, rest []byte, err error) {
	size, raw, err := readUvarint(raw)
	if err != nil || size > uint64(len(raw)) {
		return nil, nil, errTruncated
	}
	bitmap = roaring64.New()
	if err := bitmap.UnmarshalBinary(raw[:size]); err != nil {
		return nil, nil, fmt.Errorf("decode bitmap: %w", err)
	}
	return bitmap, raw[size:], nil
}

func readUvarint(raw []byte) (value uint64, rest []byte, err error) {
	value, n := binary.Uvarint(raw)
	if n <= 0 {
		return 0, nil, errTruncated
	}
	return value, raw[n:], nil
}

// encodePayload encodes the jobs that share a key. An exact key has one job.
func encodePayload(key uint64, finishedJobs []finishedJob) []byte {
	if key < hashedKeyBit {
		return appendFinalState(nil, finishedJobs[0].FinalState)
	}
	raw := binary.AppendUvarint(nil, uint64(len(finishedJobs)))
	for _, job := range finishedJobs {
		digits := strings.TrimPrefix(job.ID, jobIDPrefix)
		raw = append(raw, byte(len(digits)))
		raw = append(raw, digits...)
		raw = appendFinalState(raw, job.FinalState)
	}
	return raw
}

func appendFinalState(raw []byte, final jobs.FinalState) []byte {
	value := uint64(final.Tasks) << 1
	if final.State == jobs.Cancelled {
		value |= cancelledBit
	}
	return binary.AppendUvarint(raw, value)
}

func readFinalState(raw []byte) (final jobs.FinalState, rest []byte, err error) {
	value, rest, err := readUvarint(raw)
	final = jobs.FinalState{State: jobs.Done, Tasks: int(value >> 1)}
	if value&cancelledBit != 0 {
		final.State = jobs.Cancelled
	}
	return final, rest, err
}

// readDigits reads the digits of a hashed ID.
func readDigits(raw []byte) (digits, rest []byte, err error) {
	if len(raw) == 0 || len(raw) < 1+int(raw[0]) {
		return nil, nil, errTruncated
	}
	end := 1 + int(raw[0])
	return raw[1:end], raw[end:], nil
}

// readJobCount reads the number of jobs at the beginning of a payload. It is not encoded in the payload of an exact key, which has one job.
func readJobCount(raw []byte, hashed bool) (count uint64, rest []byte, err error) {
	if !hashed {
		return 1, raw, nil
	}
	return readUvarint(raw)
}

// splitPayload returns the first payload of an encoded part, and the rest of the part.
func splitPayload(raw []byte, hashed bool) (payload, rest []byte, err error) {
	count, rest, err := readJobCount(raw, hashed)
	if err != nil {
		return nil, nil, err
	}
	for range count {
		if hashed {
			if _, rest, err = readDigits(rest); err != nil {
				return nil, nil, err
			}
		}
		if _, rest, err = readFinalState(rest); err != nil {
			return nil, nil, err
		}
	}
	return raw[:len(raw)-len(rest)], rest, nil
}

// findJob returns the final state of a job from the text of a data part. position is the number of keys in the part before the job's key.
// found is false if the key belongs only to other jobs.
func findJob(text string, position int, key uint64, jobID string) (state jobs.FinalState, found bool, err error) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return jobs.FinalState{}, false, fmt.Errorf("decode base64: %w", err)
	}
	hashed := key >= hashedKeyBit
	for range position {
		if _, raw, err = splitPayload(raw, hashed); err != nil {
			return jobs.FinalState{}, false, err
		}
	}
	count, raw, err := readJobCount(raw, hashed)
	if err != nil {
		return jobs.FinalState{}, false, err
	}
	for range count {
		isJob := true
		if hashed {
			var digits []byte
			if digits, raw, err = readDigits(raw); err != nil {
				return jobs.FinalState{}, false, err
			}
			isJob = string(digits) == strings.TrimPrefix(jobID, jobIDPrefix)
		}
		if state, raw, err = readFinalState(raw); err != nil {
			return jobs.FinalState{}, false, err
		}
		if isJob {
			return state, true, nil
		}
	}
	return jobs.FinalState{}, false, nil
}
