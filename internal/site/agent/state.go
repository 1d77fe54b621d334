package agent

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// Options of a worker.
type Options struct {
	Addr        string
	Type, Zone  string
	CPUs, MemGB float64
	Controllers map[string]string // addresses by name
	Report      time.Duration
	Lease       time.Duration
}

const (
	// mostTasks bounds what one report has to tell: with its bodies below 64 KiB.
	mostTasks = 400
	// between is the least time between two reports.
	between = 500 * time.Millisecond
	// patience is how long the answer to a report is waited for.
	patience = 4 * time.Second
	// describeAgain is how long after a description could not be had it is asked for again.
	describeAgain = time.Second
	// noticeLeft is what a machine that is to be emptied says it has left.
	noticeLeft = 3600.0
)

// State is the pure part of a worker.
type State struct {
	opt      Options
	names    []string // of the controllers
	at       int      // the one that is reported to
	machine  string
	notice   bool
	next     Assigned // what the machine becomes once it is cleared
	clearing bool     // its tasks are being ended; until then nothing is reported or executed
	epoch    uint64   // counts clearings
	applied  uint64   // the last assignment that was taken in
	session  uint64
	seq      uint64
	token    uint64
	granted  time.Time
	raisedAt time.Time // when a higher token last counted as a change
	tasks    map[key]*task
	sent     time.Time // when the report on its way was sent
	flying   bool
	flown    uint64 // its session
	changed  bool
	nextAt   time.Time
}

// key names an attempt: a refused one may stand beside the one that has the task.
type key struct {
	name    string
	attempt uint64
}

type task struct {
	key
	state    workerapi.TaskState
	why      workerapi.ExitReason
	saved    bool
	desc     *Description // nil: not known yet
	stopping bool         // it is being ended at once
	asked    bool         // the description is on its way
	askAt    time.Time
}

// New makes the worker of a process that has just started. It is no machine yet.
func New(opt Options) *State {
	return &State{opt: opt, names: slices.Sorted(maps.Keys(opt.Controllers)), tasks: map[key]*task{}}
}

// Machine is the machine that this is, or whose tasks may still be there, and the last assignment that
// was taken in.
func (s *State) Machine() (name string, applied uint64) { return s.machine, s.applied }

// Busy is how many tasks are on the machine that have not exited.
func (s *State) Busy() int {
	n := 0
	for _, t := range s.tasks {
		if t.state != workerapi.StateExited {
			n++
		}
	}
	return n
}

// Step works through a batch of inputs.
func (s *State) Step(now time.Time, inputs []Input) Effects {
	var e Effects
	s.checkLease(now, &e)
	for _, in := range inputs {
		switch {
		case in.Cleared != nil:
			s.cleared(now, *in.Cleared)
		case in.Assigned != nil:
			s.assigned(now, *in.Assigned, &e)
		case in.Answered != nil:
			s.answered(now, *in.Answered, &e)
		case in.Direct != nil:
			s.direct(now, *in.Direct, &e)
		case in.Described != nil:
			s.described(now, *in.Described, &e)
		case in.Ended != nil:
			s.ended(*in.Ended)
		}
	}
	if s.machine != "" && !s.clearing {
		s.describe(now, &e)
		s.report(now, &e)
	}
	return e
}

// checkLease ends a lease whose time is over: all tasks are ended and forgotten, and the next session
// begins once nothing is left of them. A tenth of the lease is kept for that: the controllers count on
// it that nothing runs when it is over, and killing takes a while on a machine that is busy.
func (s *State) checkLease(now time.Time, e *Effects) {
	if s.machine == "" || s.clearing || now.Sub(s.granted) <= s.opt.Lease*9/10 {
		return
	}
	s.clear(Assigned{Machine: s.machine, Notice: s.notice}, e)
}

// clear ends everything; next is what the machine is then.
func (s *State) clear(next Assigned, e *Effects) {
	s.epoch++
	s.clearing, s.next = true, next
	s.tasks = map[key]*task{}
	epoch := s.epoch
	e.Clear = &epoch
}

func (s *State) cleared(now time.Time, c Cleared) {
	if !s.clearing || c.Epoch != s.epoch {
		return
	}
	s.clearing = false
	if s.next.Machine != s.machine {
		s.machine, s.session, s.seq, s.token = s.next.Machine, 0, 0, 0
	}
	s.notice = s.next.Notice
	s.session++
	s.granted, s.nextAt, s.changed = now, now, true
}

