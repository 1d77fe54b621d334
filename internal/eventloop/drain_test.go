package eventloop

import (
	"slices"
	"testing"
)

// TestDrain checks that a batch takes the queued inputs in order and never exceeds its capacity.
func TestDrain(t *testing.T) {
	queue := make(chan int, 8)
	for input := range 5 {
		queue <- input
	}
	first := Drain(queue, append(make([]int, 0, 4), 9))
	if want := []int{9, 0, 1, 2}; !slices.Equal(first, want) {
		t.Errorf("full batch: got %v, want %v", first, want)
	}
	second := Drain(queue, first[:0])
	if want := []int{3, 4}; !slices.Equal(second, want) {
		t.Errorf("batch of the remaining inputs: got %v, want %v", second, want)
	}
	if empty := Drain(queue, second[:0]); len(empty) != 0 {
		t.Errorf("batch of an empty queue: got %v, want none", empty)
	}
}
