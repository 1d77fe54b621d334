package emulator

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/simulator/workermessages"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/workerapi"
)

func cutQuery(target string) (path, query string, ok bool) { return strings.Cut(target, "?") }

// emulatedWorker is the worker of one machine.
type emulatedWorker struct {
	cloud     *Cloud
	id        string
	spot      bool
	startedAt time.Time
	server    *httpServer
	changes   chan struct{}
	stopped   chan struct{}

	mu             sync.Mutex
	rng            *rand.Rand
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64
	leaseRenewedAt time.Time
	tasks          map[string]*task
	isTerminated   bool
}

type task struct {
	key     jobs.TaskID
	attempt uint64
	state   workerapi.TaskState
	reason  workerapi.ExitReason
}

func newWorker(c *Cloud, id string, spot bool, rng *rand.Rand) (*emulatedWorker, error) {
	w := &emulatedWorker{
		cloud: c, id: id, spot: spot, startedAt: time.Now(), changes: make(chan struct{}, 1), stopped: make(chan struct{}), rng: rng,
		incarnation: 1, leaseRenewedAt: time.Now(), tasks: map[string]*task{},
	}
	var err error
	if w.server, err = serveHTTP(w.serveDirect); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// stop terminates the machine: when it returns, none of its tasks runs.
func (w *emulatedWorker) stop() {
	w.mu.Lock()
	if !w.isTerminated {
		w.isTerminated = true
		close(w.stopped)
		w.dropTasks()
	}
	w.mu.Unlock()
	w.server.close()
}

func (w *emulatedWorker) dropTasks() {
	for _, t := range w.tasks {
		w.cloud.History.taskStopped(t.key, w.id)
	}
	w.tasks = map[string]*task{}
}

func (w *emulatedWorker) checkLease() {
	if time.Since(w.leaseRenewedAt) > w.cloud.options.WorkerLease {
		w.dropTasks()
		w.incarnation++
		w.sequence = 0
		w.leaseRenewedAt = time.Now()
	}
}

func (w *emulatedWorker) heartbeat() workermessages.Heartbeat {
	w.sequence++
	r := workermessages.Heartbeat{
		Machine:      w.id,
		Addr:         w.server.addr(),
		Type:         w.cloud.machineType.Name,
		Zone:         "a",
		Spot:         w.spot,
		Incarnation:  w.incarnation,
		Sequence:     w.sequence,
		FencingToken: w.fencingToken,
		Tasks:        []workermessages.TaskStatus{},
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, workermessages.TaskStatus{Task: t.key.String(), Attempt: t.attempt, State: t.state, Reason: t.reason})
	}
	return r
}

// run sends heartbeats until the machine is terminated: at intervals, and when something has changed.
func (w *emulatedWorker) run() {
	var names []string
	for name := range w.cloud.options.Controllers {
		names = append(names, name)
	}
	slices.Sort(names)
	client := http1.NewClient(1, 1, http1.MaxBodyBytes)
	target := int(w.startedAt.UnixNano()) % len(names)
	for {
		w.mu.Lock()
		w.checkLease()
		heartbeat := w.heartbeat()
		w.mu.Unlock()
		raw, err := codec.Marshal(heartbeat)
		if err != nil {
			w.cloud.History.reportViolation("a heartbeat cannot be encoded: %v", err)
			return
		}
		sent := time.Now()
		msg, err := client.Do(w.cloud.options.Controllers[names[target]], "POST", "/v1/report", raw, 4*time.Second)
		pause := w.cloud.options.HeartbeatInterval
		switch {
		case err == nil && msg.Status == http.StatusOK:
			w.takeResponse(msg.Body, heartbeat.Incarnation, sent)
		case err == nil && msg.Status == http.StatusMisdirectedRequest:
			target, pause = w.redirect(msg.Body, names, target)
		default:
			target = (target + 1) % len(names)
			pause = w.cloud.options.HeartbeatInterval / 2
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(pause):
		case <-w.changes:
			select {
			case <-w.stopped:
				return
			case <-time.After(min(pause, 50*time.Millisecond)):
			}
		}
	}
}

