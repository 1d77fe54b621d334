package worker

import (
	"time"

	"gullrudder/internal/units"
)

// ImageCache is the leader's estimate of the images in the cache of a machine: the images of the attempts that were assigned to it,
// the most recently used first, up to the size of the cache.
type ImageCache struct {
	SizeGB    float64
	FetchRate float64 // GB/s

	images   map[string]cachedImage // by name
	useCount uint64
	usedGB   float64
}

type cachedImage struct {
	sizeGB  float64
	lastUse uint64 // useCount at its last use
}

// Has reports whether the image is in the cache, so that a task starts without fetching it.
func (c *ImageCache) Has(image string) bool {
	_, ok := c.images[image]
	return ok
}

// RecordUse records that a task with this image is on the machine. It evicts the least recently used images that no longer fit.
func (c *ImageCache) RecordUse(image string, sizeGB float64) {
	if c.images == nil {
		c.images = map[string]cachedImage{}
	}
	c.useCount++
	if old, ok := c.images[image]; ok {
		c.usedGB -= old.sizeGB
	}
	c.images[image] = cachedImage{sizeGB, c.useCount}
	c.usedGB += sizeGB
	for c.usedGB > c.SizeGB && len(c.images) > 1 {
		c.evictOldest()
	}
}

func (c *ImageCache) evictOldest() {
	oldest, lastUse := "", c.useCount+1
	for name, image := range c.images {
		if image.lastUse < lastUse {
			oldest, lastUse = name, image.lastUse
		}
	}
	c.usedGB -= c.images[oldest].sizeGB
	delete(c.images, oldest)
}

// FetchTime returns how long fetching an image of this size takes if nothing else is fetched. It is 0 if the rate is unknown.
func (c *ImageCache) FetchTime(sizeGB float64) time.Duration {
	if c.FetchRate <= 0 {
		return 0
	}
	return units.DurationFromSeconds(sizeGB / c.FetchRate)
}
