// Package accounting counts each moment of a job, from its submission to its final state, to one
// cause: what kept it from being done just then. Its Log owns the accounts of a leadership's jobs
// and the sums by team and class. It looks at the jobs and the machines now and then and decides
// nothing; docs/design/timeline.md says which cause a moment belongs to.
package accounting

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// WaitReason is what kept a job from being done at a moment.
type WaitReason int

// The causes. Their numbers are kept in the ledger: new ones come at the end.
const (
	NotAccepted          WaitReason = iota // its acceptance is not durable yet
	NoLeader                               // nobody was entitled to place, or a takeover was not complete
	StateUnavailable                       // the state service took no changes, and that was what it waited for
	NoMachineRented                        // no machine that may run it was there or coming
	MachineBooting                         // those that may run it were still booting
	TeamQuota                              // its team's limit
	Reserved                               // what room there was is held for jobs before it
	Queued                                 // all room is taken: it is behind others in the order
	AwaitingHeartbeat                      // there was room, and the start waits for its machine's next report
	FetchingImage                          // its last tasks to start fetch their image
	Running                                // all tasks that are not done run
	MachineLost                            // all that is left was lost before, with a machine or its lease
	AttemptFailed                          // all that is left had failed, or been refused by its machine
	Preempted                              // all that is left had been stopped for other work
	NotDurable                             // all is done, and that is not durable yet
	EarlierLeader                          // under an earlier leader, after what it had written down
	CrashLooping                           // its tasks fail wherever they are tried, and it is tried seldom
	AwaitingDependencies                   // other jobs have to be done first; counted only of jobs that need some
	WaitReasonCount      = int(AwaitingDependencies) + 1
	maxFinishedAccounts  = 4096 // accounts of finished jobs that are kept
	logInterval          = time.Minute
)

// String is the cause as it is shown.
func (c WaitReason) String() string {
	return [WaitReasonCount]string{
		"not accepted yet", "no acting leader", "state service away", "no machine of its kind rented", "machines boot",
		"team's limit", "room held for others", "behind others in the order", "waits for a report", "image", "running",
		"attempt lost with its machine", "attempt failed or refused", "stopped for other work", "result not durable",
		"under an earlier leader", "fails wherever it is tried", "waits for other jobs",
	}[c]
}

// Breakdown is the time that was counted to each cause, in whole milliseconds.
type Breakdown [WaitReasonCount]int64

// Total is the sum.
func (s *Breakdown) Total() int64 {
	sum := int64(0)
	for _, ms := range s {
		sum += ms
	}
	return sum
}

func (s *Breakdown) add(o *Breakdown) {
	for c, ms := range o {
		s[c] += ms
	}
}

// account is what is known of an unfinished job. Times are whole milliseconds since its
// submission: what was counted always sums to upTo exactly.
type account struct {
	breakdown Breakdown
	countedMs int64
	reason    WaitReason         // of the time since then
	lostTasks map[int]WaitReason // its unfinished tasks that were lost before, and to what
}

func msSinceSubmission(j *jobs.Job, now time.Time) int64 {
	return max(now.Sub(j.SubmittedAt).Milliseconds(), 0)
}

// countUntil counts the time up to a moment to the cause that was seen last.
func (a *account) countUntil(ms int64) {
	if ms > a.countedMs {
		a.breakdown[a.reason] += ms - a.countedMs
		a.countedMs = ms
	}
}

// FinishedAccount is the account of a finished job.
type FinishedAccount struct {
	JobID, Team, Class string
	IsDone             bool
	EndedAt            time.Time
	Breakdown          Breakdown
}

type groupKey struct{ team, class string }

// GroupTotal is the sum of the accounts of a team's finished jobs of a class.
type GroupTotal struct {
	Team, Class string
	JobCount    int
	Breakdown   Breakdown
}

// Tracker keeps the accounts.
type Tracker struct {
	logger    *slog.Logger
	accounts  map[*jobs.Job]*account
	idleSince time.Time // since when nobody was entitled to act; zero: at present somebody is
	totals    map[groupKey]*GroupTotal
	finished  []FinishedAccount // a ring of the last ones
	nextSlot  int
	slotByJob map[string]int // of the ring
	nextLog   time.Time
	metrics   *Metrics
}

