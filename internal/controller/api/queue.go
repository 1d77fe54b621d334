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

// maxQueuedJobs is how many jobs an answer lists: a bound on the work and the bytes of one answer.
const maxQueuedJobs = 200

// viewHandler answers requests for views of the whole cluster, without any change of state.
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

// queueFilter selects the jobs of the queue that an answer lists.
type queueFilter struct {
	team           string // empty: any
	class          string // empty: any
	includeRunning bool   // also jobs of which every unfinished task runs
	maxJobs        int
}

func parseQueueFilter(query url.Values) (filter queueFilter, valid bool) {
	maxJobs, err := maxQueuedJobs, error(nil)
	if text := query.Get("most"); text != "" {
		maxJobs, err = strconv.Atoi(text)
	}
	if err != nil || maxJobs < 1 || maxJobs > maxQueuedJobs {
		return queueFilter{}, false
	}
	return queueFilter{query.Get("team"), query.Get("class"), query.Get("all") != "", maxJobs}, true
}

func (f *queueFilter) matches(job *jobs.Job) bool {
	return (f.team == "" || f.team == job.Team) && (f.class == "" || f.class == job.Class)
}

// serveQueue answers with the jobs that wait: first those that wait for resources, in their order, then those that wait for other
// jobs.
func (v *viewHandler) serveQueue(now time.Time, request *server.Request) {
	query, err := parseQuery(request)
	if err != nil {
		v.responder.RespondError(request, http.StatusBadRequest, "a query that cannot be read", 0)
		return
	}
	filter, valid := parseQueueFilter(query)
	if !valid {
		v.responder.RespondError(request, http.StatusBadRequest, fmt.Sprintf("most is not between 1 and %d", maxQueuedJobs), 0)
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
