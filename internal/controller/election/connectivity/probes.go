package connectivity

import "time"

const (
	// probeWindow is for how long the result of a probe says something about the connection.
	probeWindow = 3 * time.Second
	// maxProbes bounds the results that are kept.
	maxProbes = 256
	// minUnanswered is how many probes have to be unanswered for evidence of a partition.
	minUnanswered = 3
	// unansweredPerAnswered is the least number of unanswered probes for each answered one.
	unansweredPerAnswered = 4
)

// probeResult is the result of one that was sent to a machine directly.
type probeResult struct {
	at               time.Time
	heartbeatOverdue bool // of the machine, when it was probed
	answered         bool
}

// probeHistory holds the latest results, the oldest first.
type probeHistory []probeResult

// add appends a result and drops those that are too old or too many.
func (h *probeHistory) add(result probeResult) {
	list := append(*h, result)
	for len(list) > maxProbes || result.at.Sub(list[0].at) > probeWindow {
		list = list[1:]
	}
	*h = list
}

// provePartition reports whether recent probes of machines whose heartbeats were overdue, or were not, show that this leader
// does not reach them.
func (h probeHistory) provePartition(now time.Time, heartbeatOverdue bool) bool {
	matches := func(p probeResult) bool { return p.heartbeatOverdue == heartbeatOverdue }
	_, unanswered := h.count(now, matches)
	return unanswered >= minUnanswered && h.mostlyUnanswered(now, matches)
}

// mostlyUnanswered reports whether at most one of five recent probes that match was answered.
func (h probeHistory) mostlyUnanswered(now time.Time, matches func(probeResult) bool) bool {
	answered, unanswered := h.count(now, matches)
	return unansweredPerAnswered*answered <= unanswered
}

// count counts the recent probes that match.
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
