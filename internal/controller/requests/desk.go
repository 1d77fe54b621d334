// Package requests serves the users: submissions, questions and cancellations, why a job waits and
// what waits before it. Its Desk owns the gate that bounds submissions which are not durable yet.
// What it answers comes from the book and the order; it changes nothing but the book.
package requests

import (
	"errors"
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/book"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/leader/horizon"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/rental"
	"gullrudder/internal/controller/reports/blame"
	"gullrudder/internal/controller/standing"
	"gullrudder/internal/controller/takeover"
	"gullrudder/internal/controller/timeline"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/outbox"
)

// Desk serves users on behalf of a leader.
type Desk struct {
	cfg      *config.Platform
	opt      *config.Options
	teams    map[string]config.Team
	log      *slog.Logger
	out      *inbox.Answers
	box      *outbox.Box
	ledger   *ledger.Store
	book     *book.Store
	fleet    *workers.Registry
	cloud    *fleet.Cloud
	planner  *plan.Planner
	placer   *place.Placer
	rental   *rental.Desk
	take     *takeover.Reconciler
	times    *timeline.Log
	blame    *blame.Tracker
	zoneBook *zones.Book
	gate     *standing.SubmissionLimiter // bounds the submissions that are not durable yet
	acting   func() bool                 // the leadership is entitled to act
	late     bool                        // a lease that was just renewed may outlast the time that users are told for a cancellation
}

// World is what a desk sees of its neighbours.
type World struct {
	Platform *config.Platform
	Options  *config.Options
	Ledger   *ledger.Store
	Book     *book.Store
	Fleet    *workers.Registry
	Cloud    *fleet.Cloud
	Planner  *plan.Planner
	Placer   *place.Placer
	Rental   *rental.Desk
	Takeover *takeover.Reconciler
	Times    *timeline.Log
	Blame    *blame.Tracker
	Zones    *zones.Book
	Acting   func() bool
	Answers  *inbox.Answers
	Box      *outbox.Box
	Log      *slog.Logger
}

// NewDesk makes the desk of a new leadership.
func NewDesk(w World) *Desk {
	d := &Desk{cfg: w.Platform, opt: w.Options, teams: w.Platform.TeamsByName(), log: w.Log, out: w.Answers, box: w.Box, ledger: w.Ledger,
		book: w.Book, fleet: w.Fleet, cloud: w.Cloud, planner: w.Planner, placer: w.Placer, rental: w.Rental, take: w.Takeover, times: w.Times, blame: w.Blame, zoneBook: w.Zones, acting: w.Acting}
	d.late = horizon.Window(d.cfg.CancelWithin, d.fleet.Lease()) <= 0
	// What two seconds' changes hold may wait for a commit.
	rate := d.cfg.StateWrites * float64(max(d.cfg.ValueBytes/jobBytes, 1))
	d.gate = standing.NewSubmissionLimiter(int(2*rate), rate)
	return d
}

// Method is what a path that a desk serves is asked with, empty if it serves no such path.
func Method(parts []string) string {
	switch {
	case len(parts) == 1 && (parts[0] == "queue" || parts[0] == "account" || parts[0] == "served" || parts[0] == "zones"), len(parts) == 2 && parts[0] == "work":
		return "GET"
	case len(parts) == 1 && parts[0] == "work", len(parts) == 3 && parts[0] == "work" && parts[2] == "withdraw":
		return "POST"
	case len(parts) == 3 && parts[0] == "work" && parts[2] == "explain":
		return "GET"
	}
	return ""
}

// Serve answers a user's request, whose path and method fit.
func (d *Desk) Serve(now time.Time, r *inbox.Request, parts []string) {
	switch {
	case parts[0] == "queue":
		d.queue(now, r)
	case parts[0] == "account":
		d.account(now, r)
	case parts[0] == "served":
		d.served(now, r)
	case parts[0] == "zones":
		d.zones(now, r)
	case len(parts) == 1:
		d.submit(now, r)
	case len(parts) == 2:
		d.query(now, r, parts[1])
	case parts[2] == "withdraw":
		d.cancel(now, r, parts[1])
	default:
		d.explain(now, r, parts[1])
	}
}

type jobAnswer struct {
	ID      string `msgpack:"id"`
	State   string `msgpack:"trim"`
	Label   string `msgpack:"label,omitempty"`
	Done    *int   `msgpack:"done,omitempty"`
	Running *int   `msgpack:"running,omitempty"`
	Because string `msgpack:"because,omitempty"` // what keeps it from being done
}

const (
	labelGuaranteed = "guaranteed"
	labelBestEffort = "best_effort"
	// comeBack is when a user is told to try again after a refusal for want of a leader
	// or of the state service.
	comeBack = time.Second
	// jobBytes is about what a submission takes of a page.
	jobBytes = 512
)

