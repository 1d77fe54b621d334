package accounting

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBreakdownRoundTrip checks that a breakdown is the same after encoding and decoding. If it has more reasons than are
// stored, at least its total is the same.
func TestBreakdownRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want Breakdown
		for range rapid.IntRange(0, WaitReasonCount).Draw(t, "causes") {
			want[rapid.IntRange(0, WaitReasonCount-1).Draw(t, "cause")] = int64(rapid.IntRange(0, 1<<40).Draw(t, "ms"))
		}
		got, err := parseBreakdown(want.encode())
		if err != nil || got.Total() != want.Total() {
			t.Fatalf("round trip: got %v, error %v, want %v", got, err, want)
		}
		for reason := range got {
			if got[reason] != want[reason] && got[reason] != 0 && WaitReason(reason) != EarlierLeader {
				t.Fatalf("round trip: got %v, want %v", got, want)
			}
		}
	})
}

// TestParseBreakdownRejectsInvalidText checks that text that encode never returns is rejected.
func TestParseBreakdownRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"?", "AA", "//8B"} {
		if _, err := parseBreakdown(text); err == nil {
			t.Errorf("parse %q: got no error, want one", text)
		}
	}
}
