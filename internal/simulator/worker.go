package simulator

import (
	"net/http"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/simulator/workermessages"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// heartbeatLoop sends heartbeats at intervals of 3/4 to 5/4 of the heartbeat interval until the machine reboots.
func (m *machine) heartbeatLoop(bootCount int) {
	m.whenNotHung(func() {
		if m.bootCount != bootCount {
			return
		}
		m.endIncarnationIfLeaseExpired()
		m.sendIfIdle()
		interval := m.sim.Options.HeartbeatInterval
		m.sim.At(interval*3/4+time.Duration(m.sim.Rand.Int64N(int64(interval/2))), func() { m.heartbeatLoop(bootCount) })
	})
}

// heartbeatSoon sends a heartbeat 500 ms after a change, as a real worker does.
func (m *machine) heartbeatSoon() {
	m.sim.At(500*time.Millisecond, func() { m.whenNotHung(m.sendIfIdle) })
}

// heartbeat returns a heartbeat with the worker's current status.
func (m *machine) heartbeat() workermessages.Heartbeat {
	heartbeat := workermessages.Heartbeat{
		Machine: m.id, Addr: m.id, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []workermessages.TaskStatus{},
	}
	if !m.reclaimAt.IsZero() {
		remaining := m.reclaimAt.Sub(m.sim.Now).Seconds()
		heartbeat.ReclaimInSeconds = &remaining
	}
	for _, name := range m.taskNames() {
		task := m.tasks[name]
		heartbeat.Tasks = append(heartbeat.Tasks, workermessages.TaskStatus{
			Task:            task.id.String(),
			Attempt:         task.attempt,
			State:           task.state,
			Reason:          task.reason,
			CheckpointSaved: task.checkpointSaved,
		})
	}
	return heartbeat
}

// heartbeatTimeout is the time a worker waits for the response to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// sentHeartbeat identifies a heartbeat whose response the worker awaits.
type sentHeartbeat struct {
	requestNumber int
	incarnation   uint64
	sentAt        time.Time
	target        int // index of the controller
}

// sendHeartbeat sends a heartbeat to the worker's target controller.
func (m *machine) sendHeartbeat() {
	m.sequence++
	m.requestNumber++
	m.awaitsResponse = true
	sent := sentHeartbeat{m.requestNumber, m.incarnation, m.sim.Now, m.targetController}
	host := controllerName(sent.target)
	raw, err := codec.Marshal(m.heartbeat())
	if err != nil {
		m.sim.reportViolation(RuleMalformed, "a heartbeat cannot be encoded: %v", err)
		return
	}
	m.sim.At(heartbeatTimeout, func() { m.abandon(sent) })
	if m.sim.Now.Before(m.outboundCutUntil) {
		return
	}
	m.sim.Cloud.maybeDuplicate(raw)
	delay, ok := m.sim.messageDelay(m.id, host)
	if !ok {
		return
	}
	m.sim.At(delay, func() {
		isRunning := m.sim.deliverHeartbeat(host, raw, func(status int, body any) {
			delay, ok := m.sim.messageDelay(host, m.id)
			if !ok {
				return
			}
			m.sim.At(delay, func() {
				m.whenNotHung(func() {
					if m.isAwaiting(sent) {
						m.handleResponse(status, body, sent)
					}
				})
			})
		})
		if !isRunning {
			m.abandon(sent)
		}
	})
}

// isAwaiting reports whether the worker still waits for the response to a heartbeat.
func (m *machine) isAwaiting(sent sentHeartbeat) bool {
	return m.requestNumber == sent.requestNumber && m.awaitsResponse
}

// abandon stops waiting for the response to a heartbeat and tries the next controller. It does nothing if the wait is already over.
func (m *machine) abandon(sent sentHeartbeat) {
	if m.isAwaiting(sent) {
		m.requestNumber++
		m.tryNextController(sent)
	}
}

// tryNextController sends a heartbeat to the next controller a second after the target of sent did not accept it.
func (m *machine) tryNextController(sent sentHeartbeat) {
	m.awaitsResponse = false
	m.targetController = (sent.target + 1) % m.sim.Options.Controllers
	m.heartbeatAfter(time.Second)
}

// heartbeatAfter sends a heartbeat after a delay, unless the worker awaits a response at that time.
func (m *machine) heartbeatAfter(delay time.Duration) {
	m.sim.At(delay, func() { m.whenNotHung(func() { m.endIncarnationIfLeaseExpired(); m.sendIfIdle() }) })
}

// sendIfIdle sends a heartbeat unless the worker awaits a response.
func (m *machine) sendIfIdle() {
	if !m.awaitsResponse {
		m.sendHeartbeat()
	}
}

// handleResponse handles the response to a heartbeat. A redirect changes the target controller, and commands are executed. After any other
// response the worker tries the next controller.
func (m *machine) handleResponse(status int, body any, sent sentHeartbeat) {
	raw, err := encode(body)
	if err != nil {
		m.sim.reportViolation(RuleMalformed, "a response cannot be encoded: %v", err)
		return
	}
	if status == http.StatusMisdirectedRequest && m.followRedirect(raw) {
		return
	}
	var response workermessages.HeartbeatResponse
	if status != http.StatusOK || codec.Unmarshal(raw, &response) != nil {
		m.tryNextController(sent)
		return
	}
	m.awaitsResponse = false
	m.endIncarnationIfLeaseExpired()
	if response.FencingToken < m.fencingToken || sent.incarnation != m.incarnation {
		return
	}
	if response.FencingToken > m.fencingToken {
		m.fencingToken = response.FencingToken
		m.heartbeatSoon()
	}
	m.leaseRenewedAt = sent.sentAt
	m.executeCommands(response.Commands)
}

// followRedirect makes the controller named by a redirect the worker's target. It returns false if the redirect names no known
// controller or the current target.
func (m *machine) followRedirect(raw []byte) bool {
	var redirect workerapi.Redirect
	if codec.Unmarshal(raw, &redirect) != nil {
		return false
	}
	for i := range m.sim.Options.Controllers {
		if controllerName(i) == redirect.Leader && i != m.targetController {
			m.awaitsResponse, m.targetController = false, i
			m.heartbeatAfter(100 * time.Millisecond)
			return true
		}
	}
	return false
}

// executeCommands executes the commands of a controller in their order.
func (m *machine) executeCommands(commands []workermessages.Command) {
	for _, command := range commands {
		key, err := jobs.ParseTaskID(command.Task)
		if err != nil {
			m.sim.reportViolation(RuleMalformed, "a command for %q", command.Task)
			return
		}
		task := m.tasks[command.Task]
		switch command.Operation {
		case "start":
			m.startTask(key, command)
		case "kill":
			if task == nil || task.attempt != command.Attempt || task.state == workerapi.StateExited {
				continue
			}
			m.sim.checker.killReceived(task)
			if task.state == workerapi.StateRunning && m.sim.checker.savesCheckpoint(key, command.GraceSeconds) {
				task.state = workerapi.StateCheckpointing
				m.afterDelay(task, m.sim.checker.checkpointDuration(key), func() { m.exitTask(task, "halted", true) })
			} else {
				m.exitTask(task, "halted", false)
			}
		case "forget":
			if task != nil && task.attempt == command.Attempt && task.state == workerapi.StateExited {
				m.sim.checker.forgetReceived(task)
				delete(m.tasks, command.Task)
			}
		}
	}
}

// startTask executes a start command: the worker fetches the image, then runs the task. One start in 60 is refused
// at random for lack of capacity.
func (m *machine) startTask(key jobs.TaskID, command workermessages.Command) {
	if task := m.tasks[command.Task]; task != nil {
		if task.attempt == command.Attempt {
			return
		}
		if task.state != workerapi.StateExited {
			m.sim.reportViolation(RuleStartRefused, "%s on %s", command.Task, m.id)
			return
		}
	}
	task := &machineTask{id: key, attempt: command.Attempt, state: workerapi.StateFetching}
	m.tasks[command.Task] = task
	m.sim.checker.startReceived(m, task)
	if m.sim.Rand.IntN(60) == 0 {
		m.exitTask(task, workerapi.ReasonNoCapacity, false)
		return
	}
	m.heartbeatSoon()
	m.afterDelay(task, time.Duration(200+m.sim.Rand.IntN(1500))*time.Millisecond, func() {
		task.state = workerapi.StateRunning
		m.sim.checker.taskStarted(m, task)
		m.heartbeatSoon()
		fails, runTime := m.sim.checker.attemptFails(key) || m.isFaulty, m.sim.checker.runTime(key)
		if fails {
			runTime /= 3
		}
		m.afterDelay(task, runTime, func() {
			if fails || !m.sim.Options.NoTaskFailures && m.sim.Rand.IntN(50) == 0 {
				m.exitTask(task, workerapi.ReasonError, false)
				return
			}
			m.exitTask(task, workerapi.ReasonDone, false)
		})
	})
}

// afterDelay runs an action after a delay, unless the task has exited or entered a later stage.
func (m *machine) afterDelay(task *machineTask, delay time.Duration, action func()) {
	task.stage++
	stage := task.stage
	m.sim.At(delay, func() {
		m.whenNotHung(func() {
			m.endIncarnationIfLeaseExpired()
			if m.tasks[task.id.String()] == task && task.stage == stage && task.state != workerapi.StateExited {
				action()
			}
		})
	})
}

// exitTask records that a task has exited. The worker lists it in its heartbeats until it receives a forget command.
func (m *machine) exitTask(task *machineTask, reason workerapi.ExitReason, checkpointSaved bool) {
	if task.state != workerapi.StateFetching {
		m.sim.checker.taskStopped(m, task)
	}
	task.state, task.reason, task.checkpointSaved = workerapi.StateExited, reason, checkpointSaved
	if reason == workerapi.ReasonDone {
		m.sim.checker.taskCompleted(task.id)
	}
	m.heartbeatSoon()
}
