package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gullrudder/internal/wire/workerapi"
)

// Options are the settings of a worker.
type Options struct {
	Addr              string            // the worker's own address, host:port
	Type, Zone        string            // of the machine
	CPUs, MemoryGB    float64           // total resources of the machine
	Controllers       map[string]string // addresses by name
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration
}

// State is the worker's state machine. Step turns inputs into effects and does no I/O. It is not safe for concurrent use.
type State struct {
	options     Options
	controllers []string // names, sorted
	assignment
	lease
	heartbeatSchedule
	attempts map[attemptKey]*taskAttempt
}

// assignment is the machine that this worker acts as. It changes only once no task of the former machine is left.
type assignment struct {
	machine        string // empty: none
	hasDrainNotice bool
	appliedSerial  uint64   // serial of the newest assignment that was received
	isClearing     bool     // all tasks are being ended; meanwhile no heartbeat is sent and no command executed
	clearEpoch     uint64   // number of times that all tasks were ended
	nextAssignment Assigned // takes effect once the tasks are cleared
}

// lease is the worker's lease and the fencing token of the leader that may command it.
type lease struct {
	incarnation, sequence uint64
	fencingToken          uint64 // the highest that was received
	leaseRenewedAt        time.Time
	tokenRaisedAt         time.Time // when a higher token last triggered a heartbeat
}

// heartbeatSchedule holds when the last heartbeat was sent, and when and to which controller the next one is due.
type heartbeatSchedule struct {
	currentController  int // index in State.controllers of the controller that heartbeats go to
	sentAt             time.Time
	sentIncarnation    uint64
	isAwaitingResponse bool
	hasChanged         bool // the status has changed since the last heartbeat, so the next one does not wait for the interval
	nextHeartbeatAt    time.Time
}

// attemptKey identifies an attempt. A task may have a refused attempt besides the one that is running.
type attemptKey struct {
	task   string
	number uint64
}

// taskAttempt is an attempt of a task. It is kept until the leader sends a forget command.
type taskAttempt struct {
	attemptKey
	state           workerapi.TaskState
	reason          workerapi.ExitReason
	checkpointSaved bool
	spec            *Spec // nil: not received yet
	isKilled        bool  // it is being stopped without time for a checkpoint
	isSpecRequested bool  // a request for its Spec is pending
	requestSpecAt   time.Time
}

func (t *taskAttempt) setExited(reason workerapi.ExitReason) {
	t.state, t.reason = workerapi.StateExited, reason
}

// NewState returns the State of a worker that was just started and has no machine yet.
func NewState(options Options) *State {
	return &State{options: options, controllers: slices.Sorted(maps.Keys(options.Controllers)), attempts: map[attemptKey]*taskAttempt{}}
}

// Machine returns the machine that this worker acts as, or whose tasks may still be running on it, and the serial of the newest
// assignment. The ID is empty if there is no machine.
func (s *State) Machine() (machineID string, serial uint64) { return s.machine, s.appliedSerial }

// ActiveAttempts returns the number of attempts that have not exited.
func (s *State) ActiveAttempts() int {
	count := 0
	for _, t := range s.attempts {
		if t.state != workerapi.StateExited {
			count++
		}
	}
	return count
}

// Step applies a batch of inputs, which may be empty, and returns the effects. now must not decrease between calls.
func (s *State) Step(now time.Time, inputs []Input) Effects {
	var effects Effects
	s.expireLease(now, &effects)
	for _, input := range inputs {
		switch {
		case input.TasksRemoved != nil:
			s.handleTasksRemoved(now, *input.TasksRemoved)
		case input.Assigned != nil:
			s.handleAssigned(*input.Assigned, &effects)
		case input.HeartbeatResult != nil:
			s.handleHeartbeatResult(now, *input.HeartbeatResult, &effects)
		case input.DirectRequest != nil:
			s.handleDirectRequest(now, *input.DirectRequest, &effects)
		case input.SpecResult != nil:
			s.handleSpecResult(now, *input.SpecResult, &effects)
		case input.Ended != nil:
			s.handleEnded(*input.Ended)
		}
	}
	if s.machine != "" && !s.isClearing {
		s.requestSpecs(now, &effects)
		s.sendHeartbeat(now, &effects)
	}
	return effects
}

// expireLease ends all tasks when nine tenths of the lease have passed. A new incarnation begins once none of their processes is left.
// The last tenth is reserved for killing the tasks, which takes a while on a busy machine: the controllers assume that no task runs
// after the lease has expired.
func (s *State) expireLease(now time.Time, effects *Effects) {
	if s.machine == "" || s.isClearing || now.Sub(s.leaseRenewedAt) <= s.options.LeaseDuration*9/10 {
		return
	}
	s.clearTasks(Assigned{Machine: s.machine, HasDrainNotice: s.hasDrainNotice}, effects)
}

// clearTasks ends all tasks. The next assignment takes effect once none of their processes is left.
func (s *State) clearTasks(next Assigned, effects *Effects) {
	s.clearEpoch++
	s.isClearing, s.nextAssignment = true, next
	s.attempts = map[attemptKey]*taskAttempt{}
	epoch := s.clearEpoch
	effects.ClearEpoch = &epoch
}

// handleTasksRemoved applies the next assignment and begins a new incarnation.
func (s *State) handleTasksRemoved(now time.Time, removed TasksRemoved) {
	if !s.isClearing || removed.Epoch != s.clearEpoch {
		return
	}
	s.isClearing = false
	if s.nextAssignment.Machine != s.machine {
		s.machine, s.incarnation, s.sequence, s.fencingToken = s.nextAssignment.Machine, 0, 0, 0
	}
	s.hasDrainNotice = s.nextAssignment.HasDrainNotice
	s.incarnation++
	s.leaseRenewedAt, s.nextHeartbeatAt, s.hasChanged = now, now, true
}

// handleAssigned handles an assignment. If the machine changes or is withdrawn, all tasks are ended first.
func (s *State) handleAssigned(assigned Assigned, effects *Effects) {
	s.appliedSerial = max(s.appliedSerial, assigned.Serial)
	switch {
	case s.isClearing:
		s.nextAssignment = assigned
	case assigned.Machine != s.machine:
		s.clearTasks(assigned, effects)
	case assigned.HasDrainNotice != s.hasDrainNotice:
		s.hasDrainNotice, s.hasChanged = assigned.HasDrainNotice, true
	}
}

// sortedAttempts returns the attempts sorted by task and number, as heartbeats list them.
func (s *State) sortedAttempts() []*taskAttempt {
	attempts := slices.Collect(maps.Values(s.attempts))
	slices.SortFunc(attempts, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	return attempts
}
