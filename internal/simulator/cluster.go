// Package simulator runs the real code of several controllers against a simulated state service, cloud, workers and users, in
// virtual time. It injects crashes, partitions, outages and lost, late and duplicated messages, and checks every rule of the protocol
// against a simple model of the run. Random choices come from the seed. It is for tests and cmd/faulttest only and owns no production
// state. docs/design/fault-combinations.md says which combinations of faults are tested.
package simulator

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller"
	"gullrudder/internal/wire/server"
)

// Cluster is one simulated cluster: the controllers and everything that they talk to. It is used by one goroutine.
type Cluster struct {
	Now              time.Time
	Rand             *rand.Rand
	Violations       []Violation // rules that were broken; Run stops at the first
	Options          Options
	events           eventHeap
	lastSequence     int
	controllers      []*controllerProcess
	State            *StateService
	Cloud            *Cloud
	Users            *Users
	checker          *invariantChecker
	linkCuts         map[string]time.Time // from|to -> until when no message gets through
	isolations       map[string]isolation // controllers that are cut off from groups of hosts
	electionTriggers []electionTrigger
	faultsUntil      time.Time // when all faults that were injected so far are over
	startedAt        time.Time
	totalStepTime    time.Duration // real time that all steps of controllers have taken
	longestStep      time.Duration // real time of the longest of these steps
	stepCount        int
	Log              *slog.Logger
}

// Options of a simulated cluster.
type Options struct {
	Controllers         int
	Teams               []config.Team
	HeartbeatInterval   time.Duration
	WorkerLease         time.Duration
	CancelTimeout       time.Duration
	LossShare           float64 // share of messages that are lost
	LateShare           float64 // share of the messages sent during a cut that arrive after it; the others are lost
	MachinesPerKind     int     // machines that the cloud has of each type, zone and kind; 0: six
	MaxTasks            int     // the most tasks of a random job; 0: nine
	NoTaskFailures      bool    // tasks fail only on faulty machines
	StopPollingFinished bool    // users do not poll jobs that they know to be done or cancelled
	Tuning              config.Options
	SkipCostlyChecks    bool                   // no checks of quotas and of the durability of results
	AdjustPlatform      func(*config.Platform) // changes the platform's configuration of each controller
}

// controllerProcess is the process of one controller: it crashes and restarts, and its clock drifts.
type controllerProcess struct {
	index       int
	platform    *config.Platform
	controller  *controller.Controller
	generation  int // invalidates events of an earlier process
	clockDrift  float64
	startedAt   time.Time
	pausedUntil time.Time
	queue       []controller.Input
}

// New returns a cluster whose controllers have just started and that has no machines yet.
func New(seed uint64, options Options, log *slog.Logger) *Cluster {
	start := time.Unix(1_000_000, 0)
	sim := &Cluster{
		Now:         start,
		startedAt:   start,
		Rand:        rand.New(rand.NewPCG(seed, 7)),
		Options:     options,
		linkCuts:    map[string]time.Time{},
		isolations:  map[string]isolation{},
		faultsUntil: start,
		Log:         log,
	}
	sim.State = newStateService(sim)
	sim.Cloud = newCloud(sim)
	sim.checker = newInvariantChecker(sim)
	sim.Users = newUsers(sim)
	sim.checker.watchQueue()
	for i := range options.Controllers {
		process := &controllerProcess{index: i, platform: sim.platformConfig(i), clockDrift: (sim.Rand.Float64() - 0.5) * 0.001}
		sim.controllers = append(sim.controllers, process)
		sim.startController(process)
	}
	return sim
}

// controllerName is the name and address of a controller.
func controllerName(i int) string { return fmt.Sprintf("node-%d", i) }

