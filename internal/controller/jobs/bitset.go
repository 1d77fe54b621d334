package jobs

import (
	"encoding/base64"
	"fmt"
)

const (
	bitsPerWord  = 64
	bytesPerWord = bitsPerWord / 8
)

// bitset holds one bit per task of a job.
type bitset []uint64

func newBitset(bits int) bitset { return make(bitset, (bits+bitsPerWord-1)/bitsPerWord) }

func (s bitset) has(i int) bool { return s[i/bitsPerWord]>>(i%bitsPerWord)&1 == 1 }

func (s bitset) set(i int) { s[i/bitsPerWord] |= 1 << (i % bitsPerWord) }

// count returns the number of set bits among the first n.
func (s bitset) count(n int) int {
	count := 0
	for i := range n {
		if s.has(i) {
			count++
		}
	}
	return count
}

// encode returns the stored form of the set: its little-endian bytes without trailing zero bytes, in base64 without padding.
func (s bitset) encode() string {
	raw := make([]byte, 0, len(s)*bytesPerWord)
	for _, word := range s {
		for i := range bytesPerWord {
			raw = append(raw, byte(word>>(8*i)))
		}
	}
	for len(raw) > 0 && raw[len(raw)-1] == 0 {
		raw = raw[:len(raw)-1]
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

// decode adds the bits of an encoded set. It fails if the set has more words than s.
func (s bitset) decode(encoded string) error {
	raw, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("decode task results: %w", err)
	}
	if len(raw) > len(s)*bytesPerWord {
		return fmt.Errorf("decode task results: got %d bytes, which do not fit into %d words of 64 bits", len(raw), len(s))
	}
	for i, b := range raw {
		s[i/bytesPerWord] |= uint64(b) << (8 * (i % bytesPerWord))
	}
	return nil
}
