package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
)

// BenchmarkDay plays a minute of a large fleet: the real owners in a world without troubles.
// With -cpuprofile, what lies below node.Step is what a leader pays.
func BenchmarkDay(b *testing.B) {
	for _, machines := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			for range b.N {
				opt := options()
				opt.Tuning = config.DefaultOptions()
				opt.Loss, opt.Teams, opt.ReportEvery = 0, nil, 4*time.Second
				opt.Capacity, opt.Arrays = machines/6, machines/5
				w := New(1, opt, quiet())
				for i := range 120 {
					w.At(time.Duration(i)*500*time.Millisecond, w.Users.Submit)
				}
				start := w.stepped
				w.Run(time.Minute)
				b.ReportMetric(float64(w.stepped-start)/float64(b.N)/1e6, "step-ms/day-minute")
				b.ReportMetric(float64(len(w.Cloud.running())), "machines")
			}
		})
	}
}
