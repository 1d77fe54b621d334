package reachability

import "github.com/prometheus/client_golang/prometheus"

// Metrics count what links have shown, over all leaderships of a controller.
type Metrics struct {
	heartbeats *prometheus.CounterVec
	probes     *prometheus.CounterVec
	suspicions *prometheus.CounterVec
}

// NewMetrics makes the counters and registers them.
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
	m.heartbeats.WithLabelValues([...]string{"copy", "overtaken", "unproven", "new"}[freshness]).Inc()
}
