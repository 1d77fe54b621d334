// Package reachability keeps what each direction of a machine's link has shown: that it is heard, that it hears, since
// when and from which evidence. Its Book owns the links of a leadership. It decides which report is a copy and
// whether a machine gets starts; it sends nothing, and it never says that a task is gone.
//
// A report may come twice, and late; it proves that its machine lived when it was made. What is certainly fresh
// is an answer on a connection of our own, made after the question was sent. And a machine that is heard may
// hear nothing: what it was told to start never appears, its sessions end though it was answered, a question
// finds no answer. docs/design/reachability.md has the ways that were weighed, and what breaks it.
package reachability

import (
	"log/slog"
	"time"

	"gullrudder/internal/controller/worker"
)

// Freshness is what a report is taken for.
type Freshness int

// Verdicts.
const (
	Stale      Freshness = iota // or of a life of the machine that is over: nothing in it counts, and it gets no 200
	Superseded                  // by its machine's answer to a question of ours: answered, not believed
	Unverified                  // it may be as old as any: answered, not believed
	Fresh                       // newer than all that is known of its machine
)

const (
	// probeInterval is how long a machine has to answer a question before it is asked again.
	probeInterval = time.Second
	// maxUnansweredProbes is after how many questions without an answer a machine counts as silent.
	maxUnansweredProbes = 2
	// workerResponseTimeout is how long a worker waits for an answer before it asks another controller. Two reports that
	// come here sooner after one another than prompt show that the first was answered.
	workerResponseTimeout = 4 * time.Second
	promptInterval        = 3500 * time.Millisecond
	// maxIneffectiveResponses is how many answers that did not raise a machine's token show, with questions that were not
	// answered, that it does not hear them.
	maxIneffectiveResponses = 2
)

// Suspicion is why a machine may not hear us.
type Suspicion int

// Doubts.
const (
	NotSuspected     Suspicion = iota
	Unconfirmed                // nothing has shown yet that it does
	StartsLost                 // what it was told to start does not appear
	IncarnationEnded           // its session ended though its reports were answered
	ProbeUnanswered            // a question was not answered
)

func (d Suspicion) String() string {
	return [...]string{"none", "not proven yet", "starts do not appear", "its session ended though it was answered", "a question was not answered"}[d]
}

type link struct {
	suspicion            Suspicion
	since                time.Time // of the doubt, or of counting anew
	lastProbeAt          time.Time // when a question was sent last
	unansweredProbes     int       // questions in a row that it did not answer
	lastProbeAnswerAt    time.Time // when it answered one last
	incarnation          uint64    // of its newest report
	sequence             uint64
	lastHeartbeatAt      time.Time // when that came
	acknowledged         bool      // and was answered
	ineffectiveResponses int       // answers that have not raised its token
	countersReset        bool      // it has begun to count anew: what comes is not told from copies until its session is a higher one
}

// Tracker keeps the links.
type Tracker struct {
	fencingToken  uint64
	lease         time.Duration
	log           *slog.Logger
	links         map[string]*link
	probeRequests []*worker.Machine // to be asked as soon as can be

	metrics *Metrics
}

// NewTracker makes the book of a new leadership. lease is how long a worker's lease lasts.
func NewTracker(fencingToken uint64, lease time.Duration, metrics *Metrics, log *slog.Logger) *Tracker {
	return &Tracker{fencingToken: fencingToken, lease: lease, metrics: metrics, log: log, links: map[string]*link{}}
}

func (t *Tracker) linkOf(machine *worker.Machine) *link {
	l := t.links[machine.ID]
	if l == nil {
		l = &link{suspicion: Unconfirmed}
		t.links[machine.ID] = l
	}
	return l
}

// Forget lets go of a machine.
func (t *Tracker) Forget(machineID string) { delete(t.links, machineID) }

// Classify says what a report is. It is told of each before anything else is made of it.
func (t *Tracker) Classify(now time.Time, machine *worker.Machine, heartbeat *worker.Heartbeat) Freshness {
	freshness := t.classify(now, machine, heartbeat)
	t.metrics.countHeartbeat(freshness)
	return freshness
}

