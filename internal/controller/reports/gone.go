package reports

import (
	"time"
)

// Expire takes the tasks of workers whose lease has ended for gone. A machine of which nothing has shown that
// it is there any more is let go of: all that came of it may have been a copy of what an earlier leader heard.
func (c *Clerk) Expire(now time.Time) {
	for _, m := range c.fleet.Machines {
		if !c.fleet.Expired(now, m) {
			continue
		}
		if !m.Up && !m.Rostered && !m.Enrolling {
			c.fleet.Remove(m)
			c.reach.Gone(m.ID)
			continue
		}
		if len(m.Attempts) > 0 {
			c.log.Info("a worker's lease has ended", "machine", m.ID, "tasks", len(m.Attempts))
			c.Ended(now, m, c.fleet.Clear(m))
		}
		if m.Rostered {
			m.Rostered = false
			c.ledger.Delete(now, RosterPrefix+m.ID)
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
		c.blame.Gone(m.ID)
		c.reach.Gone(m.ID)
		c.ledger.Delete(now, RosterPrefix+id)
	}
}
