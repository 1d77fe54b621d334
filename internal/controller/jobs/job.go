// Package jobs keeps the accepted jobs and the life of their tasks.
package jobs

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// State of a job as its user sees it, besides "running".
type State int

// States of a job.
const (
	Pending   State = iota // not durable yet
	Accepted               // durable, unfinished
	Done                   // durable, all tasks done
	Cancelled              // durable, cancelled by its user
)

// Priority of a job, the higher the more urgent.
type Priority int

// Priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Spec is what the owner submitted.
type Spec struct {
	ID, Class, Team                        string
	IsService                              bool
	IsGang                                 bool // all tasks run at the same time or none
	Priority                               Priority
	Tasks                                  int
	CPUs, GPUs, MemoryGB                   float64
	Image                                  string
	ImageGB                                float64
	MachineTypes                           []string
	Zone                                   string
	SingleZone, SpreadAcrossZones          bool
	AllowsSpot                             bool
	RunTimeEstimate                        time.Duration
	CheckpointInterval, CheckpointDuration time.Duration
	Deadline                               time.Duration // 0: none
	Dependencies                           []string      // jobs that have to be done before any task of this one starts
}

// TaskID names a task.
type TaskID struct {
	JobID string
	Index int
}

func (k TaskID) String() string { return k.JobID + "/" + strconv.Itoa(k.Index) }

// ParseTaskID reads the name of a task.
func ParseTaskID(s string) (TaskID, error) {
	id, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if !ok || err != nil || n < 0 || !ValidID(id) {
		return TaskID{}, fmt.Errorf("%q is no task", s)
	}
	return TaskID{id, n}, nil
}

