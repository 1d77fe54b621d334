package autoscaler

import (
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
)

const (
	// freeCPUShare is the share of the fleet's CPUs that stays free for what arrives next.
	freeCPUShare = 0.1
	// minRunBeforeMove is how long a task runs on a machine before it may be moved (again).
	minRunBeforeMove = 30 * time.Second
	// moveGain is how many times over the price of a move must come back: its CPUs stand
	// still while the task saves and its image is fetched.
	moveGain = 3
)

// consolidate empties machines that are hardly used, where the fuller ones have room for their
// tasks and the fleet stays large enough for what waits and some more: without it a few long
// tasks keep many machines to the end of a day. Only tasks that save are moved.
func (d *Scaler) consolidate(now time.Time) {
	slack := 0.0
	var list []*worker.Machine // the emptiest first
	for _, m := range d.workers.ReportingMachines() {
		if m.DrainReason == worker.NotDraining && m.Reconciled && !d.workers.IsLeaseExpired(now, m) {
			list = append(list, m)
			slack += (1-freeCPUShare)*m.CPUs - m.UsedCPUs
		}
	}
	order := d.placer.Order(now)
	for i, want := range d.placer.StartableTasks(order) {
		slack -= float64(want) * order[i].Job.CPUs
	}
	if slack <= 0 {
		return
	}
	slices.SortStableFunc(list, func(a, b *worker.Machine) int {
		if placement.IsFuller(b, a) {
			return -1
		}
		return 1
	})
	free := make([]worker.Resources, len(list))
	for i, m := range list {
		free[i] = m.Available()
	}
	emptied := 0
	for i, m := range list {
		// A tenth of the fleet at a time: what is moved has to start anew elsewhere.
		if emptied > len(list)/10 || m.UtilizationBucket() > worker.BucketCount/2 {
			return
		}
		if slack < m.CPUs || d.prepaidTime(now, m.ID) > 0 {
			continue
		}
		switch {
		case len(m.Attempts) == 0:
			if now.Sub(m.IdleSince) > d.options.IdleTimeout/2 {
				slack -= m.CPUs
				m.DrainReason = worker.DrainConsolidated
			}
		case d.isMovable(now, m) && fitOnOthers(m, list[i+1:], free[i+1:]):
			slack -= m.CPUs
			emptied++
			d.drain(now, m)
		}
	}
}

// isMovable reports whether all tasks on the machine save, and whether emptying it is worth
// what moving them costs.
func (d *Scaler) isMovable(now time.Time, m *worker.Machine) bool {
	var last time.Duration // until the machine would be empty by itself
	cost := 0.0            // CPU seconds that stand still
	for _, a := range m.Attempts {
		if !a.CanBePreempted(now) || now.Sub(a.AssignedAt) < minRunBeforeMove {
			return false
		}
		perTask := d.estimator.TaskRunTime(a.Job)
		last = max(last, perTask-now.Sub(a.RunningSince), perTask/4)
		cost += a.Job.CPUs * (a.Job.CheckpointDuration + m.ImageCache.FetchTime(a.Job.ImageGB) + d.platform.HeartbeatInterval).Seconds()
	}
	return last.Seconds()*m.CPUs > moveGain*cost
}

// fitOnOthers lays all tasks of the machine into the free room of others, the fullest
// first. If not all fit, nothing is taken.
func fitOnOthers(machine *worker.Machine, others []*worker.Machine, free []worker.Resources) bool {
	type taken struct {
		i int
		j *jobs.Job
	}
	var laid []taken
	for _, a := range machine.Attempts {
		found := false
		for i := len(others) - 1; i >= 0 && !found; i-- {
			if free[i].TasksThatFit(a.Job) > 0 && placement.IsEligible(a.Job, others[i]) && others[i].ReservedFor == nil {
				free[i] = free[i].AfterPlacing(a.Job, 1)
				laid = append(laid, taken{i, a.Job})
				found = true
			}
		}
		if !found {
			for _, t := range laid {
				free[t.i] = free[t.i].AfterPlacing(t.j, -1)
			}
			return false
		}
	}
	return true
}

// drain has all tasks of a machine save and stop; it is returned once they have.
func (d *Scaler) drain(now time.Time, m *worker.Machine) {
	m.DrainReason = worker.DrainConsolidated
	d.log.Info("emptying a machine", "machine", m.ID, "tasks", len(m.Attempts))
	var list []worker.Command
	for _, a := range m.Attempts {
		a.StopSentAt = now
		list = append(list, worker.Kill(a.Task.String(), a.Number, a.Job.CheckpointDuration.Seconds()))
	}
	worker.SendCommands(d.outbox, d.fencingToken, m, list)
}
