package http1

import (
	"log/slog"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/loglimit"
)

// refusalLogInterval is the minimum time between two log lines about refused requests, so that a faulty client cannot flood the log.
const refusalLogInterval = 5 * time.Second

// refusalLog logs the requests that the server refuses before its handler sees them. The evio loop owns it.
type refusalLog struct {
	log     *slog.Logger // nil: nothing is logged
	limiter loglimit.Limiter
}

func newRefusalLog(log *slog.Logger) refusalLog {
	return refusalLog{log: log, limiter: loglimit.New(refusalLogInterval)}
}

// record logs a refusal, or counts it if the last line was logged less than refusalLogInterval ago.
func (r *refusalLog) record(now time.Time, remoteAddr string, refusal error) {
	if r.log == nil {
		return
	}
	if count, ok := r.limiter.Allow(now); ok {
		r.log.Warn("request refused", logkeys.RemoteAddr, remoteAddr, logkeys.Status, errorStatus(refusal), logkeys.Err, refusal,
			logkeys.Count, count)
	}
}