// New makes the log of a new leadership.
func New(metrics *Metrics, log *slog.Logger) *Tracker {
	return &Tracker{
		logger:    log,
		metrics:   metrics,
		accounts:  map[*jobs.Job]*account{},
		totals:    map[groupKey]*GroupTotal{},
		slotByJob: map[string]int{},
	}
}

// Open opens the account of a job that was just submitted.
func (l *Tracker) Open(j *jobs.Job) { l.accounts[j] = &account{reason: NotAccepted} }

// Restore opens the account of a job that an earlier leader has kept: what it wrote down, and
// nothing known of the time since then. since is when this leadership began.
func (l *Tracker) Restore(j *jobs.Job, kept string, since time.Time) {
	a := &account{reason: NoLeader}
	if spent, err := parseBreakdown(kept); err != nil {
		l.logger.Error("an account cannot be read", "job", j.ID, "error", err)
	} else {
		a.breakdown, a.countedMs = spent, spent.Total()
	}
	begin := msSinceSubmission(j, since)
	if begin > a.countedMs {
		a.breakdown[EarlierLeader] += begin - a.countedMs
		a.countedMs = begin
	}
	l.accounts[j] = a
}

// EncodedAccount is what the ledger keeps of a job's account: the record is written anyway.
func (l *Tracker) EncodedAccount(j *jobs.Job) string {
	a := l.accounts[j]
	if a == nil {
		return ""
	}
	return a.breakdown.encode()
}

// RecordTaskLost says that a task of the job has to be run again, and to what its attempt was lost.
func (l *Tracker) RecordTaskLost(j *jobs.Job, task int, to WaitReason) {
	a := l.accounts[j]
	if a == nil {
		return
	}
	if a.lostTasks == nil {
		a.lostTasks = map[int]WaitReason{}
	}
	a.lostTasks[task] = to
}

// RecordTaskDone says that a task is done.
func (l *Tracker) RecordTaskDone(j *jobs.Job, task int) {
	if a := l.accounts[j]; a != nil {
		delete(a.lostTasks, task)
	}
}

// LeaseLost says that from now on nobody is entitled to act; the next look ends that.
func (l *Tracker) LeaseLost(now time.Time) {
	if l.idleSince.IsZero() {
		l.idleSince = now
	}
}

// End says that the leadership is over.
func (l *Tracker) End() { l.metrics.openJobs.Set(0) }

// Finish ends the account of a job that is done or cancelled.
func (l *Tracker) Finish(now time.Time, j *jobs.Job) {
	a := l.accounts[j]
	if a == nil {
		return
	}
	delete(l.accounts, j)
	a.countUntil(msSinceSubmission(j, now))
	l.keepFinished(FinishedAccount{j.ID, j.Team, j.Class, j.State == jobs.Done, now, a.breakdown})
	k := groupKey{j.Team, j.Class}
	t := l.totals[k]
	if t == nil {
		t = &GroupTotal{Team: j.Team, Class: j.Class}
		l.totals[k] = t
	}
	t.JobCount++
	t.Breakdown.add(&a.breakdown)
	l.metrics.recordEnded(j, &a.breakdown)
}

func (l *Tracker) keepFinished(e FinishedAccount) {
	if len(l.finished) < maxFinishedAccounts {
		l.finished = append(l.finished, e)
		l.slotByJob[e.JobID] = len(l.finished) - 1
		return
	}
	delete(l.slotByJob, l.finished[l.nextSlot].JobID)
	l.finished[l.nextSlot] = e
	l.slotByJob[e.JobID] = l.nextSlot
	l.nextSlot = (l.nextSlot + 1) % maxFinishedAccounts
}

// Sample counts the time since the last look to the causes that were seen then, and sees which hold
// now. It is called every half second or so.
func (l *Tracker) Sample(now time.Time, v ClusterState) {
	if !l.idleSince.IsZero() {
		for j, a := range l.accounts {
			a.countUntil(msSinceSubmission(j, l.idleSince))
			a.reason = NoLeader
		}
		l.idleSince = time.Time{}
	}
	seen := newSample(v)
	for j, a := range l.accounts {
		a.countUntil(msSinceSubmission(j, now))
		a.reason = seen.reasonFor(now, j, a)
	}
	l.metrics.openJobs.Set(float64(len(l.accounts)))
	l.logTotals(now)
}

// Account is the account of a job up to now; false if this leader has none.
func (l *Tracker) Account(now time.Time, j *jobs.Job) (Breakdown, WaitReason, bool) {
	a := l.accounts[j]
	if a == nil {
		return Breakdown{}, 0, false
	}
	b := *a
	b.countUntil(msSinceSubmission(j, now))
	return b.breakdown, b.reason, true
}

