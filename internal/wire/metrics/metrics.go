// Package metrics serves figures in Prometheus' text form. What it serves is a registry, whose
// figures are safe to read while their owner counts on.
package metrics

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/wire/http1"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Serve answers GET /metrics at an address until the listener fails.
func Serve(registry *prometheus.Registry, addr string, log *slog.Logger) error {
	server := http1.NewServer(http1.ServerOptions{
		PublicAddr: addr, MaxConnections: 16, IdleTimeout: 75 * time.Second, ReadTimeout: 10 * time.Second,
		Handler: func(r *http1.Request) {
			if r.Method != http.MethodGet || r.Target != "/metrics" {
				r.Respond(404, nil, 0)
				return
			}
			families, err := registry.Gather()
			var text bytes.Buffer
			for _, family := range families {
				if err == nil {
					_, err = expfmt.MetricFamilyToText(&text, family)
				}
			}
			if err != nil {
				log.Error("the metrics cannot be written", "error", err)
				r.Respond(503, nil, time.Second)
				return
			}
			r.RespondText(200, string(expfmt.NewFormat(expfmt.TypeTextPlain)), text.Bytes())
		},
	})
	if err := server.Run(); err != nil {
		return fmt.Errorf("serve metrics at %s: %w", addr, err)
	}
	return nil
}
