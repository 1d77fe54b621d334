package jobs

import (
	"encoding/base64"
	"fmt"
)

const (
	bitsPerWord  = 64
	bytesPerWord = bitsPerWord / 8
)

// bitset has one bit for each task of a job.
type bitset []uint64

func newBitset(bits int) bitset { return make(bitset, (bits+bitsPerWord-1)/bitsPerWord) }

func (s bitset) has(i int) bool { return s[i/bitsPerWord]>>(i%bitsPerWord)&1 == 1 }

func (s bitset) set(i int) { s[i/bitsPerWord] |= 1 << (i % bitsPerWord) }

// count returns how many of the first n bits are set.
func (s bitset) count(n int) int {
	count := 0
	for i := range n {
		if s.has(i) {
			count++
		}
	}
	return count
}

// encode returns the words as base64 of little-endian bytes, without trailing zero bytes. This is the stored form.
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

// decode adds the bits of an encoded set.
func (s bitset) decode(encoded string) error {
	raw, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("task results: %w", err)
	}
	if len(raw) > len(s)*bytesPerWord {
		return fmt.Errorf("task results: %d bytes for %d words", len(raw), len(s))
	}
	for i, b := range raw {
		s[i/bytesPerWord] |= uint64(b) << (8 * (i % bytesPerWord))
	}
	return nil
}
