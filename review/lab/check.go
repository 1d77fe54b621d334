package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Final states of a job in answers.
const (
	trimDone      = "done"
	trimCancelled = "cancelled"
)

// job is a job as its user submitted it, with what its user was told.
type job struct {
	id, crew, image string
	tasks           int
	cpus, mem       float64
	imageGB         float64
	run             time.Duration // of each task
	service         bool
	fails           bool // every attempt ends with an error
	errors          int  // number of attempts that still end with an error
	oneZone, spread bool
	spot            bool
	zone            string
	keels, tows     []string
	saves, tieup    float64

	accepted    time.Time // first answer that it is accepted
	cancelAsked bool
	called      string // final state that its user was told first
	calledAt    time.Time
	cancelled   time.Time // first answer that it is cancelled
	orphanFrom  time.Time // its user was told that a job before it is cancelled
	starts      int
	doneCount   int
	lastDone    time.Time // when its last task completed
	isLate      bool      // a task was found too long after the cancellation
}

// place is a task that is on a machine.
type place struct {
	machine *machine
	since   time.Time
}

// check judges the rules of PROTOCOL by what users, workers and the cloud see.
type check struct {
	lab    *lab
	mu     sync.Mutex
	jobs   map[string]*job
	places map[string]place
	done   map[string]bool
	left   map[string]time.Duration
	limits map[string]float64
	broken []string
	starts int
}

func newCheck(l *lab) *check {
	return &check{
		lab: l, jobs: map[string]*job{}, places: map[string]place{}, done: map[string]bool{},
		left: map[string]time.Duration{}, limits: map[string]float64{},
	}
}

func (c *check) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.lab.note("BROKEN", "%s", text)
}

func (c *check) allBroken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.broken...)
}

func jobID(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

func (c *check) jobOf(task string) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[jobID(task)]
}

func (c *check) isDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[task]
}

// onMachines returns how many tasks of the job are on a machine. The caller holds the lock.
func (c *check) onMachines(j *job) int {
	count := 0
	for task := range c.places {
		if c.jobs[jobID(task)] == j {
			count++
		}
	}
	return count
}

func (c *check) startsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].starts
}

// takeError reports whether this attempt of the job ends with an error.
func (c *check) takeError(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.errors == 0 {
		return false
	}
	j.errors--
	return true
}

func (c *check) remaining(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left, ok := c.left[task]; ok {
		return left
	}
	return c.jobs[jobID(task)].run
}

func (c *check) started(task string, m *machine, launch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobID(task)]
	for other, p := range c.places {
		if p.machine.isLeaseOver() {
			delete(c.places, other) // the machine hangs
		}
	}
	c.starts++
	j.starts++
	c.lab.note("start", "%s launch %d on %s", task, launch, m.id)
	if p, ok := c.places[task]; ok && p.machine != m {
		c.breaks("ran_twice", "%s starts on %s while it is on %s since %.1f s", task, m.id, p.machine.id, time.Since(p.since).Seconds())
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > c.lab.cancel {
		c.breaks("ran_cancelled", "%s starts %.1f s after its user was told", task, time.Since(j.cancelled).Seconds())
	}
	for _, id := range j.tows {
		if o := c.jobs[id]; o.doneCount < o.tasks {
			c.breaks("too_early", "%s starts before %s is done", task, id)
		}
	}
	c.places[task] = place{m, time.Now()}
	c.judgePlace(task, j, m)
}

