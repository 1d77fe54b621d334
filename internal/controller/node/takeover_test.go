package node

import (
	"strings"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// send brings a report to a node that leads and gives back what the machine is told.
func (n *Node) send(t *testing.T, now time.Time, r workers.Report) workers.Answer {
	t.Helper()
	raw, err := packed.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	n.acting = true
	n.report(now, &Request{Method: "POST", Target: "/v1/report", Body: raw})
	n.answerReports(now)
	replies := n.replies
	n.replies = nil
	if len(replies) != 1 || replies[0].Status != 200 {
		t.Fatalf("%+v", replies)
	}
	var a workers.Answer
	if err := packed.Unmarshal(replies[0].Body, &a); err != nil {
		t.Fatal(err)
	}
	return a
}

// A report made under an older token may be older than starts that an earlier leader has
// sent since: a machine on the roster that it took over is believed only once its worker
// has seen the new token.
func TestReportUnderAnOlderTokenIsNotBelieved(t *testing.T) {
	now := time.Unix(10_000, 0)
	n := leading(now)
	n.lead.token = 9
	m := n.lead.fleet.Machine("vm-1")
	m.Rostered, m.Answered = true, now
	n.lead.missing, n.lead.placing = []*workers.Machine{m}, false
	report := workers.Report{Machine: "vm-1", Type: "small", Zone: "a", Session: 1, Seq: 4, Token: 8}
	if a := n.send(t, now, report); a.Token != 9 || m.Accounted {
		t.Errorf("token %d, accounted for %v by a report under an older token", a.Token, m.Accounted)
	}
	n.account(now)
	if n.lead.placing {
		t.Error("places before the machine is accounted for")
	}
	report.Seq, report.Token = 5, 9
	if n.send(t, now, report); !m.Accounted {
		t.Error("not accounted for by a report under the token")
	}
	if n.account(now); !n.lead.placing {
		t.Error("does not begin to place")
	}
}

// One machine that was taken back without notice held up a takeover of a thousand for 15 s.
// It is deleted after two questions without an answer, unless a third of all is silent.
func TestSilentMachinesAreDeleted(t *testing.T) {
	for _, c := range []struct{ machines, silent, deleted int }{{9, 1, 1}, {9, 3, 3}, {9, 4, 0}} {
		now := time.Unix(10_000, 0)
		n := leading(now)
		for i := range c.machines {
			m := n.addMachine(now, i, "small", "a", true)
			m.Addr = m.ID
		}
		for range 40 {
			now = now.Add(500 * time.Millisecond)
			n.allowQuestions()
			n.lead.mayAsk = 100
			for i, m := range n.lead.fleet.Sorted() {
				if i >= c.silent {
					m.Answered = now
				}
			}
			n.dropSilent(now)
			for _, call := range n.box.Take() {
				call.Done(now, outbox.Result{})
			}
		}
		deleted := 0
		for i, m := range n.lead.fleet.Sorted() {
			if m.Draining == workers.Silent {
				deleted++
				if i >= c.silent {
					t.Errorf("%s is deleted though it reports", m.ID)
				}
			}
		}
		if deleted != c.deleted {
			t.Errorf("%d of %d silent: %d deleted, want %d", c.silent, c.machines, deleted, c.deleted)
		}
	}
}

// A machine that is hardly used is emptied if its tasks save and others have room for them;
// the tasks start again elsewhere.
func TestThinMachinesAreEmptied(t *testing.T) {
	for name, saves := range map[string]bool{"tasks that save": true, "tasks that do not": false} {
		now := time.Unix(10_000, 0)
		n := leading(now)
		j := n.addJob(now, 2, 3, 4)
		j.Estimate, j.Save = 5*time.Minute, 4*time.Second
		if saves {
			j.Checkpoint = 15 * time.Second
		}
		var all []*workers.Machine
		for _, tasks := range []int{1, 2} {
			m := n.addMachine(now, len(all), "large", "a", true)
			for range tasks {
				n.attempt(now, m, j, j.NextTask(), n.nextNumber())
			}
			all = append(all, m)
		}
		for _, m := range all {
			n.look(now, m, "large", "a", true)
		}
		now = now.Add(2 * time.Minute)
		for _, m := range all {
			n.look(now, m, "large", "a", true)
		}
		n.thinOut(now)
		var drained []string
		for _, m := range all {
			if m.Draining == workers.Thin && len(m.Attempts) > 0 {
				drained = append(drained, m.ID)
			}
		}
		calls := n.box.Take()
		if saves != (len(drained) == 1) || len(calls) != len(drained) {
			t.Errorf("%s: %v emptied by %d calls", name, drained, len(calls))
			continue
		}
		if !saves {
			continue
		}
		m := n.lead.fleet.Machines[drained[0]]
		r := workers.Report{Machine: m.ID, Type: "large", Zone: "a", Spot: true, Session: 1, Seq: m.Seq + 1, Token: 1}
		for _, a := range m.Attempts {
			r.Tasks = append(r.Tasks, workers.TaskReport{Task: a.Key.String(), Attempt: a.Number, State: workers.StateExited, Why: "halted", Saved: true})
		}
		for _, c := range n.send(t, now, r).Commands {
			if c.Op == "start" {
				t.Error("the machine that is emptied starts something")
			}
		}
		n.giveBack(now)
		if !n.lead.cloud.Hosts[m.ID].Deleting {
			t.Error("the empty machine is not returned")
		}
		started := 0
		now = now.Add(time.Second)
		for _, o := range all {
			for _, c := range n.starts(now, o, 9) {
				if key, err := jobs.ParseKey(c.Task); err == nil && key.Job == j.ID && !strings.HasPrefix(o.ID, m.ID) {
					started++
				}
			}
		}
		if started != len(r.Tasks) {
			t.Errorf("%d tasks start again elsewhere, want %d", started, len(r.Tasks))
		}
	}
}
