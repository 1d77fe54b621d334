package timeline

import (
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
)

// View is what a look sees of the other slices.
type View struct {
	Placing bool // a takeover is complete
	Healthy bool // the state service takes changes
	Teams   map[string]config.Team
	Fleet   *workers.Registry
	Cloud   *fleet.Cloud
	Order   []plan.Entry // in which jobs get room
}

// seen is one look: what it found for a shape of job holds for all that have it.
type seen struct {
	View
	up     []*workers.Machine
	shapes map[shape]room
	coming []fleet.Kind          // of machines that are rented and not up
	free   float64               // CPUs that are free, and not held
	held   float64               // free and held
	ahead  map[*jobs.Job]float64 // CPUs that wait before a job in the order
}

// shape is what decides which machines a job may use and what of them it needs.
type shape struct {
	cpus, cards, mem float64
	zone, types      string
	spot             bool
}

// room is what a shape finds.
type room struct {
	usable, coming   bool
	free, freeOrHeld bool
	holders          map[*jobs.Job]bool // for whom the room is held
}

func newSeen(v View) *seen {
	s := &seen{View: v, up: v.Fleet.ReportingMachines(), shapes: map[shape]room{}, ahead: map[*jobs.Job]float64{}}
	for _, m := range s.up {
		switch {
		case m.DrainReason != workers.NotDraining:
		case m.ReservedFor == nil:
			s.free += m.CPUs - m.UsedCPUs
		default:
			s.held += m.CPUs - m.UsedCPUs
		}
	}
	ahead := 0.0
	for i := range v.Order {
		j := v.Order[i].Job
		s.ahead[j] = ahead
		ahead += float64(j.Waiting()) * j.CPUs
	}
	kinds := map[fleet.Kind]bool{}
	for id, h := range v.Cloud.Hosts {
		if m := v.Fleet.Machines[id]; !h.Deleting && h.State != fleet.Failed && m == nil && !kinds[h.Kind] {
			kinds[h.Kind] = true
			s.coming = append(s.coming, h.Kind)
		}
	}
	return s
}

func (s *seen) room(j *jobs.Job) room {
	k := shape{j.CPUs, j.Cards, j.Mem, j.Zone, strings.Join(j.Types, " "), j.Spot}
	if r, ok := s.shapes[k]; ok && j.Errors == 0 {
		return r
	}
	r := room{holders: map[*jobs.Job]bool{}}
	for _, m := range s.up {
		if !place.IsEligible(j, m) || m.TasksThatFitWhenEmpty(j) == 0 {
			continue
		}
		r.usable = true
		if m.TasksThatFit(j) == 0 {
			continue
		}
		r.freeOrHeld = true
		if m.ReservedFor == nil {
			r.free = true
			break
		}
		r.holders[m.ReservedFor] = true
	}
	for _, kind := range s.coming {
		t := s.Cloud.Types[kind.Type]
		r.coming = r.coming || t != nil && place.KindAllowed(j, kind) && place.FitsType(j, t)
	}
	if j.Errors == 0 {
		s.shapes[k] = r
	}
	return r
}

// cause says what keeps the job from being done now: of its unfinished tasks the one that is
// furthest from being done counts. A task that only waits for a loss to be made good counts to it
// once all that is left was lost.
func (s *seen) cause(now time.Time, j *jobs.Job, a *account) Cause {
	away := func(c Cause) Cause {
		if !s.Healthy {
			return StateAway
		}
		return c
	}
	switch {
	case j.State == jobs.Pending:
		return away(NotAccepted)
	case j.Finishing || j.Cancelling || j.State != jobs.Accepted || j.NDone >= j.Tasks:
		return away(NotDurable)
	case j.Waits > 0:
		return Needs
	case !s.Placing:
		return NoLeader
	}
	if j.Mistaken {
		return Failing
	}
	if left := j.Tasks - j.NDone; len(a.lost) >= left {
		worst := Cause(-1)
		for _, c := range a.lost {
			if worst < 0 || c < worst {
				worst = c
			}
		}
		return worst
	}
	if j.Waiting() > 0 {
		return s.waits(now, j)
	}
	if j.RunningTasks() < len(j.Active) {
		return starting(now, j)
	}
	return Running
}

func (s *seen) waits(now time.Time, j *jobs.Job) Cause {
	if now.Before(j.NotBefore) {
		return LostFailed
	}
	if place.TasksAllowedByQuota(j, s.Teams[j.Team], s.Fleet.TeamUsage(j.Team)) == 0 {
		return TeamLimit
	}
	r := s.room(j)
	ahead := s.ahead[j]
	switch {
	case r.free && ahead < s.free, r.freeOrHeld && r.holders[j]:
		return AwaitReport
	case r.freeOrHeld && ahead < s.free+s.held:
		return Held
	case r.usable:
		return Behind
	case r.coming:
		return Booting
	}
	return NoMachine
}

// starting is for jobs all of whose tasks have a machine and not all run: until the worker has
// reported a task, its start is on its way.
func starting(now time.Time, j *jobs.Job) Cause {
	for _, a := range j.Active {
		if a.Running.IsZero() && a.Seen == 0 {
			return AwaitReport
		}
	}
	return Image
}
