package main

import (
	"net/http"
	"time"

	"gullrudder/internal/console"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/site/machinepool"
	"gullrudder/internal/units"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/spf13/cobra"
)

const (
	// consoleTimeout is how long console and top retry a request.
	consoleTimeout = 2 * time.Second
	// consoleInterval and defaultTopInterval are the times between two snapshots of console and of top.
	consoleInterval    = time.Second
	defaultTopInterval = 2 * time.Second
)

func consoleCommand() *cobra.Command {
	return userCommand("console", "Watch and operate the site in a terminal",
		"Watch and operate the site in a terminal. Press ? for the keys.\n"+
			"The site runs on when the console is closed.\n"+
			"--output and --patience have no effect.", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			a.retryTimeout = consoleTimeout
			_, err := tea.NewProgram(console.New(consoleSite{a}, consoleInterval), tea.WithAltScreen()).Run()
			return err
		})
}

func topCommand() *cobra.Command {
	var once bool
	var interval time.Duration
	cmd := userCommand("top", "Print the screens of the console as text",
		"Print the screens of the console as text, repeatedly until interrupted.\n"+
			"--output and --patience have no effect.", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			a.retryTimeout = consoleTimeout
			p := newPrinter(a.out)
			for {
				snapshot := consoleSite{a}.Snapshot()
				p.print(snapshot.Text())
				if err := p.firstError(); err != nil || once {
					return err
				}
				time.Sleep(interval)
			}
		})
	cmd.Flags().BoolVar(&once, "once", false, "print once and exit")
	cmd.Flags().DurationVar(&interval, "every", defaultTopInterval, "time between two prints, without --once")
	return cmd
}

// consoleSite is a console.Site that sends its requests through a client.
type consoleSite struct{ *apiClient }

// Snapshot implements console.Site.
func (s consoleSite) Snapshot() console.Snapshot {
	snapshot := console.Snapshot{TakenAt: time.Now()}
	addProblem := func(subject string, err error) {
		if err != nil {
			snapshot.Problems = append(snapshot.Problems, subject+": "+err.Error())
		}
	}
	addProblem("controllers", s.get("/status", &snapshot.Status))
	if len(snapshot.Problems) == 0 {
		addProblem("jobs", s.get("/queue?all=1&most=200", &snapshot.Queue))
	}
	if s.site == nil {
		return snapshot
	}
	addProblem("pool", s.callMachinePool(http.MethodGet, overviewPath, &snapshot.MachinePool))
	var err error
	snapshot.Failures, err = s.listFailures()
	addProblem("failures", err)
	if freeBytes, err := datadir.FreeDisk(s.site.Path()); err == nil {
		snapshot.FreeDiskMB, snapshot.MinFreeDiskMB = freeBytes/units.BytesPerMB, s.site.MinFreeDiskMB
	}
	return snapshot
}

// Cancel implements console.Site.
func (s consoleSite) Cancel(job string) error {
	return s.send(http.MethodPost, cancelPath(job), nil, &struct{}{})
}

// Drain implements console.Site.
func (s consoleSite) Drain(isDraining bool) error {
	path := undrainPath
	if isDraining {
		path = drainPath
	}
	var overview machinepool.Overview
	return s.callMachinePool(http.MethodPost, path, &overview)
}
