package jobs

import "time"

// Attempt is one run of a task. It lasts from the assignment to a machine until the machine certainly no longer runs the task.
type Attempt struct {
	Task              TaskID
	Number            uint64 // unique across all leaders
	MachineID         string
	Zone              string
	Job               *Job // nil if the job is not in the job store
	AssignedAt        time.Time
	IsUnsent          bool      // the start command will be sent with the response to the machine's next heartbeat
	RunningSince      time.Time // when a heartbeat first reported the task as running; zero: not yet
	IsCheckpointing   bool      // the task is saving a checkpoint
	StopRequestedAt   time.Time // when it was marked to be stopped, for example for a preemption; zero: it was not
	LastSeenReconcile uint64    // number of the last reconciliation of the machine that found it; 0: none did
	KillsSent         int       // number of heartbeat responses with a command to kill it
	IsOrphan          bool      // it must not run; it is being stopped and occupies resources until it has ended
}

// minRunBeforePreemption is how long the first tasks of a job run before they may be preempted. A task that is stopped
// immediately after its start gains the waiting user nothing.
const minRunBeforePreemption = 30 * time.Second

// CanBePreempted reports whether the attempt may be stopped for a job of a higher priority. Only tasks that save
// checkpoints qualify, so that little work is lost. They must have run for at least as long as saving a checkpoint takes.
func (a *Attempt) CanBePreempted(now time.Time) bool {
	job := a.Job
	if job == nil || a.IsOrphan || a.IsUnsent || !a.StopRequestedAt.IsZero() || a.RunningSince.IsZero() {
		return false
	}
	if job.IsGang || job.IsService || job.Guaranteed || job.CheckpointInterval <= 0 {
		return false
	}
	runTime := now.Sub(a.RunningSince)
	if job.DoneTasks == 0 && runTime < minRunBeforePreemption {
		return false
	}
	return runTime >= job.CheckpointDuration
}
