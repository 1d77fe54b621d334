package http1

import (
	"log/slog"
	"time"

	"gullrudder/internal/logkeys"
)

// refusalLogInterval is the minimum time between two log lines about refused requests, so that a faulty client cannot flood the log.
const refusalLogInterval = 5 * time.Second

// refusalLog logs the requests that the server refuses before its handler sees them. The evio loop owns it.
type refusalLog struct {
	log       *slog.Logger // nil: nothing is logged
	loggedAt  time.Time
	notLogged int // refusals since loggedAt
}

// record logs a refusal, or counts it if the last line was logged less than refusalLogInterval ago.
func (r *refusalLog) record(now time.Time, remoteAddr string, refusal error) {
	r.notLogged++
	if r.log == nil || now.Sub(r.loggedAt) < refusalLogInterval {
		return
	}
	r.log.Warn("request refused", logkeys.RemoteAddr, remoteAddr, logkeys.Status, errorStatus(refusal), logkeys.Err, refusal,
		logkeys.Count, r.notLogged)
	r.loggedAt, r.notLogged = now, 0
}
