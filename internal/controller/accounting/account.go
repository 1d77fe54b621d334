package accounting

import (
	"time"

	"gullrudder/internal/controller/jobs"
)

// account is the time account of an unfinished job. The breakdown always sums to countedMs exactly.
type account struct {
	breakdown Breakdown
	countedMs int64              // ms since the job's submission that are counted
	reason    WaitReason         // of the time since then
	lostTasks map[int]WaitReason // unfinished tasks whose last attempt was lost, and how; by task index
}

// countUntil counts the time up to ms, which is since the submission, to the reason that was found last. Time that has been
// counted already stays counted: the clock of a new leader may be behind.
func (a *account) countUntil(ms int64) {
	if ms > a.countedMs {
		a.breakdown[a.reason] += ms - a.countedMs
		a.countedMs = ms
	}
}

// lossReason returns how the unfinished tasks were lost, the first of the reasons if there are several. It returns false unless all
// of them were lost.
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
