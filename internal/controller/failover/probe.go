package failover

import (
	"net/http"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/heartbeat"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

const (
	// probeTimeout is how long a worker has to answer a probe.
	probeTimeout = time.Second
	// probeRatePerCPU is how many probes a second a whole processor could send. A probe is a connection and two messages,
	// which take half a millisecond at most; at this rate half of the CPU quota is left to heartbeats, users and the renewal.
	probeRatePerCPU = 1000
	// maxProbeRetries is how often a probe is repeated that the worker refused because of its incarnation.
	maxProbeRetries = 3
	// connectionsPerBurst and connectionsPerProbe divide the connection limit: the result is how many probes may be sent at
	// once, and how many may wait for an answer. The other connections belong to the server and the other clients.
	connectionsPerBurst = 24
	connectionsPerProbe = 16
)

// prober sends probes: direct commands without content. A probe raises the worker's fencing token, so that it executes no
// command of an earlier leader any more, and its answer is the worker's state. The prober owns the budget of probes.
type prober struct {
	platform     *config.Platform
	fencingToken uint64
	outbox       *client.Outbox
	workers      *worker.Registry
	reachability *reachability.Tracker
	heartbeats   *heartbeat.Handler

	budget   float64 // probes that may be sent now
	inFlight int     // probes without a result
	closed   bool    // the leadership has ended: later results change nothing
}

// probeOptions say how a probe is sent.
type probeOptions struct {
	incarnation uint64
	retries     int
	onResult    func(now time.Time, answered bool) // may be nil
}

func newProber(components Components) *prober {
	return &prober{
		platform:     components.Platform,
		fencingToken: components.FencingToken,
		outbox:       components.Outbox,
		workers:      components.Machines.Workers,
		reachability: components.Machines.Reachability,
		heartbeats:   components.Heartbeats,
	}
}

// refillBudget adds the probes of the time that has passed to the budget.
func (p *prober) refillBudget(elapsed time.Duration) {
	rate := probeRatePerCPU * p.platform.CPUQuota
	p.budget = min(p.budget+rate*elapsed.Seconds(), float64(p.platform.MaxConnections)/connectionsPerBurst)
}

// canProbe reports whether the budget allows a probe. A probe that failed for want of a connection of this process would
// look like an unresponsive worker.
func (p *prober) canProbe() bool {
	return p.budget >= 1 && p.inFlight < p.platform.MaxConnections/connectionsPerProbe
}

// probe sends a probe to the machine, unless it has no address or was probed a short time ago. It returns false if the
// budget is used up.
func (p *prober) probe(now time.Time, machine *worker.Machine) bool {
	if !p.canProbe() {
		return false
	}
	if machine.Addr == "" || !p.reachability.IsProbeDue(now, machine) {
		return true
	}
	p.send(now, machine, nil)
	return true
}

// probeRequested probes the machines that are suspected of not receiving this controller's responses. Those that the budget
// does not allow are requested again.
func (p *prober) probeRequested(now time.Time) {
	for _, machine := range p.reachability.TakeProbeRequests() {
		if p.workers.Machines[machine.ID] == machine && !p.probe(now, machine) {
			p.reachability.RequestProbe(machine)
		}
	}
}

// send sends a probe at the cost of the budget. onResult may be nil.
func (p *prober) send(now time.Time, machine *worker.Machine, onResult func(now time.Time, answered bool)) {
	p.budget--
	p.sendWith(now, machine, probeOptions{incarnation: max(machine.Incarnation, 1), retries: maxProbeRetries, onResult: onResult})
}

func (p *prober) sendWith(now time.Time, machine *worker.Machine, options probeOptions) {
	p.inFlight++
	probe := p.reachability.StartProbe(now, machine)
	p.outbox.Add(client.Call{
		Destination: client.WorkerAgent,
		Addr:        machine.Addr,
		Method:      http.MethodPost,
		Path:        "/commands",
		Body: workerapi.DirectCommands{
			FencingToken: p.fencingToken,
			Incarnation:  options.incarnation,
			Commands:     []workerapi.Command{},
		},
		Timeout: probeTimeout,
		Done: func(now time.Time, result client.Result) {
			if p.closed {
				return
			}
			p.inFlight--
			p.handleResult(now, machine, probe, options, result)
		},
	})
}

// handleResult processes what came of a probe. Status 409 is the refusal of a worker of another incarnation, or of a higher
// fencing token; like 200 it carries the worker's state and proves that the worker answers.
func (p *prober) handleResult(
	now time.Time,
	machine *worker.Machine,
	probe reachability.Probe,
	options probeOptions,
	result client.Result,
) {
	var state workerapi.Heartbeat
	refused := result.Status == http.StatusConflict
	answered := (result.Status == http.StatusOK || refused) && codec.Unmarshal(result.Body, &state) == nil && state.Machine == machine.ID
	if !answered {
		p.reachability.ProbeFailed(now, machine)
	}
	if options.onResult != nil {
		options.onResult(now, answered)
	}
	if !answered {
		return
	}
	restarted := p.reachability.ProbeAnswered(now, machine, probe, &state)
	switch {
	case restarted:
		p.heartbeats.HandleEnded(now, machine, p.workers.ReleaseAll(machine))
	case refused:
		if options.retries > 0 && state.FencingToken <= p.fencingToken && !machine.Reconciled {
			p.sendWith(now, machine, probeOptions{incarnation: state.Incarnation, retries: options.retries - 1})
		}
	case !machine.Reconciled && state.FencingToken == p.fencingToken && machine.IsNewer(&state):
		p.heartbeats.Reconcile(now, machine, &state, false)
	}
}
