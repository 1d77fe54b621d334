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

// emulatedWorker is the worker of one machine. It runs no processes: a task ends after a random time.
type emulatedWorker struct {
	cloud     *Cloud
	id        string
	spot      bool
	startedAt time.Time
	server    *httpServer
	changed   chan struct{} // signals that the next heartbeat should be sent soon
	stopped   chan struct{} // closed when the machine is terminated

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
	id      jobs.TaskID
	attempt uint64
	state   workerapi.TaskState
	reason  workerapi.ExitReason
}

func newWorker(c *Cloud, id string, spot bool, rng *rand.Rand) (*emulatedWorker, error) {
	w := &emulatedWorker{
		cloud: c, id: id, spot: spot, startedAt: time.Now(), changed: make(chan struct{}, 1), stopped: make(chan struct{}), rng: rng,
		incarnation: 1, leaseRenewedAt: time.Now(), tasks: map[string]*task{},
	}
	var err error
	if w.server, err = serveHTTP(w.serveDirect); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// stop terminates the machine. When it returns, none of its tasks runs.
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
		w.cloud.History.taskStopped(t.id, w.id)
	}
	w.tasks = map[string]*task{}
}

func (w *emulatedWorker) endIncarnationIfLeaseExpired() {
	if time.Since(w.leaseRenewedAt) > w.cloud.options.WorkerLease {
		w.dropTasks()
		w.incarnation++
		w.sequence = 0
		w.leaseRenewedAt = time.Now()
	}
}

func (w *emulatedWorker) heartbeat() workermessages.Heartbeat {
	w.sequence++
	heartbeat := workermessages.Heartbeat{
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
		heartbeat.Tasks = append(heartbeat.Tasks, workermessages.TaskStatus{
			Task: t.id.String(), Attempt: t.attempt, State: t.state, Reason: t.reason,
		})
	}
	return heartbeat
}

// run sends heartbeats at intervals and after changes, until the machine is terminated.
func (w *emulatedWorker) run() {
	var names []string
	for name := range w.cloud.options.Controllers {
		names = append(names, name)
	}
	slices.Sort(names)
	client := http1.NewClient(1, 1, http1.MaxBodyBytes)
	index := int(w.startedAt.UnixNano()) % len(names)
	for {
		w.mu.Lock()
		w.endIncarnationIfLeaseExpired()
		heartbeat := w.heartbeat()
		w.mu.Unlock()
		raw, err := codec.Marshal(heartbeat)
		if err != nil {
			w.cloud.History.reportViolation("encode a heartbeat: %v", err)
			return
		}
		sentAt := time.Now()
		response, err := client.Do(w.cloud.options.Controllers[names[index]], "POST", "/v1/report", raw, 4*time.Second)
		pause := w.cloud.options.HeartbeatInterval
		switch {
		case err == nil && response.Status == http.StatusOK:
			w.handleResponse(response.Body, heartbeat.Incarnation, sentAt)
		case err == nil && response.Status == http.StatusMisdirectedRequest:
			index, pause = w.redirect(response.Body, names, index)
		default:
			index = (index + 1) % len(names)
			pause = w.cloud.options.HeartbeatInterval / 2
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(pause):
		case <-w.changed:
			select {
			case <-w.stopped:
				return
			case <-time.After(min(pause, 50*time.Millisecond)):
			}
		}
	}
}

// redirectPause is the delay of the heartbeat to the leader after a redirect.
const redirectPause = 20 * time.Millisecond

// redirect returns the index in names of the controller that gets the next heartbeat after a redirect, and the delay until
// then. This is the leader that the response names. If it names none, an unknown one or the redirecting controller itself, it
// is the next controller in the list.
func (w *emulatedWorker) redirect(body []byte, names []string, index int) (next int, pause time.Duration) {
	var redirect workerapi.Redirect
	next = -1
	if codec.Unmarshal(body, &redirect) == nil {
		next = slices.Index(names, redirect.Leader)
	}
	if next < 0 || next == index {
		return (index + 1) % len(names), w.cloud.options.HeartbeatInterval / 2
	}
	return next, redirectPause
}

func (w *emulatedWorker) signalChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *emulatedWorker) handleResponse(body []byte, incarnation uint64, sentAt time.Time) {
	var response workermessages.HeartbeatResponse
	if codec.Unmarshal(body, &response) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endIncarnationIfLeaseExpired()
	if w.isTerminated || response.FencingToken < w.fencingToken || incarnation != w.incarnation {
		return
	}
	if response.FencingToken > w.fencingToken {
		w.fencingToken = response.FencingToken
		w.signalChange()
	}
	w.leaseRenewedAt = sentAt
	w.execute(response.Commands)
}

func (w *emulatedWorker) serveDirect(request *http1.Message) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endIncarnationIfLeaseExpired()
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

func (w *emulatedWorker) execute(commands []workermessages.Command) {
	for _, command := range commands {
		taskID, err := jobs.ParseTaskID(command.Task)
		if err != nil {
			w.cloud.History.reportViolation("command for task %q: invalid task ID", command.Task)
			continue
		}
		current := w.tasks[command.Task]
		switch {
		case command.Operation == "start" && (current == nil || current.attempt != command.Attempt):
			if current != nil && current.state != workerapi.StateExited {
				w.cloud.History.reportViolation("%s is started on %s, where it already runs", command.Task, w.id)
				continue
			}
			current = &task{id: taskID, attempt: command.Attempt, state: workerapi.StateRunning}
			w.tasks[command.Task] = current
			w.cloud.History.taskStarted(taskID, command.Attempt, w.id)
			w.signalChange()
			time.AfterFunc(
				time.Millisecond*time.Duration(10+w.rng.IntN(int(w.cloud.options.MaxRunTime.Milliseconds()))),
				func() { w.finish(current) },
			)
		case command.Operation == "kill" && current != nil && current.attempt == command.Attempt && current.state != workerapi.StateExited:
			current.state, current.reason = workerapi.StateExited, "halted"
			w.cloud.History.taskStopped(taskID, w.id)
			w.signalChange()
		case command.Operation == "forget" && current != nil && current.attempt == command.Attempt && current.state == workerapi.StateExited:
			if current.reason == workerapi.ReasonDone {
				w.cloud.History.resultForgotten(taskID)
			}
			delete(w.tasks, command.Task)
		}
	}
}

func (w *emulatedWorker) finish(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isTerminated || w.tasks[t.id.String()] != t || t.state != workerapi.StateRunning {
		return
	}
	t.state, t.reason = workerapi.StateExited, workerapi.ReasonDone
	w.cloud.History.taskCompleted(t.id)
	w.cloud.History.taskStopped(t.id, w.id)
	w.signalChange()
}
