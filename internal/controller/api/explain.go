package api

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/autoscaler"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/server"
)

// startDelay is how long it takes from free room to a running task, besides its image: two reports,
// and the stop of what had the room.
func (d *Handler) startDelay(j *jobs.Job) time.Duration {
	return 2*d.platform.HeartbeatInterval + j.CheckpointDuration + d.options.PlanningInterval
}

// workAhead is what is known of the work that can stand before a job.
func (d *Handler) workAhead(now time.Time, j *jobs.Job) ageing.WorkAhead {
	a := ageing.WorkAhead{
		TeamCPULimit: d.teams[j.Team].CPULimit,
		TaskCPUs:     j.CPUs,
		LongestTask:  d.estimator.TaskRunTime(j),
		StartDelay:   d.startDelay(j),
	}
	a.Own.Add(j, d.estimator.RemainingCPUSeconds(j, now))
	for _, o := range d.jobStore.Unfinished {
		if o == j || o.IsService || !o.IsSchedulable() {
			continue
		}
		a.LongestTask = max(a.LongestTask, d.estimator.TaskRunTime(o))
		if !ageing.IsOlder(o, j) {
			continue
		}
		w := d.estimator.RemainingCPUSeconds(o, now)
		a.Older.Add(o, w)
		if o.Team == j.Team {
			a.Team.Add(o, w)
		}
	}
	for _, h := range d.cloud.Instances {
		if t := d.cloud.MachineTypes[h.Kind.Type]; t != nil && !h.Deleting && placement.KindAllowed(j, h.Kind) && placement.FitsType(j, t) {
			a.UsableCPUs += t.CPUs
		}
	}
	fetch, least, boot := 0.0, 0.0, time.Duration(0)
	for _, t := range d.cloud.MachineTypes {
		if !placement.FitsType(j, t) {
			continue
		}
		if t.FetchGBPerSecond > 0 {
			fetch = max(fetch, j.ImageGB/t.FetchGBPerSecond)
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				if k := cloud.InstanceKindOf(t, z, spot); d.cloud.CanRequest(now, k) && placement.KindAllowed(j, k) {
					if cpus := float64(autoscaler.AssumedGrowth) * t.CPUs; least == 0 || cpus < least {
						least = cpus
					}
					boot = max(boot, d.cloud.ExpectedBootTime(t))
				}
			}
		}
	}
	if a.UsableCPUs == 0 { // nothing is there yet: the least that is about to be rented for it
		a.UsableCPUs = least
		a.StartDelay += boot
	}
	// Once for its own image, and once while machines that have it are looked for.
	a.StartDelay += time.Duration(2 * fetch * float64(time.Second))
	return a
}

// setStartBounds states the bounds of a job that is about to be accepted.
func (d *Handler) setStartBounds(now time.Time, j *jobs.Job) {
	if j.IsService {
		return
	}
	if b := d.ranker.AgeingPolicy().WaitBound(d.workAhead(now, j)); b.IsKnown {
		j.FirstStartBound, j.LastStartBound = b.FirstStart, b.LastStart
	}
}

// QueuedJob is a job of the queue as it is shown. Times are in seconds.
type QueuedJob struct {
	ID                     string  `msgpack:"id" json:"id"`
	Team                   string  `msgpack:"team" json:"team"`
	Class                  string  `msgpack:"class" json:"class"`
	Rank                   string  `msgpack:"standing" json:"standing"`
	WaitingTasks           int     `msgpack:"waiting" json:"waiting"`
	RunningTasks           int     `msgpack:"running" json:"running"`
	DoneTasks              int     `msgpack:"done" json:"done"`
	AgeSeconds             float64 `msgpack:"age_s" json:"age_s"`
	FirstStartBoundSeconds float64 `msgpack:"start_by_s,omitempty" json:"start_by_s,omitempty"`
	LastStartBoundSeconds  float64 `msgpack:"last_start_by_s,omitempty" json:"last_start_by_s,omitempty"`
	MissedStartBound       bool    `msgpack:"late,omitempty" json:"late,omitempty"`
}

