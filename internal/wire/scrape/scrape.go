// Package scrape serves figures in Prometheus' text form. What it serves is a registry, whose
// figures are safe to read while their owner counts on.
package scrape

import (
	"bytes"
	"fmt"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"gullrudder/internal/wire/httpwire"
)

// Serve answers GET /metrics at an address until the listener fails.
func Serve(registry *prometheus.Registry, listen string, log *slog.Logger) error {
	server := httpwire.NewServer(httpwire.ServerOptions{Public: listen, MaxConns: 16, Idle: 75 * time.Second, Slow: 10 * time.Second,
		Handle: func(r *httpwire.Request) {
			if r.Method != "GET" || r.Target != "/metrics" {
				r.Reply(404, nil, 0)
				return
			}
			families, err := registry.Gather()
			var out bytes.Buffer
			for _, f := range families {
				if err == nil {
					_, err = expfmt.MetricFamilyToText(&out, f)
				}
			}
			if err != nil {
				log.Error("the metrics cannot be written", "error", err)
				r.Reply(503, nil, time.Second)
				return
			}
			r.ReplyText(200, string(expfmt.NewFormat(expfmt.TypeTextPlain)), out.Bytes())
		}})
	if err := server.Run(); err != nil {
		return fmt.Errorf("serve metrics at %s: %w", listen, err)
	}
	return nil
}
