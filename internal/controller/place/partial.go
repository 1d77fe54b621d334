package place

import (
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
)

// Hidden is, by team, what tasks of earlier leaders may use at most on machines that a takeover has not accounted for.
type Hidden map[string]workers.Usage

// Partly lets only those jobs start whose acceptance this leader itself has committed, for as long as hidden is not nil: no
// earlier leader can have started a task of theirs, wherever it is. Their teams' limits hold with what is hidden counted.
func (p *Placer) Partly(hidden Hidden) { p.hidden = hidden }

// mayStart reports whether tasks of the job may start at all at present.
func (p *Placer) mayStart(j *jobs.Job) bool { return p.hidden == nil || j.Ours }

// teamRoom is how many more tasks of the job its team's limit allows, with what may run out of sight.
func (p *Placer) teamRoom(j *jobs.Job) int {
	used := *p.fleet.TeamUsage(j.Team)
	out := p.hidden[j.Team]
	return TeamRoom(j, p.teams[j.Team], &workers.Usage{CPUs: used.CPUs + out.CPUs, GPUs: used.GPUs + out.GPUs})
}
