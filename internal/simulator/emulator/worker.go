package emulator

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/workerapi"
)

func cutQuery(target string) (path, query string, ok bool) { return strings.Cut(target, "?") }

// emulatedWorker is one machine's.
type emulatedWorker struct {
	cloud *Cloud
	id    string
	spot  bool
	born  time.Time
	front *front
	wake  chan struct{}
	ended chan struct{}

	mu      sync.Mutex
	rng     *rand.Rand
	session uint64
	seq     uint64
	token   uint64
	granted time.Time
	tasks   map[string]*task
	gone    bool
}

type task struct {
	key     jobs.TaskID
	attempt uint64
	state   workerapi.TaskState
	why     workerapi.ExitReason
}

func newWorker(c *Cloud, id string, spot bool, rng *rand.Rand) (*emulatedWorker, error) {
	w := &emulatedWorker{
		cloud: c, id: id, spot: spot, born: time.Now(), wake: make(chan struct{}, 1), ended: make(chan struct{}), rng: rng,
		session: 1, granted: time.Now(), tasks: map[string]*task{},
	}
	var err error
	if w.front, err = serveFront(w.direct); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// stop ends the machine for certain: when it returns, nothing of it runs.
func (w *emulatedWorker) stop() {
	w.mu.Lock()
	if !w.gone {
		w.gone = true
		close(w.ended)
		w.clear()
	}
	w.mu.Unlock()
	w.front.close()
}

func (w *emulatedWorker) clear() {
	for _, t := range w.tasks {
		w.cloud.History.off(t.key, w.id)
	}
	w.tasks = map[string]*task{}
}

func (w *emulatedWorker) checkLease() {
	if time.Since(w.granted) > w.cloud.opt.Lease {
		w.clear()
		w.session++
		w.seq = 0
		w.granted = time.Now()
	}
}

func (w *emulatedWorker) report() workerapi.Heartbeat {
	w.seq++
	r := workerapi.Heartbeat{
		Machine: w.id, Addr: w.front.addr(), Type: w.cloud.flavor.Name, Zone: "a", Spot: w.spot, Incarnation: w.session, Sequence: w.seq,
		FencingToken: w.token, Tasks: []workerapi.TaskStatus{},
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, workerapi.TaskStatus{Task: t.key.String(), Attempt: t.attempt, State: t.state, Reason: t.why})
	}
	return r
}

// run reports until the machine is gone: every so often, and when something has changed.
func (w *emulatedWorker) run() {
	var names []string
	for name := range w.cloud.opt.Controllers {
		names = append(names, name)
	}
	slices.Sort(names)
	client := http1.NewClient(1, 1, http1.MaxBodyBytes)
	at := int(w.born.UnixNano()) % len(names)
	for {
		w.mu.Lock()
		w.checkLease()
		rep := w.report()
		w.mu.Unlock()
		raw, err := codec.Marshal(rep)
		if err != nil {
			w.cloud.History.broke("a report cannot be encoded: %v", err)
			return
		}
		sent := time.Now()
		msg, err := client.Do(w.cloud.opt.Controllers[names[at]], "POST", "/v1/report", raw, 4*time.Second)
		pause := w.cloud.opt.Report
		switch {
		case err == nil && msg.Status == 200:
			w.take(msg.Body, rep.Incarnation, sent)
		case err == nil && msg.Status == 421:
			var e workerapi.Redirect
			next := -1
			if codec.Unmarshal(msg.Body, &e) == nil {
				next = slices.Index(names, e.Leader)
			}
			if next < 0 || next == at {
				next, pause = (at+1)%len(names), w.cloud.opt.Report/2
			} else {
				pause = 20 * time.Millisecond
			}
			at = next
		default:
			at = (at + 1) % len(names)
			pause = w.cloud.opt.Report / 2
		}
		select {
		case <-w.ended:
			return
		case <-time.After(pause):
		case <-w.wake:
			select {
			case <-w.ended:
				return
			case <-time.After(min(pause, 50*time.Millisecond)):
			}
		}
	}
}

func (w *emulatedWorker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *emulatedWorker) take(body []byte, session uint64, sent time.Time) {
	var a workerapi.HeartbeatResponse
	if codec.Unmarshal(body, &a) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if w.gone || a.FencingToken < w.token || session != w.session {
		return
	}
	if a.FencingToken > w.token {
		w.token = a.FencingToken
		w.changed()
	}
	w.granted = sent
	w.execute(a.Commands)
}

func (w *emulatedWorker) direct(m *http1.Message) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if m.Target == "/status" {
		return 200, w.report()
	}
	var d workerapi.DirectCommands
	if codec.Unmarshal(m.Body, &d) != nil {
		return 400, nil
	}
	if w.gone || d.FencingToken < w.token || d.Incarnation != w.session {
		return 409, w.report()
	}
	w.token = d.FencingToken
	w.execute(d.Commands)
	return 200, w.report()
}

func (w *emulatedWorker) execute(list []workerapi.Command) {
	for _, c := range list {
		key, err := jobs.ParseTaskID(c.Task)
		if err != nil {
			w.cloud.History.broke("a command for %q", c.Task)
			continue
		}
		t := w.tasks[c.Task]
		switch {
		case c.Operation == "start" && (t == nil || t.attempt != c.Attempt):
			if t != nil && t.state != workerapi.StateExited {
				w.cloud.History.broke("%s is started on %s, which has it", c.Task, w.id)
				continue
			}
			t = &task{key: key, attempt: c.Attempt, state: workerapi.StateRunning}
			w.tasks[c.Task] = t
			w.cloud.History.on(key, c.Attempt, w.id)
			w.changed()
			time.AfterFunc(time.Millisecond*time.Duration(10+w.rng.IntN(int(w.cloud.opt.TaskTime.Milliseconds()))), func() { w.finish(t) })
		case c.Operation == "kill" && t != nil && t.attempt == c.Attempt && t.state != workerapi.StateExited:
			t.state, t.why = workerapi.StateExited, "halted"
			w.cloud.History.off(key, w.id)
			w.changed()
		case c.Operation == "forget" && t != nil && t.attempt == c.Attempt && t.state == workerapi.StateExited:
			if t.why == workerapi.ReasonDone {
				w.cloud.History.forgotten(key)
			}
			delete(w.tasks, c.Task)
		}
	}
}

func (w *emulatedWorker) finish(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.tasks[t.key.String()] != t || t.state != workerapi.StateRunning {
		return
	}
	t.state, t.why = workerapi.StateExited, workerapi.ReasonDone
	w.cloud.History.finished(t.key)
	w.cloud.History.off(t.key, w.id)
	w.changed()
}
