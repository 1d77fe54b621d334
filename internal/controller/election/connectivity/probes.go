package connectivity

import "time"

const (
	// probeWindow is how long the result of a probe counts as evidence.
	probeWindow = 3 * time.Second
	// maxProbes bounds the number of results that are kept.
	maxProbes = 256
	// minUnanswered is the least number of unanswered probes for evidence of a partition.
	minUnanswered = 3
	// unansweredPerAnswered is the least number of unanswered probes for each answered one.
	unansweredPerAnswered = 4
)

// probeResult is the result of a probe, which the leader sent to the machine's own address.
type probeResult struct {
	at               time.Time
	heartbeatOverdue bool // the heartbeat of the machine was overdue when it was probed
	answered         bool
}

// probeHistory has the latest results, the oldest first.
type probeHistory []probeResult

// add appends a result and drops those that are too old or too many.
func (h *probeHistory) add(result probeResult) {
	list := append(*h, result)
	for len(list) > maxProbes || result.at.Sub(list[0].at) > probeWindow {
		list = list[1:]
	}
	*h = list
}

// provePartition reports whether enough recent probes were not answered, of the machines whose heartbeats were overdue
// (heartbeatOverdue) or of those whose heartbeats were not.
func (h probeHistory) provePartition(now time.Time, heartbeatOverdue bool) bool {
	matches := func(p probeResult) bool { return p.heartbeatOverdue == heartbeatOverdue }
	_, unanswered := h.count(now, matches)
	return unanswered >= minUnanswered && h.mostlyUnanswered(now, matches)
}

// mostlyUnanswered reports whether at most one in five of the matching recent probes was answered.
func (h probeHistory) mostlyUnanswered(now time.Time, matches func(probeResult) bool) bool {
	answered, unanswered := h.count(now, matches)
	return unansweredPerAnswered*answered <= unanswered
}

// count counts the matching recent probes.
func (h probeHistory) count(now time.Time, matches func(probeResult) bool) (answered, unanswered int) {
	for _, p := range h {
		switch {
		case now.Sub(p.at) > probeWindow || !matches(p):
		case p.answered:
			answered++
		default:
			unanswered++
		}
	}
	return answered, unanswered
}
