package autoscaler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"pgregory.net/rapid"
)

// randomForecast is a queue of a few classes on a fleet that is too small, or is not.
func randomForecast(t *rapid.T) *objectiveForecast {
	o := &objectiveForecast{
		costWeight: rapid.Float64Range(0, 2).Draw(t, "thrift"), spendRate: rapid.Float64Range(0, 0.1).Draw(t, "spend"),
		arrivingWork: rapid.Float64Range(0, 200).Draw(t, "load"),
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		o.objectives = append(o.objectives, objective{
			class: []string{"a", "b"}[i%2], isStart: i%3 == 0, within: time.Duration(rapid.IntRange(20, 300).Draw(t, "within")) * time.Second,
			allowedMissShare: rapid.Float64Range(0.001, 0.3).Draw(t, "spare"),
		})
		n := rapid.Float64Range(0, 50).Draw(t, "past")
		o.history = append(o.history, objectiveRecord{n, n * rapid.Float64Range(0, 1).Draw(t, "missed")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "parts") {
		o.addCapacity(capacityStep{float64(rapid.IntRange(0, 60).Draw(t, "at")), rapid.Float64Range(0, 150).Draw(t, "cpus")})
	}
	for i := range rapid.IntRange(0, 15).Draw(t, "jobs") {
		work := rapid.Float64Range(1, 3000).Draw(t, "work")
		o.backlog += work
		o.queue = append(o.queue, queuedJob{
			class: []string{"a", "b"}[i%2], age: time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second,
			taskDuration: 20 * time.Second, workAhead: o.backlog, weight: 1, quotaDelay: rapid.Float64Range(0, 100).Draw(t, "bound"),
		})
	}
	o.arrivals = append(
		o.arrivals,
		expectedArrival{
			class:        "a",
			rate:         rapid.Float64Range(0, 1).Draw(t, "rate"),
			taskDuration: 20 * time.Second,
			position:     rapid.Float64Range(0, 1).Draw(t, "place"),
		},
	)
	return o
}

// walkedFinishTime is when so much work is done, found second by second.
func walkedFinishTime(c capacityTimeline, work float64) float64 {
	const tick = 0.01
	for t := 0.0; t < 3000; t += tick {
		if work -= c.cpusAt(t) * tick; work <= 0 {
			return t + tick
		}
	}
	return math.Inf(1)
}

// The sweep finds what a walk in small steps finds, also where a part of the fleet is taken away.
func TestWorkSweepMatchesStepwiseWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := capacityTimeline{extra: capacityStep{float64(rapid.IntRange(0, 40).Draw(t, "from")), rapid.Float64Range(-40, 40).Draw(t, "extra")}}
		o := &objectiveForecast{}
		for range rapid.IntRange(1, 4).Draw(t, "parts") {
			o.addCapacity(capacityStep{float64(rapid.IntRange(0, 60).Draw(t, "at")), rapid.Float64Range(1, 50).Draw(t, "cpus")})
		}
		c.steps = o.capacitySteps
		s := workSweep{capacity: c}
		work := 0.0
		for range 3 {
			work += rapid.Float64Range(1, 2000).Draw(t, "work")
			got, want := s.finishTime(work), walkedFinishTime(c, work)
			if math.Abs(got-want) > 0.05+want*0.001 && !(got > 2990 && want > 2990) {
				t.Fatalf("%g CPU s are done after %g s, by a walk after %g s: %+v", work, got, want, c)
			}
		}
	})
}

// combinedGain is what counts of several offers are worth together.
func (o *objectiveForecast) combinedGain(offers []candidateKind, counts []int) float64 {
	missed, all, _ := o.predictMisses(capacityStep{})
	sum := o.loss(missed, all)
	p := *o
	p.capacitySteps = slices.Clone(o.capacitySteps)
	for i, f := range offers {
		if counts[i] == 0 {
			continue
		}
		_, _, drained := p.predictMisses(capacityStep{f.bootSeconds, float64(counts[i]) * f.cpus})
		idle := f.bootSeconds + idleTail.Seconds()
		sum -= p.costOf(float64(counts[i]) * f.costPerSecond * max(max(drained-f.bootSeconds, 0)+idleCostWeight*idle, minBilledTime.Seconds()))
		p.addCapacity(capacityStep{f.bootSeconds, float64(counts[i]) * f.cpus})
	}
	missed, all, _ = p.predictMisses(capacityStep{})
	return sum - p.loss(missed, all)
}

