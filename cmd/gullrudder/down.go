package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"gullrudder/internal/site/process"

	"github.com/spf13/cobra"
)

const (
	downTimeout      = time.Minute
	downPollInterval = 50 * time.Millisecond
)

func downCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "down", Short: "Stop the site on this machine", Args: cobra.NoArgs,
		Long: "Stop the site and wait until its processes have ended.\n\n" +
			"Running tasks are killed and start again at the next up.\n" +
			"To let them finish, run gullrudder drain --wait first.\n" +
			"A drain lasts until gullrudder undrain, also after the next up.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			site, err := openSite(data)
			if err != nil {
				return err
			}
			p := newPrinter(cmd.OutOrStdout())
			supervisor, isRunning := site.RunningSupervisor()
			if !isRunning {
				p.println("the site is not running")
				return p.firstError()
			}
			if err := terminateAndWait(supervisor); err != nil {
				return &exitError{exitUnavailable, err}
			}
			p.println("the site has stopped")
			return p.firstError()
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// terminateAndWait sends SIGTERM to a process and waits until it has exited.
func terminateAndWait(id process.Identity) error {
	if err := id.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("terminate process %d: %w", id.PID, err)
	}
	deadline := time.Now().Add(downTimeout)
	for id.IsRunning() {
		if time.Now().After(deadline) {
			return fmt.Errorf("process %d did not exit within %v of SIGTERM", id.PID, downTimeout)
		}
		time.Sleep(downPollInterval)
	}
	return nil
}
