// Package console shows the state of a site on a terminal and lets the user act on it. It draws the responses of the controllers and
// the machine pool as text, for a terminal of 80 by 24 characters without colours. Its only state is the selected screen and row and
// the action that waits for a confirmation: an action that it started continues without it. It sends no requests itself but calls a
// Site. docs/operations/site.md describes its use.
package console

import (
	"fmt"
	"time"

	"gullrudder/internal/controller"
	"gullrudder/internal/controller/api"
	"gullrudder/internal/site/machinepool"
)

// Snapshot is the state of a site at one time. What could not be read is empty and has its reason in Problems.
type Snapshot struct {
	TakenAt       time.Time
	Status        controller.Status
	Queue         api.Queue
	MachinePool   machinepool.Overview
	Failures      []machinepool.Failure // the newest first
	FreeDiskMB    uint64                // of the disk that the site is on
	MinFreeDiskMB uint64                // jobs are refused below it; 0: not known
	Problems      []string              // what could not be read, and why
}

// summary returns the first lines of every screen: the state of the site, and what is wrong with it.
func (s *Snapshot) summary() []string {
	lines := []string{fmt.Sprintf(
		"gullrudder  leader %s, %s   %d jobs, %d tasks wait, %d run   %s",
		orDash(s.Status.Leader), s.serviceState(), s.Status.Jobs, s.Status.WaitingTasks, s.Status.PlacedTasks,
		s.TakenAt.UTC().Format("15:04:05 UTC"),
	)}
	switch {
	case s.MachinePool.IsDraining && s.MachinePool.MachineCount > 0:
		lines = append(lines, fmt.Sprintf("DRAINING: %d tasks still running; none start until undrain", s.MachinePool.RunningTasks))
	case s.MachinePool.IsDraining:
		lines = append(lines, "DRAINED: no task is running; none start until undrain")
	}
	if s.MinFreeDiskMB > 0 && s.FreeDiskMB < s.MinFreeDiskMB {
		lines = append(lines, fmt.Sprintf(
			"DISK: %d MB free, jobs are refused below %d MB: run gullrudder doctor",
			s.FreeDiskMB, s.MinFreeDiskMB,
		))
	}
	for _, problem := range s.Problems {
		lines = append(lines, "PROBLEM: "+problem)
	}
	return lines
}

func (s *Snapshot) serviceState() string {
	switch {
	case s.Status.Leader == "":
		return "NO LEADER"
	case !s.Status.StateServiceHealthy:
		return "STATE SERVICE UNAVAILABLE"
	}
	return "state service ok"
}
