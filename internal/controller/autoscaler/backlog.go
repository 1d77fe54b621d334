package autoscaler

import "gullrudder/internal/controller/queue"

// teamBacklog is the remaining work of a team's jobs.
type teamBacklog struct {
	cpuSeconds float64
	cpuLimit   float64 // CPUs that the team's quota allows, 0 without a quota
}

// teamBacklogs is the remaining work by team.
type teamBacklogs []teamBacklog

func (s *Scaler) backlogByTeam(order []queue.Entry) teamBacklogs {
	indexOf := map[string]int{}
	var backlogs teamBacklogs
	for i := range order {
		entry := &order[i]
		index, found := indexOf[entry.Job.Team]
		if !found {
			index = len(backlogs)
			indexOf[entry.Job.Team] = index
			backlogs = append(backlogs, teamBacklog{cpuLimit: s.teams[entry.Job.Team].CPULimit})
		}
		backlogs[index].cpuSeconds += entry.RemainingCPUSeconds
	}
	return backlogs
}

// completableWithin returns how many CPU seconds of the work could be done within the given number of seconds, on any number of
// machines. Each team is limited by its quota.
func (b teamBacklogs) completableWithin(seconds float64) float64 {
	sum := 0.0
	for _, team := range b {
		work := team.cpuSeconds
		if team.cpuLimit > 0 {
			work = min(work, team.cpuLimit*seconds)
		}
		sum += work
	}
	return sum
}
