package simulator

import (
	"container/heap"
	"time"
)

// event is an action that is scheduled for a moment of virtual time.
type event struct {
	at       time.Time
	sequence int // order of the events of the same moment
	action   func()
}

// eventHeap orders events by time, those of the same moment as they were scheduled. It implements heap.Interface.
type eventHeap []event

// Len is the number of events.
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

// Push is called by package heap only.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is called by package heap only.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// At schedules action after a delay in virtual time. Actions of the same moment run in the order in which they were scheduled.
func (sim *Cluster) At(delay time.Duration, action func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{sim.Now.Add(max(delay, 0)), sim.lastSequence, action})
}
