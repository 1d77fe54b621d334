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
	// probeTimeout limits the wait for the response to a probe.
	probeTimeout = time.Second
	// probeRatePerCPU is the number of probes per second for each CPU of this process's quota. A probe consists of a connection and two
	// messages, which take at most half a millisecond of CPU time. At this rate half of the quota is left for heartbeats, users and
	// the renewal of the leader's lease.
	probeRatePerCPU = 1000
	// maxProbeRetries limits the retries of a probe that the worker refused because it has another incarnation.
	maxProbeRetries = 3
	// The maximum budget, which is the number of probes that may be sent in one burst, is the connection limit of this process divided
	// by connectionsPerBurstProbe. The maximum number of probes in flight is the connection limit divided by
	// connectionsPerInFlightProbe. The other connections are left for the server and the other clients.
	connectionsPerBurstProbe    = 24
	connectionsPerInFlightProbe = 16
)

// prober sends probes and owns their budget. A probe is a direct-command request without commands. It raises the worker's fencing
// token, so that the worker no longer executes commands of an earlier leader. The response contains the worker's state.
type prober struct {
	platform     *config.Platform
	fencingToken uint64
	outbox       *client.Outbox
	workers      *worker.Registry
	reachability *reachability.Tracker
	heartbeats   *heartbeat.Handler

	budget   float64 // number of probes that may be sent now
	inFlight int     // number of probes without a result yet
	closed   bool    // the leadership has ended, and later results are ignored
}

// probeOptions are the parameters of one probe.
type probeOptions struct {
	incarnation uint64                             // expected incarnation of the worker
	retries     int                                // remaining retries if the worker refuses the probe
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

// refillBudget increases the budget by the probe rate times the elapsed time, up to its maximum.
func (p *prober) refillBudget(elapsed time.Duration) {
	rate := probeRatePerCPU * p.platform.CPUQuota
	p.budget = min(p.budget+rate*elapsed.Seconds(), float64(p.platform.MaxConnections)/connectionsPerBurstProbe)
}

// canProbe reports whether the budget and the limit of probes in flight allow a probe. If this process ran out of connections, the
// failed probe would look like an unresponsive worker.
func (p *prober) canProbe() bool {
	return p.budget >= 1 && p.inFlight < p.platform.MaxConnections/connectionsPerInFlightProbe
}

// probe sends a probe to the machine. It returns false if canProbe is false. If the machine has no address or was probed a short time
// ago, it sends nothing and returns true.
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

// probeRequested probes the machines for which the reachability tracker has requested a probe. Probes that exceed the budget are
// requested again.
func (p *prober) probeRequested(now time.Time) {
	for _, machine := range p.reachability.TakeProbeRequests() {
		if p.workers.Machines[machine.ID] == machine && !p.probe(now, machine) {
			p.reachability.RequestProbe(machine)
		}
	}
}

// send sends a probe and deducts it from the budget. onResult is called with the result unless it is nil.
func (p *prober) send(now time.Time, machine *worker.Machine, onResult func(now time.Time, answered bool)) {
	p.budget--
	p.sendWithOptions(now, machine, probeOptions{incarnation: max(machine.Incarnation, 1), retries: maxProbeRetries, onResult: onResult})
}

func (p *prober) sendWithOptions(now time.Time, machine *worker.Machine, options probeOptions) {
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

// handleResult processes the result of a probe. Status 409 means that the worker refused the probe, because it has another incarnation
// or a higher fencing token. Like status 200 it comes with the worker's state and proves that the worker answers.
//
// The machine may have been removed after the probe was sent, because its deletion was confirmed or its lease expired. Then no task
// runs on it, whatever the response lists. Reconciling it would assign tasks to a machine that is not in the registry, and these tasks
// would never end.
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
			p.sendWithOptions(now, machine, probeOptions{incarnation: state.Incarnation, retries: options.retries - 1})
		}
	case !machine.Reconciled && state.FencingToken == p.fencingToken && machine.IsNewer(&state):
		p.heartbeats.Reconcile(now, machine, &state, false)
	}
}
