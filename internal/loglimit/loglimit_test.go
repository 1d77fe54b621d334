package loglimit

import (
	"testing"
	"time"
)

// TestLimiterCountsEventsBetweenLines checks that one line per interval is allowed and that it covers the events since the last one.
func TestLimiterCountsEventsBetweenLines(t *testing.T) {
	limiter := New(time.Second)
	begin := time.Unix(1000, 0)
	for _, event := range []struct {
		after time.Duration
		count int
		ok    bool
	}{
		{0, 1, true}, {100 * time.Millisecond, 0, false}, {900 * time.Millisecond, 0, false}, {time.Second, 3, true}, {5 * time.Second, 1, true},
	} {
		if count, ok := limiter.Allow(begin.Add(event.after)); count != event.count || ok != event.ok {
			t.Errorf("event after %v: got count %d, allowed %v, want %d, %v", event.after, count, ok, event.count, event.ok)
		}
	}
}
