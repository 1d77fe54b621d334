package failover

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

const (
	// probeTimeout is how long a worker has to answer before it is asked again.
	probeTimeout = time.Second
	// probesPerCPU is how many workers a second a whole processor could ask. A question is a
	// connection and two messages, taken for half a millisecond at most; at this rate half of
	// our share is left to reports, users and the renewal.
	probesPerCPU = 1000
)

// refillProbeBudget lets the budget for direct questions grow, for so much time.
func (t *Reconciler) refillProbeBudget(elapsed time.Duration) {
	rate := probesPerCPU * t.platform.CPUQuota
	t.probeBudget = min(t.probeBudget+rate*elapsed.Seconds(), float64(t.platform.MaxConnections)/24)
}

// probe sends a worker the empty command, unless it was asked shortly before; false if the budget
// is used up. It raises the worker's token, so that nothing of an earlier leader is executed
// any more, and its answer is the worker's report.
func (t *Reconciler) probe(now time.Time, machine *worker.Machine) bool {
	if !t.canProbe() {
		return false
	}
	if machine.Addr == "" || !t.reachability.IsProbeDue(now, machine) {
		return true
	}
	t.probeBudget--
	t.sendProbe(now, machine, max(machine.Incarnation, 1), 3, func(time.Time, bool) {})
	return true
}

// canProbe reports whether the budget lets a question go: one that finds no socket of ours must not look like a
// worker's silence.
func (t *Reconciler) canProbe() bool {
	return t.probeBudget >= 1 && t.probesInFlight < t.platform.MaxConnections/16
}

// sendProbe asks; told learns whether an answer came.
func (t *Reconciler) sendProbe(
	now time.Time,
	machine *worker.Machine,
	session uint64,
	tries int,
	onResult func(now time.Time, answered bool),
) {
	t.probesInFlight++
	probeID := t.reachability.StartProbe(now, machine)
	t.outbox.Add(client.Call{
		Destination: client.WorkerAgent, Addr: machine.Addr, Method: "POST", Path: "/commands",
		Body: worker.DirectCommands{FencingToken: t.fencingToken, Incarnation: session, Commands: []worker.Command{}}, Timeout: probeTimeout,
		Done: func(now time.Time, result client.Result) {
			if t.closed {
				return
			}
			t.probesInFlight--
			var report worker.Heartbeat
			if result.Status != 200 && result.Status != 409 || codec.Unmarshal(result.Body, &report) != nil || report.Machine != machine.ID {
				t.reachability.ProbeFailed(now, machine)
				onResult(now, false)
				return
			}
			onResult(now, true)
			switch restarted := t.reachability.ProbeAnswered(now, machine, probeID, &report); {
			case restarted:
				t.heartbeats.HandleEnded(now, machine, t.workers.ReleaseAll(machine))
			case result.Status == 409:
				if tries > 0 && report.FencingToken <= t.fencingToken && !machine.Reconciled {
					t.sendProbe(now, machine, report.Incarnation, tries-1, func(time.Time, bool) {})
				}
			case !machine.Reconciled && report.FencingToken == t.fencingToken && machine.IsNewer(&report):
				t.heartbeats.Reconcile(now, machine, &report, false)
			}
		},
	})
}

// isHeartbeatOverdue reports whether nothing certain has come of the machine for longer than its reports take.
func (t *Reconciler) isHeartbeatOverdue(now time.Time, machine *worker.Machine) bool {
	return now.Sub(machine.LastContactAt) >= t.platform.HeartbeatInterval*5/4+time.Second
}

// probeRequested asks the machines of which it is in doubt whether they hear us.
func (t *Reconciler) probeRequested(now time.Time) {
	for _, machine := range t.reachability.TakeProbeRequests() {
		if t.workers.Machines[machine.ID] == machine && !t.probe(now, machine) {
			t.reachability.RequestProbe(machine)
		}
	}
}

// probeSampleSize is how many machines are asked directly, twice a second, while the silence may be our own.
const probeSampleSize = 4

