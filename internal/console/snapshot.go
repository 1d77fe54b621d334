// Package console shows the state of a site on a terminal, and lets its user act on it. It draws what the controllers and the
// machine pool answer as text, for a terminal of 80 by 24 characters without colours. Its only state is which screen and row are
// shown and which action waits for a confirmation: whatever it starts goes on without it. It sends no requests itself; its user
// gives it a Site. docs/operations/site.md describes its use.
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
	MinFreeDiskMB uint64                // below it no job is accepted; 0: not known
	Problems      []string              // what could not be read, and why
}

// summary returns the first lines of every screen: the state of the site, and what is wrong with it.
func (s *Snapshot) summary() []string {
	lines := []string{fmt.Sprintf(
		"gullrudder  leader %s, %s   %d jobs, %d tasks wait, %d run   %s",
		orDash(s.Status.Leader), s.serviceState(), s.Status.Jobs, s.Status.WaitingTasks, s.Status.PlacedTasks,
		s.TakenAt.UTC().Format("15:04:05"),
	)}
	switch {
	case s.MachinePool.IsDraining && s.MachinePool.MachineCount > 0:
		lines = append(lines, fmt.Sprintf("DRAINING: %d tasks run still; nothing more starts until undrain", s.MachinePool.RunningTasks))
	case s.MachinePool.IsDraining:
		lines = append(lines, "DRAINED: nothing runs; nothing starts until undrain")
	}
	if s.MinFreeDiskMB > 0 && s.FreeDiskMB < s.MinFreeDiskMB {
		lines = append(lines, fmt.Sprintf(
			"DISK: %d MB free, below %d MB nothing is accepted: delete old outputs (gullrudder doctor)",
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
		return "STATE SERVICE AWAY"
	}
	return "state service ok"
}