func (t *Tracker) classify(now time.Time, machine *worker.Machine, heartbeat *worker.Heartbeat) Freshness {
	l := t.linkOf(machine)
	if machine.HasReported &&
		(l.countersReset && heartbeat.Incarnation <= machine.Incarnation || machine.IsNewer(heartbeat) && heartbeat.FencingToken < t.fencingToken) {
		// A worker never forgets a token that it has seen: this one has begun anew. Until its session is a higher
		// one nothing tells what it sends from what is late of its earlier life, so it gets no 200 and its
		// session ends.
		t.recordCountersReset(now, machine, l)
		return Stale
	}
	if machine.HasReported && !machine.IsNewer(heartbeat) {
		if heartbeat.Incarnation == machine.Incarnation &&
			(heartbeat.Incarnation > l.incarnation || heartbeat.Incarnation == l.incarnation && heartbeat.Sequence > l.sequence) &&
			now.Sub(l.lastProbeAnswerAt) < workerResponseTimeout {
			return Superseded
		}
		return Stale
	}
	if heartbeat.FencingToken != t.fencingToken && !machine.HasReported {
		// It may come from before this leadership, and from a machine that is no more. What is there has our token
		// by the answer, and reports that at once.
		if l.unansweredProbes >= maxUnansweredProbes && l.ineffectiveResponses >= maxIneffectiveResponses {
			// It was answered, and asked, and nothing has reached it: with a 200 each time its lease would never
			// be over for certain, and a takeover would wait for it for ever.
			return Stale
		}
		l.ineffectiveResponses++
		return Unverified
	}
	t.recordFresh(now, machine, l, heartbeat)
	return Fresh
}

// recordCountersReset takes in that the machine counts anew. What runs there is gone once an answer to a question tells so, or
// its lease is over.
func (t *Tracker) recordCountersReset(now time.Time, machine *worker.Machine, l *link) {
	if !l.countersReset {
		l.countersReset, l.since = true, now
		t.log.Info("a machine has begun to count its sessions anew", "machine", machine.ID, "session", machine.Incarnation)
		t.probeRequests = append(t.probeRequests, machine)
	}
	machine.IsUnreachable = true
}

// recordFresh takes in a report that is newer than all before.
func (t *Tracker) recordFresh(now time.Time, machine *worker.Machine, l *link, heartbeat *worker.Heartbeat) {
	sameIncarnation := heartbeat.Incarnation == l.incarnation
	switch {
	case machine.HasReported && !sameIncarnation && l.incarnation != 0 && now.Sub(machine.LeaseRenewedAt) < t.lease*4/5 && !l.countersReset:
		t.suspect(now, machine, l, IncarnationEnded)
		t.probeRequests = append(t.probeRequests, machine)
	case l.suspicion == Unconfirmed && heartbeat.FencingToken == t.fencingToken:
		t.confirmReachable(machine, l)
	case l.suspicion != NotSuspected && sameIncarnation && l.acknowledged && now.Sub(l.lastHeartbeatAt) < promptInterval && l.lastHeartbeatAt.After(l.since):
		t.confirmReachable(machine, l)
	case l.suspicion != NotSuspected:
		t.probeRequests = append(t.probeRequests, machine)
	}
	l.incarnation, l.sequence, l.lastHeartbeatAt, l.acknowledged, l.countersReset = heartbeat.Incarnation, heartbeat.Sequence, now, false, false
	machine.LastContactAt = now
	machine.IsUnreachable = l.suspicion != NotSuspected && l.unansweredProbes > 0
}

// IsNewest reports whether it is the newest report of its machine: only its answer has starts.
func (t *Tracker) IsNewest(machine *worker.Machine, heartbeat *worker.Heartbeat) bool {
	l := t.linkOf(machine)
	return heartbeat.Incarnation == l.incarnation && heartbeat.Sequence == l.sequence
}

// RecordAcknowledged takes in that the machine's newest report gets a 200.
func (t *Tracker) RecordAcknowledged(machine *worker.Machine) { t.linkOf(machine).acknowledged = true }

// RecordEnded takes in the attempts that a report of the machine has shown to be gone.
func (t *Tracker) RecordEnded(now time.Time, machine *worker.Machine, ended []worker.EndedAttempt) {
	for _, attempt := range ended {
		if attempt.Reason == worker.ReasonLost && attempt.Attempt.LastSeenReconcile == 0 && !attempt.Attempt.IsUnsent {
			t.suspect(now, machine, t.linkOf(machine), StartsLost)
			t.probeRequests = append(t.probeRequests, machine)
			return
		}
	}
}

