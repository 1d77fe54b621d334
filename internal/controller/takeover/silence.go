package takeover

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

const (
	// askAgain is how long a worker has to answer before it is asked again.
	askAgain = time.Second
	// askPerShare is how many workers a second a whole processor could ask. A question is a
	// connection and two messages, taken for half a millisecond at most; at this rate half of
	// our share is left to reports, users and the renewal.
	askPerShare = 1000
)

// allowQuestions lets the budget for direct questions grow, for so much time.
func (t *Takeover) allowQuestions(every time.Duration) {
	rate := askPerShare * t.cfg.CPUShare
	t.mayAsk = min(t.mayAsk+rate*every.Seconds(), float64(t.cfg.Connections)/24)
}

// ask sends a worker the empty command, unless it was asked shortly before; false if the budget
// is used up. It raises the worker's token, so that nothing of an earlier leader is executed
// any more, and its answer is the worker's report.
func (t *Takeover) ask(now time.Time, m *workers.Machine) bool {
	if !t.canAsk() {
		return false
	}
	if m.Addr == "" || !t.reach.Due(now, m) {
		return true
	}
	t.mayAsk--
	t.question(now, m, max(m.Session, 1), 3, func(time.Time, bool) {})
	return true
}

// canAsk reports whether the budget lets a question go: one that finds no socket of ours must not look like a
// worker's silence.
func (t *Takeover) canAsk() bool { return t.mayAsk >= 1 && t.asking < t.cfg.Connections/16 }

// question asks; told learns whether an answer came.
func (t *Takeover) question(now time.Time, m *workers.Machine, session uint64, tries int, told func(now time.Time, answered bool)) {
	t.asking++
	q := t.reach.Ask(now, m)
	t.box.Add(outbox.Call{Service: outbox.Worker, Addr: m.Addr, Method: "POST", Path: "/commands",
		Body: workers.Direct{Token: t.token, Session: session, Commands: []workers.Command{}}, Timeout: askAgain,
		Done: func(now time.Time, res outbox.Result) {
			if t.ended {
				return
			}
			t.asking--
			var r workers.Report
			if res.Status != 200 && res.Status != 409 || packed.Unmarshal(res.Body, &r) != nil || r.Machine != m.ID {
				t.reach.NoAnswer(now, m)
				told(now, false)
				return
			}
			told(now, true)
			switch reborn := t.reach.Answer(now, m, q, &r); {
			case reborn:
				t.clerk.Ended(now, m, t.fleet.Clear(m))
			case res.Status == 409:
				if tries > 0 && r.Token <= t.token && !m.Accounted {
					t.question(now, m, r.Session, tries-1, func(time.Time, bool) {})
				}
			case !m.Accounted && r.Token == t.token && m.Newer(&r):
				t.clerk.Observe(now, m, &r, false)
			}
		}})
}

// late reports whether nothing certain has come of the machine for longer than its reports take.
func (t *Takeover) late(now time.Time, m *workers.Machine) bool {
	return now.Sub(m.Heard) >= t.cfg.ReportEvery*5/4+time.Second
}

// askWanted asks the machines of which it is in doubt whether they hear us.
func (t *Takeover) askWanted(now time.Time) {
	for _, m := range t.reach.Wanted() {
		if t.fleet.Machines[m.ID] == m && !t.ask(now, m) {
			t.reach.Want(m)
		}
	}
}

// sample is how many machines are asked directly, twice a second, while the silence may be our own.
const sample = 4

// askSample asks some of the machines, others each time: what they answer tells whether it is we who are not
// reached. Only machines that have shown themselves to this leadership tell, if there are any: the questions of a
// takeover go ever again to those that are no more, and counted they would make a leader deaf that has lost a
// zone. If only callers elsewhere are the reason, those that report are asked.
func (t *Takeover) askSample(now time.Time) {
	if now.Before(t.nextSample) || !t.hearing.NeedsProbes(now) {
		return
	}
	t.nextSample = now.Add(askAgain / 2)
	missed := t.hearing.SuspectsPartition(now)
	list := t.fleet.Sorted()
	up := slices.ContainsFunc(list, func(m *workers.Machine) bool { return m.Up })
	for left, looked := sample, 0; left > 0 && looked < len(list); looked++ {
		t.sampled++
		m := list[t.sampled%len(list)]
		if up && !m.Up || m.Addr == "" || m.Draining != workers.InUse || t.fleet.Expired(now, m) || !missed && t.late(now, m) || !t.reach.Due(now, m) {
			continue
		}
		if !t.canAsk() {
			return
		}
		left--
		t.mayAsk--
		t.question(now, m, max(m.Session, 1), 3, func(now time.Time, answered bool) { t.hearing.RecordProbe(now, missed, answered) })
	}
}

// dropSilent asks the machines whose reports are missing and deletes those that do not
// answer: the cloud's answer tells that their tasks are gone well before their leases do,
// and a takeover need not wait for them. Where many fall silent at once it is rather we who
// cannot be reached, and the leases decide. What the cloud itself lists as failed has stopped, however
// much else is silent: a site of one machine, all of which had been killed, waited for the lease of the
// machine that was no more. Nothing is deleted while no report at all comes through: one third
// after the other was, on both recorded days of the operations sites, all of them well.
func (t *Takeover) dropSilent(now time.Time) {
	var ids, failed []string
	known := 0
	ours := t.hearing.SuspectsPartition(now)
	t.expected, t.overdue = 0, 0
	ears := map[string]int{}
	for id, m := range t.fleet.Machines {
		if !m.Up && !m.Rostered || m.Draining == workers.Silent || m.Draining == workers.Returned {
			continue
		}
		known++
		if m.Ear {
			if m.Ear = t.zones.Away(m.Zone); m.Ear {
				ears[m.Zone]++
				continue
			}
		}
		late := t.late(now, m)
		if !t.fleet.Expired(now, m) {
			t.expected++
			if late || m.Unreached {
				t.overdue++
			}
		}
		if h := t.cloud.Hosts[id]; h != nil && h.State == fleet.Failed && !h.Deleting && !t.placing {
			m.Draining = workers.Silent
			failed = append(failed, id)
			continue
		}
		if ours {
			continue
		}
		if late || t.reach.Doubted(m) {
			t.ask(now, m)
		}
		if t.reach.Silent(now, m) {
			ids = append(ids, id)
		}
	}
	if len(failed) > 0 {
		t.cloud.Return(now, failed, "failed")
	}
	if len(ids) == 0 || len(ids)*3 > known {
		return
	}
	if ids = t.leaveEars(ids, ears); len(ids) == 0 {
		return
	}
	for _, id := range ids {
		t.fleet.Machines[id].Draining = workers.Silent
	}
	t.cloud.Return(now, ids, string(workers.Silent))
}

// leaveEars keeps some machines of a zone that is cut, those on which the least was lost: their reports tell
// of its return at once, and they need not boot.
func (t *Takeover) leaveEars(ids []string, ears map[string]int) []string {
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.fleet.Machines[a].UsedCPU, t.fleet.Machines[b].UsedCPU), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(ids, func(id string) bool {
		m := t.fleet.Machines[id]
		if ears[m.Zone] >= t.zones.Keep(m.Zone) {
			return false
		}
		ears[m.Zone]++
		m.Ear = true
		return true
	})
}
