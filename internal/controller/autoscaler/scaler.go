// Package autoscaler decides which instances are requested from the cloud and which are terminated. Its Scaler compares the order
// of the waiting jobs with the capacity that is running or booting. Cheap kinds of instances are requested if the waiting work
// would last long enough. Expensive kinds are requested if they prevent enough objective misses for their price.
//
// The Scaler owns the forecast of the platform's objectives, the arrival rates of jobs, and the times of its next decisions. It
// never starts, stops or places a task, except that it drains machines with low utilization. Package cloud sends the requests.
// Design note: docs/design/autoscaler.md.
package autoscaler

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/client"
)

const (
	scaleInterval = time.Second
	// minScaleInterval is the minimum time between two decisions if an accepted job makes the next one due early.
	minScaleInterval      = 300 * time.Millisecond
	consolidationInterval = 5 * time.Second
)

// LeadershipHistory tells whether the cluster had a leader before this one.
type LeadershipHistory interface {
	// IsFirstLeader reports whether no earlier leader has stored anything.
	IsFirstLeader() bool
}

// Components are the dependencies of a Scaler. All fields are required.
type Components struct {
	Platform     *config.Platform
	Options      *config.Options
	FencingToken uint64
	ElectedAt    time.Time
	History      LeadershipHistory
	Cloud        *cloud.Client
	Workers      *worker.Registry
	Estimator    *estimate.Estimator
	Placer       *placement.Placer
	Stragglers   *straggler.Detector
	Zones        *zones.Tracker
	Outbox       *client.Outbox
	Log          *slog.Logger
}

// Scaler requests and terminates instances for a leader. It is not safe for concurrent use: only the controller's goroutine uses
// it.
type Scaler struct {
	// Components.
	platform     *config.Platform
	options      *config.Options
	teams        map[string]config.Team
	fencingToken uint64
	electedAt    time.Time
	history      LeadershipHistory
	cloud        *cloud.Client
	workers      *worker.Registry
	estimator    *estimate.Estimator
	placer       *placement.Placer
	stragglers   *straggler.Detector
	zones        *zones.Tracker
	outbox       *client.Outbox
	log          *slog.Logger

	// State.
	schedule   schedule
	objectives objectiveTracker
	arrivals   arrivalTracker
	instances  []trackedInstance // as of the last refreshInstances
}

// schedule holds the times of the last and the next decisions.
type schedule struct {
	lastScaled        time.Time
	nextScale         time.Time
	nextConsolidation time.Time
}

// New returns the Scaler for a new leadership. The first Tick takes all decisions.
func New(components Components) *Scaler {
	return &Scaler{
		platform:     components.Platform,
		options:      components.Options,
		teams:        components.Platform.TeamsByName(),
		fencingToken: components.FencingToken,
		electedAt:    components.ElectedAt,
		history:      components.History,
		cloud:        components.Cloud,
		workers:      components.Workers,
		estimator:    components.Estimator,
		placer:       components.Placer,
		stragglers:   components.Stragglers,
		zones:        components.Zones,
		outbox:       components.Outbox,
		log:          components.Log,
		objectives:   newObjectiveTracker(objectivesOf(components.Platform.Objectives), components.ElectedAt),
		arrivals:     arrivalTracker{},
	}
}

// Tick takes the decisions that are due. The result of a request for instances makes the next scaling decision due immediately.
func (s *Scaler) Tick(now time.Time) {
	if !now.Before(s.schedule.nextConsolidation) {
		s.schedule.nextConsolidation = now.Add(consolidationInterval)
		s.cordonStragglers(now)
		s.consolidate(now)
	}
	if !now.Before(s.schedule.nextScale) || s.cloud.TakeResultReceived() {
		s.schedule.lastScaled, s.schedule.nextScale = now, now.Add(scaleInterval)
		s.scale(now)
	}
}

// JobAccepted records the arrival of a job. It makes the next decision due soon, since instances take long to boot.
func (s *Scaler) JobAccepted(now time.Time, job *jobs.Job) {
	s.arrivals.record(now, job, s.estimator)
	if early := s.schedule.lastScaled.Add(minScaleInterval); early.Before(s.schedule.nextScale) {
		s.schedule.nextScale = early
	}
}

// JobEnded records whether a job that has ended met the objectives of its class.
func (s *Scaler) JobEnded(now time.Time, job *jobs.Job) {
	s.objectives.recordEnded(now, job, s.estimator)
}
