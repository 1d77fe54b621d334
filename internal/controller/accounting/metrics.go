package accounting

import (
	"github.com/prometheus/client_golang/prometheus"
)

const metricNamespace = "gullrudder"

// Metrics holds Prometheus metrics of the accounts of finished jobs, over all leaderships of a controller process.
type Metrics struct {
	jobSeconds *prometheus.CounterVec
	jobsEnded  *prometheus.CounterVec
	openJobs   prometheus.Gauge
}

// NewMetrics creates the metrics and registers them. It panics if they are already registered.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	metrics := &Metrics{
		jobSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricNamespace, Name: "job_seconds_total",
			Help: "Time from submission to the final state of jobs that ended while this controller led, by wait reason.",
		}, []string{"team", "class", "cause"}),
		jobsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricNamespace, Name: "jobs_ended_total",
			Help: "Jobs that ended while this controller led.",
		}, []string{"team", "class", "state"}),
		openJobs: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: metricNamespace, Name: "jobs_open",
			Help: "Unfinished jobs that this controller knows as the leader; 0 on other controllers.",
		}),
	}
	registry.MustRegister(metrics.jobSeconds, metrics.jobsEnded, metrics.openJobs)
	return metrics
}

func (m *Metrics) recordEnded(finished *FinishedAccount) {
	m.jobsEnded.WithLabelValues(finished.Team, finished.Class, finished.State.String()).Inc()
	for reason, ms := range finished.Breakdown {
		if ms > 0 {
			m.jobSeconds.WithLabelValues(finished.Team, finished.Class, WaitReason(reason).String()).Add(float64(ms) / 1000)
		}
	}
}
