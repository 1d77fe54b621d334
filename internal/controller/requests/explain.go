package requests

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/book"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/rental"
	"gullrudder/internal/controller/standing"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/wire/inbox"
)

// settle is how long it takes from free room to a running task, besides its image: two reports,
// and the stop of what had the room.
func (d *Desk) settle(j *jobs.Job) time.Duration {
	return 2*d.cfg.ReportEvery + j.Save + d.opt.Term
}

// ahead is what is known of the work that can stand before a job.
func (d *Desk) ahead(now time.Time, j *jobs.Job) standing.WorkAhead {
	a := standing.WorkAhead{TeamCPULimit: d.teams[j.Team].CPULimit, TaskCPUs: j.CPUs, LongestTask: d.planner.TaskRunTime(j), StartDelay: d.settle(j)}
	a.Own.Add(j, d.planner.RemainingCPUSeconds(j, now))
	for _, o := range d.book.Unfinished {
		if o == j || o.Service || !o.Live() {
			continue
		}
		a.LongestTask = max(a.LongestTask, d.planner.TaskRunTime(o))
		if !standing.IsOlder(o, j) {
			continue
		}
		w := d.planner.RemainingCPUSeconds(o, now)
		a.Older.Add(o, w)
		if o.Team == j.Team {
			a.Team.Add(o, w)
		}
	}
	for _, h := range d.cloud.Hosts {
		if t := d.cloud.Types[h.Kind.Type]; t != nil && !h.Deleting && place.KindAllowed(j, h.Kind) && place.FitsType(j, t) {
			a.UsableCPUs += t.CPUs
		}
	}
	fetch, least, boot := 0.0, 0.0, time.Duration(0)
	for _, t := range d.cloud.Types {
		if !place.FitsType(j, t) {
			continue
		}
		if t.FetchRate > 0 {
			fetch = max(fetch, j.ImageGB/t.FetchRate)
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				if k := fleet.KindOf(t, z, spot); d.cloud.Askable(now, k) && place.KindAllowed(j, k) {
					if cpus := float64(rental.Growth) * t.CPUs; least == 0 || cpus < least {
						least = cpus
					}
					boot = max(boot, d.cloud.Boot(t))
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

// promise states the bounds of a job that is about to be accepted.
func (d *Desk) promise(now time.Time, j *jobs.Job) {
	if j.Service {
		return
	}
	if b := d.planner.AgeingPolicy().WaitBound(d.ahead(now, j)); b.IsKnown {
		j.StartBy, j.EndBy = b.FirstStart, b.LastStart
	}
}

// Waiting is a job of the queue as it is shown. Times are in seconds.
type Waiting struct {
	ID       string  `msgpack:"id" json:"id"`
	Team     string  `msgpack:"team" json:"team"`
	Class    string  `msgpack:"class" json:"class"`
	Standing string  `msgpack:"standing" json:"standing"`
	Waiting  int     `msgpack:"waiting" json:"waiting"`
	Running  int     `msgpack:"running" json:"running"`
	Done     int     `msgpack:"done" json:"done"`
	Age      float64 `msgpack:"age_s" json:"age_s"`
	StartBy  float64 `msgpack:"start_by_s,omitempty" json:"start_by_s,omitempty"`
	EndBy    float64 `msgpack:"last_start_by_s,omitempty" json:"last_start_by_s,omitempty"`
	Late     bool    `msgpack:"late,omitempty" json:"late,omitempty"`
}

// Queue is what `gullrudder queue` shows: the jobs that wait, in the order in which they get room.
type Queue struct {
	Jobs  []Waiting `msgpack:"jobs" json:"jobs"`
	Total int       `msgpack:"total" json:"total"`
	Late  int       `msgpack:"bounds_missed" json:"bounds_missed"`
}

// Explanation is what `gullrudder explain` shows.
type Explanation struct {
	Waiting  `msgpack:",inline"`
	State    string    `msgpack:"state" json:"state"`
	Position int       `msgpack:"position" json:"position"` // 1: nothing that waits stands before it
	Before   []Waiting `msgpack:"before" json:"before"`     // the first of those
	Ahead    float64   `msgpack:"cpu_s_before" json:"cpu_s_before"`
	Because  []string  `msgpack:"because" json:"because"`
	Changes  []string  `msgpack:"would_change" json:"would_change"`
	Account  []Share   `msgpack:"account" json:"account"` // where its time went so far
}

const (
	mostQueued  = 200
	mostBefore  = 5
	mostReasons = 8
)

func waiting(now time.Time, j *jobs.Job, standing string) Waiting {
	return Waiting{ID: j.ID, Team: j.Team, Class: j.Class, Standing: standing, Waiting: j.Waiting(), Running: j.RunningTasks(), Done: j.NDone,
		Age: now.Sub(j.Submitted).Round(time.Second).Seconds(), StartBy: j.StartBy.Seconds(), EndBy: j.EndBy.Seconds(), Late: j.Late}
}

// queue lists the jobs that wait, by team and class if these are named; with all=1 those too of which
// every task that is left runs.
func (d *Desk) queue(now time.Time, r *inbox.Request) {
	_, raw, _ := strings.Cut(r.Target, "?")
	q, err := url.ParseQuery(raw)
	if err != nil {
		d.out.Refuse(r, 400, "a query that cannot be read", 0)
		return
	}
	most, err := strconv.Atoi(q.Get("most"))
	if q.Get("most") == "" {
		most, err = mostQueued, nil
	}
	if err != nil || most < 1 || most > mostQueued {
		d.out.Refuse(r, 400, fmt.Sprintf("most is not between 1 and %d", mostQueued), 0)
		return
	}
	order := d.placer.Order(now)
	a := Queue{Jobs: []Waiting{}, Late: d.book.MissedStartBounds()}
	show := func(j *jobs.Job, standing string) {
		if q.Get("team") != "" && q.Get("team") != j.Team || q.Get("class") != "" && q.Get("class") != j.Class {
			return
		}
		a.Total++
		if len(a.Jobs) < most {
			a.Jobs = append(a.Jobs, waiting(now, j, standing))
		}
	}
	for i := range order {
		if e := &order[i]; e.Job.Live() && (e.Job.Waiting() > 0 || q.Get("all") != "") {
			show(e.Job, e.RankReason())
		}
	}
	for _, j := range d.book.WaitingJobs() {
		show(j, fmt.Sprintf("waits for %d other jobs", j.Waits))
	}
	d.out.Reply(r, 200, a, 0)
}

// explain says why a job waits, what stands before it, and what would change that.
func (d *Desk) explain(now time.Time, r *inbox.Request, id string) {
	if e, ok := d.times.OfEnded(id); ok {
		// Also if it is sealed by now: what ended under this leader is known without a look back.
		d.out.Reply(r, 200, Explanation{Waiting: Waiting{ID: id, Team: e.Team, Class: e.Class}, State: finalAnswer(id, book.FinalState{Done: e.Done}, false).State,
			Because: []string{"it is over"}, Account: shares(&e.Spent)}, 0)
		return
	}
	if f, ok := d.book.FinalState(id); ok {
		d.out.Reply(r, 200, Explanation{Waiting: Waiting{ID: id}, State: finalAnswer(id, f, false).State,
			Because: []string{"it is over, under an earlier leader"}}, 0)
		return
	}
	j := d.book.Find(id)
	if j == nil {
		d.missing(now, r, id, false, d.explain)
		return
	}
	order := d.placer.Order(now)
	x := Explanation{State: j.Wire(), Before: []Waiting{}, Because: []string{}, Changes: []string{}}
	x.Waiting = waiting(now, j, "")
	if spent, _, ok := d.times.Of(now, j); ok {
		x.Account = shares(&spent)
	}
	found := false
	for i := range order {
		e := &order[i]
		if e.Job == j {
			x.Standing, found = e.RankReason(), true
			break
		}
		if e.Job.Waiting() == 0 || !e.Job.Live() {
			continue
		}
		x.Position++
		x.Ahead += e.RemainingCPUSeconds
		if len(x.Before) < mostBefore {
			x.Before = append(x.Before, waiting(now, e.Job, e.RankReason()))
		}
	}
	if x.Position++; !found {
		x.Position, x.Before, x.Ahead = 0, []Waiting{}, 0
	}
	d.reasons(now, j, &x)
	d.out.Reply(r, 200, x, 0)
}

func (x *Explanation) because(format string, args ...any) {
	if len(x.Because) < mostReasons {
		x.Because = append(x.Because, fmt.Sprintf(format, args...))
	}
}

func (x *Explanation) change(format string, args ...any) {
	if len(x.Changes) < mostReasons {
		x.Changes = append(x.Changes, fmt.Sprintf(format, args...))
	}
}

// reasons looks at everything that can keep a task from starting, as the packing does.
func (d *Desk) reasons(now time.Time, j *jobs.Job, x *Explanation) {
	switch {
	case j.State == jobs.Pending:
		x.because("it is not saved yet")
		return
	case j.Cancelling || j.State == jobs.Cancelled:
		x.because("its user has cancelled it")
		return
	case j.Waits > 0:
		open := d.book.DependencyGraph().Open(j)
		x.because("it waits for %d other jobs that have to be done first: %s", len(open), strings.Join(open[:min(len(open), mostBefore)], ", "))
		before, _ := d.book.DependencyGraph().Path(j, d.planner.TaskRunTime)
		x.because("by the longest way through them that takes %.0f s at least", before.Seconds())
		x.change("the end of those jobs; if one of them is cancelled, so is this one")
		return
	case j.Mistaken:
		x.because("its tasks have failed on %d machines and on none of them has one completed: it looks as if it was submitted with a mistake", max(d.blame.FailedMachineCount(j.ID), 2))
		x.because("one task is tried at a time; the next in %.0f s", max(j.NotBefore.Sub(now), 0).Seconds())
		x.change("a task that completes: then all are started again")
		x.change("its cancellation, and a submission without the mistake")
		return
	case j.Waiting() == 0:
		x.because("all of its tasks run or are done")
		return
	case !d.take.Completed():
		x.because("a new leader has taken over, and %d machines have not said yet what runs on them", d.take.UnreconciledMachines())
	}
	if !j.DueBy.IsZero() {
		x.because("a job that needs it has a deadline: for that it has to be done in %.0f s", j.DueBy.Sub(now).Seconds())
	}
	if now.Before(j.NotBefore) {
		x.because("its tasks failed or were refused lately: it is tried again in %.0f s", j.NotBefore.Sub(now).Seconds())
	}
	team := d.teams[j.Team]
	if place.TasksAllowedByQuota(j, team, d.fleet.TeamUsage(j.Team)) == 0 {
		x.because("team %s uses all that its limit allows (%g CPUs, %g cards)", j.Team, team.CPULimit, team.CardsLimit)
		x.change("a higher limit of team %s, or the end of a task of the team", j.Team)
	}
	may, room, held, zones, fetched, deaf := 0, 0, 0, 0, 0, 0
	for _, m := range d.fleet.ReportingMachines() {
		if m.IsUnreachable {
			deaf++
		}
		if !place.IsEligible(j, m) || m.DrainReason != workers.NotDraining {
			continue
		}
		may++
		fits := m.TasksThatFit(j)
		if fits == 0 {
			continue
		}
		switch {
		case place.TasksAllowedInZone(j, m.Zone) == 0:
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
		x.because("no machine that is up may run it%s", constraints(j))
		x.change("a machine of a type, zone and kind that the job allows")
	case room == 0:
		x.because("%d machines may run it, and none has room for one more task (%g CPUs, %g cards, %g GB)%s", may, j.CPUs, j.Cards, j.Mem, constraints(j))
		if x.Position > 1 {
			x.because("%d jobs with %.0f CPU seconds of work get room before it", x.Position-1, x.Ahead)
		}
		x.change("room that comes free, or another machine")
	case j.Gang && room < j.Waiting():
		x.because("its %d tasks start at the same time or not at all; there is room for %d", j.Waiting(), room)
		x.change("room for all of them at one time: it is held machine by machine")
	default:
		x.because("there is room for %d of its tasks: they start with the next reports of those machines", min(room, j.Waiting()))
		if fetched == 0 {
			x.because("no machine with room has its image %s yet", j.Image)
		}
	}
	if held > 0 {
		x.because("%d machines with room are held for jobs before it", held)
	}
	if deaf > 0 {
		x.because("%d machines report and seem to hear nothing of us: they start nothing, and are given back if they answer no question", deaf)
	}
	if bound := d.opt.BeginBound; bound > 0 && !j.Service && !j.Gang && j.NDone+len(j.Active) == 0 && now.Sub(j.Since()) < bound {
		x.change("waiting: if nothing of it has begun in %.0f s, some of its tasks go before others", (bound - now.Sub(j.Since())).Seconds())
	}
	if zones > 0 {
		x.because("%d machines with room are in zones where it may have no more tasks", zones)
		x.change("a job that is not bound to one zone, or spread less")
	}
	if terms := d.planner.AgeingPolicy(); !j.Service && !terms.IsAged(now, j) && terms.Share > 0 {
		x.change("waiting: in %.0f s it is aged, and %.0f %% of the fleet go to the aged, the oldest first",
			(terms.AgeBound - now.Sub(j.Since())).Seconds(), 100*terms.Share)
	}
}

func constraints(j *jobs.Job) string {
	var list []string
	if len(j.Types) > 0 {
		list = append(list, "types "+strings.Join(j.Types, ", "))
	}
	if j.Zone != "" {
		list = append(list, "zone "+j.Zone)
	}
	if !j.Spot {
		list = append(list, "no spot machines")
	}
	if len(list) == 0 {
		return ""
	}
	return "; it allows " + strings.Join(list, "; ")
}
