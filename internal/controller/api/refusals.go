package api

import (
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/loglimit"
	"gullrudder/internal/wire/server"

	"github.com/prometheus/client_golang/prometheus"
)

// refusalLogInterval is the minimum time between two log lines about refused submissions.
const refusalLogInterval = time.Second

// Reasons of refusals that do not concern a single field. They are values of the label reason and part of the responses to users.
const (
	reasonUnknownTeam         = "unknown team"
	reasonExceedsQuota        = "needs more than its team's limit"
	reasonFitsNoType          = "a task fits no allowed machine type"
	reasonDependencyIsService = "needs a service, which is never done"
	reasonDependencyNotKnown  = "needs a job which was never accepted"
	reasonRecordTooLarge      = "the state service takes no value of this size at present"
)

// refusal states why a submission is refused.
type refusal struct {
	status int
	field  string // name of the field; empty: none in particular
	value  string // of the field, shortened
	reason string // constant text, the label of the metric
	text   string // of the response

	retryAfter time.Duration // 0: the refusal is final
}

// invalidSubmission returns the refusal of a submission that cannot be read or has an invalid field.
func invalidSubmission(invalid *jobs.ValidationError) refusal {
	return refusal{
		status: http.StatusBadRequest, field: invalid.Field, value: invalid.Value, reason: invalid.Reason, text: invalid.Error(),
	}
}

// unsatisfiable returns the refusal of a job that can never run.
func unsatisfiable(reason string) refusal {
	return refusal{status: http.StatusUnprocessableEntity, reason: reason, text: reason}
}

// Metrics counts the submissions that a controller refuses because of their content while it leads. The counters are not reset when a
// leadership ends.
type Metrics struct {
	refusals *prometheus.CounterVec
}

// NewMetrics creates the counters and registers them. It panics if they are already registered.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	metrics := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "gullrudder", Name: "submissions_refused_total",
			Help: "Submissions refused because of their content while this controller led, by status, field and reason.",
		}, []string{"status", "field", "reason"}),
	}
	registry.MustRegister(metrics.refusals)
	return metrics
}

// refuser refuses submissions. It counts and logs them.
type refuser struct {
	responder *server.Responder
	metrics   *Metrics
	log       *slog.Logger
	limiter   loglimit.Limiter
}

func newRefuser(responder *server.Responder, metrics *Metrics, log *slog.Logger) *refuser {
	return &refuser{responder: responder, metrics: metrics, log: log, limiter: loglimit.New(refusalLogInterval)}
}

// refuse answers a submission with the status and the text of the refusal. jobID may be empty or invalid.
func (r *refuser) refuse(now time.Time, request *server.Request, jobID string, refused refusal) {
	r.metrics.refusals.WithLabelValues(strconv.Itoa(refused.status), refused.field, refused.reason).Inc()
	if count, ok := r.limiter.Allow(now); ok {
		r.log.Info("job refused",
			logkeys.Job, jobs.Shorten(jobID), logkeys.Status, refused.status, logkeys.Field, refused.field,
			logkeys.Value, refused.value, logkeys.Reason, refused.reason, logkeys.Count, count)
	}
	r.responder.RespondError(request, refused.status, refused.text, refused.retryAfter)
}

// refuseInvalid refuses a submission that is invalid. It returns false if it is valid.
func (h *submissionHandler) refuseInvalid(now time.Time, submitted jobSubmission) bool {
	var invalid *jobs.ValidationError
	if !errors.As(submitted.invalid, &invalid) {
		return false
	}
	h.refuser.refuse(now, submitted.request, submitted.spec.ID, invalidSubmission(invalid))
	return true
}