// judgePlace judges whether a task that has started may be on its machine.
func (c *check) judgePlace(task string, j *job, m *machine) {
	wrongKeel := len(j.keels) > 0 && !contains(j.keels, m.keel.name)
	if j.zone != "" && j.zone != m.zone || m.spot && !j.spot || wrongKeel {
		c.breaks("wrong_place", "%s on %s %s %v", task, m.keel.name, m.zone, m.spot)
	}
	inZone, others, used := 0, 0, 0.0
	for t, p := range c.places {
		o := c.jobs[jobID(t)]
		if o.crew == j.crew {
			used += o.cpus
		}
		if o == j && p.machine.zone == m.zone {
			inZone++
		} else if o == j {
			others++
		}
	}
	if j.oneZone && others > 0 || j.spread && inZone > (j.tasks+1)/2 {
		c.breaks("wrong_place", "%s in %s: %d tasks there, %d elsewhere", task, m.zone, inZone, others)
	}
	if limit := c.limits[j.crew]; limit > 0 && used > limit+1e-6 {
		c.breaks("quota", "%s uses %.1f of %.1f", j.crew, used, limit)
	}
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

func (c *check) ended(task, machine, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.places[task]
	if !ok || p.machine.id != machine {
		return
	}
	delete(c.places, task)
	c.lab.note("end", "%s on %s: %s", task, machine, why)
	if why == "saved" {
		left, ok := c.left[task]
		if !ok {
			left = c.jobs[jobID(task)].run
		}
		c.left[task] = max(left-time.Since(p.since), 100*time.Millisecond)
	}
}

func (c *check) completed(task, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places[task].machine != nil && c.places[task].machine.id == machine {
		delete(c.places, task)
	}
	c.lab.note("done", "%s on %s", task, machine)
	if c.done[task] {
		return
	}
	c.done[task] = true
	j := c.jobs[jobID(task)]
	j.doneCount++
	if j.doneCount == j.tasks {
		j.lastDone = time.Now()
	}
}

// answered judges an answer about a job. sent is when the request was sent: an answer may be older than one that came after that.
func (c *check) answered(id string, status int, trim string, sent time.Time, isPost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	isAccepted := status == http.StatusOK || status == http.StatusCreated
	if j == nil {
		if isAccepted {
			c.breaks("invented", "%s is %s", id, trim)
		}
		return
	}
	if isAccepted {
		c.judgeState(j, trim, sent)
		return
	}
	if j.accepted.IsZero() || !j.accepted.Before(sent) {
		return
	}
	isRefused := status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
	if status == http.StatusNotFound || isPost && isRefused {
		c.breaks("forgotten", "%s gets %d", id, status)
	}
}

// judgeState judges the state of a job in an answer.
func (c *check) judgeState(j *job, trim string, sent time.Time) {
	if j.accepted.IsZero() {
		j.accepted = time.Now()
	}
	if trim == trimDone && j.doneCount < j.tasks {
		c.breaks("not_done", "%s is called done with %d of %d", j.id, j.doneCount, j.tasks)
	}
	if trim == trimCancelled && !j.cancelAsked && j.orphanFrom.IsZero() && !c.cancelledBefore(j) {
		c.breaks("went_back", "%s is called cancelled, its user did not cancel it", j.id)
	}
	if j.called != "" && trim != j.called && j.calledAt.Before(sent) {
		c.breaks("went_back", "%s was called %s and is called %s", j.id, j.called, trim)
	}
	if !j.orphanFrom.IsZero() && trim != trimCancelled && sent.Sub(j.orphanFrom) > c.lab.cancel {
		c.breaks("orphaned", "%s is called %s", j.id, trim)
	}
	if j.called == "" && (trim == trimDone || trim == trimCancelled) {
		j.called, j.calledAt = trim, time.Now()
		if trim == trimCancelled {
			j.cancelled = j.calledAt
			c.markOrphans(j)
		}
	}
}

func (c *check) cancelledBefore(j *job) bool {
	for _, id := range j.tows {
		if o := c.jobs[id]; o != nil && (o.cancelAsked || c.cancelledBefore(o)) {
			return true
		}
	}
	return false
}

func (c *check) markOrphans(j *job) {
	for _, o := range c.jobs {
		if contains(o.tows, j.id) && o.orphanFrom.IsZero() {
			o.orphanFrom = time.Now()
			c.markOrphans(o)
		}
	}
}

// watch judges the rules that time decides.
func (c *check) watch() {
	for range time.Tick(100 * time.Millisecond) {
		c.mu.Lock()
		for task, p := range c.places {
			j := c.jobs[jobID(task)]
			over := time.Since(j.cancelled) - c.lab.cancel
			if !p.machine.isLeaseOver() && !j.cancelled.IsZero() && over > 100*time.Millisecond && !j.isLate {
				j.isLate = true
				c.breaks("ran_cancelled", "%s is on %s %.1f s after its user was told", task, p.machine.id, time.Since(j.cancelled).Seconds())
			}
		}
		c.mu.Unlock()
	}
}
