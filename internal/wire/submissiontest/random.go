package submissiontest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

const (
	// maxUnknownFields is the maximum number of unknown fields that Encode adds.
	maxUnknownFields = 3
	// maxUnknownDepth bounds the nesting of an unknown field. A submission with maxUnknownFields of them fits into 64 KiB.
	maxUnknownDepth = 15_000
	maxUnknownText  = 300 // bytes
)

// Amounts are numbers that every field for an amount must accept: the smallest and the largest numbers that float64, float32 and uint64
// hold, and those around the bounds of durations in nanoseconds.
func Amounts() []float64 {
	return []float64{
		math.SmallestNonzeroFloat64, 1e-300, 1e-60, 0x1p-1022, math.SmallestNonzeroFloat32, 1e-10, 1e-9, 0.01, 1.36, 1, 3.5,
		math.MaxInt32, math.MaxUint32, 365 * 24 * 3600, 366 * 24 * 3600, 9.3e9, 1e12, 1e13, math.MaxInt64, math.MaxUint64,
		math.MaxFloat32, 1e300, math.MaxFloat64,
	}
}

// RandomAmount returns one of Amounts, or a number whose exponent is random.
func RandomAmount(rng *rand.Rand) float64 {
	if amounts := Amounts(); rng.IntN(2) == 0 {
		return amounts[rng.IntN(len(amounts))]
	}
	return math.Exp((rng.Float64() - 0.5) * 1400)
}

// appendUnknownField appends a field that no receiver knows, with a value of any shape.
func appendUnknownField(body []byte, rng *rand.Rand) []byte {
	body = appendText(body, rng, fmt.Sprintf("unknown-%d", rng.IntN(1_000_000)))
	switch rng.IntN(6) {
	case 0:
		return append(body, nilCode)
	case 1:
		return appendNumber(body, rng, RandomAmount(rng))
	case 2:
		return append(body, float64Code, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0) // not a number
	case 3:
		return appendText(body, rng, strings.Repeat("?", rng.IntN(maxUnknownText)))
	case 4:
		return appendNested(body, 1+rng.IntN(maxUnknownDepth))
	}
	body = appendMapHeader(body, rng, 2)
	body = appendText(body, rng, "id") // the name of a known field, one level deeper
	body = appendNumber(body, rng, 7)
	body = appendText(body, rng, "")
	return appendValue(body, rng, []any{nil, true, "text", []any{}})
}

// appendNested appends a list that contains a list, and so on, depth levels deep.
func appendNested(body []byte, depth int) []byte {
	for range depth {
		body = append(body, fixarrayCode|1)
	}
	return append(body, nilCode)
}

// Nested returns a list that contains a list, and so on, depth levels deep, in MessagePack.
func Nested(depth int) []byte { return appendNested(nil, depth) }
