package main

import "time"

// replicasWait is how long after the trouble all replicas must run again.
const replicasWait = 90 * time.Second

// replicas runs a service whose four replicas are spread over two zones, with one machine up in each zone at the start. In trouble the
// machine of one zone stops with all that is on it. The cloud has more machines of this zone.
func replicas(l *lab, trouble bool) bool {
	keel := machineType{"patitiri", 32, 128, 2.26, 0.68, 2 * time.Second, l.zoneNames()}
	l.cloud = newCloud(l, []machineType{keel}, 40)
	l.prepare()
	for _, zone := range l.zoneNames() {
		l.cloud.add(zone)
	}
	l.startAll()
	client := newClient()
	service := &job{
		id: "job-000001", crew: "harvest-records", image: "img-1", imageGB: 0.1, tasks: 4, cpus: 1, mem: 2.1, spot: true,
		service: true, spread: true,
	}
	if !l.submit(client, service) {
		l.fail("%s was not accepted", service.id)
	}
	if !l.awaitRunning(service, 20*time.Second) {
		l.fail("the replicas do not start")
	}
	if trouble {
		for _, m := range l.cloud.all() {
			if m.zone == l.zoneNames()[1] {
				l.note("trouble", "%s in %s stops with all that is on it", m.id, m.zone)
				l.cloud.take(m.id)
			}
		}
	}
	time.Sleep(time.Second)
	if !l.awaitRunning(service, replicasWait) {
		l.check.mu.Lock()
		l.check.breaks("an accepted job must run", "%d of %d replicas run %v later", l.check.onMachines(service), service.tasks, replicasWait)
		l.check.mu.Unlock()
	}
	for _, m := range l.cloud.all() {
		l.note("judge", "%s in %s is up and runs %v", m.id, m.zone, m.running())
	}
	l.poll(client, service)
	return len(l.check.allBroken()) > 0
}

// awaitRunning waits until all replicas of a service run.
func (l *lab) awaitRunning(j *job, d time.Duration) bool {
	client := newClient()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		l.check.mu.Lock()
		running := l.check.onMachines(j)
		l.check.mu.Unlock()
		if running == j.tasks {
			return true
		}
		l.poll(client, j)
	}
	return false
}
