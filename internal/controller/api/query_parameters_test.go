package api

import (
	"net/url"
	"testing"
	"time"
)

// TestParseQueueFilter checks which parameters of a queue request are valid, and the filters that they give.
func TestParseQueueFilter(t *testing.T) {
	cases := map[string]struct {
		query string
		want  queueFilter
		valid bool
	}{
		"nothing":            {"", queueFilter{maxJobs: maxListedJobs}, true},
		"team and class":     {"team=vision&class=train", queueFilter{team: "vision", class: "train", maxJobs: maxListedJobs}, true},
		"running jobs too":   {"all=1", queueFilter{includeRunning: true, maxJobs: maxListedJobs}, true},
		"lowest limit":       {"most=1", queueFilter{maxJobs: 1}, true},
		"limit of zero":      {"most=0", queueFilter{}, false},
		"limit above bound":  {"most=201", queueFilter{}, false},
		"limit not a number": {"most=x", queueFilter{}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			query, err := url.ParseQuery(test.query)
			if err != nil {
				t.Fatal(err)
			}
			if got, valid := parseQueueFilter(query); got != test.want || valid != test.valid {
				t.Errorf("queue filter: got %+v (valid %v), want %+v (valid %v)", got, valid, test.want, test.valid)
			}
		})
	}
}

// TestParseSince checks which values of since_s are valid, and the times that they give.
func TestParseSince(t *testing.T) {
	now := time.Unix(10_000, 0)
	cases := map[string]struct {
		query string
		want  time.Time
		valid bool
	}{
		"nothing":            {"", time.Time{}, true},
		"seconds":            {"since_s=90.5", now.Add(-90500 * time.Millisecond), true},
		"now":                {"since_s=0", now, true},
		"negative":           {"since_s=-1", time.Time{}, false},
		"too large":          {"since_s=1e9", time.Time{}, false},
		"not a finite value": {"since_s=NaN", time.Time{}, false},
		"not a number":       {"since_s=x", time.Time{}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			query, err := url.ParseQuery(test.query)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := parseSince(now, query); !got.Equal(test.want) || (err == nil) != test.valid {
				t.Errorf("since: got %v, error %v, want %v (valid %v)", got, err, test.want, test.valid)
			}
		})
	}
}
