package node

import (
	"errors"
	"time"

	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/standing"
	"gullrudder/internal/wire/outbox"
)

type jobAnswer struct {
	ID      string `msgpack:"id"`
	State   string `msgpack:"trim"`
	Label   string `msgpack:"label,omitempty"`
	Done    *int   `msgpack:"done,omitempty"`
	Running *int   `msgpack:"running,omitempty"`
}

const (
	labelGuaranteed = "guaranteed"
	labelBestEffort = "best_effort"
	// comeBack is when a user is told to try again after a refusal for want of a leader
	// or of the state service.
	comeBack = time.Second
	// growth is how many machines of a kind the plan counts on beyond those that are there,
	// if that is more than are there already.
	growth = 4
	// jobBytes is about what a submission takes of a page.
	jobBytes = 512
)

// newGate bounds the submissions that wait for a commit: what two seconds' changes hold.
func (n *Node) newGate() *standing.Gate {
	rate := n.cfg.StateWrites * float64(max(n.cfg.ValueBytes/jobBytes, 1))
	return standing.NewGate(int(2*rate), rate)
}

// user serves a user's request if this node leads, else hands it on to the leader once.
func (n *Node) user(now time.Time, r *Request, serve func(time.Time, *Request)) {
	if n.acting {
		if !n.lead.built {
			n.refuse(r, 503, "the ledger is being read", comeBack)
			return
		}
		serve(now, r)
		return
	}
	addr := n.peers[n.election.Leader(now)]
	if r.Peer || addr == "" {
		n.refuse(r, 503, "no leader at present", comeBack)
		return
	}
	timeout := 1800 * time.Millisecond
	if r.Method == "POST" {
		timeout = 4 * time.Second
	}
	n.box.Add(outbox.Call{Service: outbox.Peer, Addr: addr, Method: r.Method, Path: r.Target, Body: raw(r.Body), Timeout: timeout,
		Done: func(now time.Time, res outbox.Result) {
			if res.Unknown() {
				n.refuse(r, 503, "the leader does not answer", comeBack)
				return
			}
			n.replies = append(n.replies, Reply{r.Ref, res.Status, res.Body, res.RetryAfter})
		}})
}

// raw is a body that is handed on as it came.
type raw []byte

// Raw gives the runtime the bytes of such a body.
func Raw(body any) ([]byte, bool) {
	b, ok := body.(raw)
	return b, ok
}

func label(guaranteed bool) string {
	if guaranteed {
		return labelGuaranteed
	}
	return labelBestEffort
}

func (n *Node) submit(now time.Time, r *Request) {
	spec, err := jobs.ParseSpec(r.Body)
	// A known id is never refused, whatever else the request says.
	if jobs.ValidID(spec.ID) {
		absent := func(now time.Time) { n.submitNew(now, r, spec, err) }
		if n.submitted(now, r, spec.ID) || n.past(now, r, spec.ID, false, absent) {
			return
		}
	}
	n.submitNew(now, r, spec, err)
}

// submitted answers the repetition of a submission whose job is not sealed.
func (n *Node) submitted(now time.Time, r *Request, id string) bool {
	l := n.lead
	if f, ok := l.finals[id]; ok {
		n.reply(r, 200, finalAnswer(id, f, false), 0)
		return true
	}
	j := l.jobs[id]
	if j != nil {
		n.known(now, r, j)
	}
	return j != nil
}

// submitNew takes a job that the history does not hold.
func (n *Node) submitNew(now time.Time, r *Request, spec jobs.Spec, err error) {
	l := n.lead
	if n.submitted(now, r, spec.ID) {
		return // the same submission came again while the history was asked
	}
	var refusal *jobs.Refusal
	if errors.As(err, &refusal) {
		n.refuse(r, refusal.Status, refusal.Reason, 0)
		return
	}
	if len(l.cloud.Types) == 0 {
		n.refuse(r, 503, "the machine types are not known yet", comeBack)
		return
	}
	j := jobs.NewJob(spec, now)
	if reason := n.never(j); reason != "" {
		n.log.Info("job refused", "job", j.ID, "why", reason)
		n.refuse(r, 422, reason, 0)
		return
	}
	if !l.ledger.Healthy() {
		n.refuse(r, 503, "the state service does not take changes", 2*comeBack)
		return
	}
	if ok, retry := l.gate.Enter(now, j.Team, j.ID); !ok {
		n.refuse(r, 429, "too many submissions at once; there is a place for this one after the time given", retry)
		return
	}
	j.Guaranteed = l.planner.Admit(now, j, n.live(), n.room(now))
	n.promise(now, j)
	answered := false
	counted := true
	err = l.ledger.Set(now, j.ID, j.Record(), j.Reserve(), true, func(now time.Time, ok bool) {
		if counted {
			counted = false
			l.gate.Leave(j.Team)
		}
		if ok && j.State == jobs.Pending {
			j.State = jobs.Accepted
			l.stale = true
			// Machines take long to boot: what new work needs is asked for soon.
			if soon := l.sized.Add(300 * time.Millisecond); soon.Before(l.nextSize) {
				l.nextSize = soon
			}
			n.log.Info("job accepted", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "label", label(j.Guaranteed))
		}
		if answered {
			return
		}
		answered = true
		if ok {
			n.reply(r, 201, jobAnswer{ID: j.ID, State: j.Wire(), Label: label(j.Guaranteed)}, 0)
		} else {
			n.refuse(r, 503, "not saved yet", 2*comeBack)
		}
	})
	if err != nil {
		l.gate.Leave(j.Team)
		n.refuse(r, 400, "too large to be kept", 0)
		return
	}
	l.jobs[j.ID] = j
}

