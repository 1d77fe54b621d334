// Package placement decides on which machine a task runs: the rules for machine types, zones and instance kinds, the teams'
// quotas, and the bin packing. Its Placer owns the present order of the queue, the reservations of machines for jobs, and
// the placed gangs whose starts are not sent yet. It never requests or terminates instances and never writes to storage.
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
	// maxOrderAge is the age at which the order is computed again even if InvalidateOrder was not called.
	maxOrderAge = 500 * time.Millisecond
	// gangInterval is the time between two attempts to place waiting gangs.
	gangInterval = 200 * time.Millisecond
	// preemptionInterval is the time between two searches for jobs that need preemption.
	preemptionInterval = 500 * time.Millisecond
)

// Placer decides where tasks start. Each leadership has its own. It is not safe for concurrent use. It returns starts as
// commands for the response to a machine's heartbeat.
type Placer struct {
	platform     *config.Platform
	teams        map[string]config.Team
	log          *slog.Logger
	outbox       *client.Outbox
	fencingToken uint64
	jobs         map[string]*jobs.Job // of the job store, read only
	workers      *worker.Registry
	ranker       *queue.Ranker
	forecaster   CapacityForecaster

	attemptCounter    uint64
	order             jobOrder
	reservations      reservations
	shapeChecks       []shapeCheck                      // by shape, for the machine whose starts are chosen
	pendingGangStarts map[*jobs.Attempt]*worker.Machine // to be sent with the machines' next heartbeat responses
	unseenUsage       UnseenUsage                       // nil if every job may start

	nextPreemption     time.Time
	nextGangScheduling time.Time
}

// CapacityForecaster forecasts the capacity of the cluster.
type CapacityForecaster interface {
	// ExpectedCapacity returns the capacity that the order of the queue may count on.
	ExpectedCapacity(now time.Time) admission.Capacity
}

// Components are the parts of the controller that a Placer works with.
type Components struct {
	Platform     *config.Platform
	FencingToken uint64
	Jobs         map[string]*jobs.Job // all unfinished jobs
	Workers      *worker.Registry
	Ranker       *queue.Ranker
	Outbox       *client.Outbox
	Log          *slog.Logger
}

// New makes the placer of a new leadership. SetCapacityForecaster completes it.
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

// SetCapacityForecaster sets the source of the expected capacity. It is called once, before the queue is first ordered: the
// autoscaler, which forecasts, is made with the Placer.
func (p *Placer) SetCapacityForecaster(forecaster CapacityForecaster) { p.forecaster = forecaster }

// Tick does what is due besides the responses to heartbeats: it places gangs, and preempts tasks for guaranteed jobs.
// canPlace is false until the failover is completed; nothing is placed before.
func (p *Placer) Tick(now time.Time, canPlace bool) {
	if now.Sub(p.order.madeAt) > maxOrderAge {
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

// heartbeatIsRecent reports whether a heartbeat of the machine arrived within the last two heartbeat intervals.
func (p *Placer) heartbeatIsRecent(now time.Time, machine *worker.Machine) bool {
	return now.Sub(machine.LastContactAt) < 2*p.platform.HeartbeatInterval
}

// nextAttemptNumber returns a new attempt number. It derives from the fencing token, so that no other leader ever uses it.
func (p *Placer) nextAttemptNumber() uint64 {
	p.attemptCounter++
	return p.fencingToken<<24 | p.attemptCounter
}

// newAttempt assigns a new attempt of the task to the machine.
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
