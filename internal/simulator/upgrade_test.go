package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Controllers that write pages of the old size are followed, one after the other, by such that keep to lower limits; one dies before its
// turn and comes back as it was. Then the limits fall, early or late, while leaders change, jobs run, end, are sealed and cancelled.
// Nothing is lost, and in the end all pages are within them.
func TestLimitsFallAfterARoll(t *testing.T) {
	t.Parallel()
	refused, before := 0, 0
	for seed := range uint64(5) {
		opt := options()
		opt.Sound = true
		w := New(seed, opt, quiet())
		for i := range 60 {
			w.At(time.Duration(i)*time.Second, w.Users.Submit)
			w.At(4*time.Second+time.Duration(i)*100*time.Millisecond, func() {
				w.Users.Send(jobs.Spec{
					ID: fmt.Sprintf("job-90%02d", i), Class: "long", Team: "blue", Tasks: 12, CPUs: 0.1, MemoryGB: 0.1, Image: "i", AllowsSpot: true,
					RunTimeEstimate: 30 * time.Second,
				}, 30*time.Second)
			})
		}
		w.Run(18 * time.Second)
		leader := w.Leader()
		order := []int{(leader + 1) % 3, (leader + 2) % 3, leader} // who leads is the last
		for k, i := range order {
			w.At(time.Duration(3*k)*time.Second, func() {
				w.nodes[i].cfg.MaxValueBytes, w.nodes[i].cfg.MaxTransactionOps = 1536, 4
				w.Crash(i, time.Second)
			})
		}
		w.At(2*time.Second, func() { w.Crash(order[1], 500*time.Millisecond) })
		fall := time.Duration(7000+120*seed*seed) * time.Millisecond
		w.At(fall, func() {
			for _, v := range w.State.keys {
				if len(v.value) > 1536 {
					before++
				}
			}
			w.State.Limits(1536, 4)
		})
		w.At(fall+3*time.Second, func() {
			if l := w.Leader(); l >= 0 {
				w.Crash(l, time.Second)
			}
		})
		w.At(fall+6*time.Second, func() { w.State.Outage(3 * time.Second) })
		w.Run(3 * time.Minute)
		for k, v := range w.State.keys {
			if len(v.value) > 1536 {
				t.Errorf("seed %d: %s has %d bytes", seed, k, len(v.value))
			}
		}
		refused += w.State.refused
		finishes(t, w, seed)
	}
	if before == 0 {
		t.Error("no page was too large when the limits fell: nothing was tried")
	}
	t.Logf("%d transactions were refused for their size, %d pages were too large when the limits fell", refused, before)
}
