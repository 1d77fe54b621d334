package place

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
)

// Of two jobs of one rank the one whose image is on the machine goes first, until the other
// has waited for a machine with its image as long as fetching would take.
func TestImageOnTheMachineGoesFirst(t *testing.T) {
	now := time.Unix(10_000, 0)
	p := newPlacer(now)
	m := p.addMachine(now, 1, "small", "a", false)
	far, near := p.addJob(now, 0, 2, 4), p.addJob(now, 2, 20, 4)
	far.Image, far.ImageGB, near.Image, near.ImageGB = "far", 1, "near", 1 // fetched in 4 s
	m.ImageCache.RecordUse("near", 1)
	first := func() string {
		list := p.Starts(now, m, 1)
		if len(list) != 1 {
			t.Fatalf("%d starts", len(list))
		}
		p.lose(m)
		id, _, _ := strings.Cut(list[0].Task, "/")
		return id
	}
	p.rank(now)
	if p.waiting[0].Job != far || p.waiting[0].Rank != p.waiting[1].Rank {
		t.Fatal("the jobs are not in the order that the test is about")
	}
	if got := first(); got != near.ID {
		t.Errorf("%s starts first", got)
	}
	if now = now.Add(4 * time.Second); first() != far.ID {
		t.Error("a job is passed over for longer than fetching its image takes")
	}
}

// What is remembered of a shape is what a walk over the machines finds for the job itself.
func TestRoomOfAShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		p := newPlacer(now)
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			m := p.addMachine(now, i, []string{"small", "large"}[i%2], []string{"a", "b"}[i%3/2], i%4 == 0)
			if rapid.Bool().Draw(t, "used") {
				p.Starts(now, m, rapid.IntRange(0, 9).Draw(t, "starts"))
			}
		}
		free, rooms := p.byRoom(), newRoomFor(12)
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := p.addJob(now, i, rapid.IntRange(1, 40).Draw(t, "tasks"), rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "cpus"))
			j.Spot, j.Zone = rapid.Bool().Draw(t, "spot"), rapid.SampledFrom([]string{"", "a"}).Draw(t, "zone")
			if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
				free[0].FailedJobs[j.ID] = true
				j.Errors = 1
			}
			want := rapid.IntRange(1, j.Tasks).Draw(t, "want")
			if got, plain := rooms.fit(j, p.shapeOf(j), free, want), fitting(j, free, want); got != plain {
				t.Fatalf("%d tasks of %s fit, a walk finds %d of %d", got, j.ID, plain, want)
			}
		}
	})
}

// plainFuller is what fuller finds, by a walk over all machines.
func (p *Placer) plainFuller(now time.Time, j *jobs.Job, m *workers.Machine) int {
	room := 0
	for _, o := range p.fleet.Machines {
		if o != m && o.HasReported && o.Reconciled && o.Registered && now.Sub(o.LastContactAt) < 2*p.cfg.ReportEvery && !now.Before(o.StartsNotBefore) &&
			Fuller(o, m) && Usable(j, o) && (o.ReservedFor == nil || o.ReservedFor == j) {
			room += min(o.TasksThatFit(j), ZoneRoom(j, o.Zone))
		}
	}
	return min(room, j.Waiting())
}

// What is kept up to date with each change is what a plain walk finds: the levels of the
// fleet, and a job's running tasks, their remaining time and their zones.
func TestIndexesAgreeWithPlainWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		p := newPlacer(now)
		var machines []*workers.Machine
		var list []*jobs.Job
		for i := range rapid.IntRange(2, 12).Draw(t, "machines") {
			large := rapid.Bool().Draw(t, "large")
			typ := map[bool]string{false: "small", true: "large"}[large]
			machines = append(machines, p.addMachine(now, i, typ, []string{"a", "b"}[i%2], i%3 == 0))
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			list = append(list, p.addJob(now, i, rapid.IntRange(1, 30).Draw(t, "tasks"), rapid.SampledFrom([]float64{0.5, 1, 3, 4}).Draw(t, "cpus")))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			m := rapid.SampledFrom(machines).Draw(t, "machine")
			j := rapid.SampledFrom(list).Draw(t, "job")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				for _, c := range p.Starts(now, m, 5) {
					if c.Operation != "start" {
						t.Fatalf("%v instead of a start", c)
					}
				}
			case 2:
				p.look(now, m, m.Type, m.Zone, m.Spot)
			case 3:
				p.lose(m)
			case 4:
				p.Changed()
			}
			if got, want := p.fuller(now, j, m, j.Waiting(), 1<<30), p.plainFuller(now, j, m); got != want {
				t.Fatalf("%d tasks of %s fit on machines fuller than %s, want %d", got, j.ID, m.ID, want)
			}
			checkJob(t, now, j)
			p.rank(now)
			p.lookAnew()
			for i := range p.waiting {
				e := &p.waiting[i]
				if got, want := p.refuses(m, e), m.TasksThatFit(e.Job) == 0 || !KindAllowed(e.Job, Kind(m)); got != want {
					t.Fatalf("%s refuses %s: %v", m.ID, e.Job.ID, got)
				}
				if got, want := p.elsewhere(now, e, m), p.plainFuller(now, e.Job, m); got != want {
					t.Fatalf("by its shape %d tasks of %s fit on machines fuller than %s, want %d", got, e.Job.ID, m.ID, want)
				}
			}
		}
	})
}

func checkJob(t *rapid.T, now time.Time, j *jobs.Job) {
	running, ran, zones := 0, time.Duration(0), map[string]int{}
	for _, a := range j.Active {
		zones[a.Zone]++
		if !a.Running.IsZero() {
			running++
			ran += now.Sub(a.Running)
		}
	}
	perTask := time.Hour
	if got, want := j.Remaining(perTask, now), time.Duration(j.Tasks-j.NDone)*perTask-ran; got != want || j.RunningTasks() != running {
		t.Fatalf("%s: %v remain of %d running, want %v of %d", j.ID, got, j.RunningTasks(), want, running)
	}
	if here, _ := j.InZone("a"); j.Spread && here != zones["a"] {
		t.Fatalf("%s: %d in the zone, want %d", j.ID, here, zones["a"])
	}
}

// loaded is a fleet under load: every machine full but for a part of them, and jobs that wait.
func loaded(machines, waiting int) (*Placer, time.Time) {
	now := time.Unix(10_000, 0)
	p := newPlacer(now)
	for i := range waiting {
		p.addJob(now, i, 100+i%50, 1)
	}
	p.addJob(now, waiting, jobs.MaxTasks, 2)
	for i := range machines {
		m := p.addMachine(now, i, map[bool]string{false: "small", true: "large"}[i%4 == 0], "a", i%2 == 0)
		if i%8 > 0 {
			p.Starts(now, m, 300)
		}
	}
	return p, now
}

var sizes = [...]int{250, 1000, 5000}

// BenchmarkReport is a report of a machine that has room, with its starts; they are taken
// back, so that the next one finds the same.
func BenchmarkReport(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p, now := loaded(size, size)
			m := p.fleet.Machines["vm-000000"]
			for b.Loop() {
				p.Starts(now, m, 300)
				p.lose(m)
			}
		})
	}
}

// BenchmarkRank is the order with its holds.
func BenchmarkRank(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p, now := loaded(size, size)
			for b.Loop() {
				p.stale, p.ordered = true, time.Time{}
				p.rank(now)
			}
		})
	}
}
