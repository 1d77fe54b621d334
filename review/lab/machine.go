package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gullrudder/internal/wire/codec"
)

// stroke is an attempt on a machine.
type stroke struct {
	task   string
	launch uint64
	trim   string // fetching, running, flushing, exited
	wake   string
	saved  bool
	epoch  int // incremented when a timer of the stroke becomes void
}

// machine is a stand-in for a machine with its worker.
type machine struct {
	lab      *lab
	id, addr string
	keel     *machineType
	zone     string
	spot     bool
	rentedAt time.Time
	client   *http.Client
	links    []*link // to the controllers
	inbound  *link   // from the controllers
	leaseEnd atomic.Int64

	mu        sync.Mutex
	watch     uint64
	knot      uint64
	helm      uint64
	leaseFrom time.Time
	strokes   []*stroke
	images    map[string]bool
	dead      bool
	changed   bool
	helmAt    time.Time
	target    int
	hungUntil time.Time
	recallAt  time.Time
	deafUntil time.Time
}

func newMachine(l *lab, id string, keel *machineType, zone string, spot bool) *machine {
	m := &machine{
		lab: l, id: id, keel: keel, zone: zone, spot: spot, rentedAt: time.Now(), watch: 1,
		images: map[string]bool{}, target: rand.IntN(len(l.nodes)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	m.renew(time.Now())
	m.inbound = newLink(serveHTTP(m))
	m.addr = m.inbound.addr
	for _, n := range l.nodes {
		m.links = append(m.links, newLink(n.public))
	}
	go m.run()
	return m
}

func (m *machine) die() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead = true
	m.clear("machine gone")
	m.inbound.reset(true)
	for _, l := range m.links {
		l.reset(true)
	}
}

// hang stops the machine for a time. At any time within its lease it goes on.
func (m *machine) hang(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hungUntil = time.Now().Add(d)
}

func (m *machine) clear(why string) {
	for _, s := range m.strokes {
		s.epoch++
		if s.trim == "running" || s.trim == "flushing" {
			m.lab.check.ended(s.task, m.id, why)
		}
	}
	m.strokes = nil
}

// renew lets the lease begin at a time.
func (m *machine) renew(from time.Time) {
	m.leaseFrom = from
	m.leaseEnd.Store(from.Add(m.lab.lease).UnixNano())
}

// isLeaseOver reports whether the lease is over. A machine that hangs then does not execute its tasks any more, and kills them as it
// goes on.
func (m *machine) isLeaseOver() bool { return time.Now().UnixNano() > m.leaseEnd.Load() }

func (m *machine) expire() {
	if time.Since(m.leaseFrom) > m.lab.lease {
		m.clear("lease over")
		m.watch++
		m.renew(time.Now())
		m.changed = true
	}
}

func (m *machine) report() codec.Object {
	m.knot++
	var recall any
	if !m.recallAt.IsZero() {
		recall = max(time.Until(m.recallAt).Seconds(), 0)
	}
	strokes := []any{}
	for _, s := range m.strokes {
		o := map[string]any{"stroke": s.task, "launch": s.launch, "trim": s.trim}
		if s.trim == "exited" {
			o["wake"] = s.wake
			if s.saved {
				o["saved"] = true
			}
		}
		strokes = append(strokes, o)
	}
	return codec.Object{
		"oarlock": m.id, "addr": m.addr, "keel": m.keel.name, "harbour": m.zone, "driftwood": m.spot,
		"watch": m.watch, "knot": m.knot, "helm": m.helm, "recall_s": recall, "strokes": strokes,
	}
}

// running returns the tasks that are on the machine.
func (m *machine) running() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, s := range m.strokes {
		list = append(list, s.task+" "+s.trim)
	}
	return list
}

func (m *machine) isHung() bool { return time.Now().Before(m.hungUntil) }

func (m *machine) run() {
	next := time.Now()
	lastSent := time.Time{}
	for range time.Tick(20 * time.Millisecond) {
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		if m.isHung() {
			m.mu.Unlock()
			continue
		}
		m.expire()
		due := time.Now().After(next) || m.changed && time.Since(lastSent) >= 500*time.Millisecond
		if !due || time.Since(lastSent) < 500*time.Millisecond {
			m.mu.Unlock()
			continue
		}
		m.changed = false
		report, sentAt, watch, target := m.report(), time.Now(), m.watch, m.target
		m.mu.Unlock()
		lastSent = sentAt
		if m.lab.copies && rand.IntN(4) == 0 {
			go func() {
				time.Sleep(time.Duration(100+rand.IntN(20000)) * time.Millisecond)
				n := m.lab.nodes[rand.IntN(len(m.lab.nodes))]
				call(http.DefaultClient, 4*time.Second, http.MethodPost, "http://"+n.public+"/v1/report", report)
			}()
		}
		status, answer, _ := call(m.client, 4*time.Second, http.MethodPost, "http://"+m.links[target].addr+"/v1/report", report)
		if status != 200 {
			raw, _ := json.Marshal(report)
			strokes, _ := report["strokes"].([]any)
			m.lab.note("report", "%s watch %d, %d strokes, %d bytes as JSON, at %s: status %d %v",
				m.id, watch, len(strokes), len(raw), m.lab.nodes[target].name, status, answer["flagship"])
		}
		m.mu.Lock()
		for m.isHung() {
			m.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			m.mu.Lock()
		}
		if time.Now().Before(m.deafUntil) {
			status = 0
		}
		next = m.handle(status, answer, sentAt, watch)
		m.mu.Unlock()
	}
}

