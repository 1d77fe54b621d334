package main

import (
	"fmt"
	"time"
)

const (
	burstFactor = 4                // how often the class comes, compared with the quiet case
	burstTasks  = 400              // tasks of each array
	burstRun    = 15 * time.Second // run time of a task
	burstWait   = 80 * time.Second // from the last acceptance to the judgement
)

// burst submits arrays of a class with small tasks: one of them, and in trouble several at once. Every task fits, and needs 15 s. Next to
// them runs an array of another class on the same machines.
func burst(l *lab, trouble bool) bool {
	l.cloud = newCloud(l, []machineType{{"patitiri", 32, 128, 2.26, 0.68, 3 * time.Second, l.zoneNames()}}, 3)
	l.prepare()
	l.startAll()
	client := newClient()
	count := 1
	if trouble {
		count = burstFactor
	}
	list := []*job{{
		id: "job-000001", crew: "harvest-records", image: "img-1", imageGB: 0.3, tasks: 4, cpus: 1, mem: 2.1, run: 18 * time.Second, spot: true,
	}}
	for i := range count {
		list = append(list, &job{
			id: fmt.Sprintf("job-%06d", i+2), crew: "harvest-records", image: "img-2", imageGB: 0.1, tasks: burstTasks,
			cpus: 0.015, mem: 0.05, run: burstRun, spot: true,
		})
	}
	for _, j := range list {
		if !l.submit(client, j) {
			l.fail("%s was not accepted", j.id)
		}
	}
	for end := time.Now().Add(burstWait); time.Now().Before(end); time.Sleep(5 * time.Second) {
		for _, j := range list {
			l.poll(client, j)
		}
	}
	l.check.mu.Lock()
	defer l.check.mu.Unlock()
	for _, j := range list {
		l.note("judge", "%s: %d of %d tasks completed %.0f s after it was accepted", j.id, j.doneCount, j.tasks, time.Since(j.accepted).Seconds())
		if j.doneCount == 0 {
			l.check.breaks("an accepted job must run", "no task of %s has completed, each needs %v", j.id, j.run)
		}
	}
	return len(l.check.broken) > 0
}
