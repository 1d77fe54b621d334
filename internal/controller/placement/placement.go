// Package placement decides on which machine a task runs. It applies the constraints on machine types, zones and instance
// kinds, the teams' quotas, and bin packing. Its Placer owns the current order of the queue, the reservations of machines
// for jobs, and the placed gangs whose start commands are not sent yet. The package never requests or terminates instances
// and never writes to storage.
//
// Design note: docs/design/queue.md.
package placement

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/client"
)

const (
	// maxOrderAge is the age at which the order is recomputed even if InvalidateOrder was not called.
	maxOrderAge = 500 * time.Millisecond
	// gangInterval is the time between two attempts to place waiting gangs.
	gangInterval = 200 * time.Millisecond
	// preemptionInterval is the time between two searches for jobs that need preemption.
	preemptionInterval = 500 * time.Millisecond
)

// Placer decides where tasks start, and returns the start commands for the responses to the machines' heartbeats. Each
// leadership has its own Placer. It is not safe for concurrent use.
type Placer struct {
	platform     *config.Platform
	teams        map[string]config.Team
	log          *slog.Logger
	outbox       *client.Outbox
	fencingToken uint64
	jobs         map[string]*jobs.Job // owned by the job store; only read here
	workers      *worker.Registry
	ranker       *queue.Ranker
	forecaster   CapacityForecaster

	attemptCounter    uint64
	order             jobOrder
	reservations      reservations
	shapeChecks       []shapeCheck                      // by shape number, for the machine that StartTasks was called for
	pendingGangStarts map[*jobs.Attempt]*worker.Machine // start commands that wait for the machines' next heartbeats
	unreconciledUsage UnreconciledUsage                 // nil if every job may start, see SetPartialStart

	nextPreemption     time.Time
	nextGangScheduling time.Time
}

// CapacityForecaster forecasts the capacity of the cluster.
type CapacityForecaster interface {
	// ExpectedCapacity returns the capacity for which the order of the queue is computed.
	ExpectedCapacity(now time.Time) admission.Capacity
}

// Components are the dependencies of a Placer. All of them are required.
type Components struct {
	Platform     *config.Platform
	FencingToken uint64
	Jobs         map[string]*jobs.Job // all unfinished jobs
	Workers      *worker.Registry
	Ranker       *queue.Ranker
	Outbox       *client.Outbox
	Log          *slog.Logger
}

// New returns the Placer of a new leadership. SetCapacityForecaster must be called before its first use.
func New(components Components) *Placer {
	return &Placer{
		platform:          components.Platform,
		teams:             components.Platform.TeamsByName(),
		log:               components.Log,
		outbox:            components.Outbox,
		fencingToken:      components.FencingToken,
		jobs:              components.Jobs,
		workers:           components.Workers,
		ranker:            components.Ranker,
		order:             newJobOrder(),
		reservations:      newReservations(),
		pendingGangStarts: map[*jobs.Attempt]*worker.Machine{},
	}
}

// SetCapacityForecaster sets the source of the expected capacity. It must be called once, before the order is first
// computed. It is separate from New because the autoscaler, which makes the forecasts, is created together with the Placer.
func (p *Placer) SetCapacityForecaster(forecaster CapacityForecaster) { p.forecaster = forecaster }

// Tick places gangs and preempts tasks for guaranteed jobs, each at its own interval. canPlace is false until the failover
// is completed; until then nothing is placed or preempted.
func (p *Placer) Tick(now time.Time, canPlace bool) {
	if now.Sub(p.order.computedAt) > maxOrderAge {
		p.order.isStale = true
	}
	if !canPlace {
		return
	}
	if !now.Before(p.nextGangScheduling) {
		p.nextGangScheduling = now.Add(gangInterval)
		p.scheduleGangs(now)
	}
	if !now.Before(p.nextPreemption) {
		p.nextPreemption = now.Add(preemptionInterval)
		p.preempt(now)
	}
}

// contactIsRecent reports whether the last contact with the machine is less than two heartbeat intervals ago.
func (p *Placer) contactIsRecent(now time.Time, machine *worker.Machine) bool {
	return now.Sub(machine.LastContactAt) < 2*p.platform.HeartbeatInterval
}

// nextAttemptNumber returns a new attempt number. It contains the fencing token, so no other leader ever uses the same
// number.
func (p *Placer) nextAttemptNumber() uint64 {
	p.attemptCounter++
	return p.fencingToken<<24 | p.attemptCounter
}

// newAttempt creates an attempt of the task and assigns it to the machine.
func (p *Placer) newAttempt(now time.Time, machine *worker.Machine, job *jobs.Job, task int, number uint64) *jobs.Attempt {
	attempt := &jobs.Attempt{
		Task:       jobs.TaskID{JobID: job.ID, Index: task},
		Number:     number,
		MachineID:  machine.ID,
		Zone:       machine.Zone,
		Job:        job,
		AssignedAt: now,
	}
	p.workers.Assign(machine, attempt)
	return attempt
}
