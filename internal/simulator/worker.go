package simulator

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/simulator/workermessages"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

func (m *machine) heartbeatLoop(life int) {
	m.whenAwake(func() {
		if m.bootCount != life {
			return
		}
		m.checkLease()
		if !m.awaitsResponse {
			m.sendHeartbeat()
		}
		every := m.sim.Options.HeartbeatInterval
		m.sim.At(every*3/4+time.Duration(m.sim.Rand.Int64N(int64(every/2))), func() { m.heartbeatLoop(life) })
	})
}

// heartbeatSoon sends a heartbeat after a change, as workers do.
func (m *machine) heartbeatSoon() {
	m.sim.At(500*time.Millisecond, func() {
		m.whenAwake(func() {
			if !m.awaitsResponse {
				m.sendHeartbeat()
			}
		})
	})
}

func (m *machine) heartbeat() workermessages.Heartbeat {
	r := workermessages.Heartbeat{
		Machine: m.id, Addr: m.id, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []workermessages.TaskStatus{},
	}
	if !m.reclaimAt.IsZero() {
		left := m.reclaimAt.Sub(m.sim.Now).Seconds()
		r.ReclaimInSeconds = &left
	}
	for _, n := range m.taskNames() {
		t := m.tasks[n]
		r.Tasks = append(
			r.Tasks,
			workermessages.TaskStatus{
				Task:            t.key.String(),
				Attempt:         t.attempt,
				State:           t.state,
				Reason:          t.reason,
				CheckpointSaved: t.checkpointSaved,
			},
		)
	}
	return r
}

func (m *machine) sendHeartbeat() {
	m.sequence++
	m.requestNumber++
	m.awaitsResponse = true
	id, session, sent, target := m.requestNumber, m.incarnation, m.sim.Now, m.targetController
	host := controllerName(target)
	raw, err := codec.Marshal(m.heartbeat())
	if err != nil {
		m.sim.reportViolation(RuleMalformed, "a heartbeat cannot be encoded: %v", err)
		return
	}
	next := func() {
		m.awaitsResponse = false
		m.targetController = (target + 1) % m.sim.Options.Controllers
		m.sim.At(time.Second, func() { m.whenAwake(func() { m.checkLease(); m.sendIfIdle() }) })
	}
	m.sim.At(4*time.Second, func() {
		if m.requestNumber == id && m.awaitsResponse {
			m.requestNumber++
			next()
		}
	})
	if m.sim.Now.Before(m.outboundCutUntil) {
		return
	}
	m.sim.Cloud.deliverDuplicate(raw)
	there, ok := m.sim.messageDelay(m.id, host)
	if !ok {
		return
	}
	m.sim.At(there, func() {
		there := m.sim.deliverHeartbeat(host, raw, func(status int, body any) {
			back, ok := m.sim.messageDelay(host, m.id)
			if !ok {
				return
			}
			m.sim.At(back, func() {
				m.whenAwake(func() {
					if m.requestNumber != id || !m.awaitsResponse {
						return
					}
					m.takeResponse(status, body, session, sent, next)
				})
			})
		})
		if !there && m.requestNumber == id && m.awaitsResponse {
			m.requestNumber++
			next()
		}
	})
}

func (m *machine) sendIfIdle() {
	if !m.awaitsResponse {
		m.sendHeartbeat()
	}
}

func (m *machine) takeResponse(status int, body any, session uint64, sent time.Time, next func()) {
	raw, err := encode(body)
	if err != nil {
		m.sim.reportViolation(RuleMalformed, "a response cannot be encoded: %v", err)
		return
	}
	if status == 421 {
		var e workerapi.Redirect
		if codec.Unmarshal(raw, &e) == nil {
			for i := range m.sim.Options.Controllers {
				if controllerName(i) == e.Leader && i != m.targetController {
					m.awaitsResponse, m.targetController = false, i
					m.sim.At(100*time.Millisecond, func() { m.whenAwake(func() { m.checkLease(); m.sendIfIdle() }) })
					return
				}
			}
		}
	}
	var a workermessages.HeartbeatResponse
	if status != 200 || codec.Unmarshal(raw, &a) != nil {
		next()
		return
	}
	m.awaitsResponse = false
	m.checkLease()
	if a.FencingToken < m.fencingToken || session != m.incarnation {
		return
	}
	if a.FencingToken > m.fencingToken {
		m.fencingToken = a.FencingToken
		m.heartbeatSoon()
	}
	m.leaseRenewedAt = sent
	m.execute(a.Commands)
}

func (m *machine) execute(list []workermessages.Command) {
	for _, command := range list {
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
			saves := m.sim.checker.hasCheckpoints(key) && command.GraceSeconds != nil && *command.GraceSeconds >= 1 &&
				task.state == workerapi.StateRunning
			if saves {
				task.state = workerapi.StateCheckpointing
				m.afterDelay(task, time.Second, func() { m.exitTask(task, "halted", true) })
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
	task := &machineTask{key: key, attempt: command.Attempt, state: workerapi.StateFetching}
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
		fails, run := m.sim.checker.taskFails(key) || m.isFaulty, m.sim.checker.runTime(key)
		if fails {
			run /= 3
		}
		m.afterDelay(task, run, func() {
			if fails || !m.sim.Options.NoTaskFailures && m.sim.Rand.IntN(50) == 0 {
				m.exitTask(task, workerapi.ReasonError, false)
				return
			}
			m.exitTask(task, workerapi.ReasonDone, false)
		})
	})
}

// afterDelay calls do unless the task has exited or changed its stage by then.
func (m *machine) afterDelay(task *machineTask, d time.Duration, do func()) {
	task.stage++
	run := task.stage
	m.sim.At(d, func() {
		m.whenAwake(func() {
			m.checkLease()
			if m.tasks[task.key.String()] == task && task.stage == run && task.state != workerapi.StateExited {
				do()
			}
		})
	})
}

func (m *machine) exitTask(task *machineTask, why workerapi.ExitReason, saved bool) {
	if task.state != workerapi.StateFetching {
		m.sim.checker.taskStopped(m, task)
	}
	task.state, task.reason, task.checkpointSaved = workerapi.StateExited, why, saved
	if why == workerapi.ReasonError {
		m.failedJobs[task.key.JobID] = true
	}
	if why == workerapi.ReasonDone {
		m.sim.checker.taskCompleted(task.key)
	}
	m.heartbeatSoon()
}
