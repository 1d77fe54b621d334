package accounting

import (
	"gullrudder/internal/controller/jobs"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the accounts of ended jobs as counters, over all leaderships of a controller.
type Metrics struct {
	jobSeconds *prometheus.CounterVec
	jobsEnded  *prometheus.CounterVec
	openJobs   prometheus.Gauge
}

// NewMetrics makes the counters and registers them.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		jobSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "gullrudder", Name: "job_seconds_total",
			Help: "Time from submission to the final state of jobs that ended while this controller led, by what kept them.",
		},
			[]string{"team", "class", "cause"}),
		jobsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "gullrudder", Name: "jobs_ended_total",
			Help: "Jobs that ended while this controller led.",
		}, []string{"team", "class", "state"}),
		openJobs: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "gullrudder", Name: "jobs_open",
			Help: "Jobs that are not finished, as the leader knows them.",
		}),
	}
	registry.MustRegister(m.jobSeconds, m.jobsEnded, m.openJobs)
	return m
}

func (m *Metrics) recordEnded(j *jobs.Job, s *Breakdown) {
	state := "cancelled"
	if j.State == jobs.Done {
		state = "done"
	}
	m.jobsEnded.WithLabelValues(j.Team, j.Class, state).Inc()
	for c, ms := range s {
		if ms > 0 {
			m.jobSeconds.WithLabelValues(j.Team, j.Class, WaitReason(c).String()).Add(float64(ms) / 1000)
		}
	}
}
