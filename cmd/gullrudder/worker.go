package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/agent"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/units"

	"github.com/spf13/cobra"
)

func workerCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "worker", Short: "Run a site's worker, which runs the tasks", Args: cobra.NoArgs,
		Long: "Run a site's worker, which runs the tasks. gullrudder up runs this command for each site.",
		RunE: func(*cobra.Command, []string) error {
			site, err := openSite(data)
			if err != nil {
				return err
			}
			credential, err := taskCredential(site)
			if err != nil {
				return &exitError{exitUsage, err}
			}
			log := newLogger(os.Stderr, siteLogLevel()).With(logkeys.Process, "worker")
			worker, err := agent.NewRuntime(workerOptions(site), workerRuntimeOptions(site, credential), log)
			if err != nil {
				return &exitError{exitUnavailable, err}
			}
			return runWorker(worker)
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

func workerOptions(site *datadir.Site) agent.Options {
	controllers := map[string]string{}
	for _, controller := range site.Controllers {
		controllers[controller.Name] = controller.PublicAddr
	}
	return agent.Options{
		Addr:              site.WorkerAddr,
		Type:              fmt.Sprintf("own-%g-%g", site.CPUs, site.MemoryGB),
		Zone:              site.Zone,
		CPUs:              site.CPUs,
		MemoryGB:          site.MemoryGB,
		Controllers:       controllers,
		HeartbeatInterval: datadir.HeartbeatInterval,
		LeaseDuration:     datadir.WorkerLeaseDuration,
	}
}

func workerRuntimeOptions(site *datadir.Site, credential *syscall.Credential) agent.RuntimeOptions {
	return agent.RuntimeOptions{
		DataDir:         site.Path("worker"),
		Name:            "worker",
		MachinePoolAddr: site.MachinePoolAddr,
		Credential:      credential,
		MinFreeDisk:     site.MinFreeDiskMB * units.BytesPerMB,
	}
}

// runWorker runs the worker until a signal stops it or it fails.
func runWorker(worker *agent.Runtime) error {
	failed := make(chan error, 1)
	go func() { failed <- worker.Run() }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer worker.Close()
	select {
	case <-signals:
		return nil
	case err := <-failed:
		return &exitError{exitUnavailable, err}
	}
}
