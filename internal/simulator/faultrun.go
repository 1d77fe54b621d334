package simulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// FaultRun is the result of RunWithFaults: how many jobs of each class and team were done.
type FaultRun struct {
	Classes, Teams map[string]Served
	// Largest has two groups for each class: the largest tenth of its jobs by work and by number of tasks, each at least one job.
	Largest                                  map[string]Served
	LatestFirstStart                         time.Duration // longest time from submission to first start among the largest jobs
	HasForgottenJob                          bool          // the first violation is one of RuleForgotten
	MaxMachines                              int           // largest number of machines that were up at the same time
	RequestedCPUSeconds, AvailableCPUSeconds float64       // of all jobs that were not cancelled; of all machines that were up
}

// LeastServed returns the smallest share of done jobs among the classes, among the teams and among the groups of largest jobs.
func (r FaultRun) LeastServed() (class, team, largest float64) {
	_, class = LeastServed(r.Classes)
	_, team = LeastServed(r.Teams)
	_, largest = LeastServed(r.Largest)
	return class, team, largest
}

// IsFeasible reports whether the machines that were up had enough CPU time for all jobs, plus a fifth for lost work. It ignores placement
// and timing.
func (r FaultRun) IsFeasible() bool { return r.RequestedCPUSeconds*1.2 <= r.AvailableCPUSeconds }

// Phases and load of RunWithFaults. Times count from its beginning.
const (
	faultRunSubmissionsEnd = 240 * time.Second // no submissions after that
	faultRunFaultsStart    = 40 * time.Second
	faultRunFaultsDuration = 240 * time.Second
	faultRunLength         = 640 * time.Second
	faultRunRateFactor     = 4 // multiple of the submission rate of RunCapacityLoss
	faultRunSampleInterval = 5 * time.Second
)

// RunWithFaults simulates the workload of RunCapacityLoss at four times its rate. It injects ten random faults of the given kinds over four
// minutes, two at about the same time, and continues without faults to the end. It returns an error for an unknown kind.
func (sim *Cluster) RunWithFaults(kinds []string) (FaultRun, error) {
	for _, name := range kinds {
		if _, ok := findFaultKind(faultRunKinds, name); !ok {
			return FaultRun{}, fmt.Errorf("fault kind %q does not exist, expected one of %q", name, FaultKinds())
		}
	}
	result := FaultRun{Classes: map[string]Served{}, Teams: map[string]Served{}, Largest: map[string]Served{}}
	sim.scheduleFaultRunJobs()
	sim.scheduleFaultRunFaults(kinds)
	for at := faultRunSampleInterval; at < faultRunLength; at += faultRunSampleInterval {
		sim.At(at, func() {
			machines := sim.Cloud.runningMachines()
			result.MaxMachines = max(result.MaxMachines, len(machines))
			for _, m := range machines {
				result.AvailableCPUSeconds += faultRunSampleInterval.Seconds() * m.machineType.CPUs
			}
		})
	}
	sim.Run(faultRunLength)
	result.HasForgottenJob = len(sim.Violations) > 0 && sim.Violations[0].Rule == RuleForgotten
	result.countServed(sim)
	return result, nil
}

// scheduleFaultRunJobs schedules the submissions of RunWithFaults. Every 25th job has ten times the tasks.
func (sim *Cluster) scheduleFaultRunJobs() {
	n := 0
	for _, work := range capacityLossWorkload {
		for at := time.Duration(0); at < faultRunSubmissionsEnd; at += work.interval / faultRunRateFactor {
			spec := work.jobSpec(n)
			if n++; n%25 == 0 {
				spec.Tasks *= 10
			}
			runTime := sim.randomRunTime(work.runTime)
			sim.At(at+sim.randomDelay(time.Second), func() { sim.Users.SubmitJob(spec, runTime) })
		}
	}
}

// scheduleFaultRunFaults schedules random faults of the given kinds, two at about the same time.
func (sim *Cluster) scheduleFaultRunFaults(kinds []string) {
	const rounds, faultsPerRound = 5, 2
	for i := range rounds {
		at := faultRunFaultsStart + time.Duration(i)*faultRunFaultsDuration/rounds
		for range faultsPerRound {
			kind, _ := findFaultKind(faultRunKinds, kinds[sim.Rand.IntN(len(kinds))])
			fault := Fault{
				Kind:         kind.Name,
				Span:         time.Duration(3000+sim.Rand.IntN(40_000)) * time.Millisecond,
				Severity:     1 + sim.Rand.IntN(3),
				HostGroups:   1 + sim.Rand.IntN(1<<hostGroupCount-1),
				RestartAfter: time.Duration(1+sim.Rand.IntN(900)) * time.Millisecond,
			}
			sim.At(at+time.Duration(sim.Rand.IntN(8000))*time.Millisecond, func() { kind.inject(sim, fault) })
		}
	}
}

// countServed counts the jobs that were accepted and whose users did not request their cancellation.
func (r *FaultRun) countServed(sim *Cluster) {
	byClass := map[string][]*observedJob{}
	for _, jobID := range sim.Users.jobIDs {
		job := sim.checker.jobs[jobID]
		if job.acceptedAt.IsZero() || job.cancelRequested {
			continue
		}
		class, team := job.spec.Class, job.spec.Team
		r.RequestedCPUSeconds += float64(job.spec.Tasks) * job.spec.CPUs * job.runTime.Seconds()
		byClass[class] = append(byClass[class], job)
		r.Classes[class] = r.Classes[class].withJob(job)
		r.Teams[team] = r.Teams[team].withJob(job)
	}
	sizes := map[string]func(*observedJob) float64{
		"by work": func(job *observedJob) float64 {
			return float64(job.spec.Tasks) * job.spec.RunTimeEstimate.Seconds() * job.spec.CPUs
		},
		"by tasks": func(job *observedJob) float64 { return float64(job.spec.Tasks) },
	}
	for class, jobsOfClass := range byClass {
		for name, size := range sizes {
			slices.SortStableFunc(jobsOfClass, func(a, b *observedJob) int { return cmp.Compare(size(b), size(a)) })
			for _, job := range jobsOfClass[:max(len(jobsOfClass)/10, 1)] {
				group := class + " " + name
				r.Largest[group] = r.Largest[group].withJob(job)
				r.LatestFirstStart = max(r.LatestFirstStart, timeToFirstStart(job))
			}
		}
	}
}

// timeToFirstStart returns the time from submission to the first start, or the length of the run if there was none.
func timeToFirstStart(job *observedJob) time.Duration {
	if job.firstStartedAt.IsZero() {
		return faultRunLength
	}
	return job.firstStartedAt.Sub(job.submittedAt)
}

// withJob returns the counts with one more job.
func (s Served) withJob(job *observedJob) Served {
	if len(job.completedTasks) == job.spec.Tasks {
		s.Done++
	}
	return Served{s.Done, s.All + 1}
}
