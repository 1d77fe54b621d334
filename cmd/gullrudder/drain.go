package main

import (
	"fmt"
	"net/http"
	"time"

	"gullrudder/internal/site/machinepool"

	"github.com/spf13/cobra"
)

const (
	// workerSilenceLimit is the time without a report of any worker after which a drain is no longer waited for.
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
	cmd := userCommand("drain", "Start nothing more on this site; what runs goes on to its end",
		"Start nothing more on this site; what runs goes on to its end. Jobs are accepted still, and wait. It lasts over\n"+
			"restarts, until undrain.", cobra.NoArgs, func(a *apiClient, _ []string) error {
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
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until nothing runs any more")
	return cmd
}

func undrainCommand() *cobra.Command {
	return userCommand("undrain", "Use this site again after a drain", "", cobra.NoArgs, func(a *apiClient, _ []string) error {
		var overview machinepool.Overview
		if err := a.callMachinePool(http.MethodPost, undrainPath, &overview); err != nil {
			return err
		}
		return a.showDrainState(overview)
	})
}

// waitUntilDrained updates the overview until no machine is left. It gives up when no worker reports any more: the drain would
// never end. The silence is counted from the start of the wait, since a pool that has just started knows no worker yet.
func (a *apiClient) waitUntilDrained(overview *machinepool.Overview) error {
	lastReport := time.Now()
	for overview.MachineCount > 0 {
		if !overview.AllWorkersSilentFor(workerSilenceLimit) {
			lastReport = time.Now()
		}
		if time.Since(lastReport) > workerSilenceLimit {
			return &exitError{
				exitUnavailable,
				fmt.Errorf("the worker has not been heard for %v; the drain goes on (see gullrudder doctor)", workerSilenceLimit),
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
		return "in use"
	case overview.MachineCount > 0:
		return fmt.Sprintf("draining: %d tasks run still", overview.RunningTasks)
	}
	return "drained: nothing runs"
}
