package jobs

import "time"

// Progress is which tasks of a job are done, which have an active attempt and which wait to be started.
//
// A task waits to be started if it is in retryTasks or at nextUntried or above, and neither done nor active: a late heartbeat may
// report a task of these as running or done. TakeNextTask skips such tasks.
type Progress struct {
	DoneTasks        int
	ActiveAttempts   map[int]*Attempt // by task index; changed by AddAttempt and RemoveAttempt only
	ResumedTasks     map[int]bool     // tasks that resumed from a checkpoint: their last run time is not that of a whole task
	CompletedRunTime time.Duration    // sum over the tasks that were seen from start to end
	CompletedRuns    int              // number of those tasks

	doneBits     bitset
	durableBits  bitset // tasks whose completion is in the state service
	unsavedTasks []int  // done tasks that no commit has taken yet

	runningCount    int            // active attempts that were seen running
	runningStartSum time.Duration  // sum of their start times, each counted from the job's submission
	attemptsByZone  map[string]int // active attempts, counted only for jobs with zone rules

	retryTasks  []int // tasks to be started again, oldest first
	nextUntried int   // tasks from here on were never tried
}

func newProgress(tasks int) Progress {
	return Progress{
		doneBits: newBitset(tasks), durableBits: newBitset(tasks),
		ActiveAttempts: map[int]*Attempt{}, attemptsByZone: map[string]int{}, ResumedTasks: map[int]bool{},
	}
}

// AddAttempt makes the attempt the active one of its task.
func (j *Job) AddAttempt(attempt *Attempt) {
	j.ActiveAttempts[attempt.Task.Index] = attempt
	if j.hasZoneRules() {
		j.attemptsByZone[attempt.Zone]++
	}
}

// RemoveAttempt removes the attempt. It does nothing if the task has another active one or none.
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

// RecordRunning records that the attempt was first seen running now. Later calls change nothing.
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

// AttemptsInZone returns how many active attempts are in the zone and how many are in other zones. The numbers are valid only
// for jobs with zone rules (SingleZone or SpreadAcrossZones).
func (j *Job) AttemptsInZone(zone string) (inZone, otherZones int) {
	inZone = j.attemptsByZone[zone]
	return inZone, len(j.ActiveAttempts) - inZone
}

// RunningTasks returns the number of tasks seen running.
func (j *Job) RunningTasks() int { return j.runningCount }

// IsTaskDone reports whether a task has completed.
func (j *Job) IsTaskDone(task int) bool { return j.doneBits.has(task) }

// IsTaskDurable reports whether the completion of a task is in the state service.
func (j *Job) IsTaskDurable(task int) bool { return j.State == Done || j.durableBits.has(task) }

// RecordTaskDone records that a task has completed. It returns false if that was recorded before.
func (j *Job) RecordTaskDone(task int) bool {
	if j.IsTaskDone(task) {
		return false
	}
	j.doneBits.set(task)
	j.DoneTasks++
	j.unsavedTasks = append(j.unsavedTasks, task)
	return true
}

// RecordDurable records that the completion of these tasks is in the state service.
func (j *Job) RecordDurable(tasks []int) {
	for _, task := range tasks {
		j.durableBits.set(task)
	}
}

// remainingTasks returns the number of unfinished tasks that resources are planned for. Of a crash-looping job that is one, since
// only one is tried at a time.
func (j *Job) remainingTasks() int {
	remaining := j.Tasks - j.DoneTasks
	if j.CrashLooping && !j.IsGang {
		return min(remaining, 1)
	}
	return remaining
}

// WaitingTasks returns the number of tasks that wait to be started.
func (j *Job) WaitingTasks() int { return max(j.remainingTasks()-len(j.ActiveAttempts), 0) }

// TakeNextTask takes the next task to start off the queue: first those to be tried again, then those never tried. It returns -1
// if none waits.
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

// Requeue puts a task back that has lost its attempt, so that TakeNextTask returns it again.
func (j *Job) Requeue(task int) {
	if !j.IsTaskDone(task) {
		j.retryTasks = append(j.retryTasks, task)
	}
}

// RemainingWork returns the task time still to run, with perTask as the estimated run time of a task. A running task counts as
// at least a tenth of that, however long it has run.
func (j *Job) RemainingWork(perTask time.Duration, now time.Time) time.Duration {
	running := time.Duration(j.runningCount)
	total := time.Duration(j.remainingTasks()) * perTask
	elapsed := running*now.Sub(j.SubmittedAt) - j.runningStartSum
	return max(total-min(elapsed, running*perTask*9/10), 0)
}
