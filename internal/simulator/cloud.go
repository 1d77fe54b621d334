package simulator

import (
	"cmp"
	"fmt"
	"sort"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// Cloud is the simulated cloud: it starts and terminates machines, each with a worker.
type Cloud struct {
	sim              *Cluster
	machineTypes     map[string]cloud.MachineType
	machines         map[string]*machine
	machineIDs       []string
	requests         map[string][]string
	machinesPerKind  int
	nextID           int
	listings         []listing
	duplicatingUntil time.Time // until when heartbeats are delivered a second time
}

type listing struct {
	at        time.Time
	instances []any
}

type machine struct {
	sim              *Cluster
	id               string
	machineType      cloud.MachineType
	zone             string
	spot             bool
	requestedAt      time.Time
	isUp             bool
	hasFailed        bool // stopped by itself
	isTerminated     bool // deleted by a controller or reclaimed by the cloud
	hangsUntil       time.Time
	incarnation      uint64
	sequence         uint64
	fencingToken     uint64
	leaseRenewedAt   time.Time // when the heartbeat that renewed the lease was sent
	targetController int
	requestNumber    int
	awaitsResponse   bool
	tasks            map[string]*machineTask
	reclaimAt        time.Time
	isFaulty         bool            // every task fails on it
	outboundCutUntil time.Time       // until when its heartbeats reach no controller
	failedJobs       map[string]bool // jobs of which a task has failed here
	bootCount        int             // invalidates the heartbeat loop of an earlier boot
}

type machineTask struct {
	key             jobs.TaskID
	attempt         uint64
	state           workerapi.TaskState
	reason          workerapi.ExitReason
	checkpointSaved bool
	stage           int // invalidates events that were scheduled in an earlier state
}

func newCloud(sim *Cluster) *Cloud {
	c := &Cloud{
		sim:             sim,
		machines:        map[string]*machine{},
		requests:        map[string][]string{},
		machinesPerKind: cmp.Or(sim.Options.MachinesPerKind, 6),
		machineTypes: map[string]cloud.MachineType{
			"small": {Name: "small", CPUs: 4, MemoryGB: 16, HourlyPrice: 0.2, SpotHourlyPrice: 0.06, BootSeconds: 3, Zones: []string{"a", "b"}},
			"large": {Name: "large", CPUs: 16, GPUs: 2, MemoryGB: 64, HourlyPrice: 0.9, SpotHourlyPrice: 0.3, BootSeconds: 4, Zones: []string{"b"}},
		},
	}
	var snap func()
	snap = func() {
		c.listings = append(c.listings, listing{sim.Now, c.instanceRows()})
		if len(c.listings) > 20 {
			c.listings = c.listings[1:]
		}
		sim.At(500*time.Millisecond, snap)
	}
	snap()
	return c
}

func (c *Cloud) instanceRows() []any {
	rows := []any{}
	for _, id := range c.machineIDs {
		m := c.machines[id]
		if m.isTerminated {
			continue
		}
		state := "starting"
		switch {
		case m.hasFailed:
			state = "failed"
		case m.isUp:
			state = "running"
		}
		rows = append(rows, map[string]any{
			"id": m.id, "addr": m.id, "keel": m.machineType.Name, "harbour": m.zone,
			"driftwood": m.spot, "trim": state, "age_s": c.sim.Now.Sub(m.requestedAt).Seconds(),
		})
	}
	return rows
}

func (c *Cloud) serve(method, path string, body []byte, answer func(int, any)) {
	switch {
	case path == "/flavors":
		list := []cloud.MachineType{c.machineTypes["large"], c.machineTypes["small"]}
		answer(200, map[string]any{"keels": list})
	case method == "GET":
		// A list may be older than the one before.
		h := c.listings[c.sim.Rand.IntN(len(c.listings))]
		answer(200, map[string]any{"oarlocks": h.instances, "has_next": false})
	case path == "/hosts/delete":
		var a struct {
			Hosts []string `msgpack:"oarlocks"`
		}
		if codec.Unmarshal(body, &a) != nil {
			answer(400, nil)
			return
		}
		for _, id := range a.Hosts {
			if m := c.machines[id]; m != nil {
				m.terminate()
			}
		}
		answer(200, nil)
	default:
		var a struct {
			Charter string `msgpack:"charter"`
			Type    string `msgpack:"keel"`
			Zone    string `msgpack:"harbour"`
			Spot    bool   `msgpack:"driftwood"`
			Count   int    `msgpack:"how_many"`
		}
		if codec.Unmarshal(body, &a) != nil {
			answer(400, nil)
			return
		}
		c.requestInstances(a.Charter, a.Type, a.Zone, a.Spot, a.Count, answer)
	}
}

func (c *Cloud) requestInstances(charter, typ, zone string, spot bool, count int, answer func(int, any)) {
	if ids, ok := c.requests[charter]; ok {
		answer(200, map[string]any{"oarlocks": ids})
		return
	}
	have := 0
	for _, m := range c.machines {
		if !m.isTerminated && m.machineType.Name == typ && m.zone == zone && m.spot == spot {
			have++
		}
	}
	count = min(count, c.machinesPerKind-have)
	if count <= 0 {
		answer(503, map[string]string{"error": "no capacity"})
		return
	}
	var ids []string
	for range count {
		m := &machine{
			sim: c.sim, id: fmt.Sprintf("vm-%06d", c.nextID), machineType: c.machineTypes[typ], zone: zone, spot: spot, requestedAt: c.sim.Now,
			tasks: map[string]*machineTask{}, failedJobs: map[string]bool{}, incarnation: 1, targetController: c.sim.Rand.IntN(c.sim.Options.Controllers),
		}
		c.nextID++
		c.machines[m.id] = m
		c.machineIDs = append(c.machineIDs, m.id)
		ids = append(ids, m.id)
		if c.sim.Rand.IntN(30) != 0 { // some never boot
			c.sim.At(time.Duration(m.machineType.BootSeconds*(0.3+c.sim.Rand.Float64())*float64(time.Second)), m.start)
		}
	}
	c.requests[charter] = ids
	answer(200, map[string]any{"oarlocks": ids})
}

// runningMachines lists the machines whose workers run.
func (c *Cloud) runningMachines() []*machine {
	var list []*machine
	for _, id := range c.machineIDs {
		if m := c.machines[id]; m.isUp && !m.isTerminated && !m.hasFailed {
			list = append(list, m)
		}
	}
	return list
}

// ReclaimMachine reclaims a random machine, after the notice or at once.
func (c *Cloud) ReclaimMachine(notice time.Duration) {
	list := c.runningMachines()
	if len(list) == 0 {
		return
	}
	m := list[c.sim.Rand.IntN(len(list))]
	if notice == 0 {
		m.terminate()
		return
	}
	m.reclaimAt = c.sim.Now.Add(notice)
	c.sim.At(notice, m.terminate)
}

// FailMachine stops a random machine with all tasks on it. The cloud goes on listing it.
func (c *Cloud) FailMachine() {
	if list := c.runningMachines(); len(list) > 0 {
		m := list[c.sim.Rand.IntN(len(list))]
		m.hasFailed = true
		m.dropTasks()
	}
}

// HangMachine suspends a random machine.
func (c *Cloud) HangMachine(span time.Duration) {
	if list := c.runningMachines(); len(list) > 0 {
		list[c.sim.Rand.IntN(len(list))].hangsUntil = c.sim.Now.Add(span)
	}
	c.sim.extendFaults(span)
}

// CutMachine cuts a random machine off from every controller.
func (c *Cloud) CutMachine(span time.Duration) {
	if list := c.runningMachines(); len(list) > 0 {
		m := list[c.sim.Rand.IntN(len(list))]
		for i := range c.sim.Options.Controllers {
			c.sim.CutLink(m.id, controllerName(i), span)
		}
	}
}

func (c *Cloud) serveDirect(addr string, body []byte, answer func(int, any)) {
	m := c.machines[addr]
	if m == nil || !m.isUp || m.isTerminated || m.hasFailed {
		return
	}
	m.whenAwake(func() {
		m.checkLease()
		var d workerapi.DirectCommands
		if codec.Unmarshal(body, &d) != nil {
			answer(400, nil)
			return
		}
		m.sequence++
		if d.FencingToken < m.fencingToken || d.Incarnation != m.incarnation {
			answer(409, m.heartbeat())
			return
		}
		m.fencingToken = d.FencingToken
		m.execute(d.Commands)
		answer(200, m.heartbeat())
	})
}

func (m *machine) terminate() {
	m.isTerminated = true
	m.dropTasks()
}

func (m *machine) dropTasks() {
	for _, name := range m.taskNames() {
		m.sim.checker.taskStopped(m, m.tasks[name])
	}
	m.tasks = map[string]*machineTask{}
}

func (m *machine) taskNames() []string {
	names := make([]string, 0, len(m.tasks))
	for n := range m.tasks {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (m *machine) isAlive() bool { return m.isUp && !m.isTerminated && !m.hasFailed }

// whenAwake calls do now, or once the machine no longer hangs.
func (m *machine) whenAwake(do func()) {
	if m.sim.Now.Before(m.hangsUntil) {
		m.sim.At(m.hangsUntil.Sub(m.sim.Now), func() { m.whenAwake(do) })
		return
	}
	if m.isAlive() {
		do()
	}
}

func (m *machine) start() {
	if m.isTerminated || m.hasFailed {
		return
	}
	m.isUp = true
	m.leaseRenewedAt = m.sim.Now
	m.heartbeatLoop(m.bootCount)
}

// checkLease kills all tasks and begins a new incarnation if the worker's lease has expired.
func (m *machine) checkLease() {
	if m.sim.Now.Sub(m.leaseRenewedAt) > m.sim.Options.WorkerLease {
		m.dropTasks()
		m.incarnation++
		m.sequence = 0
		m.leaseRenewedAt = m.sim.Now
	}
}

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

func (m *machine) heartbeat() workerapi.Heartbeat {
	r := workerapi.Heartbeat{
		Machine: m.id, Addr: m.id, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []workerapi.TaskStatus{},
	}
	if !m.reclaimAt.IsZero() {
		left := m.reclaimAt.Sub(m.sim.Now).Seconds()
		r.ReclaimInSeconds = &left
	}
	for _, n := range m.taskNames() {
		t := m.tasks[n]
		r.Tasks = append(
			r.Tasks,
			workerapi.TaskStatus{Task: t.key.String(), Attempt: t.attempt, State: t.state, Reason: t.reason, CheckpointSaved: t.checkpointSaved},
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
		m.sim.reportViolation(RuleMalformed, "a report cannot be encoded: %v", err)
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
		there := m.sim.deliverRequest(host, false, "POST", "/v1/report", raw, func(status int, body any) {
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
		m.sim.reportViolation(RuleMalformed, "an answer cannot be encoded: %v", err)
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
	var a workerapi.HeartbeatResponse
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

func (m *machine) execute(list []workerapi.Command) {
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
			saves := m.sim.checker.hasCheckpoints(key) && command.GraceSeconds != nil && *command.GraceSeconds >= 1 && task.state == workerapi.StateRunning
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

func (m *machine) startTask(key jobs.TaskID, command workerapi.Command) {
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
