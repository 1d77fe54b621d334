package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"gullrudder/internal/console"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/site/machinepool"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/spf13/cobra"
)

// consoleTimeout is how long a look of the console waits for an answer.
const consoleTimeout = 2 * time.Second

// consoleSite is the console's side of the service.
type consoleSite struct{ *apiClient }

func (s consoleSite) Snapshot() console.Snapshot {
	snapshot := console.Snapshot{TakenAt: time.Now()}
	problem := func(what string, err error) {
		if err != nil {
			snapshot.Problems = append(snapshot.Problems, what+": "+err.Error())
		}
	}
	problem("controllers", s.get("/status", &snapshot.Status))
	if len(snapshot.Problems) == 0 {
		problem("jobs", s.get("/queue?all=1&most=200", &snapshot.Queue))
	}
	if s.site == nil {
		return snapshot
	}
	problem("pool", s.callMachinePool("GET", "/site", &snapshot.MachinePool))
	var err error
	snapshot.Failures, err = s.listFailures()
	problem("failures", err)
	if free, err := datadir.FreeDisk(s.site.Path()); err == nil {
		snapshot.FreeDiskMB, snapshot.MinFreeDiskMB = free>>20, s.site.MinFreeDiskMB
	}
	return snapshot
}

func (s consoleSite) Cancel(job string) error {
	return s.send("POST", "/work/"+escapePathSegment(job)+"/withdraw", nil, &struct{}{})
}

func (s consoleSite) Drain(on bool) error {
	var o machinepool.Overview
	return s.callMachinePool("POST", map[bool]string{true: "/site/drain", false: "/site/undrain"}[on], &o)
}

func consoleCommand() *cobra.Command {
	return userCommand(
		"console",
		"Watch and run the site from a terminal",
		"Watch and run the site from a terminal. ? shows the keys. It keeps no state.",
		cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			a.retryTimeout = consoleTimeout
			_, err := tea.NewProgram(console.New(consoleSite{a}, time.Second), tea.WithAltScreen()).Run()
			return err
		},
	)
}

func topCommand() *cobra.Command {
	var once bool
	var every time.Duration
	cmd := userCommand("top", "Print what the console shows, as text", "", cobra.NoArgs, func(a *apiClient, _ []string) error {
		a.retryTimeout = consoleTimeout
		for {
			snap := consoleSite{a}.Snapshot()
			if _, err := fmt.Fprint(a.out, snap.Text()); err != nil {
				return err
			}
			if once {
				return nil
			}
			time.Sleep(every)
		}
	})
	cmd.Flags().BoolVar(&once, "once", false, "print it once")
	cmd.Flags().DurationVar(&every, "every", 2*time.Second, "otherwise, how often")
	return cmd
}

// listFailures are those that the pool of the site on this machine keeps, the newest first.
func (a *apiClient) listFailures() ([]machinepool.Failure, error) {
	var f machinepool.FailureList
	if err := a.callMachinePool("GET", "/site/failures", &f); err != nil {
		return nil, err
	}
	list := []machinepool.Failure{}
	for _, raw := range f.EncodedFailures {
		var one machinepool.Failure
		if err := json.Unmarshal([]byte(raw), &one); err != nil {
			return nil, &exitError{exitUnavailable, err}
		}
		list = append(list, one)
	}
	return list, nil
}

func failuresCommand() *cobra.Command {
	return userCommand("failures", "Show the tasks of this site that failed last, with the end of their error output", "", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			list, err := a.listFailures()
			if err != nil {
				return err
			}
			return a.show(list, func(w io.Writer) {
				for _, one := range list {
					fmt.Fprintf(w, "%s\texit %d\t%s\t%s\n", one.Task, one.ExitCode, one.FinishedAt.UTC().Format(time.DateTime), one.Reason)
					if one.ErrorOutput != "" {
						fmt.Fprintln(w, one.ErrorOutput)
					}
				}
			})
		})
}
