package jobs

import "time"

// Attempt is one run of a task, from the assignment to a machine until that machine certainly does not run it any more.
type Attempt struct {
	Task              TaskID
	Number            uint64 // unique over all leaders
	MachineID         string
	Zone              string
	Job               *Job // nil for a task of a job that is not in the job store
	AssignedAt        time.Time
	IsUnsent          bool      // its start command waits for the machine's next heartbeat
	RunningSince      time.Time // when a heartbeat first reported it as running; zero: not yet
	IsCheckpointing   bool
	StopSentAt        time.Time // when a stop command was last sent; zero: never
	LastSeenReconcile uint64    // number of the last reconciliation of its machine that found it; 0: none did
	KillsSent         int       // heartbeat responses with a command to kill it
	IsOrphan          bool      // it must not run: it is stopped, and holds its resources until it is gone
}

// minRunBeforePreemption is how long the first tasks of a job run before they may be preempted: a start that
// is stopped at once is of no use to the user who waits for it.
const minRunBeforePreemption = 30 * time.Second

// CanBePreempted reports whether the attempt may be stopped for a job of a higher priority. Only tasks that save
// checkpoints qualify, so that little work is lost.
func (a *Attempt) CanBePreempted(now time.Time) bool {
	job := a.Job
	if job == nil || a.IsOrphan || a.IsUnsent || !a.StopSentAt.IsZero() || a.RunningSince.IsZero() {
		return false
	}
	if job.IsGang || job.IsService || job.Guaranteed || job.CheckpointInterval <= 0 {
		return false
	}
	ranFor := now.Sub(a.RunningSince)
	if job.DoneTasks == 0 && ranFor < minRunBeforePreemption {
		return false
	}
	return ranFor >= job.CheckpointDuration
}