// The choice kind by kind, of 1, 2, 4 and so on, is never worse than renting nothing, and on all
// small cases together it comes near to the best of every count of every kind.
func TestGreedyChoiceIsNearTheBest(t *testing.T) {
	chosen, possible, worst := 0.0, 0.0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		o := randomForecast(t)
		offers := []candidateKind{
			{cpus: 8, costPerSecond: 0.0002, bootSeconds: 40, maxCount: 5},
			{cpus: 32, costPerSecond: 0.0007, bootSeconds: 35, maxCount: 3},
		}
		counts := make([]int, len(offers))
		p := *o
		p.capacitySteps = slices.Clone(o.capacitySteps)
		for i, f := range offers {
			counts[i], _ = p.bestCount(f)
			p.addCapacity(capacityStep{f.bootSeconds, float64(counts[i]) * f.cpus})
		}
		greedy, best := o.combinedGain(offers, counts), 0.0
		for a := range offers[0].maxCount + 1 {
			for b := range offers[1].maxCount + 1 {
				best = max(best, o.combinedGain(offers, []int{a, b}))
			}
		}
		if greedy < -1e-9 {
			t.Fatalf("%v machines are worth %g: none would be better", counts, greedy)
		}
		chosen, possible, worst = chosen+greedy, possible+best, max(worst, best-greedy)
	})
	t.Logf("the choice is worth %.1f %% of the best, at worst %.2f aims less", 100*chosen/max(possible, 1e-9), worst)
	if chosen < 0.9*possible {
		t.Errorf("the choice is worth %g, the best %g", chosen, possible)
	}
}

// More machines never make the forecast worse, and what a team's limit holds up no machine helps.
func TestMoreMachinesNeverRaisePredictedMisses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := randomForecast(t)
		more, all, _ := o.predictMisses(capacityStep{5, 20})
		less, _, _ := o.predictMisses(capacityStep{})
		for k := range more {
			if more[k] > less[k]+1e-9 || more[k] > all[k]+1e-9 {
				t.Fatalf("step %d: %g missed with more machines, %g before, of %g", k, more[k], less[k], all[k])
			}
		}
		for i := range o.queue {
			o.queue[i].quotaDelay = 1e6
		}
		o.arrivals = nil
		more, _, _ = o.predictMisses(capacityStep{0, 1000})
		less, _, _ = o.predictMisses(capacityStep{})
		if !slices.Equal(more, less) {
			t.Fatalf("machines help against a team's limit: %v, %v", more, less)
		}
	})
}

// Hard cases: no aims, a price of 0, nothing waits, a burst that is over.
func TestForecastEdgeCases(t *testing.T) {
	now := time.Unix(10_000, 0)
	configured := []config.Objective{
		{Kind: "finished", Class: "c", TimeLimit: time.Minute, TargetShare: 0.95},
		{Kind: "guarantee", TimeLimit: time.Minute, TargetShare: 0.9},
		{Kind: "deadline", Class: "c", TargetShare: 1, DeadlineFactor: 1.5},
	}
	steps := objectivesOf(configured)
	if len(steps) != 2 || steps[1].allowedMissShare != minAllowedMissShare || steps[1].deadlineFactor != 1.5 {
		t.Errorf("%+v", steps)
	}
	o := &objectiveForecast{objectives: steps, history: make([]objectiveRecord, 2), costWeight: 1}
	if n, _ := o.bestCount(candidateKind{cpus: 8, costPerSecond: 1, bootSeconds: 40, maxCount: 64}); n != 0 {
		t.Errorf("%d machines for nothing that waits", n)
	}
	o.addCapacity(capacityStep{0, 10})
	o.backlog = 3000
	o.queue = []queuedJob{{class: "c", taskDuration: 10 * time.Second, deadline: time.Minute, workAhead: 3000, weight: 1}}
	if n, _ := o.bestCount(candidateKind{cpus: 8, costPerSecond: 0, bootSeconds: 10, maxCount: 64}); n == 0 {
		t.Error("machines that cost nothing are not worth it")
	}
	d := newFixture(now)
	d.objectives, d.history = steps, make([]objectiveRecord, 2)
	for i := range 60 { // a burst, and nothing after it
		d.recordArrival(now, jobs.New(jobs.Spec{ID: "job-1", Class: "c", Team: "t", Tasks: 100, CPUs: 1, RunTimeEstimate: time.Minute}, now))
		if i == 30 {
			now = now.Add(time.Second)
		}
	}
	f := d.arrivals[[2]string{"c", "t"}]
	now = now.Add(30 * time.Second)
	if r := f.rate(now); r.work > 0 {
		t.Errorf("a burst counts as a flow of %g CPU s a second", r.work)
	}
	for range 50 {
		now = now.Add(2 * time.Second)
		d.recordArrival(now, jobs.New(jobs.Spec{ID: "job-1", Class: "c", Team: "t", Tasks: 10, CPUs: 1, RunTimeEstimate: time.Minute}, now))
	}
	if r := f.rate(now); r.work < 250 || r.work > 350 {
		t.Errorf("a flow of 300 CPU s a second counts as %g", r.work)
	}
	if r := f.rate(now.Add(time.Hour)); r.work > 0 {
		t.Errorf("a flow that ended an hour ago counts as %g", r.work)
	}
}

