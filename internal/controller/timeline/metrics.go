package timeline

import (
	"github.com/prometheus/client_golang/prometheus"

	"gullrudder/internal/controller/jobs"
)

// Metrics are the accounts of ended jobs as counters, over all leaderships of a controller.
type Metrics struct {
	seconds *prometheus.CounterVec
	jobs    *prometheus.CounterVec
	open    prometheus.Gauge
}

// NewMetrics makes the counters and registers them.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		seconds: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "gullrudder", Name: "job_seconds_total",
			Help: "Time from submission to the final state of jobs that ended while this controller led, by what kept them."},
			[]string{"team", "class", "cause"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "gullrudder", Name: "jobs_ended_total",
			Help: "Jobs that ended while this controller led."}, []string{"team", "class", "state"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "gullrudder", Name: "jobs_open",
			Help: "Jobs that are not finished, as the leader knows them."}),
	}
	registry.MustRegister(m.seconds, m.jobs, m.open)
	return m
}

func (m *Metrics) ended(j *jobs.Job, s *Spent) {
	state := "cancelled"
	if j.State == jobs.Done {
		state = "done"
	}
	m.jobs.WithLabelValues(j.Team, j.Class, state).Inc()
	for c, ms := range s {
		if ms > 0 {
			m.seconds.WithLabelValues(j.Team, j.Class, Cause(c).String()).Add(float64(ms) / 1000)
		}
	}
}
