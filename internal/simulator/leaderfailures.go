package simulator

import "time"

// Failures of a leader, by name, as they are brought about.
func (sim *Cluster) leaderFailures() map[string]func(leader int) {
	const long = 12 * time.Second
	apart := func(leader int, hosts ...string) {
		for _, h := range hosts {
			sim.CutLink(controllerName(leader), h, long)
		}
	}
	fromWorkers := func(leader int) {
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
		"refused by the state service alone":         func(l int) { sim.State.Refuse(controllerName(l), long) },
		"cut from the state service":                 func(l int) { apart(l, "state") },
		"cut from everything":                        func(l int) { apart(l, append(others(l), "state", "user")...) },
		"cut from the workers":                       fromWorkers,
		"cut from the other controllers":             func(l int) { apart(l, others(l)...) },
		"it stands still for 4 s":                    func(l int) { sim.Pause(l, 4*time.Second) },
		"the state service is away for 4 s":          func(int) { sim.State.Outage(4 * time.Second) },
		"it ends while the state service is away":    func(l int) { sim.State.Outage(4 * time.Second); sim.Crash(l, 3*time.Second) },
		"all controllers end, one after the other":   func(l int) { sim.rollingRestart(l, 9*time.Second) },
		"refused by the state service, peers refuse": func(l int) { sim.State.Refuse(controllerName(l), long); apart(l, others(l)...) },
	}
}

func (sim *Cluster) rollingRestart(first int, every time.Duration) {
	for i := range sim.Options.Controllers {
		sim.At(time.Duration(i)*every, func() { sim.Crash((first+i)%sim.Options.Controllers, 3*time.Second) })
	}
}

// LeaderGap is how long nobody acted after a failure of the leader.
type LeaderGap struct {
	Cause string
	// Without anybody entitled to act, to place, and to act with the state service within reach, so that
	// submissions are accepted.
	WithoutLeader, WithoutPlacement, WithoutAcceptance time.Duration
}

// FailLeader plays a world with some work and machines, brings about one failure of the leader and
// counts for how long in the time after it nobody is entitled to act, and nobody places.
func (sim *Cluster) FailLeader(cause string, watch time.Duration) LeaderGap {
	for i := range 20 {
		sim.At(time.Duration(i)*500*time.Millisecond, sim.Users.SubmitRandom)
	}
	sim.Run(15*time.Second + time.Duration(sim.Rand.IntN(3000))*time.Millisecond)
	leader := -1
	for i := range sim.controllers {
		if acting, _ := sim.leadershipOf(i); acting {
			leader = i
		}
	}
	g := LeaderGap{Cause: cause}
	if leader < 0 {
		return g
	}
	sim.leaderFailures()[cause](leader)
	const step = 5 * time.Millisecond
	for range int(watch / step) {
		sim.Run(step)
		someActs, somePlaces, someAccept := false, false, false
		for i := range sim.controllers {
			acting, placing := sim.leadershipOf(i)
			someActs, somePlaces = someActs || acting, somePlaces || placing
			someAccept = someAccept || acting && !sim.State.isRefusing(controllerName(i)) && !sim.Now.Before(sim.linkCutUntil(controllerName(i), "state"))
		}
		if !someActs {
			g.WithoutLeader += step
		}
		if !someAccept {
			g.WithoutAcceptance += step
		}
		if !somePlaces {
			g.WithoutPlacement += step
		}
	}
	return g
}

// LeaderFailures lists the names of the failures that FailLeader knows.
func (sim *Cluster) LeaderFailures() []string {
	var list []string
	for name := range sim.leaderFailures() {
		list = append(list, name)
	}
	return list
}

func (sim *Cluster) leadershipOf(i int) (acting, placing bool) {
	c := sim.controllers[i]
	if c.controller == nil || sim.Now.Before(c.pausedUntil) {
		return false, false
	}
	return c.controller.LeadershipState(sim.localTime(c))
}
