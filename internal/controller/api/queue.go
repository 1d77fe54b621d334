package api

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/server"
)

// maxListedJobs bounds the jobs that one response lists, and thereby its work and its bytes.
const maxListedJobs = 200

// viewHandler serves the read-only views of the whole cluster.
type viewHandler struct {
	responder  *server.Responder
	options    *config.Options
	jobStore   *jobstore.Store
	placer     *placement.Placer
	accounting *accounting.Tracker
	fairShare  *fairshare.Allocator
	zones      *zones.Tracker
}

func newQueuedJob(now time.Time, job *jobs.Job, rank string) QueuedJob {
	return QueuedJob{
		ID:                     job.ID,
		Team:                   job.Team,
		Class:                  job.Class,
		Rank:                   rank,
		WaitingTasks:           job.WaitingTasks(),
		RunningTasks:           job.RunningTasks(),
		DoneTasks:              job.DoneTasks,
		AgeSeconds:             now.Sub(job.SubmittedAt).Round(time.Second).Seconds(),
		FirstStartBoundSeconds: job.FirstStartBound.Seconds(),
		LastStartBoundSeconds:  job.LastStartBound.Seconds(),
		MissedStartBound:       job.MissedStartBound,
	}
}

// queueFilter selects the jobs of the queue that a response lists.
type queueFilter struct {
	team           string // empty: any
	class          string // empty: any
	includeRunning bool   // also jobs whose unfinished tasks all run
	maxJobs        int    // 1 to maxListedJobs
}

func parseQueueFilter(query url.Values) (filter queueFilter, valid bool) {
	maxJobs, err := maxListedJobs, error(nil)
	if text := query.Get("most"); text != "" {
		maxJobs, err = strconv.Atoi(text)
	}
	if err != nil || maxJobs < 1 || maxJobs > maxListedJobs {
		return queueFilter{}, false
	}
	return queueFilter{query.Get("team"), query.Get("class"), query.Get("all") != "", maxJobs}, true
}

func (f *queueFilter) matches(job *jobs.Job) bool {
	return (f.team == "" || f.team == job.Team) && (f.class == "" || f.class == job.Class)
}

// serveQueue responds with the waiting jobs: first those that wait for resources, in queue order, then those that wait for other
// jobs.
func (v *viewHandler) serveQueue(now time.Time, request *server.Request) {
	query, err := parseQuery(request)
	if err != nil {
		v.responder.RespondError(request, http.StatusBadRequest, "a query that cannot be read", 0)
		return
	}
	filter, valid := parseQueueFilter(query)
	if !valid {
		v.responder.RespondError(request, http.StatusBadRequest, fmt.Sprintf("most is not between 1 and %d", maxListedJobs), 0)
		return
	}
	v.responder.Respond(request, http.StatusOK, v.listQueue(now, filter), 0)
}

func (v *viewHandler) listQueue(now time.Time, filter queueFilter) Queue {
	order := v.placer.Order(now)
	list := Queue{Jobs: []QueuedJob{}, MissedStartBounds: v.jobStore.MissedStartBounds()}
	add := func(job *jobs.Job, rank string) {
		if !filter.matches(job) {
			return
		}
		list.Total++
		if len(list.Jobs) < filter.maxJobs {
			list.Jobs = append(list.Jobs, newQueuedJob(now, job, rank))
		}
	}
	for i := range order {
		entry := &order[i]
		if entry.Job.IsSchedulable() && (entry.Job.WaitingTasks() > 0 || filter.includeRunning) {
			add(entry.Job, entry.Rank.Reason())
		}
	}
	for _, job := range v.jobStore.WaitingJobs() {
		add(job, fmt.Sprintf("waits for %d other jobs", job.UnmetDependencies))
	}
	return list
}
