package jobs

import "time"

// Attempt is one run of a task: from the moment its start is decided until its machine is known not to have it any more.
type Attempt struct {
	Task              TaskID
	Number            uint64 // unique over all leaders
	MachineID         string
	Zone              string
	Job               *Job // nil if the job is not known
	AssignedAt        time.Time
	IsUnsent          bool      // its start command waits for the machine's next heartbeat
	RunningSince      time.Time // when a heartbeat first reported it as running; zero: not yet
	IsCheckpointing   bool
	StopSentAt        time.Time // when a stop command was last sent; zero: never
	LastSeenReconcile uint64    // number of the last reconciliation of its machine that found it; 0: none did
	KillsSent         int       // heartbeat responses that told its machine to kill it
	IsOrphan          bool      // it must not run: it is stopped, and holds its resources until it is gone
}

// minRunBeforePreemption is how long the first tasks of a job run before they may be preempted: a user who waits for the job
// to start has gained nothing from a start that is stopped at once.
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