// Queue is what `gullrudder queue` shows: the jobs that wait, in the order in which they get room.
type Queue struct {
	Jobs              []QueuedJob `msgpack:"jobs" json:"jobs"`
	Total             int         `msgpack:"total" json:"total"`
	MissedStartBounds int         `msgpack:"bounds_missed" json:"bounds_missed"`
}

// Explanation is what `gullrudder explain` shows.
type Explanation struct {
	QueuedJob       `msgpack:",inline"`
	State           string      `msgpack:"state" json:"state"`
	Position        int         `msgpack:"position" json:"position"` // 1: nothing that waits stands before it
	JobsAhead       []QueuedJob `msgpack:"before" json:"before"`     // the first of those
	CPUSecondsAhead float64     `msgpack:"cpu_s_before" json:"cpu_s_before"`
	Reasons         []string    `msgpack:"because" json:"because"`
	Remedies        []string    `msgpack:"would_change" json:"would_change"`
	TimeShares      []TimeShare `msgpack:"account" json:"account"` // where its time went so far
}

const (
	maxQueuedJobs = 200
	maxJobsAhead  = 5
	maxReasons    = 8
)

func newQueuedJob(now time.Time, j *jobs.Job, rank string) QueuedJob {
	return QueuedJob{
		ID:           j.ID,
		Team:         j.Team,
		Class:        j.Class,
		Rank:         rank,
		WaitingTasks: j.WaitingTasks(),
		RunningTasks: j.RunningTasks(),
		DoneTasks:    j.DoneTasks,
		AgeSeconds: now.Sub(
			j.SubmittedAt,
		).Round(
			time.Second,
		).Seconds(),
		FirstStartBoundSeconds: j.FirstStartBound.Seconds(),
		LastStartBoundSeconds:  j.LastStartBound.Seconds(),
		MissedStartBound:       j.MissedStartBound,
	}
}

// serveQueue lists the jobs that wait, by team and class if these are named; with all=1 those too of which
// every task that is left runs.
func (d *Handler) serveQueue(now time.Time, r *server.Request) {
	_, raw, _ := strings.Cut(r.Target, "?")
	q, err := url.ParseQuery(raw)
	if err != nil {
		d.responder.RespondError(r, 400, "a query that cannot be read", 0)
		return
	}
	most, err := strconv.Atoi(q.Get("most"))
	if q.Get("most") == "" {
		most, err = maxQueuedJobs, nil
	}
	if err != nil || most < 1 || most > maxQueuedJobs {
		d.responder.RespondError(r, 400, fmt.Sprintf("most is not between 1 and %d", maxQueuedJobs), 0)
		return
	}
	order := d.placer.Order(now)
	a := Queue{Jobs: []QueuedJob{}, MissedStartBounds: d.jobStore.MissedStartBounds()}
	show := func(j *jobs.Job, standing string) {
		if q.Get("team") != "" && q.Get("team") != j.Team || q.Get("class") != "" && q.Get("class") != j.Class {
			return
		}
		a.Total++
		if len(a.Jobs) < most {
			a.Jobs = append(a.Jobs, newQueuedJob(now, j, standing))
		}
	}
	for i := range order {
		if e := &order[i]; e.Job.IsSchedulable() && (e.Job.WaitingTasks() > 0 || q.Get("all") != "") {
			show(e.Job, e.Rank.Reason())
		}
	}
	for _, j := range d.jobStore.WaitingJobs() {
		show(j, fmt.Sprintf("waits for %d other jobs", j.UnmetDependencies))
	}
	d.responder.Respond(r, 200, a, 0)
}

