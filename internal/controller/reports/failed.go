package reports

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
)

const (
	// badHosts is on how many machines a job may have failed before it is tried on all of them again: a
	// small site has no others.
	badHosts = 3
	// slowest is how long a job that fails and has completed nothing waits at most between two tries.
	slowest = time.Minute
)

// failed takes in that a task has ended with an error. The job avoids the machine; whether the machine
// is faulty or the job was submitted with a mistake is for the book of blame.
func (c *Clerk) failed(now time.Time, m *workers.Machine, j *jobs.Job) {
	j.Errors++
	c.log.Info("task failed", "job", j.ID, "machine", m.ID, "errors", j.Errors)
	if j.Mistaken && !c.blame.Mistaken(j.ID) {
		c.blame.Keep(now, j.ID) // an earlier leader found it
	}
	c.blame.Failed(now, j.ID, m.ID, j.NDone)
	c.avoid(now, m, j)
	if !j.Gang && !j.Service && c.blame.Mistaken(j.ID) {
		c.mistaken(now, j)
	}
	if c.blame.Faulty(m.ID) && m.Draining == workers.InUse {
		m.Draining = workers.Faulty
		c.log.Info("machine quarantined", "machine", m.ID)
	}
}

// avoid keeps the job off the machine, until it has failed on so many that all are tried again, later.
func (c *Clerk) avoid(now time.Time, m *workers.Machine, j *jobs.Job) {
	m.Failed[j.ID] = true
	if j.BadHosts == nil {
		j.BadHosts = map[string]bool{}
	}
	j.BadHosts[m.ID] = true
	if len(j.BadHosts) < badHosts {
		return
	}
	j.NotBefore = now.Add(2 * time.Second)
	if j.NDone == 0 {
		j.NotBefore = now.Add(min(time.Duration(j.Errors)*2*time.Second, slowest))
	}
	for id := range j.BadHosts {
		if o := c.fleet.Machines[id]; o != nil {
			delete(o.Failed, j.ID)
		}
	}
	j.BadHosts = nil
}

// mistaken has one task of the job tried at a time, and that seldom. What of it runs is stopped: it would
// fail as well, and takes the room of others until then. The verdict is kept, so that the next leader
// does not start all of its tasks once more.
func (c *Clerk) mistaken(now time.Time, j *jobs.Job) {
	j.NotBefore = c.blame.Retry(now, j.ID)
	if j.Mistaken {
		return
	}
	j.Mistaken = true
	stopped := 0
	for _, a := range j.Active {
		if !a.Unsent && a.Stopping.IsZero() {
			a.Stopping = now
			stopped++
		}
	}
	c.log.Info("a job fails wherever it is tried", "job", j.ID, "team", j.Team, "class", j.Class, "machines", c.blame.Machines(j.ID), "stopped", stopped)
	c.book.SaveRecord(now, j)
	c.placer.Changed()
}

// completed takes in that a task of the job has completed on the machine, which speaks for both.
func (c *Clerk) completed(now time.Time, m *workers.Machine, j *jobs.Job) {
	c.blame.Done(j.ID, m.ID)
	if !j.Mistaken {
		return
	}
	j.Mistaken, j.NotBefore = false, time.Time{}
	c.log.Info("a job that failed wherever it was tried has completed a task", "job", j.ID, "machine", m.ID)
	c.book.SaveRecord(now, j)
	c.placer.Changed()
}

// Over takes in that a job is over.
func (c *Clerk) Over(j *jobs.Job) { c.blame.Over(j.ID) }
