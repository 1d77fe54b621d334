package accounting

import (
	"fmt"
	"testing"
	"time"
)

// The accounts that are kept of finished jobs are the last ones.
func TestFinishedAccountsAreBounded(t *testing.T) {
	tracker, now := newTracker(), time.Unix(10_000, 0)
	for i := range maxFinishedAccounts + 50 {
		job := newJob(i, 1, now)
		tracker.Open(job)
		now = now.Add(time.Second)
		tracker.Finish(now, job)
	}
	_, keepsDropped := tracker.FinishedAccount("job-000049")
	_, keepsLast := tracker.FinishedAccount(fmt.Sprintf("job-%06d", maxFinishedAccounts+49))
	kept, indexed := len(tracker.finished.ring), len(tracker.finished.slotByJob)
	if kept != maxFinishedAccounts || indexed != maxFinishedAccounts || keepsDropped || !keepsLast {
		t.Errorf("%d are kept, the 50th %v, the last %v", indexed, keepsDropped, keepsLast)
	}
	if got := tracker.Totals("", "", now.Add(-9500*time.Millisecond)); len(got) != 1 || got[0].JobCount != 10 {
		t.Errorf("of the last 9.5 s: %+v", got)
	}
}
