package autoscaler

import (
	"slices"
	"time"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
)

const (
	// maxForecastJobs bounds the waiting jobs in a forecast. Of a longer queue every n-th job is sampled, with weight n.
	maxForecastJobs = 300
	// bootResolutionSeconds is the resolution of the times at which booting instances become available.
	bootResolutionSeconds = 5
	// positionAgeOffset, in seconds, is added to the age of a waiting job. The position of the job is weighted by the inverse of
	// the sum.
	positionAgeOffset = 5
)

// newObjectiveForecast returns the forecast for the present cluster and queue.
func (s *Scaler) newObjectiveForecast(now time.Time, order []queue.Entry) *objectiveForecast {
	forecast := &objectiveForecast{
		objectives: s.objectives.objectives,
		records:    s.objectives.records,
		costWeight: s.options.CostWeight,
	}
	s.addInstances(now, forecast)
	demand := s.newQueueDemand(now, order)
	forecast.queue = demand.queue
	for team, cpuSeconds := range demand.cpuSecondsByTeam {
		if limit := s.teams[team].CPULimit; limit > 0 {
			cpuSeconds = min(cpuSeconds, limit*forecastSpan.Seconds()/2)
		}
		forecast.backlog += cpuSeconds
	}
	s.addArrivals(now, forecast, demand)
	return forecast
}

// addInstances adds the capacity and the cost of the cluster to the forecast.
func (s *Scaler) addInstances(now time.Time, forecast *objectiveForecast) {
	cpusByInterval := map[int]float64{}
	for i := range s.instances {
		tracked := &s.instances[i]
		if !tracked.isActive() || tracked.leaseExpired || s.zones.IsUnavailable(tracked.Kind.Zone) {
			continue
		}
		switch {
		case tracked.machine == nil:
			remaining := s.cloud.RemainingBootTime(tracked.machineType, now.Sub(tracked.RequestedAt))
			cpusByInterval[int(remaining.Seconds())/bootResolutionSeconds+1] += tracked.machineType.CPUs
		case tracked.machine.DrainReason == worker.NotDraining:
			cpusByInterval[0] += tracked.machineType.CPUs
		}
		forecast.spendRate += tracked.machineType.HourlyPriceFor(tracked.Kind.Spot) / secondsPerHour
	}
	for interval, cpus := range cpusByInterval {
		forecast.capacitySteps = append(forecast.capacitySteps, capacityStep{at: float64(interval * bootResolutionSeconds), cpus: cpus})
	}
	slices.SortFunc(forecast.capacitySteps, compareSteps)
}

// queueDemand holds the waiting work by job, team and class.
type queueDemand struct {
	queue            []queuedJob
	cpuSecondsByTeam map[string]float64
	positionByClass  map[string]*queuePosition
}

// newQueueDemand sums the waiting work in the order of the queue. A waiting task is assumed to start once the work that waits
// ahead of it is done. Running tasks do not count as work ahead, since their capacity is in the forecast already.
func (s *Scaler) newQueueDemand(now time.Time, order []queue.Entry) queueDemand {
	demand := queueDemand{cpuSecondsByTeam: map[string]float64{}, positionByClass: map[string]*queuePosition{}}
	waitingWork, waitingJobs, total := make([]float64, len(order)), 0, 0.0
	for i := range order {
		if work := waitingCPUSeconds(&order[i]); work > 0 {
			waitingWork[i] = work
			waitingJobs++
			total += work
		}
	}
	sampleEvery := 1 + waitingJobs/maxForecastJobs
	workAhead, seen := 0.0, 0
	for i := range order {
		job, work := order[i].Job, waitingWork[i]
		if work == 0 {
			continue
		}
		workAhead += work
		demand.cpuSecondsByTeam[job.Team] += work
		age := now.Sub(job.EligibleSince())
		demand.positionOf(job.Class).observe(age, workAhead/total)
		if seen++; seen%sampleEvery != 0 {
			continue
		}
		demand.queue = append(demand.queue, queuedJob{
			jobProfile: jobProfile{class: job.Class, taskDuration: order[i].TaskRunTime, deadline: job.TimeToDeadline()},
			age:        age,
			workAhead:  workAhead,
			quotaDelay: s.quotaDelay(job.Team, demand),
			weight:     float64(sampleEvery),
		})
	}
	return demand
}

// waitingCPUSeconds returns the work of a job's waiting tasks. It is 0 for services, which never end.
func waitingCPUSeconds(entry *queue.Entry) float64 {
	if entry.Job.IsService {
		return 0
	}
	perTask := entry.TaskRunTime.Seconds()
	return min(float64(entry.Job.WaitingTasks())*perTask*estimate.CountedCPUs(entry.Job), entry.RemainingCPUSeconds)
}

// quotaDelay returns the minimum number of seconds that the waiting work of a team in demand takes because of the team's quota.
// It is 0 without a quota.
func (s *Scaler) quotaDelay(team string, demand queueDemand) float64 {
	limit := s.teams[team].CPULimit
	if limit <= 0 {
		return 0
	}
	return demand.cpuSecondsByTeam[team] / limit
}

// addArrivals adds the jobs that are expected to arrive to the forecast.
func (s *Scaler) addArrivals(now time.Time, forecast *objectiveForecast, demand queueDemand) {
	for _, flow := range s.arrivals {
		rate := flow.rate(now)
		work := rate.cpuSeconds
		if limit := s.teams[flow.team].CPULimit; limit > 0 {
			work = min(work, limit)
		}
		forecast.arrivingWork += work
		arrival := expectedArrival{jobProfile: flow.profile, rate: rate.jobs, quotaDelay: s.quotaDelay(flow.team, demand)}
		if position := demand.positionByClass[flow.profile.class]; position != nil {
			arrival.position = position.mean()
		}
		forecast.arrivals = append(forecast.arrivals, arrival)
	}
}

// queuePosition estimates where in the queue a new job of a class would be. The jobs of the class that arrived last weigh most.
type queuePosition struct{ sum, weight float64 }

func (d *queueDemand) positionOf(class string) *queuePosition {
	position := d.positionByClass[class]
	if position == nil {
		position = &queuePosition{}
		d.positionByClass[class] = position
	}
	return position
}

// observe adds a job of the given age at a position from 0 (front of the queue) to 1 (end).
func (p *queuePosition) observe(age time.Duration, position float64) {
	weight := 1 / (age.Seconds() + positionAgeOffset)
	p.sum += weight * position
	p.weight += weight
}

// mean returns the average position, weighted towards younger jobs.
func (p *queuePosition) mean() float64 { return p.sum / p.weight }
