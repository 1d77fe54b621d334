package main

import (
	"fmt"
	"time"
)

const (
	// avoidedWait is the time of the rule: no job is left waiting for 90 s while a machine that fits has room.
	avoidedWait = 90 * time.Second
	// avoidedMargin covers the first attempt, which fails at once, and the heartbeats.
	avoidedMargin = 4 * time.Second
	// trickleInterval is the time between two of the small arrays that keep the machine in use.
	trickleInterval = 4 * time.Second
)

// avoided runs an array of four tasks, next to a small array every few seconds. All of them together take a third of one machine. In
// trouble one attempt of the array ends with an error, once.
func avoided(l *lab, trouble bool) bool {
	l.cloud = newCloud(l, []machineType{{"patitiri", 32, 128, 2.26, 0.68, 2 * time.Second, l.zoneNames()}}, 40)
	l.prepare()
	l.startAll()
	client := newClient()
	go l.trickle()
	time.Sleep(trickleInterval)
	array := &job{
		id: "job-000001", crew: "harvest-records", image: "img-1", imageGB: 0.1, tasks: 4, cpus: 2, mem: 5.5, run: 10 * time.Second, spot: true,
	}
	if trouble {
		array.errors = 1
	}
	if !l.submit(client, array) {
		l.fail("%s was not accepted", array.id)
	}
	for end := time.Now().Add(15 * time.Second); l.check.startsOf(array.id) < array.tasks; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			l.fail("%s does not start", array.id)
		}
	}
	for waitingSince := time.Now().Add(avoidedMargin); time.Since(waitingSince) < avoidedWait; time.Sleep(time.Second) {
		if l.poll(client, array) == "done" {
			break
		}
	}
	for _, m := range l.cloud.all() {
		l.note("judge", "%s in %s is up, has %g CPUs, and runs %v", m.id, m.zone, m.keel.cpus, m.running())
	}
	l.check.mu.Lock()
	defer l.check.mu.Unlock()
	later := 0
	for _, j := range l.check.jobs {
		if j != array && !j.lastDone.IsZero() && j.accepted.After(array.accepted) {
			later++
		}
	}
	l.note("judge", "%s: %d of %d tasks completed; %d jobs that were accepted later are done", array.id, array.doneCount, array.tasks, later)
	if array.called != "done" {
		l.check.breaks("left waiting", "%s waits for %v with %d of %d tasks done, while a machine that fits has room", array.id,
			avoidedWait, array.doneCount, array.tasks)
	}
	return len(l.check.broken) > 0
}

// trickle submits a small array every few seconds.
func (l *lab) trickle() {
	client := newClient()
	for i := 0; ; i++ {
		j := &job{
			id: fmt.Sprintf("job-%06d", 100+i), crew: "harvest-records", image: "img-1", imageGB: 0.1, tasks: 2, cpus: 1, mem: 2.1,
			run: 6 * time.Second, spot: true,
		}
		go l.submit(client, j)
		time.Sleep(trickleInterval)
	}
}