// probeSample asks some of the machines, others each time: what they answer tells whether it is we who are not
// reached. Only machines that have shown themselves to this leadership tell, if there are any: the questions of a
// takeover go ever again to those that are no more, and counted they would make a leader deaf that has lost a
// zone. If only callers elsewhere are the reason, those that report are asked.
func (t *Reconciler) probeSample(now time.Time) {
	if now.Before(t.nextProbeSample) || !t.connectivity.NeedsProbes(now) {
		return
	}
	t.nextProbeSample = now.Add(probeTimeout / 2)
	suspected := t.connectivity.SuspectsPartition(now)
	machines := t.workers.MachinesByName()
	up := slices.ContainsFunc(machines, func(machine *worker.Machine) bool { return machine.HasReported })
	for remaining, visited := probeSampleSize, 0; remaining > 0 && visited < len(machines); visited++ {
		t.sampleOffset++
		machine := machines[t.sampleOffset%len(machines)]
		if up && !machine.HasReported || machine.Addr == "" || machine.DrainReason != worker.NotDraining ||
			t.workers.IsLeaseExpired(now, machine) ||
			!suspected && t.isHeartbeatOverdue(now, machine) ||
			!t.reachability.IsProbeDue(now, machine) {
			continue
		}
		if !t.canProbe() {
			return
		}
		remaining--
		t.probeBudget--
		t.sendProbe(
			now,
			machine,
			max(machine.Incarnation, 1),
			3,
			func(now time.Time, answered bool) { t.connectivity.RecordProbe(now, suspected, answered) },
		)
	}
}

// terminateSilent asks the machines whose reports are missing and deletes those that do not
// answer: the cloud's answer tells that their tasks are gone well before their leases do,
// and a takeover need not wait for them. Where many fall silent at once it is rather we who
// cannot be reached, and the leases decide. What the cloud itself lists as failed has stopped, however
// much else is silent: a site of one machine, all of which had been killed, waited for the lease of the
// machine that was no more. Nothing is deleted while no report at all comes through: one third
// after the other was, on both recorded days of the operations sites, all of them well.
func (t *Reconciler) terminateSilent(now time.Time) {
	var silent, failed []string
	machineCount := 0
	suspected := t.connectivity.SuspectsPartition(now)
	t.expectedHeartbeats, t.overdueHeartbeats = 0, 0
	sentinels := map[string]int{}
	for id, machine := range t.workers.Machines {
		if !machine.HasReported && !machine.Registered || machine.DrainReason == worker.DrainUnresponsive ||
			machine.DrainReason == worker.DrainTerminating {
			continue
		}
		machineCount++
		if machine.IsSentinel {
			if machine.IsSentinel = t.zones.IsUnavailable(machine.Zone); machine.IsSentinel {
				sentinels[machine.Zone]++
				continue
			}
		}
		overdue := t.isHeartbeatOverdue(now, machine)
		if !t.workers.IsLeaseExpired(now, machine) {
			t.expectedHeartbeats++
			if overdue || machine.IsUnreachable {
				t.overdueHeartbeats++
			}
		}
		if instance := t.cloud.Instances[id]; instance != nil && instance.State == cloud.StateFailed && !instance.Deleting && !t.completed {
			machine.DrainReason = worker.DrainUnresponsive
			failed = append(failed, id)
			continue
		}
		if suspected {
			continue
		}
		if overdue || t.reachability.IsSuspected(machine) {
			t.probe(now, machine)
		}
		if t.reachability.IsUnresponsive(now, machine) {
			silent = append(silent, id)
		}
	}
	if len(failed) > 0 {
		t.cloud.Terminate(failed, "failed")
	}
	if len(silent) == 0 || len(silent)*3 > machineCount {
		return
	}
	if silent = t.keepSentinels(silent, sentinels); len(silent) == 0 {
		return
	}
	for _, id := range silent {
		t.workers.Machines[id].DrainReason = worker.DrainUnresponsive
	}
	t.cloud.Terminate(silent, string(worker.DrainUnresponsive))
}

// keepSentinels keeps some machines of a zone that is cut, those on which the least was lost: their reports tell
// of its return at once, and they need not boot.
func (t *Reconciler) keepSentinels(ids []string, sentinels map[string]int) []string {
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.workers.Machines[a].UsedCPUs, t.workers.Machines[b].UsedCPUs), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(ids, func(id string) bool {
		machine := t.workers.Machines[id]
		if sentinels[machine.Zone] >= t.zones.SentinelCount(machine.Zone) {
			return false
		}
		sentinels[machine.Zone]++
		machine.IsSentinel = true
		return true
	})
}
