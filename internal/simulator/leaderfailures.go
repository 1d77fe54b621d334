package simulator

import "time"

// leaderFailures returns functions that inject a failure of the leader, by the name of the failure. cmd/faulttest prints the names.
func (sim *Cluster) leaderFailures() map[string]func(leader int) {
	const span = 12 * time.Second
	cutFrom := func(leader int, hosts ...string) {
		for _, host := range hosts {
			sim.CutLink(controllerName(leader), host, span)
		}
	}
	cutFromWorkers := func(leader int) {
		for _, m := range sim.Cloud.runningMachines() {
			sim.CutLink(controllerName(leader), m.id, 2*sim.Options.WorkerLease)
		}
	}
	others := func(leader int) (list []string) {
		for i := range sim.Options.Controllers {
			if i != leader {
				list = append(list, controllerName(i))
			}
		}
		return list
	}
	return map[string]func(int){
		"it ends":                                    func(l int) { sim.Crash(l, 3*time.Second) },
		"refused by the state service alone":         func(l int) { sim.State.Refuse(controllerName(l), span) },
		"cut from the state service":                 func(l int) { cutFrom(l, "state") },
		"cut from everything":                        func(l int) { cutFrom(l, append(others(l), "state", userHost)...) },
		"cut from the workers":                       cutFromWorkers,
		"cut from the other controllers":             func(l int) { cutFrom(l, others(l)...) },
		"it stands still for 4 s":                    func(l int) { sim.Pause(l, 4*time.Second) },
		"the state service is away for 4 s":          func(int) { sim.State.Outage(4 * time.Second) },
		"it ends while the state service is away":    func(l int) { sim.State.Outage(4 * time.Second); sim.Crash(l, 3*time.Second) },
		"all controllers end, one after the other":   func(l int) { sim.rollingRestart(l, 9*time.Second) },
		"refused by the state service, peers refuse": func(l int) { sim.State.Refuse(controllerName(l), span); cutFrom(l, others(l)...) },
	}
}

// rollingRestart crashes all controllers one after the other, beginning with the given one.
func (sim *Cluster) rollingRestart(first int, interval time.Duration) {
	for i := range sim.Options.Controllers {
		sim.At(time.Duration(i)*interval, func() { sim.Crash((first+i)%sim.Options.Controllers, 3*time.Second) })
	}
}

// LeaderGap is the result of FailLeader: for how long the cluster lacked each service after the leader failed.
type LeaderGap struct {
	Cause string
	// Total time without a controller that holds the leader lease, without one that places tasks, and without a leader that reaches the
	// state service and so can accept jobs.
	WithoutLeader, WithoutPlacement, WithoutAcceptance time.Duration
}

// FailLeader simulates a cluster with jobs and machines, injects one failure of the leader and measures the gaps for the given time. The
// cause must be one of LeaderFailures. All gaps are zero if there is no leader to fail.
func (sim *Cluster) FailLeader(cause string, observedFor time.Duration) LeaderGap {
	for i := range 20 {
		sim.At(time.Duration(i)*500*time.Millisecond, sim.Users.SubmitRandom)
	}
	sim.Run(15*time.Second + time.Duration(sim.Rand.IntN(3000))*time.Millisecond)
	leader := -1
	for i := range sim.controllers {
		if holdsLease, _ := sim.leadershipOf(i); holdsLease {
			leader = i
		}
	}
	gap := LeaderGap{Cause: cause}
	if leader < 0 {
		return gap
	}
	sim.leaderFailures()[cause](leader)
	const step = 5 * time.Millisecond
	for range int(observedFor / step) {
		sim.Run(step)
		anyLeader, anyPlacing, anyAccepting := false, false, false
		for i := range sim.controllers {
			holdsLease, placing := sim.leadershipOf(i)
			anyLeader, anyPlacing = anyLeader || holdsLease, anyPlacing || placing
			anyAccepting = anyAccepting ||
				holdsLease && !sim.State.isRefusing(controllerName(i)) && !sim.Now.Before(sim.linkCutUntil(controllerName(i), stateHost))
		}
		if !anyLeader {
			gap.WithoutLeader += step
		}
		if !anyAccepting {
			gap.WithoutAcceptance += step
		}
		if !anyPlacing {
			gap.WithoutPlacement += step
		}
	}
	return gap
}

// LeaderFailures returns the causes that FailLeader accepts, in random order.
func (sim *Cluster) LeaderFailures() []string {
	var list []string
	for name := range sim.leaderFailures() {
		list = append(list, name)
	}
	return list
}

// leadershipOf reports whether a controller holds the leader lease, and whether it places tasks.
func (sim *Cluster) leadershipOf(i int) (holdsLease, placing bool) {
	process := sim.controllers[i]
	if process.controller == nil || sim.Now.Before(process.pausedUntil) {
		return false, false
	}
	return process.controller.LeadershipState(sim.localTime(process))
}
