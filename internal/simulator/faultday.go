package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// FaultDay is the result of RunFaultDay: how every class and team was served.
type FaultDay struct {
	Classes, Teams                           map[string]Served
	Largest                                  map[string]Served // the largest tenth of each class, at least one job, by work and by number of tasks
	LatestFirstStart                         time.Duration     // from submission to first start, the longest of the largest jobs
	IsForgotten                              bool              // the first violation was one of the rule Forgotten
	MaxMachines                              int               // the most machines that were up at a time
	RequestedCPUSeconds, AvailableCPUSeconds float64           // by all jobs that were not cancelled; of all machines that were up
}

// LeastServed returns the smallest share of done jobs of any class, any team and any group of largest jobs.
func (d FaultDay) LeastServed() (class, team, largest float64) {
	_, class = LeastServed(d.Classes)
	_, team = LeastServed(d.Teams)
	_, largest = LeastServed(d.Largest)
	return class, team, largest
}

// IsFeasible reports whether the machines that were up could have run all jobs, with a fifth to spare for lost work. It ignores
// placement and time.
func (d FaultDay) IsFeasible() bool { return d.RequestedCPUSeconds*1.2 <= d.AvailableCPUSeconds }

// dayFaults are the troubles of a day, by name.
var dayFaults = map[string]func(w *Cluster, span time.Duration, some int, from int, soon time.Duration){
	"deaf machines": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) {
		w.Cloud.CutInbound(8*some, some%2 == 0, span)
	},
	"copies": func(w *Cluster, span time.Duration, _, _ int, _ time.Duration) { w.Cloud.DuplicateHeartbeats(span) },
	"workers only": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) {
		w.IsolateController(some%w.Options.Controllers, FromState|FromControllers, span)
	},
	"cut": func(w *Cluster, span time.Duration, some, from int, _ time.Duration) {
		w.IsolateController(some%w.Options.Controllers, from, span)
	},
	"short absence": func(w *Cluster, _ time.Duration, some, _ int, soon time.Duration) {
		w.Crash(some%w.Options.Controllers, soon)
		for range 4 * some {
			w.Cloud.RestartMachine(soon, some%2 == 0)
		}
	},
	"all back at once": func(w *Cluster, _ time.Duration, _, _ int, soon time.Duration) {
		for i := range w.Options.Controllers {
			w.Crash(i, soon)
		}
	},
	"election": func(w *Cluster, span time.Duration, some, from int, soon time.Duration) {
		w.CrashAtElectionEvent(from%electionEventCount, span, soon)
		w.State.Refuse(w.State.leaderName(), 3*time.Second)
	},
	"state away": func(w *Cluster, span time.Duration, _, _ int, _ time.Duration) { w.State.Outage(span / 2) },
	"gap": func(w *Cluster, span time.Duration, _, _ int, soon time.Duration) {
		w.State.RefuseLeaderThenAll(time.Second+soon, min(span, w.Options.CancelTimeout)+5*time.Second)
		w.At(time.Second, func() { w.Users.CancelRandom(10) })
	},
	"late writes": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) {
		w.State.DelayTransactions(0.1*float64(some), span)
	},
	"slow state": func(w *Cluster, span time.Duration, _, _ int, _ time.Duration) { w.State.SlowDown(span) },
	"held up": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) {
		w.Cloud.DelayMachines(8*some, min(span, 8*time.Second))
	},
	"handed on": func(w *Cluster, _ time.Duration, some, _ int, soon time.Duration) {
		w.State.HandOverLeadership(1+some, time.Second+soon)
	},
	"cancellations": func(w *Cluster, _ time.Duration, some, _ int, _ time.Duration) { w.Users.CancelRandom(10 * some) },
	"won, not read": func(w *Cluster, span time.Duration, _, _ int, soon time.Duration) {
		w.Users.CancelRandom(5)
		w.OnElectionEvent(keyWritten, func(string) { w.State.Outage(span) })
		if l := w.LeaderIndex(); l >= 0 {
			w.Crash(l, soon)
		}
	},
	"mute machines": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) { w.Cloud.CutOutbound(8*some, span) },
	"cancelled at the end": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) {
		w.Users.CancelAsJobsEnd(0.1*float64(some), span)
	},
	"cancelled now": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) {
		w.Users.CancelLongest(5*some, span/2)
	},
	"odd requests": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) {
		for i := range 5 * some {
			w.At(time.Duration(i)*span/time.Duration(5*some), w.Users.SendInvalidRequest)
		}
	},
	"all away": func(w *Cluster, span time.Duration, _, _ int, _ time.Duration) {
		for i := range w.Options.Controllers {
			w.Crash(i, span)
		}
	},
	"zone away": func(w *Cluster, span time.Duration, some, from int, _ time.Duration) {
		w.CutZone([]string{"a", "b"}[from%2], []int{some % w.Options.Controllers}, span)
	},
	"deaths": func(w *Cluster, span time.Duration, some, _ int, _ time.Duration) {
		for range 6 * some {
			w.Cloud.FailMachine()
			w.Cloud.HangMachine(span)
		}
	},
}

