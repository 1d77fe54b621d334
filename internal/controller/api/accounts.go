package api

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/units"
	"gullrudder/internal/wire/server"
)

// maxSinceSeconds bounds since_s so that the resulting time can be represented.
const maxSinceSeconds = 1e9

var errSinceOutOfRange = errors.New("since_s is negative or too large")

// newTimeShares returns the wait reasons with a time above zero.
func newTimeShares(breakdown *accounting.Breakdown) []TimeShare {
	shares := []TimeShare{}
	for reason, ms := range breakdown {
		if ms > 0 {
			shares = append(shares, TimeShare{accounting.WaitReason(reason).String(), ms})
		}
	}
	return shares
}

// serveAccounts responds with the time of finished jobs by wait reason, for each team and class. The parameter since_s limits it to
// jobs that ended at most that many seconds ago.
func (v *viewHandler) serveAccounts(now time.Time, request *server.Request) {
	query, err := parseQuery(request)
	var since time.Time
	if err == nil {
		since, err = parseSince(now, query)
	}
	if err != nil {
		v.responder.RespondError(request, http.StatusBadRequest, "since_s is a number of seconds, team and class are names", 0)
		return
	}
	accounts := Accounts{Accounts: []ClassAccount{}, OpenJobs: v.accounting.OpenCount()}
	for _, total := range v.accounting.Totals(query.Get("team"), query.Get("class"), since) {
		accounts.Accounts = append(accounts.Accounts, ClassAccount{
			Team: total.Team, Class: total.Class, JobCount: total.JobCount,
			Milliseconds: total.Breakdown.Total(), Shares: newTimeShares(&total.Breakdown),
		})
	}
	v.responder.Respond(request, http.StatusOK, accounts, 0)
}

// parseSince returns the time that lies since_s seconds before now. It is zero without the parameter.
func parseSince(now time.Time, query url.Values) (time.Time, error) {
	text := query.Get("since_s")
	if text == "" {
		return time.Time{}, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return time.Time{}, fmt.Errorf("since_s: %w", err)
	}
	if !(seconds >= 0 && seconds < maxSinceSeconds) { // also rejects NaN
		return time.Time{}, errSinceOutOfRange
	}
	return now.Add(-units.DurationFromSeconds(seconds)), nil
}
