package store

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gullrudder/internal/wire/scrape"
)

// Metrics are the figures of a store, in Prometheus' text form.
type Metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	shed       prometheus.Counter
	failed     prometheus.Counter
	snapFailed prometheus.Counter
	snapshots  prometheus.Histogram
	syncs      prometheus.Histogram
	snapBytes  prometheus.Gauge
	revision   prometheus.Gauge
	keys       prometheus.Gauge
	leases     prometheus.Gauge
	watches    prometheus.Gauge
	queue      prometheus.Gauge
	failing    prometheus.Gauge
	logBytes   prometheus.Gauge
}

// NewMetrics makes the figures of one store.
func NewMetrics() *Metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "gullrudder", Subsystem: "state", Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "gullrudder", Subsystem: "state", Name: name, Help: help})
	}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "gullrudder", Subsystem: "state", Name: "requests_total",
			Help: "Requests answered, by method, kind and status."}, []string{"method", "kind", "status"}),
		shed:       counter("shed_total", "Requests refused because the queue was full."),
		failed:     counter("failed_writes_total", "Writes or syncs of the log that failed."),
		snapFailed: counter("failed_snapshots_total", "Snapshots that failed."),
		snapshots: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "gullrudder", Subsystem: "state", Name: "snapshot_seconds",
			Help: "Time that a snapshot took.", Buckets: prometheus.ExponentialBuckets(0.001, 4, 10)}),
		syncs: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "gullrudder", Subsystem: "state", Name: "sync_seconds",
			Help: "Time to write and sync one step's records.", Buckets: prometheus.ExponentialBuckets(0.00005, 2, 16)}),
		snapBytes: gauge("snapshot_bytes", "Size of the last snapshot."),
		revision:  gauge("revision", "Revision of the last change."),
		keys:      gauge("keys", "Keys that are there."),
		leases:    gauge("leases", "Leases that are there."),
		watches:   gauge("watches", "Watches that wait."),
		queue:     gauge("queue", "Requests that wait."),
		failing:   gauge("failing", "1 while changes cannot be kept."),
		logBytes:  gauge("log_bytes", "Bytes of log that no snapshot covers."),
	}
	m.registry.MustRegister(m.requests, m.shed, m.failed, m.snapFailed, m.snapshots, m.syncs, m.snapBytes, m.revision, m.keys,
		m.leases, m.watches, m.queue, m.failing, m.logBytes)
	return m
}

func (m *Metrics) synced(took time.Duration) { m.syncs.Observe(took.Seconds()) }

func (m *Metrics) snapshot(took time.Duration, bytes int64) {
	m.snapshots.Observe(took.Seconds())
	m.snapBytes.Set(float64(bytes))
}

// answered counts an answer. Strangers' paths are one kind, so that they cannot make the
// figures grow.
func (m *Metrics) answered(method, target string, status int) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	kind, _, _ = strings.Cut(kind, "?")
	switch kind {
	case "keys", "commit", "leases", "watch", "ready":
	default:
		kind = "other"
	}
	switch method {
	case "GET", "POST", "DELETE":
	default:
		method = "other"
	}
	m.requests.WithLabelValues(method, kind, fmt.Sprint(status)).Inc()
}

func (m *Metrics) observe(s *State, queued int, logged int64) {
	m.revision.Set(float64(s.revision))
	m.keys.Set(float64(s.tree.Len()))
	m.leases.Set(float64(len(s.leases)))
	m.watches.Set(float64(len(s.watches)))
	m.queue.Set(float64(queued))
	m.logBytes.Set(float64(logged))
	failing := 0.0
	if s.failing {
		failing = 1
	}
	m.failing.Set(failing)
}

// Serve answers GET /metrics at an address until the listener fails.
func (m *Metrics) Serve(listen string, log *slog.Logger) error {
	return scrape.Serve(m.registry, listen, log)
}
