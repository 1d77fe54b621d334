package api

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/wire/server"
)

// TimeShare is the time that was counted to one cause.
type TimeShare struct {
	Reason       string `msgpack:"cause" json:"cause"`
	Milliseconds int64  `msgpack:"ms" json:"ms"`
}

// ClassAccount is where the time of a team's finished jobs of a class went.
type ClassAccount struct {
	Team         string      `msgpack:"team" json:"team"`
	Class        string      `msgpack:"class" json:"class"`
	JobCount     int         `msgpack:"jobs" json:"jobs"`
	Milliseconds int64       `msgpack:"ms" json:"ms"` // the sum of the shares
	Shares       []TimeShare `msgpack:"shares" json:"shares"`
}

// Accounts is what `gullrudder account` shows.
type Accounts struct {
	Accounts []ClassAccount `msgpack:"accounts" json:"accounts"`
	OpenJobs int            `msgpack:"open" json:"open"` // jobs that are not finished, and not counted
}

func newTimeShares(s *accounting.Breakdown) []TimeShare {
	list := []TimeShare{}
	for c, ms := range s {
		if ms > 0 {
			list = append(list, TimeShare{accounting.WaitReason(c).String(), ms})
		}
	}
	return list
}

// serveAccounts tells where the time of finished jobs went, by team and class.
func (d *Handler) serveAccounts(now time.Time, r *server.Request) {
	_, raw, _ := strings.Cut(r.Target, "?")
	q, err := url.ParseQuery(raw)
	since := time.Time{}
	if s := q.Get("since_s"); err == nil && s != "" {
		var ago float64
		if ago, err = strconv.ParseFloat(s, 64); err == nil && ago >= 0 && ago < 1e9 {
			since = now.Add(-time.Duration(ago * float64(time.Second)))
		} else {
			err = strconv.ErrRange
		}
	}
	if err != nil {
		d.responder.RespondError(r, 400, "since_s is a number of seconds, team and class are names", 0)
		return
	}
	a := Accounts{Accounts: []ClassAccount{}, OpenJobs: d.accounting.OpenCount()}
	for _, t := range d.accounting.Totals(q.Get("team"), q.Get("class"), since) {
		a.Accounts = append(a.Accounts, ClassAccount{t.Team, t.Class, t.JobCount, t.Breakdown.Total(), newTimeShares(&t.Breakdown)})
	}
	d.responder.Respond(r, 200, a, 0)
}
