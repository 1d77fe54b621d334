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

// lookPatience is how long a look of the console waits for an answer.
const lookPatience = 2 * time.Second

// site is the console's side of the service.
type site struct{ *apiClient }

func (s site) Look() console.Snapshot {
	snap := console.Snapshot{At: time.Now()}
	problem := func(what string, err error) {
		if err != nil {
			snap.Problems = append(snap.Problems, what+": "+err.Error())
		}
	}
	problem("controllers", s.get("/status", &snap.Status))
	if len(snap.Problems) == 0 {
		problem("jobs", s.get("/queue?all=1&most=200", &snap.Queue))
	}
	if s.home == nil {
		return snap
	}
	problem("pool", s.siteCall("GET", "/site", &snap.Site))
	var err error
	snap.Failures, err = s.failures()
	problem("failures", err)
	if free, err := datadir.FreeDisk(s.home.Dir()); err == nil {
		snap.FreeMB, snap.KeepMB = free>>20, s.home.KeepFreeMB
	}
	return snap
}

func (s site) Cancel(job string) error {
	return s.send("POST", "/work/"+segment(job)+"/withdraw", nil, &struct{}{})
}

func (s site) Drain(on bool) error {
	var o machinepool.Overview
	return s.siteCall("POST", map[bool]string{true: "/site/drain", false: "/site/undrain"}[on], &o)
}

func consoleCommand() *cobra.Command {
	return userCommand(
		"console",
		"Watch and run the site from a terminal",
		"Watch and run the site from a terminal. ? shows the keys. It keeps no state.",
		cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			a.patience = lookPatience
			_, err := tea.NewProgram(console.New(site{a}, time.Second), tea.WithAltScreen()).Run()
			return err
		},
	)
}

func topCommand() *cobra.Command {
	var once bool
	var every time.Duration
	cmd := userCommand("top", "Print what the console shows, as text", "", cobra.NoArgs, func(a *apiClient, _ []string) error {
		a.patience = lookPatience
		for {
			snap := site{a}.Look()
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

// failures are those that the pool of the site on this machine keeps, the newest first.
func (a *apiClient) failures() ([]machinepool.Failure, error) {
	var f machinepool.Failures
	if err := a.siteCall("GET", "/site/failures", &f); err != nil {
		return nil, err
	}
	list := []machinepool.Failure{}
	for _, raw := range f.List {
		var one machinepool.Failure
		if err := json.Unmarshal([]byte(raw), &one); err != nil {
			return nil, &failure{exitUnavailable, err}
		}
		list = append(list, one)
	}
	return list, nil
}

func failuresCommand() *cobra.Command {
	return userCommand("failures", "Show the tasks of this site that failed last, with the end of their error output", "", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			list, err := a.failures()
			if err != nil {
				return err
			}
			return a.show(list, func(w io.Writer) {
				for _, one := range list {
					fmt.Fprintf(w, "%s\texit %d\t%s\t%s\n", one.Task, one.Exit, one.Finished.UTC().Format(time.DateTime), one.Reason)
					if one.Tail != "" {
						fmt.Fprintln(w, one.Tail)
					}
				}
			})
		})
}
