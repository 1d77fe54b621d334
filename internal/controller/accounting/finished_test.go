package accounting

import (
	"fmt"
	"testing"
	"time"
)

// TestFinishedAccountsAreBounded checks that only the accounts of the jobs that finished last are kept.
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
		t.Errorf(
			"finished accounts: got %d kept, %d indexed, the 50th kept %v, the last kept %v, want %d, %[5]d, false, true",
			kept, indexed, keepsDropped, keepsLast, maxFinishedAccounts,
		)
	}
	if got := tracker.Totals("", "", now.Add(-9500*time.Millisecond)); len(got) != 1 || got[0].JobCount != 10 {
		t.Errorf("totals of the last 9.5 s: got %+v, want one of 10 jobs", got)
	}
}
