package reachability

import "github.com/prometheus/client_golang/prometheus"

// Values of the label outcome of gullrudder_worker_questions_total.
const (
	probeAnswered    = "answered"
	probeNotAnswered = "not answered"
)

// Metrics counts heartbeats, probes and suspicions while a controller leads. The counters are not reset when a leadership ends.
type Metrics struct {
	heartbeats *prometheus.CounterVec // by Freshness
	probes     *prometheus.CounterVec // by outcome
	suspicions *prometheus.CounterVec // by reason
}

// NewMetrics creates the counters and registers them. It panics if they are already registered.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "gullrudder", Name: name, Help: help}, []string{label})
	}
	m := &Metrics{
		heartbeats: counter("reports_total", "Heartbeats received while this controller led, by freshness.", "verdict"),
		probes:     counter("worker_questions_total", "Probes sent directly to workers, by outcome.", "outcome"),
		suspicions: counter("worker_doubts_total", "Machines suspected of not receiving messages, by first evidence.", "why"),
	}
	registry.MustRegister(m.heartbeats, m.probes, m.suspicions)
	return m
}

func (m *Metrics) countHeartbeat(freshness Freshness) {
	verdict := [...]string{Stale: "copy", Superseded: "overtaken", Unverified: "unproven", Fresh: "new"}[freshness]
	m.heartbeats.WithLabelValues(verdict).Inc()
}
