package simulator

import "time"

// Failures of a leader, by name, as they are brought about.
func (w *World) failures() map[string]func(leader int) {
	const long = 12 * time.Second
	apart := func(leader int, hosts ...string) {
		for _, h := range hosts {
			w.Cut(nodeName(leader), h, long)
		}
	}
	fromWorkers := func(leader int) {
		for _, m := range w.Cloud.running() {
			w.Cut(nodeName(leader), m.id, 2*w.Opt.Lease)
		}
	}
	others := func(leader int) (list []string) {
		for i := range w.Opt.Nodes {
			if i != leader {
				list = append(list, nodeName(i))
			}
		}
		return list
	}
	return map[string]func(int){
		"it ends":                                    func(l int) { w.Crash(l, 3*time.Second) },
		"refused by the state service alone":         func(l int) { w.State.Refuse(nodeName(l), long) },
		"cut from the state service":                 func(l int) { apart(l, "state") },
		"cut from everything":                        func(l int) { apart(l, append(others(l), "state", "user")...) },
		"cut from the workers":                       fromWorkers,
		"cut from the other controllers":             func(l int) { apart(l, others(l)...) },
		"it stands still for 4 s":                    func(l int) { w.Pause(l, 4*time.Second) },
		"the state service is away for 4 s":          func(int) { w.State.Outage(4 * time.Second) },
		"it ends while the state service is away":    func(l int) { w.State.Outage(4 * time.Second); w.Crash(l, 3*time.Second) },
		"all controllers end, one after the other":   func(l int) { w.roll(l, 9*time.Second) },
		"refused by the state service, peers refuse": func(l int) { w.State.Refuse(nodeName(l), long); apart(l, others(l)...) },
	}
}

func (w *World) roll(first int, every time.Duration) {
	for i := range w.Opt.Nodes {
		w.At(time.Duration(i)*every, func() { w.Crash((first+i)%w.Opt.Nodes, 3*time.Second) })
	}
}

// Gap is how long nobody acted after a failure of the leader.
type Gap struct {
	Cause string
	// Without anybody entitled to act, to place, and to act with the state service within reach, so that
	// submissions are accepted.
	Acting, Placing, Accepting time.Duration
}

// FailLeader plays a world with some work and machines, brings about one failure of the leader and
// counts for how long in the time after it nobody is entitled to act, and nobody places.
func (w *World) FailLeader(cause string, watch time.Duration) Gap {
	for i := range 20 {
		w.At(time.Duration(i)*500*time.Millisecond, w.Users.Submit)
	}
	w.Run(15*time.Second + time.Duration(w.Rng.IntN(3000))*time.Millisecond)
	leader := -1
	for i := range w.nodes {
		if acting, _ := w.acts(i); acting {
			leader = i
		}
	}
	g := Gap{Cause: cause}
	if leader < 0 {
		return g
	}
	w.failures()[cause](leader)
	const step = 5 * time.Millisecond
	for range int(watch / step) {
		w.Run(step)
		someActs, somePlaces, someAccept := false, false, false
		for i := range w.nodes {
			acting, placing := w.acts(i)
			someActs, somePlaces = someActs || acting, somePlaces || placing
			someAccept = someAccept || acting && !w.State.refuses(nodeName(i)) && !w.Now.Before(w.cutUntil(nodeName(i), "state"))
		}
		if !someActs {
			g.Acting += step
		}
		if !someAccept {
			g.Accepting += step
		}
		if !somePlaces {
			g.Placing += step
		}
	}
	return g
}

// Failures lists the names of the failures that FailLeader knows.
func (w *World) Failures() []string {
	var list []string
	for name := range w.failures() {
		list = append(list, name)
	}
	return list
}

func (w *World) acts(i int) (acting, placing bool) {
	c := w.nodes[i]
	if c.node == nil || w.Now.Before(c.paused) {
		return false, false
	}
	return c.node.LeadershipState(w.local(c))
}
