package simulator

import (
	"fmt"
	"runtime"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Scaled is what a large fleet costs its leader, in real time of this machine, and how it comes back
// after a failure of many at once, in virtual time.
type Scaled struct {
	Machines, Tasks int           // that were up, and ran, before the failure
	Steps           int           // of the owners, in a minute of load
	Step, Longest   time.Duration // real time a step took on average, and at most
	Busy            float64       // share of one processor that all owners took together
	Writes          float64       // changes a second of the state service
	Heap            int           // MB of the whole process, the world included
	Placing         time.Duration // from the failure until somebody places again
	Again           time.Duration // from the failure until as many tasks run as the machines left have room for
}

// Scale fills a fleet of so many machines, measures a minute of it, and then has a third of the machines
// and the leader end at the same moment.
func (w *World) Scale(machines int) (Scaled, error) {
	const tasks, run = 40, 40 * time.Second
	cpus := 0
	for i := 0; cpus < 12*machines; i++ { // more than the fleet has, all the time
		s := jobs.Spec{
			ID: fmt.Sprintf("job-%07d", i), Class: fmt.Sprintf("class-%d", i%5), Team: "t", Priority: jobs.Normal, Tasks: tasks, CPUs: 1,
			MemoryGB: 1, Image: "img", ImageGB: 1, AllowsSpot: true, RunTimeEstimate: run,
		}
		cpus += tasks
		for again := range 5 {
			id := s
			id.ID = fmt.Sprintf("job-%d%06d", again+1, i)
			w.At(time.Duration(again)*45*time.Second+time.Duration(i)*30*time.Second*40/time.Duration(12*machines), func() { w.Users.Send(id, run) })
		}
	}
	w.Run(75 * time.Second)
	w.stepped, w.longest, w.steps = 0, 0, 0
	wrote, began := w.State.tide, w.Now
	w.Run(time.Minute)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s := Scaled{
		Machines: len(
			w.Cloud.running(),
		),
		Tasks:   w.onMachines(),
		Steps:   w.steps,
		Step:    w.stepped / time.Duration(max(w.steps, 1)),
		Longest: w.longest,
		Busy:    w.stepped.Seconds() / w.Now.Sub(began).Seconds(),
		Writes:  float64(w.State.tide-wrote) / 60,
		Heap:    int(mem.HeapAlloc >> 20),
	}
	for range s.Machines / 3 {
		w.Cloud.Die()
	}
	for i := range w.nodes {
		if acting, _ := w.acts(i); acting {
			w.Crash(i, 8*time.Second)
		}
	}
	left, failed := s.Tasks*2/3, w.Now
	for w.Now.Sub(failed) < 2*time.Minute && (s.Placing == 0 || s.Again == 0) {
		w.Run(100 * time.Millisecond)
		for i := range w.nodes {
			if _, placing := w.acts(i); placing && s.Placing == 0 {
				s.Placing = w.Now.Sub(failed)
			}
		}
		if s.Placing > 0 && s.Again == 0 && w.onMachines() >= left*95/100 {
			s.Again = w.Now.Sub(failed)
		}
	}
	if len(w.Broken) > 0 {
		return s, fmt.Errorf("a rule is broken: %v", w.Broken)
	}
	return s, nil
}

// onMachines is how many tasks have their image on a machine that is there.
func (w *World) onMachines() int {
	n := 0
	for _, m := range w.Cloud.running() {
		for _, t := range m.tasks {
			if t.state == "running" {
				n++
			}
		}
	}
	return n
}
