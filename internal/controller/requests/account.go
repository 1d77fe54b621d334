package requests

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/timeline"
	"gullrudder/internal/wire/inbox"
)

// Share is the time that was counted to one cause.
type Share struct {
	Cause string `msgpack:"cause" json:"cause"`
	Ms    int64  `msgpack:"ms" json:"ms"`
}

// Account is where the time of a team's finished jobs of a class went.
type Account struct {
	Team   string  `msgpack:"team" json:"team"`
	Class  string  `msgpack:"class" json:"class"`
	Jobs   int     `msgpack:"jobs" json:"jobs"`
	Ms     int64   `msgpack:"ms" json:"ms"` // the sum of the shares
	Shares []Share `msgpack:"shares" json:"shares"`
}

// Accounts is what `gullrudder account` shows.
type Accounts struct {
	Accounts []Account `msgpack:"accounts" json:"accounts"`
	Open     int       `msgpack:"open" json:"open"` // jobs that are not finished, and not counted
}

func shares(s *timeline.Spent) []Share {
	list := []Share{}
	for c, ms := range s {
		if ms > 0 {
			list = append(list, Share{timeline.Cause(c).String(), ms})
		}
	}
	return list
}

// account tells where the time of finished jobs went, by team and class.
func (d *Desk) account(now time.Time, r *inbox.Request) {
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
		d.out.Refuse(r, 400, "since_s is a number of seconds, team and class are names", 0)
		return
	}
	a := Accounts{Accounts: []Account{}, Open: d.times.Open()}
	for _, t := range d.times.Tallies(q.Get("team"), q.Get("class"), since) {
		a.Accounts = append(a.Accounts, Account{t.Team, t.Class, t.Jobs, t.Spent.Total(), shares(&t.Spent)})
	}
	d.out.Reply(r, 200, a, 0)
}
