package worker

import (
	"fmt"
	"slices"
	"testing"

	"gullrudder/internal/testseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// The store keeps the most recently used images that fit, like a plain list of them.
func TestImageCacheKeepsMostRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := ImageCache{SizeGB: 10}
		var model []int // image number, the newest last; it is as many GB large
		for range rapid.IntRange(1, 30).Draw(t, "uses") {
			n := rapid.IntRange(1, 6).Draw(t, "image")
			cache.RecordUse(fmt.Sprint(n), float64(n))
			model = append(slices.DeleteFunc(model, func(o int) bool { return o == n }), n)
			sum := 0
			for _, o := range model {
				sum += o
			}
			for sum > 10 {
				sum -= model[0]
				model = model[1:]
			}
			for o := 1; o <= 6; o++ {
				if cache.Has(fmt.Sprint(o)) != slices.Contains(model, o) {
					t.Fatalf("image %d: %v, want %v", o, model, cache.Has(fmt.Sprint(o)))
				}
			}
		}
	})
}
