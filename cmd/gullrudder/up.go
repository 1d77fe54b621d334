package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"gullrudder/internal/controller"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/site/supervisor"

	"github.com/spf13/cobra"
)

const (
	leaderPollInterval = 50 * time.Millisecond
	// leaderPollTimeout is how long one request for the leader is retried.
	leaderPollTimeout = time.Minute
	// othersExecuteBit is the permission bit that lets other users enter a directory.
	othersExecuteBit = 0o001
)

func upCommand() *cobra.Command {
	var data string
	var options datadir.CreateOptions
	cmd := &cobra.Command{
		Use: "up", Short: "Run a whole site on this machine, in the foreground", Args: cobra.NoArgs,
		Long: "Run a whole site on this machine: state service, machine pool, controllers and worker.\n\n" +
			"A process that exits is restarted.\n" +
			"The first run creates the data directory. Flags other than --data apply only then.\n" +
			"Stop the site with gullrudder down, SIGTERM or Ctrl-C.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			site, err := datadir.OpenOrCreate(siteDir(data), options, version)
			if err != nil {
				return &exitError{exitUnavailable, err}
			}
			return runSite(newPrinter(cmd.OutOrStdout()), site)
		},
	}
	dataFlag(cmd, &data)
	cmd.Flags().Float64Var(&options.CPUs, "cpus", 0, "CPUs for tasks; 0: all of the machine")
	cmd.Flags().Float64Var(&options.MemoryGB, "mem", 0, "memory for tasks, in GB; 0: the memory of the machine less 1 GB")
	cmd.Flags().IntVar(&options.Controllers, "controllers", 1, "number of controllers, 1 or 3")
	cmd.Flags().StringVar(&options.TaskUser, "as", "", "user that tasks run as if the site runs as root; empty: the user nobody")
	return cmd
}

// runSite runs the processes of a site until a signal stops it.
func runSite(out *printer, site *datadir.Site) (err error) {
	lock, err := site.Lock()
	if err != nil {
		return &exitError{exitUnavailable, err}
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	if err := checkTaskUserAccess(site); err != nil {
		return &exitError{exitUsage, err}
	}
	processes, err := newSupervisor(site, newLogger(os.Stderr, "info"))
	if err != nil {
		return err
	}
	if err := site.RecordSupervisor(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		out.println("ending")
		processes.Stop()
	}()
	go announceLeader(out, site, time.Now())
	processes.Run()
	return out.firstError()
}

// newSupervisor returns a supervisor of the site's processes, and terminates those that an earlier supervisor left running.
func newSupervisor(site *datadir.Site, log *slog.Logger) (*supervisor.Supervisor, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	processes, err := supervisor.New(program, site.Path(), site.ID, siteProcesses(site), log)
	if err != nil {
		return nil, &exitError{exitUnavailable, err}
	}
	return processes, nil
}

// siteProcesses returns the processes of a site in the order of their start.
func siteProcesses(site *datadir.Site) []supervisor.ProcessSpec {
	specs := []supervisor.ProcessSpec{
		{Name: "state", Args: []string{"state", "--data", site.Path("state"), "--listen", site.StateAddr}},
		{Name: "pool", Args: []string{"pool", "--data", site.Path()}},
	}
	for i, node := range site.Controllers {
		args := []string{"serve", "--config", site.ControllerConfigPath(i), "--options", site.OptionsPath()}
		specs = append(specs, supervisor.ProcessSpec{Name: node.Name, Args: args})
	}
	return append(specs, supervisor.ProcessSpec{Name: "worker", Args: []string{"worker", "--data", site.Path()}})
}

// announceLeader waits until the first controller knows a leader, and then prints how to use the site.
func announceLeader(out *printer, site *datadir.Site, startedAt time.Time) {
	addr := site.Controllers[0].PublicAddr
	client := newServerClient(addr, leaderPollTimeout)
	for {
		var status controller.Status
		if client.get("/status", &status) == nil && status.Leader != "" {
			break
		}
		time.Sleep(leaderPollInterval)
	}
	out.printf("up after %.1f s: %g CPUs, %g GB, controller at %s\ntry: gullrudder submit --data %s --wait -- echo hello\n",
		time.Since(startedAt).Seconds(), site.CPUs, site.MemoryGB, addr, site.Path())
}

// checkTaskUserAccess returns an error if the user that tasks run as cannot enter the site's directory.
func checkTaskUserAccess(site *datadir.Site) error {
	credential, err := taskCredential(site)
	if err != nil || credential == nil {
		return err
	}
	for dir := site.Path(); dir != filepath.Dir(dir); dir = filepath.Dir(dir) {
		info, err := os.Stat(dir)
		if err != nil {
			return err
		}
		if info.Mode().Perm()&othersExecuteBit == 0 {
			return fmt.Errorf("user %s, who runs the tasks, cannot enter %s: use another --data DIR, or create the site with up --as root",
				site.TaskUser, dir)
		}
	}
	return nil
}