// serveExplanation says why a job waits, what stands before it, and what would change that.
func (d *Handler) serveExplanation(now time.Time, r *server.Request, id string) {
	if e, ok := d.accounting.FinishedAccount(id); ok {
		// Also if it is sealed by now: what ended under this leader is known without a look back.
		d.responder.Respond(r, 200, Explanation{
			QueuedJob: QueuedJob{ID: id, Team: e.Team, Class: e.Class}, State: finalResponse(id, jobstore.FinalState{Done: e.IsDone}, false).State,
			Reasons: []string{"it is over"}, TimeShares: newTimeShares(&e.Breakdown),
		}, 0)
		return
	}
	if f, ok := d.jobStore.FinalState(id); ok {
		d.responder.Respond(r, 200, Explanation{
			QueuedJob: QueuedJob{ID: id}, State: finalResponse(id, f, false).State,
			Reasons: []string{"it is over, under an earlier leader"},
		}, 0)
		return
	}
	j := d.jobStore.Find(id)
	if j == nil {
		d.serveArchived(now, r, id, false, d.serveExplanation)
		return
	}
	order := d.placer.Order(now)
	x := Explanation{State: j.StateName(), JobsAhead: []QueuedJob{}, Reasons: []string{}, Remedies: []string{}}
	x.QueuedJob = newQueuedJob(now, j, "")
	if spent, _, ok := d.accounting.Account(now, j); ok {
		x.TimeShares = newTimeShares(&spent)
	}
	found := false
	for i := range order {
		e := &order[i]
		if e.Job == j {
			x.Rank, found = e.Rank.Reason(), true
			break
		}
		if e.Job.WaitingTasks() == 0 || !e.Job.IsSchedulable() {
			continue
		}
		x.Position++
		x.CPUSecondsAhead += e.RemainingCPUSeconds
		if len(x.JobsAhead) < maxJobsAhead {
			x.JobsAhead = append(x.JobsAhead, newQueuedJob(now, e.Job, e.Rank.Reason()))
		}
	}
	if x.Position++; !found {
		x.Position, x.JobsAhead, x.CPUSecondsAhead = 0, []QueuedJob{}, 0
	}
	d.explainWait(now, j, &x)
	d.responder.Respond(r, 200, x, 0)
}

func (x *Explanation) addReason(format string, args ...any) {
	if len(x.Reasons) < maxReasons {
		x.Reasons = append(x.Reasons, fmt.Sprintf(format, args...))
	}
}

func (x *Explanation) addRemedy(format string, args ...any) {
	if len(x.Remedies) < maxReasons {
		x.Remedies = append(x.Remedies, fmt.Sprintf(format, args...))
	}
}

