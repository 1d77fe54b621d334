// Package metrics serves a Prometheus registry over HTTP in the text format. It owns no metrics. Each component registers its own metrics,
// which are safe to read while the component updates them.
package metrics

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/http1"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Bounds of the server. Prometheus needs one connection; the others are for people.
const (
	maxConnections = 16
	idleTimeout    = 75 * time.Second
	readTimeout    = 10 * time.Second
	retryAfter     = time.Second
)

// Serve answers GET /metrics at addr (host:port) and blocks until the listener fails. It always returns an error.
func Serve(registry *prometheus.Registry, addr string, log *slog.Logger) error {
	server := http1.NewServer(http1.ServerOptions{
		PublicAddr: addr, MaxConnections: maxConnections, IdleTimeout: idleTimeout, ReadTimeout: readTimeout,
		Handler: func(r *http1.Request) { respond(r, registry, log) }, Log: log,
	})
	return fmt.Errorf("serve metrics at %s: %w", addr, server.Run())
}

func respond(r *http1.Request, registry *prometheus.Registry, log *slog.Logger) {
	if r.Method != http.MethodGet || r.Target != "/metrics" {
		r.Respond(http.StatusNotFound, nil, 0)
		return
	}
	text, err := encode(registry)
	if err != nil {
		log.Error("metrics encoding failed", logkeys.Err, err)
		r.Respond(http.StatusServiceUnavailable, nil, retryAfter)
		return
	}
	r.RespondText(http.StatusOK, string(expfmt.NewFormat(expfmt.TypeTextPlain)), text)
}

// encode returns the metrics of the registry in the text format.
func encode(registry *prometheus.Registry) ([]byte, error) {
	families, err := registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("gather metrics: %w", err)
	}
	var text bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			return nil, fmt.Errorf("encode %s: %w", family.GetName(), err)
		}
	}
	return text.Bytes(), nil
}
