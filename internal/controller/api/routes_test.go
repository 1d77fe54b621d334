package api

import (
	"net/http"
	"strings"
	"testing"
)

// TestMethodFor checks the method that each path accepts.
func TestMethodFor(t *testing.T) {
	methods := map[string]string{
		"work":                     http.MethodPost,
		"work/job-000412":          http.MethodGet,
		"work/job-000412/withdraw": http.MethodPost,
		"work/job-000412/explain":  http.MethodGet,
		"queue":                    http.MethodGet,
		"account":                  http.MethodGet,
		"served":                   http.MethodGet,
		"zones":                    http.MethodGet,
		"":                         "",
		"other":                    "",
		"queue/job-000412":         "",
		"work/job-000412/other":    "",
		"work/a/explain/b":         "",
	}
	for path, want := range methods {
		t.Run(path, func(t *testing.T) {
			if got := MethodFor(strings.Split(path, "/")); got != want {
				t.Errorf("method: got %q, want %q", got, want)
			}
		})
	}
}