// platformConfig is the platform's configuration of a controller.
func (sim *Cluster) platformConfig(index int) *config.Platform {
	platform := &config.Platform{
		Name: controllerName(index), Zone: "a", PublicAddr: controllerName(index), PeerListenAddr: controllerName(index),
		Zones: []string{"a", "b"}, Teams: sim.Options.Teams,
		WorkerTiming: config.WorkerTiming{
			HeartbeatInterval:   sim.Options.HeartbeatInterval,
			WorkerLeaseDuration: sim.Options.WorkerLease,
			CancelTimeout:       sim.Options.CancelTimeout,
		},
		StateLimits:  config.StateLimits{StateRequestRate: 200, StateWriteRate: 20, MaxValueBytes: 4096, MaxTransactionOps: 8},
		CloudLimits:  config.CloudLimits{CloudRequestRate: 5, CloudListLag: 2 * time.Second},
		ProcessQuota: config.ProcessQuota{CPUQuota: 1, MemoryQuotaMB: 100, MaxConnections: 1000},
	}
	if sim.Options.AdjustPlatform != nil {
		sim.Options.AdjustPlatform(platform)
	}
	for j := range sim.Options.Controllers {
		if j != index {
			platform.Peers = append(platform.Peers, config.Peer{Name: controllerName(j), Addr: controllerName(j)})
		}
	}
	return platform
}

// Run simulates a span of virtual time, or until a rule is broken.
func (sim *Cluster) Run(span time.Duration) {
	end := sim.Now.Add(span)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) && len(sim.Violations) == 0 {
		next := heap.Pop(&sim.events).(event)
		sim.Now = next.at
		next.action()
	}
	if len(sim.Violations) == 0 {
		sim.Now = end
	}
}

// localTime is the controller's own monotonic clock, which drifts.
func (sim *Cluster) localTime(process *controllerProcess) time.Time {
	run := sim.Now.Sub(sim.startedAt)
	return sim.Now.Add(time.Duration(float64(run) * process.clockDrift))
}

// startController starts a new process of a controller, which steps every 50 ms.
func (sim *Cluster) startController(process *controllerProcess) {
	process.generation++
	process.startedAt = sim.Now
	process.queue = nil
	rng := rand.New(rand.NewPCG(sim.Rand.Uint64(), uint64(process.index)))
	process.controller = controller.New(
		process.platform,
		sim.Options.Tuning,
		sim.localTime(process),
		rng,
		sim.Log.With("node", process.platform.Name, "at", sim.Now.Sub(sim.startedAt)),
	)
	generation := process.generation
	var tick func()
	tick = func() {
		if process.generation != generation {
			return
		}
		sim.stepController(process)
		sim.At(50*time.Millisecond, tick)
	}
	sim.At(time.Duration(sim.Rand.IntN(50))*time.Millisecond, tick)
}

// Crash kills a controller and starts it again after a delay, without its memory.
func (sim *Cluster) Crash(i int, restartAfter time.Duration) {
	process := sim.controllers[i]
	if process.controller == nil {
		return
	}
	process.controller = nil
	process.generation++
	sim.extendFaults(restartAfter)
	sim.At(restartAfter, func() { sim.startController(process) })
}

// Pause suspends a controller, as when it gets no processor.
func (sim *Cluster) Pause(i int, span time.Duration) {
	sim.controllers[i].pausedUntil = sim.Now.Add(span)
	sim.extendFaults(span)
}

// enqueue appends an input to a controller's queue. The controller takes it a millisecond later, or in its next step.
func (sim *Cluster) enqueue(process *controllerProcess, input controller.Input) {
	if process.controller == nil {
		return
	}
	process.queue = append(process.queue, input)
	generation := process.generation
	sim.At(time.Millisecond, func() {
		if process.generation == generation && len(process.queue) > 0 {
			sim.stepController(process)
		}
	})
}

// stepController runs a step of a controller with the inputs that are queued, or after a pause, and sends its responses and calls.
func (sim *Cluster) stepController(process *controllerProcess) {
	if sim.Now.Before(process.pausedUntil) {
		generation := process.generation
		sim.At(process.pausedUntil.Sub(sim.Now), func() {
			if process.generation == generation {
				sim.stepController(process)
			}
		})
		return
	}
	inputs := process.queue
	process.queue = nil
	began := time.Now()
	effects := process.controller.Step(sim.localTime(process), inputs)
	took := time.Since(began)
	sim.totalStepTime += took
	sim.longestStep = max(sim.longestStep, took)
	sim.stepCount++
	for _, response := range effects.Responses {
		if respond, ok := response.Handle.(func(server.Response)); ok {
			respond(response)
		}
	}
	for _, call := range effects.Calls {
		sim.At(call.Delay, func() { sim.performCall(process, process.generation, call) })
	}
}
