package node

import (
	"strings"
	"time"

	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/leader"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
)

// rosterPrefix marks the ledger's entries for machines that may hold tasks.
const rosterPrefix = "m:"

type rosterEntry struct {
	Addr string `msgpack:"a" json:"a"`
}

// leaseEnd is how long after our last 200 a worker's tasks may still be there. The
// worker counts from when it sent the report, which was before; its clock may run slow.
func (n *Node) leaseEnd() time.Duration {
	return n.cfg.WorkerLease + n.cfg.WorkerLease/500 + margin
}

// takeOver begins a leadership with nothing but the ledger to come.
func (n *Node) takeOver(now time.Time) {
	token := n.election.Token()
	l := &leadership{token: token, since: now, jobs: map[string]*jobs.Job{}, finals: map[string]final{},
		planner: plan.New(n.opt, n.cfg), firsts: map[*jobs.Job]bool{}, gate: n.newGate(), options: n.opt, booked: map[*jobs.Attempt]*workers.Machine{}}
	l.ledger = ledger.New(ledger.Options{LeaderKey: leader.Key, ValueBytes: n.cfg.ValueBytes, TxnOps: n.cfg.TxnOps,
		WriteRate: n.cfg.StateWrites, Quiet: 500 * time.Millisecond}, token, n.log)
	l.cloud = fleet.New(token, n.cfg.CloudRate, n.cfg.ListLag, n.log)
	l.fleet = workers.NewFleet(n.leaseEnd(), n.log)
	n.lead = l
	l.ledger.Load(&n.box)
}

// build makes the jobs and the roster from the ledger.
func (n *Node) build(now time.Time) {
	l := n.lead
	if l.damaged || !n.readHistory() {
		return
	}
	type chunk struct {
		name, id string
		c        int
		v        jobs.Chunk
	}
	var chunks []chunk
	l.ledger.Each(func(name string, decode func(any) error) {
		if id, ok := strings.CutPrefix(name, rosterPrefix); ok {
			var e rosterEntry
			if err := decode(&e); err != nil {
				n.log.Error("a roster entry cannot be read", "machine", id, "error", err)
			}
			m := l.fleet.Machine(id)
			m.Rostered, m.Addr = true, e.Addr
			if m.Answered.IsZero() {
				m.Answered = l.since
			}
			return
		}
		if name == settingsName {
			n.restoreSettings(decode)
			return
		}
		if id, c, ok := jobs.ChunkOf(name); ok {
			var v jobs.Chunk
			if err := decode(&v); err != nil {
				n.log.Error("task results cannot be read", "entry", name, "error", err)
				return
			}
			chunks = append(chunks, chunk{name, id, c, v})
			return
		}
		var rec jobs.Record
		if err := decode(&rec); err != nil {
			n.log.Error("a job cannot be read", "job", name, "error", err)
			return
		}
		j, err := jobs.FromRecord(name, rec)
		if err != nil {
			n.log.Error("a job cannot be rebuilt", "job", name, "error", err)
			return
		}
		if j.State == jobs.Done || j.State == jobs.Cancelled && rec.CPUs+rec.Mem+rec.Cards == 0 {
			l.finals[name] = final{done: j.State == jobs.Done, tasks: j.Tasks, since: now}
			l.ledger.Over(name)
			return
		}
		l.jobs[name] = j
	})
	for _, c := range chunks {
		j := l.jobs[c.id]
		if j == nil {
			// An earlier leader ended after the job did and before its chunks were dropped.
			l.ledger.Drop(now, c.name)
			continue
		}
		if err := j.RestoreChunk(c.c, c.v); err != nil {
			n.log.Error("task results cannot be restored", "job", c.id, "error", err)
		}
	}
	for _, j := range l.jobs {
		l.ledger.Reserve(j.ID, j.Reserve())
		for c := range j.Chunks() {
			l.ledger.Reserve(j.ChunkName(c), jobs.ChunkReserve)
		}
		n.finish(now, j)
	}
	for _, m := range l.fleet.Sorted() {
		if m.Rostered {
			l.missing = append(l.missing, m)
		}
	}
	l.built, l.stale = true, true
	l.first = len(l.jobs)+len(l.finals)+l.history.Jobs()+len(l.fleet.Machines) == 0
	n.log.Info("ledger taken over", "token", l.token, "jobs", len(l.jobs), "finals", len(l.finals), "sealed", l.history.Jobs(),
		"runs", l.history.Runs(), "machines", len(l.fleet.Machines), "after", now.Sub(l.since).Round(time.Millisecond))
	n.account(now)
}

// account begins to place once every machine on the roster is accounted for. It asks
// the workers directly: the empty command raises their token, so that nothing of an
// earlier leader is executed any more, and its answer is their report.
func (n *Node) account(now time.Time) {
	l := n.lead
	still := l.missing[:0]
	for _, m := range l.missing {
		if !m.Rostered || m.Accounted || l.cloud.Dead(m.ID) || l.fleet.Expired(now, m) {
			continue
		}
		still = append(still, m)
	}
	l.missing = still
	for _, m := range l.missing {
		// A machine that has just got its first answer reports again at once.
		if m.Answered.Equal(l.since) || now.Sub(m.Answered) > askAgain {
			n.ask(now, m)
		}
	}
	if len(l.missing) == 0 {
		l.placing, l.stale = true, true
		n.log.Info("placing begins", "token", l.token, "after", now.Sub(l.since).Round(time.Millisecond))
	}
}

// expire takes the tasks of workers whose lease has ended for gone.
func (n *Node) expire(now time.Time) {
	l := n.lead
	for _, m := range l.fleet.Machines {
		if !l.fleet.Expired(now, m) {
			continue
		}
		if len(m.Attempts) > 0 {
			n.log.Info("a worker's lease has ended", "machine", m.ID, "tasks", len(m.Attempts))
			n.ended(now, m, l.fleet.Clear(m))
		}
		if m.Rostered {
			m.Rostered = false
			l.ledger.Drop(now, rosterPrefix+m.ID)
		}
	}
}

// takeGone takes in the machines whose deletion the cloud has confirmed.
func (n *Node) takeGone(now time.Time) {
	l := n.lead
	gone := l.cloud.Gone
	l.cloud.Gone = nil
	for _, id := range gone {
		m := l.fleet.Machines[id]
		if m == nil {
			continue
		}
		n.ended(now, m, l.fleet.Clear(m))
		l.fleet.Remove(m)
		l.ledger.Drop(now, rosterPrefix+id)
	}
}