// redirectPause is how long a worker waits before it reports to the leader that it was redirected to.
const redirectPause = 20 * time.Millisecond

// redirect returns the controller to report to after a redirect, and how long to wait before: the leader at once, or the next
// controller if the response names none, an unknown one or the same.
func (w *emulatedWorker) redirect(body []byte, names []string, target int) (next int, pause time.Duration) {
	var redirect workerapi.Redirect
	next = -1
	if codec.Unmarshal(body, &redirect) == nil {
		next = slices.Index(names, redirect.Leader)
	}
	if next < 0 || next == target {
		return (target + 1) % len(names), w.cloud.options.HeartbeatInterval / 2
	}
	return next, redirectPause
}

func (w *emulatedWorker) signalChange() {
	select {
	case w.changes <- struct{}{}:
	default:
	}
}

func (w *emulatedWorker) takeResponse(body []byte, session uint64, sent time.Time) {
	var response workermessages.HeartbeatResponse
	if codec.Unmarshal(body, &response) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if w.isTerminated || response.FencingToken < w.fencingToken || session != w.incarnation {
		return
	}
	if response.FencingToken > w.fencingToken {
		w.fencingToken = response.FencingToken
		w.signalChange()
	}
	w.leaseRenewedAt = sent
	w.execute(response.Commands)
}

func (w *emulatedWorker) serveDirect(request *http1.Message) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if request.Target == "/status" {
		return http.StatusOK, w.heartbeat()
	}
	var commands workermessages.DirectCommands
	if codec.Unmarshal(request.Body, &commands) != nil {
		return http.StatusBadRequest, nil
	}
	if w.isTerminated || commands.FencingToken < w.fencingToken || commands.Incarnation != w.incarnation {
		return http.StatusConflict, w.heartbeat()
	}
	w.fencingToken = commands.FencingToken
	w.execute(commands.Commands)
	return http.StatusOK, w.heartbeat()
}

func (w *emulatedWorker) execute(list []workermessages.Command) {
	for _, command := range list {
		key, err := jobs.ParseTaskID(command.Task)
		if err != nil {
			w.cloud.History.reportViolation("a command for %q", command.Task)
			continue
		}
		started := w.tasks[command.Task]
		switch {
		case command.Operation == "start" && (started == nil || started.attempt != command.Attempt):
			if started != nil && started.state != workerapi.StateExited {
				w.cloud.History.reportViolation("%s is started on %s, which has it", command.Task, w.id)
				continue
			}
			started = &task{key: key, attempt: command.Attempt, state: workerapi.StateRunning}
			w.tasks[command.Task] = started
			w.cloud.History.taskStarted(key, command.Attempt, w.id)
			w.signalChange()
			time.AfterFunc(
				time.Millisecond*time.Duration(10+w.rng.IntN(int(w.cloud.options.MaxRunTime.Milliseconds()))),
				func() { w.finish(started) },
			)
		case command.Operation == "kill" && started != nil && started.attempt == command.Attempt && started.state != workerapi.StateExited:
			started.state, started.reason = workerapi.StateExited, "halted"
			w.cloud.History.taskStopped(key, w.id)
			w.signalChange()
		case command.Operation == "forget" && started != nil && started.attempt == command.Attempt && started.state == workerapi.StateExited:
			if started.reason == workerapi.ReasonDone {
				w.cloud.History.resultForgotten(key)
			}
			delete(w.tasks, command.Task)
		}
	}
}

func (w *emulatedWorker) finish(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isTerminated || w.tasks[t.key.String()] != t || t.state != workerapi.StateRunning {
		return
	}
	t.state, t.reason = workerapi.StateExited, workerapi.ReasonDone
	w.cloud.History.taskCompleted(t.key)
	w.cloud.History.taskStopped(t.key, w.id)
	w.signalChange()
}
