package accounting

import (
	"maps"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// maxFinishedAccounts is the number of accounts of finished jobs that are kept.
const maxFinishedAccounts = 4096

// FinishedAccount is the account of a finished job.
type FinishedAccount struct {
	JobID     string
	Team      string
	Class     string
	State     jobs.State // jobs.Done or jobs.Cancelled
	EndedAt   time.Time
	Breakdown Breakdown
}

// finishedAccounts is a ring buffer of the latest accounts of finished jobs.
type finishedAccounts struct {
	ring      []FinishedAccount
	oldest    int            // slot that is overwritten next if the ring is full
	slotByJob map[string]int // index in ring, by job ID
}

func newFinishedAccounts() *finishedAccounts { return &finishedAccounts{slotByJob: map[string]int{}} }

func (f *finishedAccounts) add(account FinishedAccount) {
	if len(f.ring) < maxFinishedAccounts {
		f.ring = append(f.ring, account)
		f.slotByJob[account.JobID] = len(f.ring) - 1
		return
	}
	delete(f.slotByJob, f.ring[f.oldest].JobID)
	f.ring[f.oldest] = account
	f.slotByJob[account.JobID] = f.oldest
	f.oldest = (f.oldest + 1) % maxFinishedAccounts
}

func (f *finishedAccounts) find(jobID string) (FinishedAccount, bool) {
	slot, ok := f.slotByJob[jobID]
	if !ok {
		return FinishedAccount{}, false
	}
	return f.ring[slot], true
}

// totalsSince returns the totals of the kept accounts of jobs that finished at since or later.
func (f *finishedAccounts) totalsSince(since time.Time) groupTotals {
	totals := groupTotals{}
	for i := range f.ring {
		if !f.ring[i].EndedAt.Before(since) {
			totals.add(&f.ring[i])
		}
	}
	return totals
}

// GroupTotal is the sum over the finished jobs of one class of one team.
type GroupTotal struct {
	Team      string
	Class     string
	JobCount  int
	Breakdown Breakdown
}

type groupKey struct{ team, class string }

type groupTotals map[groupKey]*GroupTotal

func (g groupTotals) add(account *FinishedAccount) {
	key := groupKey{account.Team, account.Class}
	total := g[key]
	if total == nil {
		total = &GroupTotal{Team: account.Team, Class: account.Class}
		g[key] = total
	}
	total.JobCount++
	total.Breakdown.add(&account.Breakdown)
}

// list returns the totals ordered by team and class. An empty team or class matches all.
func (g groupTotals) list(team, class string) []GroupTotal {
	keys := slices.SortedFunc(maps.Keys(g), func(a, b groupKey) int {
		return slices.Compare([]string{a.team, a.class}, []string{b.team, b.class})
	})
	var list []GroupTotal
	for _, key := range keys {
		if (team == "" || team == key.team) && (class == "" || class == key.class) {
			list = append(list, *g[key])
		}
	}
	return list
}
