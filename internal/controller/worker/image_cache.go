package worker

import "time"

// ImageCache is what is known of the images that a machine has: those of the tasks that were
// started on it, the most recently used ones as far as its cache holds them.
type ImageCache struct {
	SizeGB, FetchRate float64
	images            map[string]cachedImage
	useCount          uint64
	usedGB            float64
}

type cachedImage struct {
	sizeGB  float64
	lastUse uint64
}

// Has reports whether a task with this image starts without fetching it.
func (c *ImageCache) Has(image string) bool {
	_, ok := c.images[image]
	return ok
}

// RecordUse records that a task with this image is on the machine.
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
		oldest, last := "", c.useCount+1
		for name, i := range c.images {
			if i.lastUse < last {
				oldest, last = name, i.lastUse
			}
		}
		c.usedGB -= c.images[oldest].sizeGB
		delete(c.images, oldest)
	}
}

// FetchTime is how long fetching an image of this size takes, if nothing else is fetched.
func (c *ImageCache) FetchTime(sizeGB float64) time.Duration {
	if c.FetchRate <= 0 {
		return 0
	}
	return time.Duration(sizeGB / c.FetchRate * float64(time.Second))
}
