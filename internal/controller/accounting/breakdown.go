package accounting

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"slices"
)

const (
	// maxEncodedReasons bounds the reasons that are stored of a job: the largest ones. The rest is added to EarlierLeader, so
	// that the total stays the same.
	maxEncodedReasons = 8
	// maxEncodedMs fits into six bytes of a varint. It is over a hundred years.
	maxEncodedMs = 1<<42 - 1
	// maxEntryBytes is a byte for the reason and a varint of its milliseconds.
	maxEntryBytes = 1 + 6
	// maxEncodedBytes is the most bytes that Tracker.EncodedAccount returns.
	maxEncodedBytes = (maxEncodedReasons*maxEntryBytes*4 + 2) / 3
)

// Breakdown is the time that was counted to each wait reason, in whole milliseconds.
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

// encode returns the stored form: base64 of a byte for the reason and a varint of its milliseconds, for each that is not zero.
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

// limited returns the breakdown with maxEncodedReasons reasons at most and the same total.
func (b *Breakdown) limited() Breakdown {
	kept := *b
	known := make([]int, 0, WaitReasonCount)
	for reason := range kept {
		if kept[reason] > 0 && WaitReason(reason) != EarlierLeader {
			known = append(known, reason)
		}
	}
	if len(known) < maxEncodedReasons {
		return kept
	}
	slices.SortFunc(known, func(x, y int) int { return cmp.Compare(kept[y], kept[x]) })
	for _, reason := range known[maxEncodedReasons-1:] {
		kept[EarlierLeader] += kept[reason]
		kept[reason] = 0
	}
	return kept
}

// parseBreakdown reads what encode writes.
func parseBreakdown(encoded string) (Breakdown, error) {
	raw, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return Breakdown{}, fmt.Errorf("time account: %w", err)
	}
	var breakdown Breakdown
	for len(raw) > 0 {
		reason := int(raw[0])
		ms, length := binary.Uvarint(raw[1:])
		if length <= 0 || reason >= WaitReasonCount || ms > maxEncodedMs {
			return Breakdown{}, fmt.Errorf("time account: reason %d is unknown or cut short", reason)
		}
		breakdown[reason] += int64(ms)
		raw = raw[1+length:]
	}
	return breakdown, nil
}
