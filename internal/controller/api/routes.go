package api

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"gullrudder/internal/wire/server"
)

// anySegment is the segment of a route's path that matches any job ID.
const anySegment = "*"

// route is a path that the handler serves.
type route struct {
	path   []string
	method string
	serve  func(h *Handler, now time.Time, request *server.Request, segments []string)
}

// routes are the users' paths. Each path is served with one method only.
var routes = []route{
	{[]string{"work"}, http.MethodPost, func(h *Handler, now time.Time, request *server.Request, _ []string) {
		h.submissions.serveSubmission(now, request)
	}},
	{[]string{"work", anySegment}, http.MethodGet, func(h *Handler, now time.Time, request *server.Request, segments []string) {
		h.jobs.serveQuery(now, request, segments[1])
	}},
	{[]string{"work", anySegment, "withdraw"}, http.MethodPost, func(h *Handler, now time.Time, request *server.Request, segments []string) {
		h.jobs.serveCancellation(now, request, segments[1])
	}},
	{[]string{"work", anySegment, "explain"}, http.MethodGet, func(h *Handler, now time.Time, request *server.Request, segments []string) {
		h.explanations.serveExplanation(now, request, segments[1])
	}},
	{[]string{"queue"}, http.MethodGet, func(h *Handler, now time.Time, request *server.Request, _ []string) {
		h.views.serveQueue(now, request)
	}},
	{[]string{"account"}, http.MethodGet, func(h *Handler, now time.Time, request *server.Request, _ []string) {
		h.views.serveAccounts(now, request)
	}},
	{[]string{"served"}, http.MethodGet, func(h *Handler, now time.Time, request *server.Request, _ []string) {
		h.views.serveServedShares(now, request)
	}},
	{[]string{"zones"}, http.MethodGet, func(h *Handler, now time.Time, request *server.Request, _ []string) {
		h.views.serveZones(now, request)
	}},
}

func (r *route) matches(segments []string) bool {
	if len(segments) != len(r.path) {
		return false
	}
	for i, segment := range r.path {
		if segment != anySegment && segment != segments[i] {
			return false
		}
	}
	return true
}

func findRoute(segments []string) *route {
	for i := range routes {
		if routes[i].matches(segments) {
			return &routes[i]
		}
	}
	return nil
}

// MethodFor returns the HTTP method with which a path is served. It returns an empty string if no route matches. segments are the parts
// of the path.
func MethodFor(segments []string) string {
	if route := findRoute(segments); route != nil {
		return route.method
	}
	return ""
}

// parseQuery returns the query parameters of the request's target.
func parseQuery(request *server.Request) (url.Values, error) {
	_, query, _ := strings.Cut(request.Target, "?")
	return url.ParseQuery(query)
}
