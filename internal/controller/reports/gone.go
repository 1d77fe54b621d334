package reports

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
)

// failed points at the machine first: it is returned once tasks of several jobs failed
// on it. A job that fails on several machines is tried again ever more slowly.
func (c *Clerk) failed(now time.Time, m *workers.Machine, j *jobs.Job) {
	m.Failed[j.ID] = true
	j.Errors++
	c.log.Info("task failed", "job", j.ID, "machine", m.ID, "errors", j.Errors)
	if j.BadHosts == nil {
		j.BadHosts = map[string]bool{}
	}
	j.BadHosts[m.ID] = true
	if len(j.BadHosts) >= 3 {
		// Every machine would be suspect: let the job try them all again, later.
		j.NotBefore = now.Add(min(time.Duration(j.Errors)*2*time.Second, time.Minute))
		for id := range j.BadHosts {
			if o := c.fleet.Machines[id]; o != nil {
				delete(o.Failed, j.ID)
			}
		}
		j.BadHosts = nil
		return
	}
	if len(m.Failed) >= 2 && m.Draining == workers.InUse {
		m.Draining = workers.Faulty
		c.log.Info("machine quarantined", "machine", m.ID, "jobs", len(m.Failed))
	}
}

// Expire takes the tasks of workers whose lease has ended for gone.
func (c *Clerk) Expire(now time.Time) {
	for _, m := range c.fleet.Machines {
		if !c.fleet.Expired(now, m) {
			continue
		}
		if len(m.Attempts) > 0 {
			c.log.Info("a worker's lease has ended", "machine", m.ID, "tasks", len(m.Attempts))
			c.Ended(now, m, c.fleet.Clear(m))
		}
		if m.Rostered {
			m.Rostered = false
			c.ledger.Drop(now, RosterPrefix+m.ID)
		}
	}
}

// TakeGone takes in the machines whose deletion the cloud has confirmed.
func (c *Clerk) TakeGone(now time.Time) {
	gone := c.cloud.Gone
	c.cloud.Gone = nil
	for _, id := range gone {
		m := c.fleet.Machines[id]
		if m == nil {
			continue
		}
		c.Ended(now, m, c.fleet.Clear(m))
		c.fleet.Remove(m)
		c.pace.Gone(m.ID)
		c.ledger.Drop(now, RosterPrefix+id)
	}
}
