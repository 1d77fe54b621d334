package accounting

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"slices"
)

const (
	// maxEncodedReasons bounds the stored reasons of a job to the largest ones. The time of the others is added to
	// EarlierLeader, so that the total stays the same.
	maxEncodedReasons = 8
	// maxEncodedMs is the largest stored time of a reason, over a hundred years. It fits into six bytes of a varint.
	maxEncodedMs = 1<<42 - 1
	// maxEntryBytes is the size of one stored reason: a byte for the reason and a varint of its milliseconds.
	maxEntryBytes = 1 + 6
	// maxEncodedBytes is the maximum length of the result of Tracker.EncodedAccount.
	maxEncodedBytes = (maxEncodedReasons*maxEntryBytes*4 + 2) / 3
)

// Breakdown is the time counted to each wait reason, in whole milliseconds. The index is the WaitReason.
type Breakdown [WaitReasonCount]int64

// Total returns the sum over all reasons, in milliseconds.
func (b *Breakdown) Total() int64 {
	total := int64(0)
	for _, ms := range b {
		total += ms
	}
	return total
}

func (b *Breakdown) add(other *Breakdown) {
	for reason, ms := range other {
		b[reason] += ms
	}
}

// encode returns the stored form: base64 of the reasons that are not zero, each as a byte for the reason and a varint of its
// milliseconds.
func (b *Breakdown) encode() string {
	kept := b.limited()
	raw := make([]byte, 0, maxEncodedReasons*maxEntryBytes)
	for reason, ms := range kept {
		if ms > 0 {
			raw = append(raw, byte(reason))
			raw = binary.AppendUvarint(raw, uint64(min(ms, maxEncodedMs)))
		}
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

// limited returns a breakdown with at most maxEncodedReasons reasons and the same total.
func (b *Breakdown) limited() Breakdown {
	kept := *b
	reasons := make([]int, 0, WaitReasonCount)
	for reason := range kept {
		if kept[reason] > 0 && WaitReason(reason) != EarlierLeader {
			reasons = append(reasons, reason)
		}
	}
	if len(reasons) < maxEncodedReasons {
		return kept
	}
	slices.SortFunc(reasons, func(x, y int) int { return cmp.Compare(kept[y], kept[x]) })
	for _, reason := range reasons[maxEncodedReasons-1:] {
		kept[EarlierLeader] += kept[reason]
		kept[reason] = 0
	}
	return kept
}

// parseBreakdown decodes what encode returns.
func parseBreakdown(encoded string) (Breakdown, error) {
	raw, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return Breakdown{}, fmt.Errorf("decode time account %q: %w", encoded, err)
	}
	var breakdown Breakdown
	for len(raw) > 0 {
		reason := int(raw[0])
		ms, length := binary.Uvarint(raw[1:])
		if length <= 0 || reason >= WaitReasonCount || ms > maxEncodedMs {
			return Breakdown{}, fmt.Errorf("decode time account %q: reason %d is unknown, or its time is truncated or too large", encoded, reason)
		}
		breakdown[reason] += int64(ms)
		raw = raw[1+length:]
	}
	return breakdown, nil
}
