package reachability

import "github.com/prometheus/client_golang/prometheus"

// Values of the label outcome of gullrudder_worker_questions_total.
const (
	probeAnswered    = "answered"
	probeNotAnswered = "not answered"
)

// Metrics counts heartbeats, probes and suspicions over all terms of a controller as the leader.
type Metrics struct {
	heartbeats *prometheus.CounterVec // by Freshness
	probes     *prometheus.CounterVec // by outcome
	suspicions *prometheus.CounterVec // by reason
}

// NewMetrics returns the counters and registers them. It panics if they are registered already.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "gullrudder", Name: name, Help: help}, []string{label})
	}
	m := &Metrics{
		heartbeats: counter("reports_total", "Reports that came while this controller led, by what they were taken for.", "verdict"),
		probes:     counter("worker_questions_total", "Questions put to workers directly, by whether they were answered.", "outcome"),
		suspicions: counter("worker_doubts_total", "Machines that were taken for deaf, by the first evidence.", "why"),
	}
	registry.MustRegister(m.heartbeats, m.probes, m.suspicions)
	return m
}

func (m *Metrics) countHeartbeat(freshness Freshness) {
	verdict := [...]string{Stale: "copy", Superseded: "overtaken", Unverified: "unproven", Fresh: "new"}[freshness]
	m.heartbeats.WithLabelValues(verdict).Inc()
}