// A queue at the start of a small fleet does not make it rent many times the fleet at the dear price.
func TestExpensiveInstancesAreBoundByCheapOnes(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newFixture(now)
	d.objectives = objectivesOf([]config.Objective{{Kind: "finished", Class: "c", TimeLimit: time.Minute, TargetShare: 0.82}})
	d.history = make([]objectiveRecord, 1)
	for i := range 4 {
		d.addMachine(now, i, "large", "a", true)
	}
	for i := range 9 {
		d.addJob(now, 3*i+2, 30, 1)
	}
	d.options.CostWeight = 0
	asked := 0
	for range 30 {
		now = now.Add(time.Second)
		for _, m := range d.workers.Machines {
			m.LeaseRenewedAt, m.LastContactAt = now, now
		}
		d.scale(now)
		d.cloud.Tick(now, d.outbox)
		for _, c := range d.outbox.TakeCalls() {
			b, ok := c.Body.(map[string]any)
			if !ok || c.Path != "/hosts" {
				continue
			}
			n := b["how_many"].(int)
			var ids []string
			if b["driftwood"] == false {
				for range n {
					ids = append(ids, fmt.Sprintf("vm-9%05d", asked))
					asked++
				}
			}
			raw, err := codec.Marshal(map[string]any{"oarlocks": ids})
			if err != nil {
				t.Fatal(err)
			}
			c.Done(now, client.Result{Status: 200, Body: raw})
		}
	}
	cpus := 0.0
	for _, h := range d.cloud.Instances {
		if !h.Kind.Spot {
			cpus += d.cloud.MachineTypes[h.Kind.Type].CPUs
		}
	}
	if asked == 0 || cpus > 32 {
		t.Errorf("%d dear machines with %g CPUs for 64 cheap ones", asked, cpus)
	}
}

// How steps were kept is remembered, and forgotten.
func TestObjectiveHistoryDecays(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newFixture(now)
	d.objectives = objectivesOf([]config.Objective{{Kind: "finished", Class: "c", TimeLimit: time.Minute, TargetShare: 0.95}})
	d.history = make([]objectiveRecord, 1)
	for i := range 10 {
		j := d.addJob(now, i, 1, 1)
		d.JobEnded(now.Add(time.Duration(i*20)*time.Second), j)
	}
	if r := d.history[0]; r.missed < 4 || r.missed > 6 || r.jobs < 7 || r.jobs > 10 {
		t.Errorf("%+v", r)
	}
	d.JobEnded(now.Add(2*time.Hour), d.addJob(now.Add(2*time.Hour), 11, 1, 1))
	if r := d.history[0]; r.missed > 0.01 || r.jobs > 1.01 {
		t.Errorf("after two hours: %+v", r)
	}
}

// Of a zone that is cut nothing is counted on, booting machines neither, and one machine is asked for at a time
// if none is left there; a report ends it.
func TestUnavailableZonesAreNotCountedOn(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newFixture(now)
	for i := range 8 {
		d.addMachine(now, i, "large", []string{"a", "b"}[i%2], true)
	}
	hear := func(heard string) {
		now = now.Add(time.Second)
		for _, m := range d.workers.Machines {
			if m.Zone == heard || heard == "ab" {
				m.LeaseRenewedAt, m.LastContactAt = now, now
			}
		}
		d.zones.Observe(now, false, func(take func(zones.Machine)) {
			for _, m := range d.workers.Machines {
				take(zones.Machine{Zone: m.Zone, HasReported: true, LeaseValid: !d.workers.IsLeaseExpired(now, m), LastHeartbeat: m.LastContactAt})
			}
		})
		d.refreshInstances(now)
	}
	b := cloud.InstanceKind{Type: "large", Zone: "b", Spot: true}
	hear("ab")
	if cpus := d.ExpectedCapacity(now).CPUs; cpus != 8*16 || d.projectCapacity().totalCPUs != 8*16 {
		t.Fatalf("%g CPUs are counted on", cpus)
	}
	for range 8 {
		hear("a")
	}
	if cpus := d.ExpectedCapacity(now).CPUs; cpus != 4*16 || d.projectCapacity().totalCPUs != 4*16 || d.maxRequestable(now, b) != 0 {
		t.Errorf("%g CPUs are counted on, %d may be asked for, while a zone is cut", cpus, d.maxRequestable(now, b))
	}
	for _, m := range d.workers.MachinesByName() { // they are given back
		if m.Zone == "b" {
			d.workers.Remove(m)
			delete(d.cloud.Instances, m.ID)
		}
	}
	for range 20 {
		hear("a")
	}
	if d.maxRequestable(now, b) != 1 {
		t.Errorf("%d machines may be asked for to learn of its return", d.maxRequestable(now, b))
	}
	d.zones.RecordRequest(now, "b", 1)
	if d.maxRequestable(now, b) != 0 {
		t.Error("a second one may be asked for at once")
	}
	d.addMachine(now, 20, "large", "b", true)
	if hear("ab"); d.ExpectedCapacity(now).CPUs != 5*16 || d.maxRequestable(now, b) < 2 {
		t.Error("still not counted on though a machine reports")
	}
}
