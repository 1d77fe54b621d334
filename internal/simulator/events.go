package simulator

import (
	"container/heap"
	"time"
)

// event is an action scheduled for a point in virtual time.
type event struct {
	at       time.Time
	sequence int // orders events of the same time
	action   func()
}

// eventHeap orders events by time, and events of the same time by the order of scheduling. It implements heap.Interface.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether event i comes before event j.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event. Only package heap calls it.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes and returns the last event. Only package heap calls it.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// At schedules action after a delay in virtual time. A negative delay counts as zero. Actions scheduled for the same time run in the
// order of scheduling.
func (sim *Cluster) At(delay time.Duration, action func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{sim.Now.Add(max(delay, 0)), sim.lastSequence, action})
}
