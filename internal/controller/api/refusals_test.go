package api

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"

	"github.com/prometheus/client_golang/prometheus"
)

// TestRefusedSubmissionIsLoggedAndCounted guards against a submission that gets 400 without any trace of the field, its value and the
// reason. A client that repeats it must not flood the log.
func TestRefusedSubmissionIsLoggedAndCounted(t *testing.T) {
	body, err := codec.Marshal(map[string]any{"id": "job-044207", "berth": 7})
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	responder := &server.Responder{Log: slog.New(slog.DiscardHandler)}
	registry := prometheus.NewRegistry()
	metrics := NewMetrics(registry)
	handler := &submissionHandler{refuser: newRefuser(responder, metrics, slog.New(slog.NewTextHandler(&output, nil)))}
	spec, invalid := jobs.ParseSpec(body)
	begin := time.Unix(1000, 0)
	for i := range 100 {
		request := &server.Request{Body: body}
		handler.refuseInvalid(begin.Add(time.Duration(i)*time.Millisecond), jobSubmission{request: request, spec: spec, invalid: invalid})
	}
	responses := responder.TakeResponses()
	if len(responses) != 100 || responses[0].Status != http.StatusBadRequest {
		t.Fatalf("responses: got %d, the first %+v, want 100 with status 400", len(responses), responses[0])
	}
	if lines := strings.Count(output.String(), "\n"); lines != 1 {
		t.Errorf("log lines within a second: got %d, want 1", lines)
	}
	for _, want := range []string{`msg="job refused"`, "job=job-044207", "status=400", "field=berth", "value=7"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("log: got %q, want one that contains %q", output.String(), want)
		}
	}
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || len(families[0].GetMetric()) != 1 {
		t.Fatalf("metrics: got %v, error %v, want one counter", families, err)
	}
	if got := families[0].GetMetric()[0].GetCounter().GetValue(); got != 100 {
		t.Errorf("refusals counted: got %v, want 100", got)
	}
}
