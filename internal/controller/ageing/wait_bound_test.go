package ageing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWaitBound checks the bound for a known load ahead, and that it is unknown without a share for aged jobs.
func TestWaitBound(t *testing.T) {
	policy := Policy{AgeBound: 7 * time.Minute, Share: 0.1, EstimateError: 2}
	ahead := WorkAhead{
		Older:       Load{CPUSeconds: 36_000, CPUs: 120},
		Own:         Load{CPUSeconds: 1200, CPUs: 24},
		TaskCPUs:    2,
		LongestTask: time.Minute,
		UsableCPUs:  240,
		StartDelay:  10 * time.Second,
	}
	// The share is 24 CPUs. 36,000 CPU seconds that may take twice as long take 3000 s, and 120 CPUs that each wait 130 s for
	// a machine take 650 s. Then the job waits 130 s for its own machine.
	first := 7*time.Minute + 3000*time.Second + 650*time.Second + 130*time.Second
	want := WaitBound{FirstStart: first, LastStart: first + 100*time.Second + 130*time.Second, IsKnown: true}
	if got := policy.WaitBound(ahead); got != want {
		t.Errorf("wait bound: got %+v, want %+v", got, want)
	}
	if got := (Policy{AgeBound: time.Minute, EstimateError: 2}).WaitBound(ahead); got.IsKnown {
		t.Errorf("wait bound without a share for aged jobs: got %+v, want unknown", got)
	}
}

// TestWaitBoundGrowsWithWorkAhead checks that more work ahead, less capacity or a quota never lowers the bound.
func TestWaitBoundGrowsWithWorkAhead(t *testing.T) {
	policy := Policy{AgeBound: 7 * time.Minute, Share: 0.1, EstimateError: 2}
	rapid.Check(t, func(t *rapid.T) {
		ahead := WorkAhead{
			Older:       Load{rapid.Float64Range(0, 1e6).Draw(t, "older"), rapid.Float64Range(0, 1e4).Draw(t, "width")},
			Own:         Load{rapid.Float64Range(0, 1e5).Draw(t, "own"), 4},
			TaskCPUs:    1,
			LongestTask: time.Minute,
			UsableCPUs:  rapid.Float64Range(1, 1000).Draw(t, "cpus"),
		}
		bound := policy.WaitBound(ahead)
		moreWork, fewerCPUs, withQuota := ahead, ahead, ahead
		moreWork.Older.CPUSeconds += 500
		fewerCPUs.UsableCPUs /= 2
		withQuota.Team, withQuota.TeamCPULimit = Load{ahead.Older.CPUSeconds / 2, ahead.Older.CPUs / 2}, 2
		for _, other := range []WorkAhead{moreWork, fewerCPUs, withQuota} {
			got := policy.WaitBound(other)
			if got.IsKnown && (!bound.IsKnown || got.FirstStart < bound.FirstStart || got.LastStart < got.FirstStart) {
				t.Fatalf("bound for %+v: got %+v, want at least %+v as for %+v", other, got, bound, ahead)
			}
		}
	})
}
