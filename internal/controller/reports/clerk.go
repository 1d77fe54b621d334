// Package reports takes in what the machines report and answers them: attempts that have ended,
// machines that failed, what a machine is told to stop, forget and start. Its Clerk owns the
// reports that wait for their answers, and the roster of machines that may hold tasks. What
// starts is place's choice, and what is done is the book's.
package reports

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/book"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/leader/horizon"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/controller/pace"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/reports/blame"
	"gullrudder/internal/controller/timeline"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/controller/workers/reach"
	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/packed"
)

// RosterPrefix marks the ledger's entries for machines that may hold tasks.
const RosterPrefix = "m:"

// RosterEntry is what the ledger keeps of such a machine.
type RosterEntry struct {
	Addr string `msgpack:"a" json:"a"`
}

// pending is a report that waits for its answer.
type pending struct {
	req *inbox.Request
	m   *workers.Machine
	rep *workers.Report
	is  reach.Verdict
	at  time.Time

	built bool // the ledger was read when it came
}

// Clerk is a leader's dealings with reports.
type Clerk struct {
	cfg     *config.Platform
	log     *slog.Logger
	out     *inbox.Answers
	token   uint64
	ledger  *ledger.Store
	book    *book.Store
	fleet   *workers.Fleet
	cloud   *fleet.Cloud
	planner *plan.Planner
	placer  *place.Placer
	times   *timeline.Log
	pace    *pace.Book
	blame   *blame.Book
	reach   *reach.Book
	reaches time.Duration // how long after a cancellation a lease that is given still ends in time
	list    []pending
}

// World is what a clerk sees of its neighbours.
type World struct {
	Platform *config.Platform
	Token    uint64
	Ledger   *ledger.Store
	Book     *book.Store
	Fleet    *workers.Fleet
	Cloud    *fleet.Cloud
	Planner  *plan.Planner
	Placer   *place.Placer
	Times    *timeline.Log
	Pace     *pace.Book
	Blame    *blame.Book
	Reach    *reach.Book
	Answers  *inbox.Answers
	Log      *slog.Logger
}

// NewClerk makes the clerk of a new leadership.
func NewClerk(w World) *Clerk {
	return &Clerk{cfg: w.Platform, log: w.Log, out: w.Answers, token: w.Token, ledger: w.Ledger, book: w.Book, fleet: w.Fleet, cloud: w.Cloud,
		planner: w.Planner, placer: w.Placer, times: w.Times, pace: w.Pace, blame: w.Blame, reach: w.Reach,
		reaches: horizon.Window(w.Platform.CancelWithin, w.Fleet.Lease())}
}

// TurnAway refuses the reports that still wait for an answer.
func (c *Clerk) TurnAway() {
	for _, p := range c.list {
		c.out.Reply(p.req, 503, nil, 0)
	}
	c.list = nil
}

// mostCommands bounds the commands of one answer, so that it stays below 64 KiB.
const mostCommands = 300

// Report takes in a report; its answer goes out at the end of the step. Before the ledger is read
// (built) nothing in it is believed. It says whether the machine lived just now: a copy does not tell.
func (c *Clerk) Report(now time.Time, r *inbox.Request, built bool) (lives bool) {
	var rep workers.Report
	if err := packed.Unmarshal(r.Body, &rep); err != nil || rep.Machine == "" || len(rep.Machine) > workers.LongestName || rep.Session == 0 {
		c.out.Refuse(r, 400, "no report", 0)
		return false
	}
	if rep.Token > c.token || c.cloud.Dead(rep.Machine) || len(c.fleet.Machines) > 20000 {
		c.out.Refuse(r, 503, "not now", 0)
		return false
	}
	m := c.fleet.Machine(rep.Machine)
	is := reach.Unproven
	if built {
		is = c.reach.Report(now, m, &rep)
	}
	if is == reach.Copy {
		// With a 200 a machine that is no more would keep its tasks for as long as copies of its reports come.
		c.out.Refuse(r, 503, "an older report", 0)
		return false
	}
	m.Answered = now
	if is == reach.Fresh {
		// Only a worker that has seen our token is believed: what an earlier leader still sends it has no
		// effect any more, and the report was made after that.
		c.Observe(now, m, &rep, true)
		c.enrol(now, m, &rep)
	}
	c.list = append(c.list, pending{r, m, &rep, is, now, built})
	return is == reach.Fresh
}

