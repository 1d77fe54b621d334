package renewal

import (
	"math/rand/v2"
	"testing"
	"time"
)

const window = 20 * time.Second

// newLimit returns a Limit with a fixed window and seed.
func newLimit() *Limit { return New(window, rand.New(rand.NewPCG(1, 1))) }

// TestRenewUntil checks until when leases may be renewed, depending on what is known about completed cancellations.
func TestRenewUntil(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		record func(*Limit)
		want   time.Time
	}{
		{"nothing known", func(*Limit) {}, time.Time{}},
		{"loaded", func(l *Limit) { l.RecordLoaded(now) }, now.Add(window)},
		{"earlier time ignored", func(l *Limit) { l.RecordLoaded(now); l.RecordLoaded(now.Add(-time.Minute)) }, now.Add(window)},
		{
			"age counts from the nonce and includes clock drift",
			func(l *Limit) { l.RecordLeaderPing(l.NewNonce(now), 5*time.Second) },
			now.Add(-5*time.Second - 10*time.Millisecond).Add(window),
		},
		{"ping without a nonce", func(l *Limit) { l.RecordLeaderPing(0, time.Second) }, time.Time{}},
		{"nonce of another process", func(l *Limit) { l.RecordLeaderPing(l.NewNonce(now)+1, time.Second) }, time.Time{}},
		{"negative age", func(l *Limit) { l.RecordLeaderPing(l.NewNonce(now), -time.Second) }, time.Time{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLimit()
			test.record(l)
			if got := l.RenewUntil(); !got.Equal(test.want) {
				t.Errorf("renew until: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestNegativeWindow checks that no lease may be renewed if the settings leave no time for renewals.
func TestNegativeWindow(t *testing.T) {
	l := New(Window(10*time.Second, 20*time.Second), rand.New(rand.NewPCG(1, 1)))
	l.RecordLoaded(time.Unix(1000, 0))
	if !l.RenewUntil().IsZero() {
		t.Errorf("renew until with a negative window: got %v, want the zero time", l.RenewUntil())
	}
}

// TestNonces checks that a nonce is never 0, even after the counter wraps around, and that only the last maxNonces are
// accepted.
func TestNonces(t *testing.T) {
	l := newLimit()
	l.lastNonce = ^uint64(0)
	first := l.NewNonce(time.Unix(1000, 0))
	if first == 0 {
		t.Error("nonce after the wrap-around: got 0, want another value")
	}
	for range maxNonces {
		l.NewNonce(time.Unix(2000, 0))
	}
	if l.RecordLeaderPing(first, 0); !l.CompletedBefore().IsZero() {
		t.Errorf("oldest of %d nonces was accepted, want it ignored", maxNonces+1)
	}
}
