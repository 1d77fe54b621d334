package workers

import "time"

// Store is what is known of the images that a machine has: those of the tasks that were
// started on it, the most recently used ones as far as its cache holds them.
type Store struct {
	SizeGB, Rate float64
	images       map[string]stored
	uses         uint64
	usedGB       float64
}

type stored struct {
	gb   float64
	last uint64
}

// Has reports whether a task with this image starts without fetching it.
func (s *Store) Has(image string) bool {
	_, ok := s.images[image]
	return ok
}

// Use records that a task with this image is on the machine.
func (s *Store) Use(image string, gb float64) {
	if s.images == nil {
		s.images = map[string]stored{}
	}
	s.uses++
	if old, ok := s.images[image]; ok {
		s.usedGB -= old.gb
	}
	s.images[image] = stored{gb, s.uses}
	s.usedGB += gb
	for s.usedGB > s.SizeGB && len(s.images) > 1 {
		oldest, last := "", s.uses+1
		for name, i := range s.images {
			if i.last < last {
				oldest, last = name, i.last
			}
		}
		s.usedGB -= s.images[oldest].gb
		delete(s.images, oldest)
	}
}

// Fetch is how long fetching an image of this size takes, if nothing else is fetched.
func (s *Store) Fetch(gb float64) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	return time.Duration(gb / s.Rate * float64(time.Second))
}