// known answers the repetition of a submission.
func (n *Node) known(now time.Time, r *Request, j *jobs.Job) {
	if j.State == jobs.Pending {
		n.refuse(r, 503, "not saved yet", comeBack)
		return
	}
	n.reply(r, 200, jobAnswer{ID: j.ID, State: j.Wire(), Label: label(j.Guaranteed)}, 0)
}

// never says why a job can never run, empty if it can.
func (n *Node) never(j *jobs.Job) string {
	team, ok := n.teams[j.Team]
	if len(n.teams) > 0 && !ok {
		return "unknown team"
	}
	if place.OverLimit(j, team) {
		return "needs more than its team's limit"
	}
	for _, t := range n.lead.cloud.Types {
		for _, z := range t.Zones {
			if place.TypeFits(j, t) && place.KindAllowed(j, kindOf(t, z, false)) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

func finalAnswer(id string, f final, counts bool) jobAnswer {
	a := jobAnswer{ID: id, State: "cancelled"}
	zero := 0
	if f.done {
		a.State = "done"
	}
	if counts {
		a.Done, a.Running = &zero, &zero
		if f.done {
			a.Done = &f.tasks
		}
	}
	return a
}

func (n *Node) query(now time.Time, r *Request, id string) {
	l := n.lead
	if f, ok := l.finals[id]; ok {
		n.reply(r, 200, finalAnswer(id, f, true), 0)
		return
	}
	j := l.jobs[id]
	if j == nil {
		n.missing(now, r, id, true, n.query)
		return
	}
	if j.State == jobs.Pending {
		n.refuse(r, 503, "not saved yet", comeBack)
		return
	}
	running := j.RunningTasks()
	n.reply(r, 200, jobAnswer{ID: id, State: j.Wire(), Label: label(j.Guaranteed), Done: &j.NDone, Running: &running}, 0)
}

// missing answers for a job that is neither live nor final in the pages: from the history, or
// 404. If it was submitted while the history was asked, it is served as usual.
func (n *Node) missing(now time.Time, r *Request, id string, counts bool, serve func(time.Time, *Request, string)) {
	l := n.lead
	absent := func(now time.Time) {
		if _, over := l.finals[id]; over || l.jobs[id] != nil {
			serve(now, r, id)
			return
		}
		n.refuse(r, 404, "no such job", 0)
	}
	if !n.past(now, r, id, counts, absent) {
		absent(now)
	}
}

func (n *Node) withdraw(now time.Time, r *Request, id string) {
	l := n.lead
	if f, ok := l.finals[id]; ok {
		n.reply(r, 200, finalAnswer(id, f, false), 0)
		return
	}
	j := l.jobs[id]
	switch {
	case j == nil:
		n.missing(now, r, id, false, n.withdraw)
		return
	case j.State == jobs.Pending:
		n.refuse(r, 503, "not saved yet", comeBack)
		return
	case j.State == jobs.Cancelled:
		n.reply(r, 200, jobAnswer{ID: id, State: "cancelled"}, 0)
		return
	case j.Finishing || j.Cancelling || !l.ledger.Healthy():
		// What is on its way into the ledger decides; the user asks again.
		if !j.Finishing && !j.Cancelling {
			n.cancel(now, j, nil)
		}
		n.refuse(r, 503, "not saved yet", comeBack)
		return
	}
	n.cancel(now, j, r)
}

// cancel writes the cancellation down; the user is told once it is durable. From now on
// nothing of the job starts.
func (n *Node) cancel(now time.Time, j *jobs.Job, r *Request) {
	l := n.lead
	j.Cancelling = true
	l.stale = true
	rec := j.Record()
	rec.State = jobs.FinalRecord(jobs.Cancelled, 0).State
	err := l.ledger.Set(now, j.ID, rec, j.Reserve(), true, func(now time.Time, ok bool) {
		if ok && j.State == jobs.Accepted {
			j.State = jobs.Cancelled
			n.log.Info("job cancelled", "job", j.ID)
		}
		if r == nil {
			return
		}
		if ok {
			n.reply(r, 200, jobAnswer{ID: j.ID, State: "cancelled"}, 0)
		} else {
			n.refuse(r, 503, "not saved yet", comeBack)
		}
		r = nil
	})
	if err != nil {
		n.log.Error("a cancellation cannot be saved", "job", j.ID, "error", err)
	}
}

// live lists the unfinished jobs whose tasks may be started.
func (n *Node) live() []*jobs.Job {
	list := make([]*jobs.Job, 0, len(n.lead.jobs))
	for _, j := range n.lead.jobs {
		if j.Live() || j.State == jobs.Pending && !j.Cancelling {
			list = append(list, j)
		}
	}
	return list
}

func (n *Node) room(now time.Time) plan.Room {
	l := n.lead
	r := plan.Room{Startable: func(j *jobs.Job) int { return place.TeamRoom(j, n.teams[j.Team], l.fleet.Team(j.Team)) }}
	held := map[fleet.Kind]int{}
	for _, h := range l.cloud.Hosts {
		if t := l.cloud.Types[h.Kind.Type]; t != nil && !h.Deleting {
			r.CPUs += t.CPUs
			held[h.Kind]++
		}
	}
	for _, t := range l.cloud.Types {
		r.Machine = max(r.Machine, t.CPUs)
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				// Capacity is not published: a kind that was not refused lately is
				// taken to have as many again, or a few.
				if k := kindOf(t, z, spot); l.cloud.Askable(now, k) {
					r.Growth += float64(max(growth, held[k])) * t.CPUs
					r.Boot = max(r.Boot, t.Boot())
				}
			}
		}
	}
	return r
}