// FinishedAccount is the account of a job that has ended under this leader, as long as it is kept.
func (l *Tracker) FinishedAccount(id string) (FinishedAccount, bool) {
	i, ok := l.slotByJob[id]
	if !ok {
		return FinishedAccount{}, false
	}
	return l.finished[i], true
}

// Totals are the sums by team and class of the jobs that ended since a moment, of those that are
// kept, or all under this leader if it is zero. Empty names stand for any.
func (l *Tracker) Totals(team, class string, since time.Time) []GroupTotal {
	sums := l.totals
	if !since.IsZero() {
		sums = map[groupKey]*GroupTotal{}
		for _, e := range l.finished {
			if e.EndedAt.Before(since) {
				continue
			}
			k := groupKey{e.Team, e.Class}
			if sums[k] == nil {
				sums[k] = &GroupTotal{Team: e.Team, Class: e.Class}
			}
			sums[k].JobCount++
			sums[k].Breakdown.add(&e.Breakdown)
		}
	}
	var list []GroupTotal
	for _, k := range slices.SortedFunc(maps.Keys(sums), func(a, b groupKey) int {
		return slices.Compare([]string{a.team, a.class}, []string{b.team, b.class})
	}) {
		if (team == "" || team == k.team) && (class == "" || class == k.class) {
			list = append(list, *sums[k])
		}
	}
	return list
}

// OpenCount is the number of accounts that are not ended.
func (l *Tracker) OpenCount() int { return len(l.accounts) }

// logTotals logs a line for each class now and then, so that a day's log ends with them.
func (l *Tracker) logTotals(now time.Time) {
	if now.Before(l.nextLog) {
		return
	}
	first := l.nextLog.IsZero()
	l.nextLog = now.Add(logInterval)
	if first {
		return
	}
	for _, t := range l.Totals("", "", time.Time{}) {
		args := []any{"team", t.Team, "class", t.Class, "jobs", t.JobCount, "seconds", t.Breakdown.Total() / 1000}
		for c, ms := range t.Breakdown {
			if ms > 0 {
				args = append(args, WaitReason(c).String(), fmt.Sprintf("%.1f%%", 100*float64(ms)/float64(t.Breakdown.Total())))
			}
		}
		l.logger.Info("where the time went", args...)
	}
}

const (
	// maxEncodedReasons bounds the causes that the ledger keeps of a job: the largest; the rest goes to
	// Unknown, so that the sum stays what it is.
	maxEncodedReasons = 8
	// maxEncodedMs fits into six bytes of a varint: over a hundred years.
	maxEncodedMs = 1<<42 - 1
	// MaxEncodedBytes is the most that Kept needs.
	MaxEncodedBytes = (maxEncodedReasons*(1+6)*4 + 2) / 3
)

// encode is a byte for the cause and a varint of its milliseconds, for those that are not zero.
func (s *Breakdown) encode() string {
	kept := *s
	order := make([]int, 0, WaitReasonCount)
	for c := range kept {
		if kept[c] > 0 && WaitReason(c) != EarlierLeader {
			order = append(order, c)
		}
	}
	if len(order) >= maxEncodedReasons {
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(kept[b], kept[a]) })
		for _, c := range order[maxEncodedReasons-1:] {
			kept[EarlierLeader] += kept[c]
			kept[c] = 0
		}
	}
	raw := make([]byte, 0, maxEncodedReasons*4)
	for c, ms := range kept {
		if ms > 0 {
			raw = append(raw, byte(c))
			raw = binary.AppendUvarint(raw, uint64(min(ms, maxEncodedMs)))
		}
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

func parseBreakdown(kept string) (Breakdown, error) {
	var s Breakdown
	raw, err := base64.RawStdEncoding.DecodeString(kept)
	if err != nil {
		return Breakdown{}, fmt.Errorf("account: %w", err)
	}
	for len(raw) > 0 {
		c := int(raw[0])
		ms, n := binary.Uvarint(raw[1:])
		if n <= 0 || c >= WaitReasonCount || ms > maxEncodedMs {
			return Breakdown{}, fmt.Errorf("account: cause %d is cut short or unknown", c)
		}
		s[c] += int64(ms)
		raw = raw[1+n:]
	}
	return s, nil
}
