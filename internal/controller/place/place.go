// Package place decides where a task may run and which machine it takes: the rules for
// types, zones and kinds, the teams' limits, and the packing. Its Placer owns the order of a
// leadership, what is held for whom, and the booked places of gangs. It never rents, returns or
// writes down anything.
package place

import (
	"math"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
)

const grain = 1e-6

// KindAllowed reports whether the job may run on such machines at all.
func KindAllowed(j *jobs.Job, k fleet.Kind) bool {
	if k.Spot && !j.Spot || j.Zone != "" && j.Zone != k.Zone {
		return false
	}
	if len(j.Types) == 0 {
		return true
	}
	for _, t := range j.Types {
		if t == k.Type {
			return true
		}
	}
	return false
}

// TypeFits reports whether an empty machine of the type holds one task.
func TypeFits(j *jobs.Job, t *fleet.Type) bool {
	return j.CPUs <= t.CPUs+grain && j.Cards <= t.Cards+grain && j.Mem <= t.Mem+grain
}

// Size is what an empty machine of the type has.
func Size(t *fleet.Type) workers.Resources {
	return workers.Resources{CPUs: t.CPUs, GPUs: t.Cards, MemoryGB: t.Mem}
}

// PerMachine is how many tasks an empty machine of the type holds.
func PerMachine(j *jobs.Job, t *fleet.Type) int {
	return Size(t).TasksThatFit(j)
}

// ZoneRoom is how many more tasks of the job may be put into the zone, given where its
// other tasks are or may still be.
func ZoneRoom(j *jobs.Job, zone string) int {
	if !j.OneZone && !j.Spread {
		return j.Tasks
	}
	here, elsewhere := j.InZone(zone)
	if j.OneZone && elsewhere > 0 {
		return 0
	}
	if j.Spread {
		return max((j.Tasks+1)/2-here, 0)
	}
	return j.Tasks
}

// TeamRoom is how many more tasks of the job its team's limit allows.
func TeamRoom(j *jobs.Job, t config.Team, u *workers.Usage) int {
	n := j.Tasks
	if t.CPULimit > 0 && j.CPUs > 0 {
		n = min(n, int(math.Floor((t.CPULimit-u.CPUs+grain)/j.CPUs)))
	}
	if t.CardsLimit > 0 && j.Cards > 0 {
		n = min(n, int(math.Floor((t.CardsLimit-u.GPUs+grain)/j.Cards)))
	}
	return max(n, 0)
}

// OverLimit reports whether the job can never run within its team's limit.
func OverLimit(j *jobs.Job, t config.Team) bool {
	n := 1.0
	if j.Service || j.Gang {
		n = float64(j.Tasks)
	}
	return t.CPULimit > 0 && n*j.CPUs > t.CPULimit+grain || t.CardsLimit > 0 && n*j.Cards > t.CardsLimit+grain
}

// Kind is the kind of a machine.
func Kind(m *workers.Machine) fleet.Kind { return fleet.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot} }

// Usable reports whether tasks of the job may be started on the machine if there is room. On one that is kept
// to tell of its zone's return none may: its room looked free, and nothing was held elsewhere for jobs that
// had waited long. Nor on one that seems to hear nothing of us.
func Usable(j *jobs.Job, m *workers.Machine) bool {
	return m.DrainReason == workers.NotDraining && !m.IsSentinel && !m.IsUnreachable && m.CPUs+m.MemoryGB > 0 && (len(m.FailedJobs) == 0 || !m.FailedJobs[j.ID]) && KindAllowed(j, Kind(m))
}

// Fuller reports whether a is the better place to pack onto than b.
func Fuller(a, b *workers.Machine) bool {
	fa, fb := a.UsedCPUs/max(a.CPUs, grain), b.UsedCPUs/max(b.CPUs, grain)
	if math.Abs(fa-fb) > grain {
		return fa > fb
	}
	if a.CPUs != b.CPUs {
		return a.CPUs > b.CPUs
	}
	return a.ID < b.ID
}
