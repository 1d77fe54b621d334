package kvserver

import (
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/wire/metrics"

	"github.com/prometheus/client_golang/prometheus"
)

// Prefixes of the metric names.
const (
	metricNamespace = "gullrudder"
	metricSubsystem = "state"
)

// otherLabel is the label value of paths and methods that are not part of the protocol.
const otherLabel = "other"

// Metrics are the Prometheus metrics of a store. They are safe for concurrent use.
type Metrics struct {
	registry            *prometheus.Registry
	requestCount        *prometheus.CounterVec
	shedCount           prometheus.Counter
	failedWriteCount    prometheus.Counter
	failedSnapshotCount prometheus.Counter
	snapshotSeconds     prometheus.Histogram
	syncSeconds         prometheus.Histogram
	snapshotBytes       prometheus.Gauge
	revision            prometheus.Gauge
	keys                prometheus.Gauge
	leases              prometheus.Gauge
	watches             prometheus.Gauge
	queueLength         prometheus.Gauge
	failing             prometheus.Gauge
	logBytes            prometheus.Gauge
}

// NewMetrics returns the metrics of one store, in a registry of their own.
func NewMetrics() *Metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help})
	}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requestCount: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricNamespace, Subsystem: metricSubsystem, Name: "requests_total",
			Help: "Requests answered, by method, kind of path and status.",
		}, []string{"method", "kind", "status"}),
		shedCount:           counter("shed_total", "Requests refused because the request queue was full."),
		failedWriteCount:    counter("failed_writes_total", "Writes or syncs of the log that failed."),
		failedSnapshotCount: counter("failed_snapshots_total", "Snapshots that could not be written."),
		snapshotSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricNamespace, Subsystem: metricSubsystem, Name: "snapshot_seconds",
			Help: "Duration of a snapshot in seconds.", Buckets: prometheus.ExponentialBuckets(0.001, 4, 10),
		}),
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricNamespace, Subsystem: metricSubsystem, Name: "sync_seconds",
			Help: "Time in seconds to write and sync one frame of the log.", Buckets: prometheus.ExponentialBuckets(0.00005, 2, 16),
		}),
		snapshotBytes: gauge("snapshot_bytes", "Size of the last snapshot in bytes."),
		revision:      gauge("revision", "Revision of the last change."),
		keys:          gauge("keys", "Keys in the store."),
		leases:        gauge("leases", "Leases that have not ended."),
		watches:       gauge("watches", "Open watches."),
		queueLength:   gauge("queue", "Requests waiting in the queue."),
		failing:       gauge("failing", "1 while the log cannot be written and changes are refused, otherwise 0."),
		logBytes:      gauge("log_bytes", "Size in bytes of the log that no durable snapshot covers."),
	}
	m.registry.MustRegister(
		m.requestCount, m.shedCount, m.failedWriteCount, m.failedSnapshotCount, m.snapshotSeconds, m.syncSeconds, m.snapshotBytes,
		m.revision, m.keys, m.leases, m.watches, m.queueLength, m.failing, m.logBytes,
	)
	return m
}

func (m *Metrics) observeSync(duration time.Duration) { m.syncSeconds.Observe(duration.Seconds()) }

func (m *Metrics) observeSnapshot(duration time.Duration, bytes int64) {
	m.snapshotSeconds.Observe(duration.Seconds())
	m.snapshotBytes.Set(float64(bytes))
}

// countResponse counts a response. Unknown paths and methods count under otherLabel, so that clients cannot add label values.
func (m *Metrics) countResponse(method, target string, status int) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	kind, _, _ = strings.Cut(kind, "?")
	switch kind {
	case "keys", "commit", "leases", "watch", "ready":
	default:
		kind = otherLabel
	}
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
	default:
		method = otherLabel
	}
	m.requestCount.WithLabelValues(method, kind, strconv.Itoa(status)).Inc()
}

func (m *Metrics) observeState(s *State, queueLength int, logBytes int64) {
	m.revision.Set(float64(s.revision))
	m.keys.Set(float64(s.tree.Len()))
	m.leases.Set(float64(len(s.leases)))
	m.watches.Set(float64(len(s.watches)))
	m.queueLength.Set(float64(queueLength))
	m.logBytes.Set(float64(logBytes))
	failing := 0.0
	if s.writesFailing {
		failing = 1
	}
	m.failing.Set(failing)
}

// Serve answers GET /metrics at an address until the listener fails. It always returns an error.
func (m *Metrics) Serve(addr string, log *slog.Logger) error {
	return metrics.Serve(m.registry, addr, log)
}
