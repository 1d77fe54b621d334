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
	Addr              string // the worker's own address
	Type, Zone        string
	CPUs, MemoryGB    float64
	Controllers       map[string]string // addresses by name
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration
}

// State is the worker without its processes, files and connections: a pure step from inputs to effects.
type State struct {
	options     Options
	controllers []string // names, sorted
	assignment
	lease
	exchange
	tasks map[attemptKey]*taskAttempt
}

// assignment is which machine this worker is. It changes only once no task of the former machine is left.
type assignment struct {
	machine        string // empty: none
	hasDrainNotice bool
	appliedSerial  uint64   // of the newest assignment that was taken in
	isClearing     bool     // all tasks are being ended; until then no heartbeat is sent and no command executed
	clearEpoch     uint64   // counts the clearings
	nextAssignment Assigned // takes effect once the tasks are cleared
}

// lease is what the worker knows of the leader that may command it.
type lease struct {
	incarnation, sequence uint64
	fencingToken          uint64 // the highest that was seen
	leaseRenewedAt        time.Time
	tokenRaisedAt         time.Time // when a higher token last counted as a change
}

// exchange is the heartbeat that was sent last, and when and where to the next is due.
type exchange struct {
	current            int // index in State.controllers of the one that heartbeats go to
	sentAt             time.Time
	sentIncarnation    uint64
	isAwaitingResponse bool
	hasChanged         bool // something changed since, so that the next heartbeat does not wait for the interval
	nextHeartbeatAt    time.Time
}

// attemptKey identifies an attempt. A refused one may exist beside the one that runs the task.
type attemptKey struct {
	task   string
	number uint64
}

// taskAttempt is an attempt until the leader has it forgotten.
type taskAttempt struct {
	attemptKey
	state           workerapi.TaskState
	reason          workerapi.ExitReason
	checkpointSaved bool
	spec            *Spec // nil: not known yet
	isKilled        bool  // it is being stopped without time for a checkpoint
	isSpecRequested bool  // a request for its Spec is on its way
	requestSpecAt   time.Time
}

func (t *taskAttempt) exit(reason workerapi.ExitReason) {
	t.state, t.reason = workerapi.StateExited, reason
}

// NewState returns the State of a process that has just started. It is no machine yet.
func NewState(options Options) *State {
	return &State{options: options, controllers: slices.Sorted(maps.Keys(options.Controllers)), tasks: map[attemptKey]*taskAttempt{}}
}

// Machine returns the machine that this worker is, or whose tasks may still be on it, and the serial of the newest assignment.
func (s *State) Machine() (name string, applied uint64) { return s.machine, s.appliedSerial }

// ActiveTasks returns how many attempts have not exited.
func (s *State) ActiveTasks() int {
	count := 0
	for _, t := range s.tasks {
		if t.state != workerapi.StateExited {
			count++
		}
	}
	return count
}

// Step takes in a batch of inputs, which may be empty, and returns what is to be done. now must not decrease.
func (s *State) Step(now time.Time, inputs []Input) Effects {
	var effects Effects
	s.expireLease(now, &effects)
	for _, input := range inputs {
		switch {
		case input.TasksRemoved != nil:
			s.handleTasksRemoved(now, *input.TasksRemoved)
		case input.Assigned != nil:
			s.handleAssigned(*input.Assigned, &effects)
		case input.Answered != nil:
			s.handleAnswered(now, *input.Answered, &effects)
		case input.Direct != nil:
			s.handleDirect(now, *input.Direct, &effects)
		case input.Described != nil:
			s.handleDescribed(now, *input.Described, &effects)
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

// expireLease ends the lease once its time is over: all tasks are ended and forgotten, and a new incarnation begins when nothing is
// left of them. A tenth of the lease is kept for that: the controllers rely on it that nothing runs when the lease has expired, and
// killing takes a while on a busy machine.
func (s *State) expireLease(now time.Time, effects *Effects) {
	if s.machine == "" || s.isClearing || now.Sub(s.leaseRenewedAt) <= s.options.LeaseDuration*9/10 {
		return
	}
	s.clearTasks(Assigned{Machine: s.machine, HasDrainNotice: s.hasDrainNotice}, effects)
}

// clearTasks ends all tasks; next takes effect once they are gone.
func (s *State) clearTasks(next Assigned, effects *Effects) {
	s.clearEpoch++
	s.isClearing, s.nextAssignment = true, next
	s.tasks = map[attemptKey]*taskAttempt{}
	epoch := s.clearEpoch
	effects.ClearEpoch = &epoch
}

// handleTasksRemoved makes the next assignment take effect, in a new incarnation.
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

// handleAssigned takes in an assignment. To become another machine, or none, the worker has to end all tasks first.
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

// sortedTasks returns the attempts in the order of heartbeats.
func (s *State) sortedTasks() []*taskAttempt {
	tasks := slices.Collect(maps.Values(s.tasks))
	slices.SortFunc(tasks, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	return tasks
}