// explainWait looks at everything that can keep a task from starting, as the packing does.
func (d *Handler) explainWait(now time.Time, j *jobs.Job, x *Explanation) {
	switch {
	case j.State == jobs.Pending:
		x.addReason("it is not saved yet")
		return
	case j.IsCancelling || j.State == jobs.Cancelled:
		x.addReason("its user has cancelled it")
		return
	case j.UnmetDependencies > 0:
		open := d.jobStore.DependencyGraph().Unmet(j)
		x.addReason(
			"it waits for %d other jobs that have to be done first: %s",
			len(open),
			strings.Join(open[:min(len(open), maxJobsAhead)], ", "),
		)
		before, _ := d.jobStore.DependencyGraph().CriticalPath(j, d.estimator.TaskRunTime)
		x.addReason("by the longest way through them that takes %.0f s at least", before.Seconds())
		x.addRemedy("the end of those jobs; if one of them is cancelled, so is this one")
		return
	case j.CrashLooping:
		x.addReason(
			"its tasks have failed on %d machines and on none of them has one completed: it looks as if it was submitted with a mistake",
			max(d.failures.FailedMachineCount(j.ID), 2),
		)
		x.addReason("one task is tried at a time; the next in %.0f s", max(j.NotBefore.Sub(now), 0).Seconds())
		x.addRemedy("a task that completes: then all are started again")
		x.addRemedy("its cancellation, and a submission without the mistake")
		return
	case j.WaitingTasks() == 0:
		x.addReason("all of its tasks run or are done")
		return
	case !d.failover.Completed():
		x.addReason("a new leader has taken over, and %d machines have not said yet what runs on them", d.failover.UnreconciledMachines())
	}
	if !j.InheritedDeadline.IsZero() {
		x.addReason("a job that needs it has a deadline: for that it has to be done in %.0f s", j.InheritedDeadline.Sub(now).Seconds())
	}
	if now.Before(j.NotBefore) {
		x.addReason("its tasks failed or were refused lately: it is tried again in %.0f s", j.NotBefore.Sub(now).Seconds())
	}
	team := d.teams[j.Team]
	if placement.TasksAllowedByQuota(j, team, d.workers.TeamUsage(j.Team)) == 0 {
		x.addReason("team %s uses all that its limit allows (%g CPUs, %g cards)", j.Team, team.CPULimit, team.GPULimit)
		x.addRemedy("a higher limit of team %s, or the end of a task of the team", j.Team)
	}
	may, room, held, zones, fetched, deaf := 0, 0, 0, 0, 0, 0
	for _, m := range d.workers.ReportingMachines() {
		if m.IsUnreachable {
			deaf++
		}
		if !placement.IsEligible(j, m) || m.DrainReason != worker.NotDraining {
			continue
		}
		may++
		fits := m.TasksThatFit(j)
		if fits == 0 {
			continue
		}
		switch {
		case placement.TasksAllowedInZone(j, m.Zone) == 0:
			zones++
		case m.ReservedFor != nil && m.ReservedFor != j:
			held++
		default:
			room += fits
			if m.ImageCache.Has(j.Image) {
				fetched++
			}
		}
	}
	switch {
	case may == 0:
		x.addReason("no machine that is up may run it%s", describeConstraints(j))
		x.addRemedy("a machine of a type, zone and kind that the job allows")
	case room == 0:
		x.addReason(
			"%d machines may run it, and none has room for one more task (%g CPUs, %g cards, %g GB)%s",
			may,
			j.CPUs,
			j.GPUs,
			j.MemoryGB,
			describeConstraints(j),
		)
		if x.Position > 1 {
			x.addReason("%d jobs with %.0f CPU seconds of work get room before it", x.Position-1, x.CPUSecondsAhead)
		}
		x.addRemedy("room that comes free, or another machine")
	case j.IsGang && room < j.WaitingTasks():
		x.addReason("its %d tasks start at the same time or not at all; there is room for %d", j.WaitingTasks(), room)
		x.addRemedy("room for all of them at one time: it is held machine by machine")
	default:
		x.addReason("there is room for %d of its tasks: they start with the next reports of those machines", min(room, j.WaitingTasks()))
		if fetched == 0 {
			x.addReason("no machine with room has its image %s yet", j.Image)
		}
	}
	if held > 0 {
		x.addReason("%d machines with room are held for jobs before it", held)
	}
	if deaf > 0 {
		x.addReason("%d machines report and seem to hear nothing of us: they start nothing, and are given back if they answer no question", deaf)
	}
	if bound := d.options.StartBound; bound > 0 && !j.IsService && !j.IsGang && j.DoneTasks+len(j.ActiveAttempts) == 0 &&
		now.Sub(j.EligibleSince()) < bound {
		x.addRemedy(
			"waiting: if nothing of it has begun in %.0f s, some of its tasks go before others",
			(bound - now.Sub(j.EligibleSince())).Seconds(),
		)
	}
	if zones > 0 {
		x.addReason("%d machines with room are in zones where it may have no more tasks", zones)
		x.addRemedy("a job that is not bound to one zone, or spread less")
	}
	if terms := d.ranker.AgeingPolicy(); !j.IsService && !terms.IsAged(now, j) && terms.Share > 0 {
		x.addRemedy("waiting: in %.0f s it is aged, and %.0f %% of the fleet go to the aged, the oldest first",
			(terms.AgeBound - now.Sub(j.EligibleSince())).Seconds(), 100*terms.Share)
	}
}

func describeConstraints(j *jobs.Job) string {
	var list []string
	if len(j.MachineTypes) > 0 {
		list = append(list, "types "+strings.Join(j.MachineTypes, ", "))
	}
	if j.Zone != "" {
		list = append(list, "zone "+j.Zone)
	}
	if !j.AllowsSpot {
		list = append(list, "no spot machines")
	}
	if len(list) == 0 {
		return ""
	}
	return "; it allows " + strings.Join(list, "; ")
}
