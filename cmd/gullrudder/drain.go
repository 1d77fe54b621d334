package main

import (
	"fmt"
	"net/http"
	"time"

	"gullrudder/internal/site/machinepool"

	"github.com/spf13/cobra"
)

const (
	// workerSilenceLimit is how long drain --wait waits without a heartbeat from any worker before it gives up.
	workerSilenceLimit = 30 * time.Second
	drainPollInterval  = 500 * time.Millisecond
)

// Paths of the machine pool.
const (
	overviewPath = "/site"
	drainPath    = "/site/drain"
	undrainPath  = "/site/undrain"
	failuresPath = "/site/failures"
)

func drainCommand() *cobra.Command {
	var wait bool
	cmd := userCommand("drain", "Start no new tasks on this site",
		"Start no new tasks on this site and let the running ones finish. Jobs are still accepted and wait. The drain survives\n"+
			"restarts and lasts until gullrudder undrain.", cobra.NoArgs, func(a *apiClient, _ []string) error {
			var overview machinepool.Overview
			if err := a.callMachinePool(http.MethodPost, drainPath, &overview); err != nil {
				return err
			}
			if wait {
				if err := a.waitUntilDrained(&overview); err != nil {
					return err
				}
			}
			return a.showDrainState(overview)
		})
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until all running tasks have finished")
	return cmd
}

func undrainCommand() *cobra.Command {
	return userCommand("undrain", "Start tasks on this site again after a drain", "", cobra.NoArgs, func(a *apiClient, _ []string) error {
		var overview machinepool.Overview
		if err := a.callMachinePool(http.MethodPost, undrainPath, &overview); err != nil {
			return err
		}
		return a.showDrainState(overview)
	})
}

// waitUntilDrained updates the overview until no machine is left. It gives up after workerSilenceLimit without a heartbeat from any
// worker, since the drain would never end. That time counts from the start of the wait at the earliest: a machine pool that has just
// started knows no worker yet.
func (a *apiClient) waitUntilDrained(overview *machinepool.Overview) error {
	lastHeartbeat := time.Now()
	for overview.MachineCount > 0 {
		if !overview.AllWorkersSilentFor(workerSilenceLimit) {
			lastHeartbeat = time.Now()
		}
		if time.Since(lastHeartbeat) > workerSilenceLimit {
			return &exitError{
				exitUnavailable,
				fmt.Errorf("no heartbeat from a worker for %v; the drain continues: run gullrudder doctor", workerSilenceLimit),
			}
		}
		time.Sleep(drainPollInterval)
		if err := a.callMachinePool(http.MethodGet, overviewPath, overview); err != nil {
			return err
		}
	}
	return nil
}

func (a *apiClient) showDrainState(overview machinepool.Overview) error {
	return a.show(overview, func(p *printer) { p.println(formatDrainState(overview)) })
}

func formatDrainState(overview machinepool.Overview) string {
	switch {
	case !overview.IsDraining:
		return "not draining"
	case overview.MachineCount > 0:
		return fmt.Sprintf("draining: %d tasks still running", overview.RunningTasks)
	}
	return "drained: no task is running"
}
