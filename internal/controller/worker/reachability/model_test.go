package reachability

import (
	"testing"
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"

	"pgregory.net/rapid"
)

// workerModel is a model of a machine's worker: its counters and all heartbeats that it has sent.
type workerModel struct {
	incarnation, sequence, fencingToken uint64
	process                             int // number of restarts of the worker
	sent                                []sentHeartbeat
}

type sentHeartbeat struct {
	heartbeat workerapi.Heartbeat
	process   int
	sentAt    time.Time
}

func (w *workerModel) sendHeartbeat(now time.Time) sentHeartbeat {
	w.sequence++
	heartbeat := newHeartbeat(w.incarnation, w.sequence, w.fencingToken)
	heartbeat.Addr = "vm-1"
	sent := sentHeartbeat{heartbeat, w.process, now}
	w.sent = append(w.sent, sent)
	return sent
}

// lossyLink simulates one worker, the leader, and a link between them that loses, delays and repeats messages.
type lossyLink struct {
	*rapid.T
	step     int
	now      time.Time
	worker   *workerModel
	tracker  *Tracker
	machine  *worker.Machine
	registry *worker.Registry

	newestSentAt        time.Time    // when the last heartbeat that was classified as fresh was sent
	hasReceivedAnything bool         // the worker has received something since the election
	classifiedFresh     map[int]bool // by index in worker.sent
}

// restartWorker restarts the worker, which loses its counters. Its incarnation may be reset or increased.
func (l *lossyLink) restartWorker() {
	l.worker.process++
	l.worker.fencingToken, l.worker.sequence, l.worker.incarnation = 0, 0, 1
	if rapid.Bool().Draw(l.T, "counts") {
		l.worker.incarnation = l.machine.Incarnation + 1
	}
}

func (l *lossyLink) expireLease() {
	l.worker.incarnation++
	l.worker.sequence = 0
}

func (l *lossyLink) accept(sent sentHeartbeat, complete bool) {
	l.registry.Reconcile(l.now, l.machine, &sent.heartbeat, complete, findNoJob)
	l.machine.Reconciled, l.newestSentAt = true, sent.sentAt
}

// probeWorker sends a probe. The probe is lost, or the worker responds.
func (l *lossyLink) probeWorker() {
	probe := l.tracker.StartProbe(l.now, l.machine)
	if rapid.Bool().Draw(l.T, "lost") {
		l.tracker.ProbeFailed(l.now, l.machine)
		return
	}
	l.worker.fencingToken, l.hasReceivedAnything = testFencingToken, true
	sent := l.worker.sendHeartbeat(l.now)
	countersReset := l.tracker.ProbeAnswered(l.now, l.machine, probe, &sent.heartbeat)
	if countersReset && l.machine.HasSentHeartbeat && l.newestSentAt.After(sent.sentAt) {
		l.Fatalf("step %d: counters reset by a response sent at %v, before the newest heartbeat of %v", l.step, sent.sentAt, l.newestSentAt)
	}
	if !countersReset && sent.heartbeat.FencingToken == testFencingToken && l.machine.IsNewer(&sent.heartbeat) && !l.machine.HasSentHeartbeat {
		l.accept(sent, false)
	}
}

// deliverHeartbeat delivers a new heartbeat, or delivers an earlier one again.
func (l *lossyLink) deliverHeartbeat() {
	index := rapid.IntRange(0, 2*len(l.worker.sent)).Draw(l.T, "which")
	if index >= len(l.worker.sent) {
		index = len(l.worker.sent)
		l.worker.sendHeartbeat(l.now)
	}
	sent := l.worker.sent[index]
	freshness := l.tracker.Classify(l.now, l.machine, &sent.heartbeat)
	switch {
	case freshness == Fresh && l.classifiedFresh[index]:
		l.Fatalf("step %d: same heartbeat fresh twice, want a duplicate to be stale", l.step)
	case freshness == Fresh && sent.process == l.worker.process && sent.sentAt.Before(l.newestSentAt) && l.worker.process == 0:
		l.Fatalf("step %d: heartbeat of %v fresh after one of %v, want stale", l.step, sent.sentAt, l.newestSentAt)
	case freshness == Fresh:
		l.classifiedFresh[index] = true
		l.accept(sent, true)
	}
	isAwaited := sent.process == l.worker.process && sent.heartbeat.Incarnation == l.worker.incarnation
	if freshness != Stale && isAwaited && rapid.Bool().Draw(l.T, "response arrives") {
		l.machine.LeaseRenewedAt = l.now
		l.worker.fencingToken, l.hasReceivedAnything = testFencingToken, true
		if freshness == Fresh {
			l.tracker.RecordAcknowledged(l.machine)
		}
	}
}

// TestStaleHeartbeatIsNeverFresh runs a worker with lost, delayed and repeated messages, and with restarts. It checks that
// heartbeats are classified as fresh only in the order in which they were sent. A duplicate must never be fresh, and a
// machine that has received nothing since the election must not count as reachable.
func TestStaleHeartbeatIsNeverFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		link := &lossyLink{
			T: t, now: time.Unix(1000, 0), worker: &workerModel{incarnation: 1}, tracker: newTestTracker(),
			machine: newTestMachine(rapid.Bool().Draw(t, "registered")), registry: newTestRegistry(), classifiedFresh: map[int]bool{},
		}
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			link.step = step
			link.now = link.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind == 9:
				link.restartWorker()
			case kind == 8:
				link.expireLease()
			case kind >= 6:
				link.probeWorker()
			default:
				link.deliverHeartbeat()
			}
			if link.tracker.IsReachable(link.machine) && !link.hasReceivedAnything {
				t.Fatalf("step %d: machine reachable before it received anything, want unreachable", step)
			}
		}
	})
}