func (m *machine) handle(status int, answer codec.Object, sentAt time.Time, watch uint64) time.Time {
	if m.dead {
		return time.Now()
	}
	m.expire()
	interval := time.Duration(float64(m.lab.report) * (0.75 + 0.5*rand.Float64()))
	switch status {
	case 200:
		helm, ok := answer["helm"]
		if watch == m.watch && ok && number(helm) >= m.helm && time.Since(sentAt) < 4*time.Second {
			m.raise(number(helm))
			m.renew(sentAt)
			m.execute(answer["calls"])
		}
		return sentAt.Add(interval)
	case 421:
		for i, n := range m.lab.nodes {
			if n.name == answer["flagship"] && i != m.target {
				m.target = i
				return time.Now()
			}
		}
	}
	m.target = (m.target + 1) % len(m.lab.nodes)
	m.changed = false
	return time.Now().Add(time.Second)
}

func (m *machine) raise(helm uint64) {
	if helm > m.helm {
		m.helm = helm
		if time.Since(m.helmAt) > m.lab.lease/2 {
			m.helmAt, m.changed = time.Now(), true
		}
	}
}

// ServeHTTP serves the requests to the machine's own address.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	m.mu.Lock()
	for m.isHung() && !m.dead {
		m.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.dead {
		hang(w)
		return
	}
	m.expire()
	if time.Now().Before(m.deafUntil) {
		hang(w)
		return
	}
	if r.URL.Path == "/status" {
		respond(w, 200, m.report())
		return
	}
	helm, hasHelm := body["helm"]
	watch, hasWatch := body["watch"]
	switch {
	case !hasHelm || !hasWatch:
		respond(w, 400, codec.Object{})
	case number(helm) < m.helm || number(watch) != m.watch:
		respond(w, 409, m.report())
	default:
		m.raise(number(helm))
		m.execute(body["calls"])
		respond(w, 200, m.report())
	}
}

func (m *machine) execute(calls any) {
	list, _ := calls.([]any)
	for _, item := range list {
		c := item.(map[string]any)
		task, _ := c["stroke"].(string)
		launch := number(c["launch"])
		var found *stroke
		for _, s := range m.strokes {
			if s.task == task && s.launch == launch {
				found = s
			}
		}
		switch {
		case c["call"] == "start" && found == nil:
			m.start(task, launch)
		case c["call"] == "kill" && found != nil:
			m.kill(found, float(c["ease_s"]))
		case c["call"] == "forget" && found != nil && found.trim == "exited":
			for i, s := range m.strokes {
				if s == found {
					m.strokes = append(m.strokes[:i], m.strokes[i+1:]...)
					break
				}
			}
		}
	}
}

func (m *machine) start(task string, launch uint64) {
	s := &stroke{task: task, launch: launch, trim: "exited"}
	m.changed = true
	m.strokes = append(m.strokes, s)
	job := m.lab.check.jobOf(task)
	if job == nil {
		s.wake = "no_such"
		return
	}
	cpus, mem := 0.0, 0.0
	for _, other := range m.strokes {
		if other != s && other.trim != "exited" {
			if other.task == task {
				s.wake = "in_use"
				return
			}
			if o := m.lab.check.jobOf(other.task); o != nil {
				cpus += o.cpus
				mem += o.mem
			}
		}
	}
	if cpus+job.cpus > m.keel.cpus+1e-6 || mem+job.mem > m.keel.mem+1e-6 {
		s.wake = "no_room"
		return
	}
	s.trim = "fetching"
	delay := time.Millisecond
	if !m.images[job.image] {
		delay = time.Duration(job.imageGB * float64(time.Second))
	}
	m.after(s, delay, func() {
		m.images[job.image] = true
		m.begin(s, job)
	})
}

func (m *machine) begin(s *stroke, job *job) {
	m.changed = true
	if m.lab.check.isDone(s.task) {
		s.trim, s.wake = "exited", "done"
		return
	}
	s.trim = "running"
	m.lab.check.started(s.task, m, s.launch)
	if job.fails || m.lab.check.takeError(job) {
		m.after(s, 200*time.Millisecond, func() {
			s.trim, s.wake, m.changed = "exited", "error", true
			m.lab.check.ended(s.task, m.id, "error")
		})
		return
	}
	if job.service {
		return
	}
	m.after(s, m.lab.check.remaining(s.task), func() {
		s.trim, s.wake, m.changed = "exited", "done", true
		m.lab.check.completed(s.task, m.id)
	})
}

// after runs f after a time in which the machine does not hang, unless the stroke was stopped.
func (m *machine) after(s *stroke, d time.Duration, f func()) {
	epoch := s.epoch
	time.AfterFunc(d, func() {
		m.mu.Lock()
		for m.isHung() && !m.dead {
			m.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			m.mu.Lock()
		}
		defer m.mu.Unlock()
		if m.dead {
			return
		}
		m.expire()
		if s.epoch == epoch {
			f()
		}
	})
}

func (m *machine) kill(s *stroke, ease float64) {
	job := m.lab.check.jobOf(s.task)
	switch {
	case s.trim == "exited":
	case s.trim == "running" && job != nil && job.saves > 0 && ease >= job.tieup:
		s.trim, m.changed = "flushing", true
		s.epoch++
		m.after(s, time.Duration(job.tieup*float64(time.Second)), func() {
			s.trim, s.wake, s.saved, m.changed = "exited", "halted", true, true
			m.lab.check.ended(s.task, m.id, "saved")
		})
	case s.trim == "flushing" && ease > 0:
	default:
		s.epoch++
		if s.trim != "fetching" {
			m.lab.check.ended(s.task, m.id, "killed")
		}
		s.trim, s.wake, m.changed = "exited", "halted", true
	}
}
