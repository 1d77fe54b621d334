package takeover

import (
	"math"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/workers"
)

const (
	// partlyAfter is how long a takeover may take before anything starts in spite of the machines that are missing. Most
	// are complete by then, and all jobs start in their order.
	partlyAfter = 2 * time.Second
	// lookEvery is how often it is seen anew what may run out of sight. It only becomes less: what has started since is
	// on machines that are accounted for.
	lookEvery = time.Second
)

// Starting reports whether tasks may start: all of them, or while machines are missing those of jobs whose acceptance this
// leader itself has committed. Leaders that ended every 37 s while half of the machines were away for a lease placed
// nothing for two thirds of the time.
func (t *Takeover) Starting() bool { return t.placing || t.partly }

// startPartly lets jobs that no earlier leader can have started go ahead of the machines that are missing.
func (t *Takeover) startPartly(now time.Time) {
	if len(t.missing) == 0 {
		t.partly = false
		t.placer.Partly(nil)
		return
	}
	if now.Sub(t.since) < partlyAfter || now.Before(t.nextHidden) {
		return
	}
	t.nextHidden = now.Add(lookEvery)
	t.placer.Partly(t.hidden())
	if !t.partly {
		t.partly = true
		t.placer.Changed()
		t.log.Info("jobs of this leader begin to start", "token", t.token, "missing", len(t.missing))
	}
}

// hidden is what each team's tasks may use at most on the machines that are missing: no more than its tasks that are neither
// done nor seen on a machine, and no more than those machines have. Cancelled jobs count like all others until they are gone.
func (t *Takeover) hidden() place.Hidden {
	room := workers.Usage{}
	for _, m := range t.missing {
		cpus, cards := t.largest(m)
		room.CPUs, room.Cards = room.CPUs+cpus, room.Cards+cards
	}
	hidden := place.Hidden{}
	for _, j := range t.book.Unfinished {
		if j.Ours || j.State == jobs.Pending || j.Waits > 0 {
			continue
		}
		u := hidden[j.Team]
		unseen := float64(j.Tasks - j.NDone - len(j.Active))
		hidden[j.Team] = workers.Usage{CPUs: min(u.CPUs+unseen*j.CPUs, room.CPUs), Cards: min(u.Cards+unseen*j.Cards, room.Cards)}
	}
	return hidden
}

// largest is what a machine has at most, as far as it is known.
func (t *Takeover) largest(m *workers.Machine) (cpus, cards float64) {
	if m.CPUs+m.Mem > 0 {
		return m.CPUs, m.Cards
	}
	if h := t.cloud.Hosts[m.ID]; h != nil {
		if typ := t.cloud.Types[h.Kind.Type]; typ != nil {
			return typ.CPUs, typ.Cards
		}
	}
	if len(t.cloud.Types) == 0 {
		return math.Inf(1), math.Inf(1)
	}
	for _, typ := range t.cloud.Types {
		cpus, cards = max(cpus, typ.CPUs), max(cards, typ.Cards)
	}
	return cpus, cards
}
