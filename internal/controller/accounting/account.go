package accounting

import (
	"time"

	"gullrudder/internal/controller/jobs"
)

// account is the time account of an unfinished job. The sum of breakdown is always exactly countedMs.
type account struct {
	breakdown Breakdown
	countedMs int64              // time since the job's submission that is counted already
	reason    WaitReason         // reason of the time after that
	lostTasks map[int]WaitReason // how the last attempt was lost, by index of the unfinished task
}

// countUntil counts the time up to ms after the submission to the reason that was found last. Time that was already counted
// stays counted: the clock of a new leader may be behind.
func (a *account) countUntil(ms int64) {
	if ms > a.countedMs {
		a.breakdown[a.reason] += ms - a.countedMs
		a.countedMs = ms
	}
}

// lossReason returns how the unfinished tasks were lost. If they were lost for several reasons, it returns the
// lowest-numbered one. It returns false unless all unfinished tasks were lost.
func (a *account) lossReason(unfinished int) (WaitReason, bool) {
	if len(a.lostTasks) < unfinished {
		return 0, false
	}
	first := WaitReason(-1)
	for _, reason := range a.lostTasks {
		if first < 0 || reason < first {
			first = reason
		}
	}
	return first, true
}

func msSinceSubmission(job *jobs.Job, now time.Time) int64 {
	return max(now.Sub(job.SubmittedAt).Milliseconds(), 0)
}
