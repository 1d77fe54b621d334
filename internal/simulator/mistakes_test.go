package simulator

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// machinesIn are the machines that the log calls faulty.
type machinesIn map[string]bool

func (m machinesIn) Enabled(context.Context, slog.Level) bool { return true }
func (m machinesIn) WithAttrs([]slog.Attr) slog.Handler       { return m }
func (m machinesIn) WithGroup(string) slog.Handler            { return m }

func (m machinesIn) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "machine quarantined" {
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "machine" {
				m[a.Value.String()] = true
			}
			return true
		})
	}
	return nil
}

// Mistaken jobs and faulty machines at the same time, while machines die and two leaders end: the faulty
// machines are given back and no others are, each mistaken job is tried a few times after its first wave,
// also under the next leaders, and everything else gets done. With the code before, each of the three was
// started 310 to 340 times, and nine or more machines a world that were well were given back as faulty.
func TestMistakenJobsAndFaultyMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			opt := options()
			opt.Loss, opt.Capacity, opt.Teams, opt.Sound = 0, 14, nil, true
			quarantined := machinesIn{}
			w := New(seed, opt, slog.New(quarantined))
			job := func(id string, tasks int) jobs.Spec {
				return jobs.Spec{
					ID:              "job-" + id,
					Class:           "c",
					Team:            "none",
					Tasks:           tasks,
					CPUs:            1,
					MemoryGB:        1,
					Image:           "i",
					AllowsSpot:      true,
					RunTimeEstimate: 12 * time.Second,
				}
			}
			for i := range 80 {
				w.At(time.Duration(i)*2*time.Second, func() { w.Users.Send(job(fmt.Sprintf("%06d", i), 12), 12*time.Second) })
			}
			var mistaken []string
			for i := range 3 {
				s := job(fmt.Sprintf("9%05d", i), 60)
				mistaken = append(mistaken, s.ID)
				w.At(time.Duration(20+15*i)*time.Second, func() {
					w.Users.Send(s, 12*time.Second)
					w.model.jobs[s.ID].mistaken = true
				})
			}
			sick := map[string]bool{}
			w.At(30*time.Second, func() {
				for _, m := range w.Cloud.running()[:2] {
					m.faulty, sick[m.id] = true, true
				}
			})
			for i, at := range []time.Duration{70 * time.Second, 120 * time.Second} {
				w.At(at, func() {
					w.Cloud.Die()
					w.Cloud.Die()
					for k := range w.nodes {
						if nodeName(k) == w.State.leader() {
							w.Crash(k, time.Duration(3+i)*time.Second)
						}
					}
				})
			}
			at70 := map[string]int{}
			w.At(72*time.Second, func() {
				for _, id := range mistaken {
					at70[id] = w.model.jobs[id].starts
				}
			})
			w.Run(5 * time.Minute)
			if len(w.Broken) > 0 {
				t.Fatalf("seed %d: %v", seed, w.Broken)
			}
			for _, id := range mistaken {
				// The first wave, what was on its way when it was found, and one at a time since.
				if n := w.model.jobs[id].starts; n > 90 || n-at70[id] > 20 {
					t.Errorf("seed %d: %s was started %d times, %d of these under later leaders", seed, id, n, n-at70[id])
				}
				x := w.explained(id)
				if told := strings.Join(x.Reasons, "; "); !strings.Contains(told, "submitted with a mistake") {
					t.Errorf("seed %d: %s is not explained: %s", seed, id, told)
				}
			}
			for id := range quarantined {
				if !sick[id] {
					t.Errorf("seed %d: %s was given back as faulty, which is well", seed, id)
				}
			}
			for id := range sick {
				if !w.Cloud.machines[id].gone && !w.Cloud.machines[id].dead {
					t.Errorf("seed %d: the faulty %s is still in use", seed, id)
				}
			}
			if n := w.Users.Unfinished(); n > len(mistaken) {
				t.Errorf("seed %d: %d jobs that are well are not done", seed, n-len(mistaken))
			}
		})
	}
}
