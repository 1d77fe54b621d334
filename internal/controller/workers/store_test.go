package workers

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gullrudder/internal/steady"
)

func TestMain(m *testing.M) { steady.Main(m) }

// The store keeps the most recently used images that fit, like a plain list of them.
func TestStoreKeepsTheMostRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Store{SizeGB: 10}
		var plain []int // image number, the newest last; it is as many GB large
		for range rapid.IntRange(1, 30).Draw(t, "uses") {
			n := rapid.IntRange(1, 6).Draw(t, "image")
			s.Use(fmt.Sprint(n), float64(n))
			plain = append(slices.DeleteFunc(plain, func(o int) bool { return o == n }), n)
			sum := 0
			for _, o := range plain {
				sum += o
			}
			for sum > 10 {
				sum -= plain[0]
				plain = plain[1:]
			}
			for o := 1; o <= 6; o++ {
				if s.Has(fmt.Sprint(o)) != slices.Contains(plain, o) {
					t.Fatalf("image %d: %v, want %v", o, plain, s.Has(fmt.Sprint(o)))
				}
			}
		}
	})
}
