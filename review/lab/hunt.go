package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"gullrudder/internal/wire/codec"
)

func hunt(seed uint64, length time.Duration, record string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	l := newLab(record)
	l.teams = []any{
		map[string]any{"name": "red", "cpus": 4.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0},
		map[string]any{"name": "blue", "cpus": 4.0, "cpus_max": 20.0, "gpus": 0.0, "gpus_max": 0.0},
	}
	l.check.limits = map[string]float64{"red": 24, "blue": 20}
	l.state["write_rps"] = 30.0
	switch seed % 5 {
	case 1:
		l.lease, l.cancel, l.report = 4*time.Second, 12*time.Second, 500*time.Millisecond
	case 2:
		l.lease, l.cancel = 8*time.Second, 7*time.Second
	case 3:
		l.state["value_kb"], l.state["write_rps"] = 2.0, 60.0
	}
	l.zoneCuts = seed >= 400
	if seed >= 200 && seed < 400 {
		l.imageDigits = 180 // larger records
		l.lowerLimits(length, seed >= 300)
	}
	l.cloud = newCloud(l, []machineType{
		{"trygos", 8, 32, 0.57, 0.18, 2 * time.Second, []string{"nemea-room", "patras-room"}},
		{"patitiri", 16, 64, 1.2, 0.4, time.Second, []string{"nemea-room", "patras-room"}},
	}, 8)
	l.copies = seed%2 == 0
	l.prepare()
	defer l.end()
	l.startAll()
	if seed%3 != 0 {
		l.applySettings("<gullrudder><seal-after>0</seal-after><seal-jobs>2</seal-jobs><merge-runs>2</merge-runs></gullrudder>")
	}
	stop := time.Now().Add(length)
	go l.users(rng.Uint64(), stop)
	l.troubles(rng, stop)
	time.Sleep(5 * time.Second)
	l.finish()
}

// lowerLimits makes the state service lower its limits. If upgraded, the controllers learn that only by a restart with new settings.
func (l *lab) lowerLimits(length time.Duration, upgraded bool) {
	l.state["value_kb"], l.state["write_rps"], l.state["txn_ops"] = 8.0, 30.0, 12
	l.store.setLimits(&storeLimits{rps: 200, writeRPS: 30, valueKB: 8, txnOps: 12})
	announce := func() {
		l.state["next"] = map[string]any{"value_kb": 2.0, "write_rps": 30.0, "txn_ops": 4}
	}
	if upgraded {
		time.AfterFunc(length/3, func() {
			announce()
			l.writeSettings()
			l.note("trouble", "upgrade")
			for _, n := range l.nodes {
				l.crash(n, time.Second)
				time.Sleep(3 * time.Second)
			}
		})
	} else {
		announce()
	}
	time.AfterFunc(length/3+15*time.Second, func() {
		sizes := map[string]int{}
		l.store.mu.Lock()
		for name, k := range l.store.keys {
			if raw, _ := json.Marshal(k.value); len(raw) > 1024 {
				sizes[name] = len(raw)
			}
		}
		l.store.mu.Unlock()
		l.note("trouble", "limits lowered; values above 1 KB: %v", sizes)
		l.store.setLimits(&storeLimits{rps: 200, writeRPS: 30, valueKB: 2, txnOps: 4})
	})
}

// applySettings applies options as an operator does, so that jobs are archived soon after their end.
func (l *lab) applySettings(text string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		url := "http://" + l.nodes[0].public + "/settings"
		status, _, _ := call(newClient(), 2*time.Second, http.MethodPost, url, codec.Object{"who": "review", "text": text})
		if status == http.StatusOK {
			l.note("settings", "%s", text)
			return
		}
	}
}

func (l *lab) finish() {
	l.check.mu.Lock()
	done, open := 0, 0
	for _, j := range l.check.jobs {
		if j.called != "" {
			done++
		} else if !j.accepted.IsZero() {
			open++
			_, why, _ := call(newClient(), 2*time.Second, http.MethodGet, "http://"+l.nodes[0].public+"/work/"+j.id+"/explain", nil)
			l.note("open", "%s accepted %.0f s ago, done %d of %d, %+v: %v", j.id, time.Since(j.accepted).Seconds(), j.doneCount, j.tasks, j, why)
		}
	}
	fmt.Printf("%d jobs, %d ended, %d open, %d starts, %d broken\n", len(l.check.jobs), done, open, l.check.starts, len(l.check.broken))
	for _, b := range l.check.broken {
		fmt.Println("  ", b)
	}
	l.check.mu.Unlock()
	fmt.Println("refused by limits:", l.store.refusals)
}

