package jobs

import (
	"time"

	"gullrudder/internal/units"
)

// Progress records which tasks of a job are done, which have an active attempt and which wait to be started.
//
// A task waits to be started if it is in retryTasks or its index is at least nextUntried, and it is neither done nor active. A
// late heartbeat may report such a task as running or done. TakeNextTask then skips it.
type Progress struct {
	DoneTasks        int
	ActiveAttempts   map[int]*Attempt // by task index; changed only by AddAttempt and RemoveAttempt
	ResumedTasks     map[int]bool     // tasks that resumed from a checkpoint; their last run time does not cover the whole task
	CompletedRunTime time.Duration    // sum of the run times of tasks that were observed from start to end
	CompletedRuns    int              // number of those tasks

	doneBits     bitset
	durableBits  bitset // tasks whose completion is durable in the state service
	unsavedTasks []int  // done tasks that no commit has taken yet

	runningCount    int            // number of active attempts that were seen running
	runningStartSum time.Duration  // sum of the start times of these attempts, each relative to the job's submission
	attemptsByZone  map[string]int // number of active attempts; maintained only for jobs with zone rules

	retryTasks  []int // tasks to be started again, in the order of their Requeue calls
	nextUntried int   // index of the first task that TakeNextTask has not reached yet
}

func newProgress(tasks int) Progress {
	return Progress{
		doneBits: newBitset(tasks), durableBits: newBitset(tasks),
		ActiveAttempts: map[int]*Attempt{}, attemptsByZone: map[string]int{}, ResumedTasks: map[int]bool{},
	}
}

// AddAttempt makes the attempt the active attempt of its task and counts it in its zone.
func (j *Job) AddAttempt(attempt *Attempt) {
	j.ActiveAttempts[attempt.Task.Index] = attempt
	if j.hasZoneRules() {
		j.attemptsByZone[attempt.Zone]++
	}
}

// RemoveAttempt removes an active attempt. It does nothing if the task has no active attempt or a different one.
func (j *Job) RemoveAttempt(attempt *Attempt) {
	if j.ActiveAttempts[attempt.Task.Index] != attempt {
		return
	}
	delete(j.ActiveAttempts, attempt.Task.Index)
	if j.hasZoneRules() {
		j.attemptsByZone[attempt.Zone]--
	}
	if !attempt.RunningSince.IsZero() {
		j.runningCount--
		j.runningStartSum -= attempt.RunningSince.Sub(j.SubmittedAt)
	}
}

// RecordRunning records that the attempt was seen running at the given time. Only the first call has an effect.
func (j *Job) RecordRunning(attempt *Attempt, now time.Time) {
	if !attempt.RunningSince.IsZero() {
		return
	}
	attempt.RunningSince = now
	if j.ActiveAttempts[attempt.Task.Index] == attempt {
		j.runningCount++
		j.runningStartSum += now.Sub(j.SubmittedAt)
	}
}

func (j *Job) hasZoneRules() bool { return j.SingleZone || j.SpreadAcrossZones }

// AttemptsInZone returns the number of active attempts in the zone and in all other zones. The numbers are valid only for jobs
// with zone rules (SingleZone or SpreadAcrossZones).
func (j *Job) AttemptsInZone(zone string) (inZone, otherZones int) {
	inZone = j.attemptsByZone[zone]
	return inZone, len(j.ActiveAttempts) - inZone
}

// RunningTasks returns the number of tasks whose active attempt was seen running.
func (j *Job) RunningTasks() int { return j.runningCount }

// IsTaskDone reports whether a task has completed. The completion may not be durable yet.
func (j *Job) IsTaskDone(task int) bool { return j.doneBits.has(task) }

// IsTaskDurable reports whether the completion of a task is durable in the state service.
func (j *Job) IsTaskDurable(task int) bool { return j.State == Done || j.durableBits.has(task) }

// RecordTaskDone records that a task has completed. It returns false if this was recorded before.
func (j *Job) RecordTaskDone(task int) bool {
	if j.IsTaskDone(task) {
		return false
	}
	j.doneBits.set(task)
	j.DoneTasks++
	j.unsavedTasks = append(j.unsavedTasks, task)
	return true
}

// RecordDurable records that the completion of the tasks is durable in the state service.
func (j *Job) RecordDurable(tasks []int) {
	for _, task := range tasks {
		j.durableBits.set(task)
	}
}

// remainingTasks returns the number of unfinished tasks that resources are planned for. It is at most 1 for a crash-looping job,
// whose tasks are tried one at a time, unless the job is a gang.
func (j *Job) remainingTasks() int {
	remaining := j.Tasks - j.DoneTasks
	if j.CrashLooping && !j.IsGang {
		return min(remaining, 1)
	}
	return remaining
}

// WaitingTasks returns the number of tasks that wait to be started; at most 1 for a crash-looping job that is not a gang.
func (j *Job) WaitingTasks() int { return max(j.remainingTasks()-len(j.ActiveAttempts), 0) }

// TakeNextTask removes the next task to start from the queue and returns its index. Requeued tasks come before tasks that were
// never tried. It returns -1 if no task waits.
func (j *Job) TakeNextTask() int {
	for len(j.retryTasks) > 0 {
		task := j.retryTasks[0]
		j.retryTasks = j.retryTasks[1:]
		if j.canStart(task) {
			return task
		}
	}
	for j.nextUntried < j.Tasks {
		task := j.nextUntried
		j.nextUntried++
		if j.canStart(task) {
			return task
		}
	}
	return -1
}

func (j *Job) canStart(task int) bool { return !j.IsTaskDone(task) && j.ActiveAttempts[task] == nil }

// Requeue puts a task without an active attempt back into the queue of TakeNextTask. It does nothing if the task is done.
func (j *Job) Requeue(task int) {
	if !j.IsTaskDone(task) {
		j.retryTasks = append(j.retryTasks, task)
	}
}

// RemainingWork returns the sum of the remaining run times of all unfinished tasks. taskRunTime is the estimated run time of one
// task. The time that running tasks have run is subtracted, up to nine tenths of their estimated run time in total.
func (j *Job) RemainingWork(taskRunTime time.Duration, now time.Time) time.Duration {
	total := units.Multiply(taskRunTime, j.remainingTasks())
	elapsed := time.Duration(j.runningCount)*now.Sub(j.SubmittedAt) - j.runningStartSum
	longest := units.Multiply(taskRunTime, j.runningCount)
	return max(total-min(elapsed, longest-longest/10), 0)
}
