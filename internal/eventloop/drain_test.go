package eventloop

import (
	"slices"
	"testing"
)

// A batch takes what waits, in order, and never more than its capacity.
func TestDrain(t *testing.T) {
	queue := make(chan int, 8)
	for input := range 5 {
		queue <- input
	}
	first := Drain(queue, append(make([]int, 0, 4), 9))
	if want := []int{9, 0, 1, 2}; !slices.Equal(first, want) {
		t.Errorf("full batch %v, want %v", first, want)
	}
	second := Drain(queue, first[:0])
	if want := []int{3, 4}; !slices.Equal(second, want) {
		t.Errorf("batch of what is left %v, want %v", second, want)
	}
	if empty := Drain(queue, second[:0]); len(empty) != 0 {
		t.Errorf("batch of an empty queue %v", empty)
	}
}
