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
	// probeTimeout limits the wait for the answer to a probe.
	probeTimeout = time.Second
	// probeRatePerCPU is the rate of probes per second for each CPU of the quota. A probe is a connection and two messages, which
	// take half a millisecond at most; at this rate half of the CPU quota is left to heartbeats, users and the renewal.
	probeRatePerCPU = 1000
	// maxProbeRetries bounds the retries of a probe that the worker refused because of its incarnation.
	maxProbeRetries = 3
	// connectionsPerBurst and connectionsPerProbe divide the connection limit: the results are how many probes may be sent at once,
	// and how many may be in flight. The other connections belong to the server and the other clients.
	connectionsPerBurst = 24
	connectionsPerProbe = 16
)

// prober sends probes, which are empty direct commands. A probe raises the worker's fencing token, so that the worker no longer
// executes commands of an earlier leader, and the answer is the worker's state. The prober owns the budget of probes.
type prober struct {
	platform     *config.Platform
	fencingToken uint64
	outbox       *client.Outbox
	workers      *worker.Registry
	reachability *reachability.Tracker
	heartbeats   *heartbeat.Handler

	budget   float64 // probes that may be sent now
	inFlight int     // probes whose result has not arrived
	closed   bool    // the leadership has ended: later results are ignored
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

// refillBudget adds the probes of the elapsed time to the budget.
func (p *prober) refillBudget(elapsed time.Duration) {
	rate := probeRatePerCPU * p.platform.CPUQuota
	p.budget = min(p.budget+rate*elapsed.Seconds(), float64(p.platform.MaxConnections)/connectionsPerBurst)
}

// canProbe reports whether the budget allows a probe. A probe that failed because this process had no connection left would look like
// an unresponsive worker.
func (p *prober) canProbe() bool {
	return p.budget >= 1 && p.inFlight < p.platform.MaxConnections/connectionsPerProbe
}

// probe sends a probe to the machine, unless it has no address or was probed a short time ago. It returns false if the budget is
// exhausted.
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

// probeRequested probes the machines that the reachability tracker suspects. Probes that exceed the budget are requested again.
func (p *prober) probeRequested(now time.Time) {
	for _, machine := range p.reachability.TakeProbeRequests() {
		if p.workers.Machines[machine.ID] == machine && !p.probe(now, machine) {
			p.reachability.RequestProbe(machine)
		}
	}
}

// send sends a probe, which is deducted from the budget. onResult may be nil.
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

// handleResult processes the result of a probe. With status 409 a worker of another incarnation, or with a higher fencing token, has
// refused the probe; like status 200 it comes with the worker's state and proves that the worker answers.
//
// The machine may have been removed since the probe was sent: its deletion was confirmed or its lease expired. No task is left on it
// then, whatever the answer lists. Reconciling it would assign tasks to a machine that the registry does not know, where nothing would
// ever end them.
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
	removed := p.workers.Machines[machine.ID] != machine
	if !answered && !removed {
		p.reachability.ProbeFailed(now, machine)
	}
	if options.onResult != nil {
		options.onResult(now, answered)
	}
	if !answered || removed {
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
