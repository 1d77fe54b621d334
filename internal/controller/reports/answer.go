package reports

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/controller/workers/reach"
)

// enrolWait is how long a new machine's report may wait for its place on the roster.
const enrolWait = 700 * time.Millisecond

// Answer answers the reports of this batch; what starts where is decided now, if anything may start.
func (c *Clerk) Answer(now time.Time, starting bool) {
	list := c.list
	c.list = nil
	for _, p := range list {
		if p.is == reach.Fresh && p.m.Enrolling && starting && now.Sub(p.at) < enrolWait {
			// Its place on the roster is being written; with that it gets tasks at once.
			c.list = append(c.list, p)
			continue
		}
		// The same machine may have reported twice; only its newest report gets starts.
		ans := workers.Answer{Token: c.token, Commands: []workers.Command{}}
		switch {
		case p.is != reach.Fresh && p.built:
			ans.Commands = c.unwanted(p.rep)
		case p.is == reach.Fresh:
			if c.disobeys(now, p.m) {
				// Its lease is what ends them in time.
				c.log.Info("a machine does not end what was cancelled: it gets no more leases", "machine", p.m.ID)
				c.out.Refuse(p.req, 503, "tasks of cancelled jobs are still there", 0)
				continue
			}
			c.saveBeforeNotice(now, p.m)
			ans.Commands = append(ans.Commands, c.orders(now, p.m, p.rep)...)
			if c.reach.Newest(p.m, p.rep) {
				if starting && c.reach.Hears(p.m) {
					ans.Commands = append(ans.Commands, c.placer.Starts(now, p.m, mostCommands-len(ans.Commands))...)
				}
				c.reach.Answered(p.m)
			}
		}
		p.m.Answered = now
		c.out.Reply(p.req, 200, ans, 0)
	}
}

// unwanted ends the tasks of cancelled jobs in a report that is not believed: whether it is old or not, they are to
// end, and a 200 without that would keep them for another lease.
func (c *Clerk) unwanted(rep *workers.Report) []workers.Command {
	list := []workers.Command{}
	for _, t := range rep.Tasks {
		if key, err := jobs.ParseKey(t.Task); err == nil && t.State != workers.StateExited && len(list) < mostCommands && c.book.IsTaskCancelled(key) {
			list = append(list, workers.Kill(t.Task, t.Attempt, 0))
		}
	}
	return list
}

// disobeys reports whether a task that a machine was told twice to end at once is still there so long after its user was
// told that it is cancelled that another lease would keep it for too long.
func (c *Clerk) disobeys(now time.Time, m *workers.Machine) bool {
	for _, a := range m.Attempts {
		if j := a.Job; j != nil && j.State == jobs.Cancelled && a.Kills >= 2 && !j.Told.IsZero() && now.Sub(j.Told) >= c.reaches {
			return true
		}
	}
	return false
}

// orders lists what the machine is told besides starts.
func (c *Clerk) orders(now time.Time, m *workers.Machine, rep *workers.Report) []workers.Command {
	var list []workers.Command
	for _, t := range rep.Tasks {
		if t.State != workers.StateExited || len(list) >= mostCommands {
			continue
		}
		key, err := jobs.ParseKey(t.Task)
		if err != nil || t.Why != workers.WhyDone || c.book.IsResultDurable(key) {
			list = append(list, workers.Forget(t.Task, t.Attempt))
		}
	}
	for _, a := range m.Attempts {
		if len(list) >= mostCommands {
			break
		}
		j := a.Job
		if a.Unsent {
			continue
		}
		switch {
		case a.Stray || j == nil || j.Cancelling || j.State == jobs.Cancelled:
			a.Kills++
			list = append(list, workers.Kill(a.Key.String(), a.Number, 0))
		case !a.Stopping.IsZero() && !a.Saving:
			list = append(list, workers.Kill(a.Key.String(), a.Number, j.Save.Seconds()))
		}
	}
	return list
}

// saveBeforeNotice has the tasks that can save do so in time before the cloud takes the
// machine.
func (c *Clerk) saveBeforeNotice(now time.Time, m *workers.Machine) {
	if m.NoticeAt.IsZero() {
		return
	}
	for _, a := range m.Attempts {
		if j := a.Job; j != nil && j.Checkpoint > 0 && a.Stopping.IsZero() && !a.Running.IsZero() &&
			m.NoticeAt.Sub(now) < j.Save+3*c.cfg.ReportEvery+time.Second {
			a.Stopping = now
		}
	}
}
