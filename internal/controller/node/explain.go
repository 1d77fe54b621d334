package node

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/standing"
	"gullrudder/internal/controller/workers"
)

// settle is how long it takes from free room to a running task, besides its image: two reports,
// and the stop of what had the room.
func (n *Node) settle(j *jobs.Job) time.Duration {
	return 2*n.cfg.ReportEvery + j.Save + n.lead.options.Term
}

// ahead is what is known of the work that can stand before a job.
func (n *Node) ahead(now time.Time, j *jobs.Job) standing.Ahead {
	l := n.lead
	a := standing.Ahead{Limit: n.teams[j.Team].CPULimit, Task: j.CPUs, Longest: l.planner.PerTask(j), Settle: n.settle(j)}
	a.Own.Add(j, l.planner.Work(j, now))
	for _, o := range l.jobs {
		if o == j || o.Service || !o.Live() {
			continue
		}
		a.Longest = max(a.Longest, l.planner.PerTask(o))
		if !standing.Older(o, j) {
			continue
		}
		w := l.planner.Work(o, now)
		a.Older.Add(o, w)
		if o.Team == j.Team {
			a.Team.Add(o, w)
		}
	}
	for _, h := range l.cloud.Hosts {
		if t := l.cloud.Types[h.Kind.Type]; t != nil && !h.Deleting && place.KindAllowed(j, h.Kind) && place.TypeFits(j, t) {
			a.CPUs += t.CPUs
		}
	}
	fetch, least, boot := 0.0, 0.0, time.Duration(0)
	for _, t := range l.cloud.Types {
		if !place.TypeFits(j, t) {
			continue
		}
		if t.FetchRate > 0 {
			fetch = max(fetch, j.ImageGB/t.FetchRate)
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				if k := kindOf(t, z, spot); l.cloud.Askable(now, k) && place.KindAllowed(j, k) {
					if cpus := float64(growth) * t.CPUs; least == 0 || cpus < least {
						least = cpus
					}
					boot = max(boot, t.Boot())
				}
			}
		}
	}
	if a.CPUs == 0 { // nothing is there yet: the least that is about to be rented for it
		a.CPUs = least
		a.Settle += boot
	}
	// Once for its own image, and once while machines that have it are looked for.
	a.Settle += time.Duration(2 * fetch * float64(time.Second))
	return a
}

// promise states the bounds of a job that is about to be accepted.
func (n *Node) promise(now time.Time, j *jobs.Job) {
	if j.Service {
		return
	}
	if b := n.lead.planner.Terms().Bound(n.ahead(now, j)); b.Known {
		j.StartBy, j.EndBy = b.First, b.Last
	}
}