func (l *lab) users(seed uint64, stop time.Time) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var last []*job
	for i := 0; time.Now().Before(stop.Add(-45 * time.Second)); i++ {
		j := &job{
			id: fmt.Sprintf("job-%06d", 1000+i), crew: []string{"red", "blue"}[rng.IntN(2)],
			image:   fmt.Sprintf("img-%0*d", l.imageDigits, rng.IntN(4)),
			imageGB: 0.1 + rng.Float64()/2, tasks: 1 + rng.IntN(6), cpus: float64(1 + rng.IntN(3)), mem: 1 + 3*rng.Float64(),
			run: time.Duration(300+rng.IntN(4000)) * time.Millisecond, spot: rng.IntN(2) == 0,
		}
		switch rng.IntN(8) {
		case 0:
			j.oneZone = true
		case 1:
			j.spread = true
		case 2:
			j.zone = []string{"nemea-room", "patras-room"}[rng.IntN(2)]
		case 3:
			j.keels = []string{"trygos"}
		case 4:
			j.service, j.tasks, j.cpus = true, 1+rng.IntN(4), 1
			j.oneZone = rng.IntN(2) == 0
			j.spread = !j.oneZone
		case 5:
			j.saves, j.tieup, j.run = 1, 1, time.Duration(3+rng.IntN(6))*time.Second
		case 6:
			j.fails = rng.IntN(3) == 0
		}
		if rng.IntN(5) == 0 {
			j.id = fmt.Sprintf("job-%012d", 1000+i)
		}
		if len(last) > 3 && rng.IntN(4) == 0 {
			o := last[rng.IntN(len(last))]
			l.check.mu.Lock()
			if !o.service && !o.accepted.IsZero() {
				j.tows = []string{o.id}
			}
			l.check.mu.Unlock()
		}
		last = append(last, j)
		if len(last) > 12 {
			last = last[1:]
		}
		go l.user(j, rng.Uint64(), stop)
		time.Sleep(time.Duration(200+rng.IntN(2000)) * time.Millisecond)
	}
}

// user submits a job, polls it, cancels some and asks at all controllers after each final answer.
func (l *lab) user(j *job, seed uint64, stop time.Time) {
	rng := rand.New(rand.NewPCG(seed, 5))
	client := newClient()
	if !l.submit(client, j) {
		return
	}
	l.lookClosely(j)
	cancelAt := time.Time{}
	if j.service || j.fails || rng.IntN(4) == 0 {
		cancelAt = time.Now().Add(time.Duration(rng.IntN(20000)) * time.Millisecond)
	}
	for time.Now().Before(stop.Add(4 * time.Second)) {
		if !cancelAt.IsZero() && time.Now().After(cancelAt) {
			l.withdraw(client, j)
			l.lookClosely(j)
			cancelAt = time.Time{}
		}
		trim := l.poll(client, j)
		if trim == "done" || trim == "cancelled" {
			l.lookClosely(j)
			time.Sleep(time.Duration(rng.IntN(15)) * time.Second)
			l.lookClosely(j)
			return
		}
		time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
	}
}