func (t *Tracker) suspect(now time.Time, machine *worker.Machine, l *link, suspicion Suspicion) {
	if l.suspicion == NotSuspected || l.suspicion == Unconfirmed {
		l.since = now
		t.metrics.suspicions.WithLabelValues(suspicion.String()).Inc()
		t.log.Debug("a machine may not hear us", "machine", machine.ID, "why", suspicion.String())
	}
	l.suspicion = suspicion
}

func (t *Tracker) confirmReachable(machine *worker.Machine, l *link) {
	l.suspicion, l.unansweredProbes, l.ineffectiveResponses = NotSuspected, 0, 0
	machine.IsUnreachable = l.countersReset
}

// IsReachable reports whether there is evidence that the machine hears us: if not it gets no starts.
func (t *Tracker) IsReachable(machine *worker.Machine) bool {
	l := t.linkOf(machine)
	return l.suspicion == NotSuspected && !l.countersReset
}

// IsSuspected reports whether something has shown that the machine may not hear us.
func (t *Tracker) IsSuspected(machine *worker.Machine) bool {
	l := t.links[machine.ID]
	return l != nil && (l.suspicion > Unconfirmed || l.countersReset)
}

// TakeProbeRequests are the machines that are to be asked as soon as can be: what they hear is in doubt.
func (t *Tracker) TakeProbeRequests() []*worker.Machine {
	machines := t.probeRequests
	t.probeRequests = nil
	return machines
}

// RequestProbe has a machine asked as soon as can be, if it could not be.
func (t *Tracker) RequestProbe(machine *worker.Machine) {
	t.probeRequests = append(t.probeRequests, machine)
}

// IsProbeDue reports whether the machine may be asked now: not again before it has had time to answer.
func (t *Tracker) IsProbeDue(now time.Time, machine *worker.Machine) bool {
	l := t.linkOf(machine)
	return l.lastProbeAt.IsZero() || now.Sub(l.lastProbeAt) >= probeInterval
}

// Probe is one that was sent to a machine.
type Probe struct{ incarnation, sequence uint64 }

// StartProbe takes in that a question is sent to the machine.
func (t *Tracker) StartProbe(now time.Time, machine *worker.Machine) Probe {
	t.linkOf(machine).lastProbeAt = now
	return Probe{machine.Incarnation, machine.Sequence}
}

// ProbeAnswered takes in a machine's answer to a question: it hears us, and its report is certainly newer than all that
// was known when the question was sent. If its numbers say otherwise it has begun to count anew, and all that
// ran there before is gone: no answer to a report of its earlier life reaches it.
func (t *Tracker) ProbeAnswered(now time.Time, machine *worker.Machine, probe Probe, heartbeat *worker.Heartbeat) (countersReset bool) {
	l := t.linkOf(machine)
	machine.LastContactAt, l.lastProbeAnswerAt = now, now
	t.metrics.probes.WithLabelValues("answered").Inc()
	l.unansweredProbes = 0
	if machine.HasReported &&
		(heartbeat.Incarnation < probe.incarnation || heartbeat.Incarnation == probe.incarnation && heartbeat.Sequence <= probe.sequence) {
		t.recordCountersReset(now, machine, l)
		return true
	}
	if heartbeat.FencingToken == t.fencingToken {
		t.confirmReachable(machine, l)
	}
	return false
}

// ProbeFailed takes in that a machine did not answer a question.
func (t *Tracker) ProbeFailed(now time.Time, machine *worker.Machine) {
	l := t.linkOf(machine)
	t.metrics.probes.WithLabelValues("not answered").Inc()
	l.unansweredProbes++
	if l.suspicion != Unconfirmed {
		t.suspect(now, machine, l, ProbeUnanswered)
	}
}

// IsUnresponsive reports whether the machine answers no questions, or counts anew for so long that it is better given
// back: sessions that it had before have to end one by one.
func (t *Tracker) IsUnresponsive(now time.Time, machine *worker.Machine) bool {
	l := t.links[machine.ID]
	return l != nil && (l.unansweredProbes >= maxUnansweredProbes || l.countersReset && now.Sub(l.since) > 2*t.lease)
}