// ValidID reports whether an id has the form that all job ids have.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || digits == "" || len(digits) > 32 {
		return false
	}
	for i := 0; i < len(digits); i++ {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// Attempt is one try to run a task: from the moment its start is sent until its machine
// is known not to have it any more.
type Attempt struct {
	Task              TaskID
	Number            uint64
	MachineID         string
	Zone              string
	Job               *Job // nil if the job is not known
	AssignedAt        time.Time
	IsUnsent          bool      // its start waits for its machine's next report
	RunningSince      time.Time // first seen running
	IsCheckpointing   bool
	StopSentAt        time.Time // when a stop was last sent
	LastSeenReconcile uint64    // the last look at its machine that found it
	KillsSent         int       // answers to its machine that told it to end at once
	IsOrphan          bool      // not ours to run: to be stopped, but it holds its place until gone
}

// minRunBeforePreemption is for how long a task has to run for its start to count.
const minRunBeforePreemption = 30 * time.Second

// CanBePreempted reports whether the attempt may be stopped for a job of a higher priority with
// little lost: it saves. A job that has just begun is left its beginning: a start that is stopped within
// startStands is none to its owner.
func (a *Attempt) CanBePreempted(now time.Time) bool {
	j := a.Job
	if j != nil && j.DoneTasks == 0 && now.Sub(a.RunningSince) < minRunBeforePreemption {
		return false
	}
	return j != nil && !a.IsOrphan && !a.IsUnsent && a.StopSentAt.IsZero() && !a.RunningSince.IsZero() && !j.IsGang && !j.IsService && !j.Guaranteed &&
		j.CheckpointInterval > 0 &&
		now.Sub(a.RunningSince) >= j.CheckpointDuration
}

// Job is an accepted job, or one that is about to be.
type Job struct {
	Spec
	State                  State
	SubmittedAt            time.Time
	Guaranteed             bool
	FirstStartBound        time.Duration // bound on the wait for its first task, as stated when it was accepted; 0: none
	LastStartBound         time.Duration // bound on the wait for its last task's start
	MissedStartBound       bool          // the first of them was missed, and that was told
	IsCancelling           bool          // a cancellation is on its way into the ledger; nothing starts any more
	CancelConfirmedAt      time.Time     // the earliest that its user can have been told that it is cancelled; zero: not known
	AcceptedByThisLeader   bool          // this leader itself has committed its acceptance: no earlier one can have started it
	UnmetDependencies      int           // needs that are not known to be done durably; the graph's to set
	ReadyAt                time.Time     // when the last of its needs was done; zero: it had none open
	HasUndecidedDependency bool          // it cannot be told yet what became of one of its needs
	InheritedDeadline      time.Time     // inherited from jobs that need it; zero: none
	InheritedPriority      Priority      // of the most urgent job that needs it
	RequiredByGuaranteed   bool          // a guaranteed job needs it: its terms are held like that one's
	IsFinishing            bool          // all tasks are done, which is on its way into the ledger

	DoneTasks        int
	doneBits         []uint64
	durableBits      []uint64
	unsavedTasks     []int
	maxRecordBytes   int
	ActiveAttempts   map[int]*Attempt
	runningCount     int            // active attempts seen running
	runningStartSum  time.Duration  // the sum of when those began, counted from the submission
	attemptsByZone   map[string]int // active attempts by zone, where the job's rules ask for it
	retryTasks       []int          // tasks to be started again
	nextUntried      int            // tasks from here on were never tried
	CompletedRunTime time.Duration  // run time of the tasks seen from start to end
	CompletedRuns    int
	ResumedTasks     map[int]bool // tasks that go on from a saved state: how long they ran last tells little
	FailedMachines   map[string]bool
	NotBefore        time.Time // start nothing before this
	PassedOverSince  time.Time // since when machines without its image were left to others; zero: not at present
	FailureCount     int
	CrashLooping     bool // its tasks fail wherever they are tried: one is tried at a time. The clerk's to set
}

// New makes a job that is not accepted yet.
func New(s Spec, submitted time.Time) *Job {
	words := (s.Tasks + 63) / 64
	return &Job{
		Spec: s, SubmittedAt: submitted, doneBits: make([]uint64, words), durableBits: make([]uint64, words),
		ActiveAttempts: map[int]*Attempt{}, attemptsByZone: map[string]int{}, ResumedTasks: map[int]bool{},
	}
}

// AddAttempt makes the attempt the active one of its task.
func (j *Job) AddAttempt(a *Attempt) {
	j.ActiveAttempts[a.Task.Index] = a
	if j.SingleZone || j.SpreadAcrossZones {
		j.attemptsByZone[a.Zone]++
	}
}

// RemoveAttempt takes the attempt back, if it is the active one of its task.
func (j *Job) RemoveAttempt(a *Attempt) {
	if j.ActiveAttempts[a.Task.Index] != a {
		return
	}
	delete(j.ActiveAttempts, a.Task.Index)
	if j.SingleZone || j.SpreadAcrossZones {
		j.attemptsByZone[a.Zone]--
	}
	if !a.RunningSince.IsZero() {
		j.runningCount--
		j.runningStartSum -= a.RunningSince.Sub(j.SubmittedAt)
	}
}

// MarkRunning records that the attempt runs.
func (j *Job) MarkRunning(a *Attempt, now time.Time) {
	if !a.RunningSince.IsZero() {
		return
	}
	a.RunningSince = now
	if j.ActiveAttempts[a.Task.Index] == a {
		j.runningCount++
		j.runningStartSum += now.Sub(j.SubmittedAt)
	}
}

// AttemptsInZone is how many of the active attempts are in the zone, and how many are elsewhere;
// it is counted only for jobs whose rules ask for it.
func (j *Job) AttemptsInZone(zone string) (here, otherZones int) {
	here = j.attemptsByZone[zone]
	return here, len(j.ActiveAttempts) - here
}

func hasBit(set []uint64, i int) bool { return set[i/64]>>(i%64)&1 == 1 }
func setBit(set []uint64, i int)      { set[i/64] |= 1 << (i % 64) }

// IsTaskDone reports whether a task has completed.
func (j *Job) IsTaskDone(task int) bool { return hasBit(j.doneBits, task) }

// IsTaskDurable reports whether a task's completion is in the ledger.
func (j *Job) IsTaskDurable(task int) bool { return j.State == Done || hasBit(j.durableBits, task) }

// MarkTaskDone records that a task has completed; false if that was known.
func (j *Job) MarkTaskDone(task int) bool {
	if hasBit(j.doneBits, task) {
		return false
	}
	setBit(j.doneBits, task)
	j.DoneTasks++
	j.unsavedTasks = append(j.unsavedTasks, task)
	return true
}

// RemainingTasks is the number of tasks that are to be done, as far as anything is planned for them: one of a job
// that fails wherever it is tried.
func (j *Job) RemainingTasks() int {
	if j.CrashLooping && !j.IsGang {
		return min(j.Tasks-j.DoneTasks, 1)
	}
	return j.Tasks - j.DoneTasks
}

// WaitingTasks is the number of tasks that wait to be started.
func (j *Job) WaitingTasks() int { return max(j.RemainingTasks()-len(j.ActiveAttempts), 0) }

// TakeNextTask takes the next task to start, or -1.
func (j *Job) TakeNextTask() int {
	for len(j.retryTasks) > 0 {
		t := j.retryTasks[0]
		j.retryTasks = j.retryTasks[1:]
		if j.canStart(t) {
			return t
		}
	}
	for j.nextUntried < j.Tasks {
		t := j.nextUntried
		j.nextUntried++
		if j.canStart(t) {
			return t
		}
	}
	return -1
}

func (j *Job) canStart(t int) bool { return !hasBit(j.doneBits, t) && j.ActiveAttempts[t] == nil }

// Requeue puts a task back to be started.
func (j *Job) Requeue(task int) {
	if !hasBit(j.doneBits, task) {
		j.retryTasks = append(j.retryTasks, task)
	}
}

// IsSchedulable reports whether tasks of the job may be started.
func (j *Job) IsSchedulable() bool {
	return j.State == Accepted && !j.IsCancelling && !j.IsFinishing && j.UnmetDependencies == 0
}

// EligibleSince is from when all its times count but its deadline: it waits for nothing else since then.
func (j *Job) EligibleSince() time.Time {
	if j.ReadyAt.After(j.SubmittedAt) {
		return j.ReadyAt
	}
	return j.SubmittedAt
}

// DueAt is by when it has to be complete, for its own sake or for those that need it.
func (j *Job) DueAt() (due time.Time, ok bool) {
	if j.Deadline > 0 {
		due = j.SubmittedAt.Add(j.Deadline)
	}
	if !j.InheritedDeadline.IsZero() && (due.IsZero() || j.InheritedDeadline.Before(due)) {
		due = j.InheritedDeadline
	}
	return due, !due.IsZero()
}

// HasGuarantee reports whether its terms are held: it is guaranteed, or a guaranteed job needs it.
func (j *Job) HasGuarantee() bool { return j.Guaranteed || j.RequiredByGuaranteed }

// EffectivePriority is its priority, or that of the most urgent job that needs it.
func (j *Job) EffectivePriority() Priority { return max(j.Priority, j.InheritedPriority) }

// TimeToDeadline is how long after Since it has to be complete; 0: there is no deadline.
func (j *Job) TimeToDeadline() time.Duration {
	if due, ok := j.DueAt(); ok {
		return max(due.Sub(j.EligibleSince()), time.Millisecond)
	}
	return 0
}

// RemainingWork is the task time still to run, by a per-task estimate.
func (j *Job) RemainingWork(perTask time.Duration, now time.Time) time.Duration {
	left := time.Duration(j.RemainingTasks()) * perTask
	ran := time.Duration(j.runningCount)*now.Sub(j.SubmittedAt) - j.runningStartSum
	return max(left-min(ran, time.Duration(j.runningCount)*perTask*9/10), 0)
}

// StateName is the state as users see it.
func (j *Job) StateName() string {
	switch j.State {
	case Done:
		return "done"
	case Cancelled:
		return "cancelled"
	}
	if j.RunningTasks() > 0 {
		return "running"
	}
	return "queued"
}

// RunningTasks counts the tasks seen running.
func (j *Job) RunningTasks() int { return j.runningCount }

// tasksPerChunk is how many tasks' results one ledger entry holds.
const tasksPerChunk = 2048

func encodeBits(set []uint64) string {
	raw := make([]byte, 0, len(set)*8)
	for _, w := range set {
		for i := 0; i < 8; i++ {
			raw = append(raw, byte(w>>(8*i)))
		}
	}
	for len(raw) > 0 && raw[len(raw)-1] == 0 {
		raw = raw[:len(raw)-1]
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

func decodeBits(s string, set []uint64) error {
	raw, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil {
		return fmt.Errorf("task results: %w", err)
	}
	if len(raw) > len(set)*8 {
		return fmt.Errorf("task results: %d bytes for %d words", len(raw), len(set))
	}
	for i, b := range raw {
		set[i/8] |= uint64(b) << (8 * (i % 8))
	}
	return nil
}
