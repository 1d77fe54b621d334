package connectivity

import "time"

const (
	// probeWindow is how long the result of a probe counts as evidence.
	probeWindow = 3 * time.Second
	// maxProbes limits the number of results that are kept.
	maxProbes = 256
	// minUnansweredProbes is the minimum number of unanswered probes for evidence of a partition.
	minUnansweredProbes = 3
	// minUnansweredPerAnswered is the minimum number of unanswered probes for each answered one.
	minUnansweredPerAnswered = 4
)

// probeResult is the result of a probe that the leader sent to the address of a machine.
type probeResult struct {
	at                 time.Time
	partitionSuspected bool // SuspectsPartition was true when the probe was sent
	answered           bool
}

// probeHistory holds the latest results in order of time.
type probeHistory []probeResult

// add appends a result and drops those that are too old or too many.
func (h *probeHistory) add(result probeResult) {
	list := append(*h, result)
	for len(list) > maxProbes || result.at.Sub(list[0].at) > probeWindow {
		list = list[1:]
	}
	*h = list
}

// provePartition reports whether enough recent probes were not answered. It counts only the probes that were sent
// while a partition was suspected, or only the other probes if partitionSuspected is false.
func (h probeHistory) provePartition(now time.Time, partitionSuspected bool) bool {
	matches := func(p probeResult) bool { return p.partitionSuspected == partitionSuspected }
	_, unanswered := h.count(now, matches)
	return unanswered >= minUnansweredProbes && h.mostlyUnanswered(now, matches)
}

// mostlyUnanswered reports whether at most one in five of the matching recent probes was answered.
func (h probeHistory) mostlyUnanswered(now time.Time, matches func(probeResult) bool) bool {
	answered, unanswered := h.count(now, matches)
	return minUnansweredPerAnswered*answered <= unanswered
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