// FaultKinds lists the names of the kinds that RunFaultDay knows, sorted.
func FaultKinds() []string { return slices.Sorted(maps.Keys(dayFaults)) }

// RunFaultDay simulates the workload of RunCapacityLoss at four times its rate. For four minutes it injects ten faults of the given
// kinds, two at about the same time, and then runs on without faults.
func (w *Cluster) RunFaultDay(kinds []string) (FaultDay, error) {
	const submits, begins, lasts, day = 240 * time.Second, 40 * time.Second, 240 * time.Second, 640 * time.Second
	for _, kind := range kinds {
		if dayFaults[kind] == nil {
			return FaultDay{}, fmt.Errorf("no trouble is called %q", kind)
		}
	}
	d := FaultDay{Classes: map[string]Served{}, Teams: map[string]Served{}, Largest: map[string]Served{}}
	n := 0
	for _, kind := range capacityLossWorkload {
		for at := time.Duration(0); at < submits; at += kind.every / 4 {
			s := kind.spec
			s.ID, s.Image, s.ImageGB, s.AllowsSpot, s.RunTimeEstimate = fmt.Sprintf("job-%07d", n), s.Class, 0.5, true, kind.run
			if n++; n%25 == 0 {
				s.Tasks *= 10
			}
			run := time.Duration(float64(kind.run) * (0.7 + 0.6*w.Rand.Float64()))
			w.At(at+time.Duration(w.Rand.Int64N(int64(time.Second))), func() { w.Users.SubmitJob(s, run) })
		}
	}
	for i := range 5 {
		at := begins + time.Duration(i)*lasts/5
		for range 2 {
			strike := dayFaults[kinds[w.Rand.IntN(len(kinds))]]
			span := time.Duration(3000+w.Rand.IntN(40_000)) * time.Millisecond
			some, from, soon := 1+w.Rand.IntN(3), 1+w.Rand.IntN(1<<farSideCount-1), time.Duration(1+w.Rand.IntN(900))*time.Millisecond
			w.At(at+time.Duration(w.Rand.IntN(8000))*time.Millisecond, func() { strike(w, span, some, from, soon) })
		}
	}
	for at := 5 * time.Second; at < day; at += 5 * time.Second {
		w.At(at, func() {
			up := w.Cloud.runningMachines()
			d.MaxMachines = max(d.MaxMachines, len(up))
			for _, m := range up {
				d.AvailableCPUSeconds += 5 * m.machineType.CPUs
			}
		})
	}
	w.Run(day)
	d.IsForgotten = len(w.Violations) > 0 && strings.Contains(w.Violations[0], "forgotten:")
	byClass := map[string][]*observedJob{}
	for _, id := range w.Users.jobIDs {
		j := w.checker.jobs[id]
		if j.acceptedAt.IsZero() || j.cancelRequested {
			continue // a cancelled job need not be done
		}
		d.RequestedCPUSeconds += float64(j.spec.Tasks) * j.spec.CPUs * j.runTime.Seconds()
		byClass[j.spec.Class] = append(byClass[j.spec.Class], j)
		d.Classes[j.spec.Class] = d.Classes[j.spec.Class].with(j)
		d.Teams[j.spec.Team] = d.Teams[j.spec.Team].with(j)
	}
	for class, list := range byClass {
		for name, size := range map[string]func(*observedJob) float64{
			"by work": func(j *observedJob) float64 {
				return float64(j.spec.Tasks) * j.spec.RunTimeEstimate.Seconds() * j.spec.CPUs
			},
			"by tasks": func(j *observedJob) float64 { return float64(j.spec.Tasks) },
		} {
			slices.SortStableFunc(list, func(a, b *observedJob) int { return cmp.Compare(size(b), size(a)) })
			for _, j := range list[:max(len(list)/10, 1)] {
				d.Largest[class+" "+name] = d.Largest[class+" "+name].with(j)
				began := day
				if !j.firstStartedAt.IsZero() {
					began = j.firstStartedAt.Sub(j.submittedAt)
				}
				d.LatestFirstStart = max(d.LatestFirstStart, began)
			}
		}
	}
	return d, nil
}

func (p Served) with(job *observedJob) Served {
	if len(job.completedTasks) == job.spec.Tasks {
		p.Done++
	}
	return Served{p.Done, p.All + 1}
}
