package client

import (
	"testing"
	"time"
)

// TestRateLimiter checks how many tokens are available as time passes.
func TestRateLimiter(t *testing.T) {
	start := time.Unix(100, 0)
	for name, test := range map[string]struct {
		taken int           // at the start
		after time.Duration // since then
		want  int
	}{
		"starts full":                  {taken: 0, after: 0, want: 20},
		"taken tokens are unavailable": {taken: 15, after: 0, want: 5},
		"refills at its rate":          {taken: 20, after: 500 * time.Millisecond, want: 5},
		"whole tokens only":            {taken: 20, after: 190 * time.Millisecond, want: 1},
		"never above its burst":        {taken: 5, after: time.Hour, want: 20},
		"refill covers a debt first":   {taken: 25, after: time.Second, want: 5},
		"none while in debt":           {taken: 25, after: 0, want: 0},
		"clock set back adds none":     {taken: 20, after: -time.Hour, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := NewRateLimiter(10, 2*time.Second)
			if available := limiter.Available(start); available != 20 {
				t.Fatalf("available at the start: got %d, want 20", available)
			}
			limiter.Take(test.taken)
			if available := limiter.Available(start.Add(test.after)); available != test.want {
				t.Errorf("available: got %d, want %d", available, test.want)
			}
		})
	}
}