// watchBounds tells of jobs that have waited longer than was stated.
func (n *Node) watchBounds(now time.Time) {
	l := n.lead
	for _, j := range l.jobs {
		if j.StartBy > 0 && !j.Late && j.Live() && j.NDone+len(j.Active) == 0 && now.Sub(j.Submitted) > j.StartBy {
			j.Late = true
			l.late++
			n.log.Error("a job waits longer than was stated", "job", j.ID, "team", j.Team, "class", j.Class,
				"waits", now.Sub(j.Submitted).Round(time.Second), "stated", j.StartBy, "cpus up", n.room(now).CPUs)
		}
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
	Waiting
	State    string    `msgpack:"state" json:"state"`
	Position int       `msgpack:"position" json:"position"` // 1: nothing that waits stands before it
	Before   []Waiting `msgpack:"before" json:"before"`     // the first of those
	Ahead    float64   `msgpack:"cpu_s_before" json:"cpu_s_before"`
	Because  []string  `msgpack:"because" json:"because"`
	Changes  []string  `msgpack:"would_change" json:"would_change"`
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

// queue lists the jobs that wait, by team and class if these are named.
func (n *Node) queue(now time.Time, r *Request) {
	l := n.lead
	_, raw, _ := strings.Cut(r.Target, "?")
	q, err := url.ParseQuery(raw)
	if err != nil {
		n.refuse(r, 400, "a query that cannot be read", 0)
		return
	}
	most, err := strconv.Atoi(q.Get("most"))
	if q.Get("most") == "" {
		most, err = mostQueued, nil
	}
	if err != nil || most < 1 || most > mostQueued {
		n.refuse(r, 400, fmt.Sprintf("most is not between 1 and %d", mostQueued), 0)
		return
	}
	n.rank(now)
	a := Queue{Jobs: []Waiting{}, Late: l.late}
	for i := range l.order {
		e := &l.order[i]
		if e.Job.Waiting() == 0 || !e.Job.Live() || q.Get("team") != "" && q.Get("team") != e.Job.Team || q.Get("class") != "" && q.Get("class") != e.Job.Class {
			continue
		}
		a.Total++
		if len(a.Jobs) < most {
			a.Jobs = append(a.Jobs, waiting(now, e.Job, e.Standing()))
		}
	}
	n.reply(r, 200, a, 0)
}

// explain says why a job waits, what stands before it, and what would change that.
func (n *Node) explain(now time.Time, r *Request, id string) {
	l := n.lead
	if f, ok := l.finals[id]; ok {
		n.reply(r, 200, Explanation{Waiting: Waiting{ID: id}, State: finalAnswer(id, f, false).State, Because: []string{"it is over"}}, 0)
		return
	}
	j := l.jobs[id]
	if j == nil {
		n.missing(now, r, id, false, n.explain)
		return
	}
	n.rank(now)
	x := Explanation{State: j.Wire(), Before: []Waiting{}, Because: []string{}, Changes: []string{}}
	x.Waiting = waiting(now, j, "")
	found := false
	for i := range l.order {
		e := &l.order[i]
		if e.Job == j {
			x.Standing, found = e.Standing(), true
			break
		}
		if e.Job.Waiting() == 0 || !e.Job.Live() {
			continue
		}
		x.Position++
		x.Ahead += e.Work
		if len(x.Before) < mostBefore {
			x.Before = append(x.Before, waiting(now, e.Job, e.Standing()))
		}
	}
	if x.Position++; !found {
		x.Position, x.Before, x.Ahead = 0, []Waiting{}, 0
	}
	n.reasons(now, j, &x)
	n.reply(r, 200, x, 0)
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
func (n *Node) reasons(now time.Time, j *jobs.Job, x *Explanation) {
	l := n.lead
	switch {
	case j.State == jobs.Pending:
		x.because("it is not saved yet")
		return
	case j.Cancelling || j.State == jobs.Cancelled:
		x.because("its user has cancelled it")
		return
	case j.Waiting() == 0:
		x.because("all of its tasks run or are done")
		return
	case !l.placing:
		x.because("a new leader has taken over, and %d machines have not said yet what runs on them", len(l.missing))
	}
	if now.Before(j.NotBefore) {
		x.because("its tasks failed or were refused lately: it is tried again in %.0f s", j.NotBefore.Sub(now).Seconds())
	}
	team := n.teams[j.Team]
	if place.TeamRoom(j, team, l.fleet.Team(j.Team)) == 0 {
		x.because("team %s uses all that its limit allows (%g CPUs, %g cards)", j.Team, team.CPULimit, team.CardsLimit)
		x.change("a higher limit of team %s, or the end of a task of the team", j.Team)
	}
	may, room, held, zones, fetched := 0, 0, 0, 0, 0
	for _, m := range l.fleet.Up() {
		if !place.Usable(j, m) || m.Draining != workers.InUse {
			continue
		}
		may++
		fits := m.Fits(j)
		if fits == 0 {
			continue
		}
		switch {
		case place.ZoneRoom(j, m.Zone) == 0:
			zones++
		case m.HeldFor != nil && m.HeldFor != j:
			held++
		default:
			room += fits
			if m.Store.Has(j.Image) {
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
	if zones > 0 {
		x.because("%d machines with room are in zones where it may have no more tasks", zones)
		x.change("a job that is not bound to one zone, or spread less")
	}
	if terms := l.planner.Terms(); !j.Service && !terms.Aged(now, j) && terms.Share > 0 {
		x.change("waiting: in %.0f s it is aged, and %.0f %% of the fleet go to the aged, the oldest first",
			(terms.Age - now.Sub(j.Submitted)).Seconds(), 100*terms.Share)
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