// assigned makes this another machine, or none: only once everything of the old one has ended.
func (s *State) assigned(now time.Time, a Assigned, e *Effects) {
	s.applied = max(s.applied, a.Serial)
	switch {
	case s.clearing:
		s.next = a
	case a.Machine != s.machine:
		s.clear(a, e)
	case a.Notice != s.notice:
		s.notice, s.changed = a.Notice, true
	}
}

func (s *State) compose() workerapi.Heartbeat {
	s.seq++
	r := workerapi.Heartbeat{
		Machine: s.machine, Addr: s.opt.Addr, Type: s.opt.Type, Zone: s.opt.Zone,
		Incarnation: s.session, Sequence: s.seq, FencingToken: s.token,
		Tasks: make([]workerapi.TaskStatus, 0, len(s.tasks)),
	}
	if s.notice {
		left := noticeLeft
		r.ReclaimInSeconds = &left
	}
	for _, t := range s.sorted() {
		r.Tasks = append(r.Tasks, workerapi.TaskStatus{
			Task: t.name, Attempt: t.attempt, State: t.state, Reason: t.why, CheckpointSaved: t.saved,
		})
	}
	return r
}

// report sends one when it is due: one at a time, every so often, and when something has changed.
func (s *State) report(now time.Time, e *Effects) {
	if s.flying || len(s.names) == 0 || now.Sub(s.sent) < between || now.Before(s.nextAt) && !s.changed {
		return
	}
	s.flying, s.flown, s.sent, s.changed = true, s.session, now, false
	e.Report = &Sending{s.opt.Controllers[s.names[s.at]], s.compose()}
}

func (s *State) answered(now time.Time, a Answered, e *Effects) {
	s.flying = false
	s.nextAt = s.sent.Add(s.opt.Report)
	var got controllerMessage
	readable := a.Status != 0 && codec.Unmarshal(a.Body, &got) == nil
	switch {
	case a.Status == 200:
		isOutdated := s.clearing || s.flown != s.session || now.Sub(s.sent) > patience
		if !readable || got.FencingToken == nil || *got.FencingToken < s.token || isOutdated {
			return // dropped: it neither commands nor renews the lease
		}
		s.raise(now, *got.FencingToken)
		s.granted = s.sent
		s.execute(now, got.Commands, e)
	case a.Status == 421 && readable && slices.Contains(s.names, got.Leader) && got.Leader != s.names[s.at]:
		s.at = slices.Index(s.names, got.Leader)
		s.nextAt = now
	default:
		s.at = (s.at + 1) % len(s.names)
		s.nextAt = now.Add(time.Second)
		s.changed = false
	}
}

// raise takes in a token. A higher one is a change, no more than once in half of the lease.
func (s *State) raise(now time.Time, token uint64) {
	if token > s.token {
		s.token = token
		if now.Sub(s.raisedAt) > s.opt.Lease/2 {
			s.raisedAt, s.changed = now, true
		}
	}
}

func (s *State) direct(now time.Time, d Direct, e *Effects) {
	reply := func(status int) { e.Replies = append(e.Replies, Reply{d.Ref, status, s.compose()}) }
	if !d.Commands {
		reply(200)
		return
	}
	var got controllerMessage
	if codec.Unmarshal(d.Body, &got) != nil || got.FencingToken == nil || got.Incarnation == nil {
		reply(400)
		return
	}
	if s.machine == "" || s.clearing || *got.FencingToken < s.token || *got.Incarnation != s.session {
		reply(409)
		return
	}
	s.raise(now, *got.FencingToken)
	s.execute(now, got.Commands, e)
	reply(200)
}

func (s *State) execute(now time.Time, list []workerapi.Command, e *Effects) {
	for _, c := range list {
		t := s.tasks[key{c.Task, c.Attempt}]
		switch c.Operation {
		case workerapi.OperationStart:
			if t == nil {
				s.start(c)
			}
		case workerapi.OperationKill:
			if t != nil {
				s.kill(t, c.GraceSeconds, e)
			}
		case workerapi.OperationForget:
			if t != nil && t.state == workerapi.StateExited {
				delete(s.tasks, t.key)
			}
		}
	}
}