// enrol writes down that the machine may hold tasks, before it gets any.
func (c *Clerk) enrol(now time.Time, m *workers.Machine, rep *workers.Report) {
	c.cloud.Seen(now, rep.Machine, rep.Addr, fleet.Kind{Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot})
	if t := c.cloud.Types[rep.Type]; t != nil && m.CPUs+m.Mem+m.Cards == 0 {
		c.fleet.Measure(m, place.Size(t), t.CacheGB, t.FetchRate)
	}
	if m.Rostered || m.Enrolling {
		return
	}
	m.Enrolling = true
	if m.Addr == "" {
		m.Addr = rep.Addr
	}
	err := c.ledger.Set(now, RosterPrefix+m.ID, RosterEntry{Addr: rep.Addr}, 0, true, func(_ time.Time, ok bool) {
		if ok && c.fleet.Machines[m.ID] == m {
			m.Rostered, m.Enrolling = true, false
		}
	})
	if err != nil {
		c.log.Error("a machine cannot be enrolled", "machine", m.ID, "error", err)
		m.Enrolling = false
	}
}

// Observe takes in what is on a machine; whole is false for the answer to a direct command.
func (c *Clerk) Observe(now time.Time, m *workers.Machine, rep *workers.Report, whole bool) {
	ended := c.fleet.Observe(now, m, rep, whole, c.book.Find)
	c.reach.Ended(now, m, ended)
	c.Ended(now, m, ended)
	if !m.Accounted {
		m.Accounted = true
		c.log.Debug("machine accounted for", "machine", m.ID, "tasks", len(m.Attempts))
	}
}

// lostTo is the cause that the account of a job gives for an attempt that did not get done.
func lostTo(e workers.Ended) timeline.Cause {
	switch {
	case !e.Attempt.Stopping.IsZero() || e.Why == workers.WhyHalted:
		return timeline.Stopped
	case e.Why == workers.Lost:
		return timeline.LostMachine
	}
	return timeline.LostFailed
}

// Ended takes in the attempts that are known to be gone.
func (c *Clerk) Ended(now time.Time, m *workers.Machine, list []workers.Ended) {
	for _, e := range list {
		a := e.Attempt
		j := a.Job
		if j == nil || a.Key.Task >= j.Tasks {
			continue
		}
		c.placer.Changed()
		if e.Why != workers.WhyDone {
			c.log.Debug("attempt ended", "task", a.Key, "attempt", a.Number, "machine", m.ID, "why", e.Why)
		}
		switch e.Why {
		case workers.WhyDone:
			if j.Service {
				break // a replica runs until its job is cancelled: it is started again
			}
			if !a.Running.IsZero() && !j.Resumed[a.Key.Task] {
				if j.RanCount > 0 {
					c.pace.Ran(m.ID, now.Sub(a.Running), j.RanSum/time.Duration(j.RanCount), j.RanCount)
				}
				c.planner.Learn(j, now.Sub(a.Running))
			}
			c.times.TaskDone(j, a.Key.Task)
			c.completed(now, m, j)
			if j.TaskDone(a.Key.Task) {
				c.book.FinishIfDone(now, j)
			}
			continue
		case workers.WhyError:
			c.failed(now, m, j)
		case workers.WhyNoRoom:
			m.RoomFrom = now.Add(2 * time.Second)
		case workers.WhyInUse, workers.WhyNoSuch:
			j.NotBefore = now.Add(2 * time.Second)
			c.log.Info("start refused", "task", a.Key, "machine", m.ID, "why", e.Why)
		}
		c.times.Lost(j, a.Key.Task, lostTo(e))
		if e.Saved {
			j.Resumed[a.Key.Task] = true
		}
		j.Again(a.Key.Task)
	}
}
