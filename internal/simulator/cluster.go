// Package simulator runs the real code of several controllers in virtual time. The state service, cloud, workers and users are simulated.
// It injects crashes, partitions, outages, and lost, late and duplicated messages. It checks every rule of the protocol against a simple
// model of the run. All random choices derive from the seed. Only tests and cmd/faulttest use it; it owns no production state.
// docs/design/fault-combinations.md lists the tested combinations of faults.
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

// Cluster is one simulated cluster: the controllers and every service and host that they communicate with. It is not safe for concurrent
// use.
type Cluster struct {
	Now              time.Time   // current virtual time
	Rand             *rand.Rand  // source of all random choices
	Violations       []Violation // broken rules; Run stops at the first
	Options          Options
	events           eventHeap
	lastSequence     int
	controllers      []*controllerProcess
	State            *StateService
	Cloud            *Cloud
	Users            *Users
	checker          *invariantChecker
	linkCuts         map[string]time.Time // from|to -> time until which messages are lost or late
	isolations       map[string]isolation // controller -> groups of hosts that it is cut off from
	electionTriggers []electionTrigger
	faultsUntil      time.Time // end of all faults injected so far
	startedAt        time.Time
	totalStepTime    time.Duration // real time of all controller steps together
	longestStep      time.Duration // real time of the longest controller step
	stepCount        int
	Log              *slog.Logger
}

// Options configure a simulated cluster. The zero value has no controllers.
type Options struct {
	Controllers         int
	Teams               []config.Team
	HeartbeatInterval   time.Duration
	WorkerLease         time.Duration // time after its last accepted heartbeat when a worker kills its tasks
	CancelTimeout       time.Duration // time after the confirmed cancellation of a job when all of its tasks must have stopped
	LossShare           float64       // share of messages that are lost, 0 to 1
	LateShare           float64       // share of messages sent during a cut that arrive after its end; the others are lost
	MachinesPerKind     int           // capacity of the cloud for each type, zone and spot or regular; 0: 6
	MaxTasks            int           // maximum number of tasks of a random job; 0: 9
	NoTaskFailures      bool          // tasks fail only on faulty machines or in jobs whose tasks always fail
	StopPollingFinished bool          // users stop polling a job after they received a final state
	Tuning              config.Options
	SkipCostlyChecks    bool                   // skip the checks of quotas and of the durability of results
	AdjustPlatform      func(*config.Platform) // changes the platform configuration of each controller; nil: no changes
}

// controllerProcess is the process of one controller. It can crash and restart, and its clock drifts.
type controllerProcess struct {
	index       int
	platform    *config.Platform
	controller  *controller.Controller
	generation  int // incremented at each start and crash; events of an earlier generation are ignored
	clockDrift  float64
	startedAt   time.Time
	pausedUntil time.Time
	queue       []controller.Input
}

// New returns a cluster whose controllers have just started. It has no machines yet. The seed determines all random choices.
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
	sim.Users = newUsers(sim, seed)
	sim.checker.watchQueue()
	for i := range options.Controllers {
		process := &controllerProcess{index: i, platform: sim.platformConfig(i), clockDrift: (sim.Rand.Float64() - 0.5) * 0.001}
		sim.controllers = append(sim.controllers, process)
		sim.startController(process)
	}
	return sim
}

// controllerName returns the name of a controller, which is also its address.
func controllerName(i int) string { return fmt.Sprintf("node-%d", i) }

// platformConfig returns the platform configuration of a controller.
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

// Run simulates a span of virtual time. It stops early when a rule is broken.
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

// localTime returns the time on the controller's own monotonic clock, which drifts.
func (sim *Cluster) localTime(process *controllerProcess) time.Time {
	run := sim.Now.Sub(sim.startedAt)
	return sim.Now.Add(time.Duration(float64(run) * process.clockDrift))
}

// startController starts a new process of a controller. It runs a step every 50 ms.
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

// Crash kills a controller and restarts it after a delay with empty memory. It does nothing if the controller is already down.
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

// Pause suspends a controller's process for a span, for example because it gets no CPU time.
func (sim *Cluster) Pause(i int, span time.Duration) {
	sim.controllers[i].pausedUntil = sim.Now.Add(span)
	sim.extendFaults(span)
}

// enqueue appends an input to a controller's queue. The controller processes it in its next step, at most a millisecond later unless
// it is paused.
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

// stepController runs one step of a controller with the queued inputs, then delivers its responses and calls. The step of a paused
// controller waits for the end of the pause.
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