// start takes in an attempt of which nothing is here, or refuses it.
func (s *State) start(c workerapi.Command) {
	s.changed = true
	t := &task{key: key{c.Task, c.Attempt}, state: workerapi.StateFetching}
	job, _, ok := strings.Cut(c.Task, "/")
	switch {
	case !ok || job == "":
		t.state, t.why = workerapi.StateExited, workerapi.ReasonNotFound
	case len(s.tasks) >= mostTasks:
		t.state, t.why = workerapi.StateExited, workerapi.ReasonNoCapacity
	default:
		for _, o := range s.tasks {
			if o.name == c.Task && o.state != workerapi.StateExited {
				t.state, t.why = workerapi.StateExited, workerapi.ReasonInUse
			}
		}
	}
	s.tasks[t.key] = t
}

func (s *State) sorted() []*task {
	list := slices.Collect(maps.Values(s.tasks))
	slices.SortFunc(list, func(a, b *task) int { return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.attempt, b.attempt)) })
	return list
}

func (s *State) describe(now time.Time, e *Effects) {
	for _, t := range s.sorted() {
		if t.state == workerapi.StateFetching && t.desc == nil && !t.asked && !now.Before(t.askAt) {
			t.asked = true
			e.Describe = append(e.Describe, Launch{Task: t.name, Attempt: t.attempt})
		}
	}
}

func (s *State) described(now time.Time, d Described, e *Effects) {
	t := s.tasks[key{d.Task, d.Attempt}]
	if t == nil || t.state != workerapi.StateFetching || t.desc != nil {
		return
	}
	t.asked = false
	exit := func(why workerapi.ExitReason) { t.state, t.why, s.changed = workerapi.StateExited, why, true }
	var desc Description
	switch {
	case d.Done:
		exit(workerapi.ReasonDone)
	case d.Status == 404:
		exit(workerapi.ReasonNotFound)
	case d.Status != 200:
		t.askAt = now.Add(describeAgain)
	case codec.Unmarshal(d.Body, &desc) != nil || len(desc.Command) == 0 || !inJob(d.Task, desc):
		exit(workerapi.ReasonNotFound)
	case !s.fits(t, desc):
		exit(workerapi.ReasonNoCapacity)
	default:
		t.desc, t.state = &desc, workerapi.StateRunning
		s.changed = true
		e.Launch = append(e.Launch, Launch{t.name, t.attempt, &desc})
	}
}

// inJob reports whether the job has such a task.
func inJob(name string, d Description) bool {
	job, num, _ := strings.Cut(name, "/")
	n := 0
	for _, r := range num {
		if r < '0' || r > '9' || n > 1e6 {
			return false
		}
		n = n*10 + int(r-'0')
	}
	return num != "" && job == d.Job && n < d.Tasks
}

const grain = 1e-6

func (s *State) fits(t *task, d Description) bool {
	cpus, mem := d.CPUs, d.MemGB
	for _, o := range s.tasks {
		if o != t && o.desc != nil && o.state != workerapi.StateExited {
			cpus += o.desc.CPUs
			mem += o.desc.MemGB
		}
	}
	return cpus <= s.opt.CPUs+grain && mem <= s.opt.MemGB+grain
}

// kill stops a task: with time to save if it can and gets it, else at once. Its place is free only
// when nothing of it is left.
func (s *State) kill(t *task, grace *float64, e *Effects) {
	switch t.state {
	case workerapi.StateFetching:
		t.state, t.why, s.changed = workerapi.StateExited, workerapi.ReasonStopped, true
	case workerapi.StateRunning, workerapi.StateCheckpointing:
		save := grace != nil && t.state == workerapi.StateRunning && !t.stopping && t.desc.Save > 0 && *grace >= t.desc.Save
		switch {
		case save:
			t.state, s.changed = workerapi.StateCheckpointing, true
			e.Stop = append(e.Stop, Stop{t.name, t.attempt, time.Duration(*grace * float64(time.Second))})
		case t.state == workerapi.StateCheckpointing && grace != nil && *grace > 0, t.stopping:
			return // it is being stopped already
		default:
			t.stopping = true
			e.Stop = append(e.Stop, Stop{t.name, t.attempt, 0})
		}
	}
}

func (s *State) ended(d Ended) {
	t := s.tasks[key{d.Task, d.Attempt}]
	if t == nil || t.state == workerapi.StateExited {
		return
	}
	s.changed = true
	saved := t.state == workerapi.StateCheckpointing && d.Saved
	t.state = workerapi.StateExited
	switch {
	case d.Halted:
		t.why, t.saved = workerapi.ReasonStopped, saved
	case d.Failed:
		t.why = workerapi.ReasonError
	default:
		t.why = workerapi.ReasonDone
	}
}