func label(guaranteed bool) string {
	if guaranteed {
		return labelGuaranteed
	}
	return labelBestEffort
}

func (d *Desk) submit(now time.Time, r *inbox.Request) {
	spec, err := jobs.ParseSpec(r.Body)
	// A known id is never refused, whatever else the request says.
	if jobs.ValidID(spec.ID) {
		absent := func(now time.Time) { d.submitNew(now, r, spec, err, nil) }
		if d.submitted(now, r, spec.ID) || d.past(now, r, spec.ID, false, absent) {
			return
		}
	}
	d.submitNew(now, r, spec, err, nil)
}

// submitted answers the repetition of a submission whose job is not sealed.
func (d *Desk) submitted(now time.Time, r *inbox.Request, id string) bool {
	if f, ok := d.book.FinalState(id); ok {
		d.out.Reply(r, 200, finalAnswer(id, f, false), 0)
		return true
	}
	j := d.book.Find(id)
	if j != nil {
		d.known(now, r, j)
	}
	return j != nil
}

// submitNew takes a job that the history does not hold. told has what the history's data have told of jobs that it needs.
func (d *Desk) submitNew(now time.Time, r *inbox.Request, spec jobs.Spec, err error, told map[string]book.DependencyState) {
	if d.submitted(now, r, spec.ID) {
		return // the same submission came again while the history was asked
	}
	var refusal *jobs.Refusal
	if errors.As(err, &refusal) {
		d.out.Refuse(r, refusal.Status, refusal.Reason, 0)
		return
	}
	if len(d.cloud.Types) == 0 {
		d.out.Refuse(r, 503, "the machine types are not known yet", comeBack)
		return
	}
	j := jobs.NewJob(spec, now)
	if reason := d.never(j); reason != "" {
		d.log.Info("job refused", "job", j.ID, "why", reason)
		d.out.Refuse(r, 422, reason, 0)
		return
	}
	if !d.ledger.IsHealthy() {
		d.out.Refuse(r, 503, "the state service does not take changes", 2*comeBack)
		return
	}
	missing, void, ok := d.needs(now, r, spec, told)
	if !ok {
		return
	}
	if ok, retry := d.gate.Acquire(now, j.Team, j.ID); !ok {
		d.out.Refuse(r, 429, "too many submissions at once; there is a place for this one after the time given", retry)
		return
	}
	record := jobs.FinalRecord(jobs.Cancelled, j.Tasks)
	if !void {
		d.book.WaitForDependencies(now, j, missing)
		before, needs := d.book.DependencyGraph().Path(j, d.planner.TaskRunTime)
		j.Guaranteed = d.planner.Admit(now, j, d.book.StartableJobs(), d.rental.Room(now), before, needs)
		if len(missing) == 0 {
			d.promise(now, j)
		}
		record = j.Record()
	}
	answered := false
	counted := true
	err = d.ledger.Set(now, j.ID, record, j.Reserve(), true, func(now time.Time, ok bool) {
		if counted {
			counted = false
			d.gate.Release(j.Team)
		}
		if ok && j.State == jobs.Pending {
			j.State, j.Ours = jobs.Accepted, true
			d.accepted(now, j, void)
			d.log.Info("job accepted", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "label", label(j.Guaranteed))
		}
		if answered {
			return
		}
		answered = true
		if ok {
			d.out.Reply(r, 201, jobAnswer{ID: j.ID, State: j.Wire(), Label: label(j.Guaranteed)}, 0)
		} else {
			d.out.Refuse(r, 503, "not saved yet", 2*comeBack)
		}
	})
	if err != nil {
		d.gate.Release(j.Team)
		d.book.DependencyGraph().Drop(j)
		d.out.Refuse(r, 400, "too large to be kept", 0)
		return
	}
	d.book.Add(j)
}

// known answers the repetition of a submission.
func (d *Desk) known(now time.Time, r *inbox.Request, j *jobs.Job) {
	if d.notYet(r, j) {
		return
	}
	d.out.Reply(r, 200, jobAnswer{ID: j.ID, State: j.Wire(), Label: label(j.Guaranteed)}, 0)
}

// never says why a job can never run, empty if it can.
func (d *Desk) never(j *jobs.Job) string {
	team, ok := d.teams[j.Team]
	if len(d.teams) > 0 && !ok {
		return "unknown team"
	}
	if place.ExceedsQuota(j, team) {
		return "needs more than its team's limit"
	}
	for _, t := range d.cloud.Types {
		for _, z := range t.Zones {
			if place.FitsType(j, t) && place.KindAllowed(j, fleet.KindOf(t, z, false)) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}