func (l *lab) lookClosely(j *job) {
	for range 2 {
		for _, n := range l.nodes {
			go func() {
				client := newClient()
				l.ask(client, n, http.MethodGet, "/work/"+j.id, nil, 2*time.Second)
				l.ask(client, n, http.MethodPost, "/work", j.submission(), 5*time.Second)
			}()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// troubles brings about troubles of the pages until stop. The last 20 s are quiet.
func (l *lab) troubles(rng *rand.Rand, stop time.Time) {
	time.Sleep(8 * time.Second)
	for time.Now().Before(stop.Add(-40 * time.Second)) {
		go l.trouble(rand.New(rand.NewPCG(rng.Uint64(), 11)))
		time.Sleep(time.Duration(1000+rng.IntN(5000)) * time.Millisecond)
	}
	time.Sleep(time.Until(stop))
}

func (l *lab) trouble(rng *rand.Rand) {
	n := l.nodes[rng.IntN(len(l.nodes))]
	if o := l.leader(); o != nil && rng.IntN(2) == 0 {
		n = o
	}
	d := time.Duration(500+rng.IntN(6000)) * time.Millisecond
	if l.zoneCuts && rng.IntN(4) == 0 {
		l.troubleZone(rng, 4*d)
		return
	}
	if machines := l.cloud.all(); len(machines) > 0 && rng.IntN(2) == 0 {
		l.troubleMachine(rng, machines[rng.IntN(len(machines))], d)
		return
	}
	switch rng.IntN(7) {
	case 0:
		l.crash(n, time.Duration(rng.IntN(4000))*time.Millisecond)
	case 1:
		l.signal(n, syscall.SIGSTOP)
		time.Sleep(d)
		l.signal(n, syscall.SIGCONT)
	case 2:
		l.during(d, "state service down", l.store.setDown)
	case 3:
		l.during(d, "state service refuses "+n.name, func(on bool) { l.store.setRefused(n.name, on) })
	case 4:
		l.during(d, n.name+" loses state service and peers", func(on bool) { l.cutNode(n, on) })
	case 5:
		l.during(d, "late commits", func(on bool) { l.store.setLate(on, rng) })
	case 6:
		for _, n := range l.nodes {
			l.crash(n, 0)
		}
	}
}

// during brings a trouble about for a time.
func (l *lab) during(d time.Duration, name string, set func(on bool)) {
	l.note("trouble", "%s for %v", name, d)
	set(true)
	time.Sleep(d)
	set(false)
	l.note("trouble", "%s: over", name)
}

// troubleZone cuts off all machines of a zone, or all machines from one controller.
func (l *lab) troubleZone(rng *rand.Rand, d time.Duration) {
	if !l.zoneCut.TryLock() {
		return
	}
	defer l.zoneCut.Unlock()
	if rng.IntN(3) == 0 {
		l.during(2*d, "slow state service", func(on bool) {
			if l.store.setSlow(0); on {
				l.store.setSlow(400 * time.Millisecond)
			}
		})
		return
	}
	zone, target := []string{"nemea-room", "patras-room"}[rng.IntN(2)], rng.IntN(len(l.nodes))
	if rng.IntN(3) == 0 {
		l.during(d/2, fmt.Sprintf("workers do not reach controller %d", target), func(on bool) {
			for _, m := range l.cloud.all() {
				m.links[target].hold(on, on)
			}
		})
		return
	}
	l.during(d, "zone cut "+zone, func(on bool) {
		for _, m := range l.cloud.all() {
			if m.zone != zone {
				continue
			}
			for _, k := range m.links {
				k.hold(on, on)
			}
			m.inbound.hold(on, on)
		}
	})
}

func (l *lab) troubleMachine(rng *rand.Rand, m *machine, d time.Duration) {
	switch rng.IntN(5) {
	case 0:
		l.note("trouble", "%s hangs %v", m.id, d)
		m.hang(d)
	case 1:
		reports, answers := rng.IntN(2) == 0, rng.IntN(2) == 0
		l.during(2*d, fmt.Sprintf("%s cut (reports held %v, answers held %v)", m.id, reports, answers), func(on bool) {
			for _, k := range m.links {
				k.hold(on && reports, on && answers)
			}
			m.inbound.hold(on && answers, on && reports)
		})
	case 2:
		l.note("trouble", "%s stops", m.id)
		l.cloud.take(m.id)
	case 3:
		l.note("trouble", "%s: answers lost %v", m.id, 2*d)
		m.mu.Lock()
		m.deafUntil = time.Now().Add(2 * d)
		m.mu.Unlock()
	case 4:
		if !m.spot {
			return
		}
		l.note("trouble", "%s gets a notice", m.id)
		m.mu.Lock()
		m.recallAt, m.changed = time.Now().Add(8*time.Second), true
		m.mu.Unlock()
		time.Sleep(8 * time.Second)
		l.cloud.take(m.id)
	}
}

func (l *lab) crash(n *node, pause time.Duration) {
	n.restart.Lock()
	defer n.restart.Unlock()
	l.signal(n, syscall.SIGKILL)
	time.Sleep(pause + 20*time.Millisecond)
	l.start(n)
}

func (l *lab) cutNode(n *node, cut bool) {
	n.toState.hold(cut, cut)
	for _, o := range l.nodes {
		if o != n {
			o.peerIn[n.name].hold(cut, cut)
			n.peerIn[o.name].hold(cut, cut)
		}
	}
}
