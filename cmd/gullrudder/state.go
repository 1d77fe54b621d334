package main

import (
	"errors"
	"os"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/kvserver"

	"github.com/spf13/cobra"
)

// stateServiceFlags are the flags of the state service.
type stateServiceFlags struct{ data, listen, operators, metrics string }

func stateCommand() *cobra.Command {
	var flags stateServiceFlags
	cmd := &cobra.Command{
		Use: "state", Short: "Run a state service", Args: cobra.NoArgs,
		Long: "Run a state service for controllers. It stores keys in a directory,\n" +
			"and serves guarded transactions, leases and watches.\n\n" +
			"Exit codes:\n" +
			"  2  invalid usage or settings\n" +
			"  3  an address cannot be served\n" +
			"  4  the directory is damaged or in use",
		RunE: func(*cobra.Command, []string) error { return runStateService(flags) },
	}
	cmd.Flags().StringVar(&flags.data, "data", "", "data directory of the state service (required)")
	cmd.Flags().StringVar(&flags.listen, "listen", "", "address to serve on, host:port (required)")
	cmd.Flags().StringVar(&flags.operators, "options", "", "options file of the state service, XML; empty: default options")
	cmd.Flags().StringVar(&flags.metrics, "metrics", "", "address to serve GET /metrics on, host:port; empty: no metrics")
	cmd.AddCommand(stateInspectCommand(), stateBackupCommand(), stateRestoreCommand())
	return cmd
}

// runStateService runs a state service until one of its addresses cannot be served.
func runStateService(flags stateServiceFlags) error {
	if flags.data == "" || flags.listen == "" {
		return &exitError{exitUsage, errors.New("state: --data and --listen are required")}
	}
	options, err := config.LoadKVServerOptions(flags.operators)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	log := newLogger(os.Stderr, os.Getenv("LOG_LEVEL")).With("state", flags.listen)
	directory, err := kvserver.LockDirectory(flags.data)
	if err != nil {
		return &exitError{exitDamaged, err}
	}
	startedAt := time.Now()
	state, disk, report, err := kvserver.Open(directory, options, startedAt, log)
	if err != nil {
		return &exitError{exitDamaged, err}
	}
	log.Info("serving", logkeys.Revision, report.Revision, "keys", report.Keys, logkeys.Snapshot, report.Snapshot,
		"frames", report.Frames, logkeys.Duration, time.Since(startedAt).Round(time.Microsecond))
	metrics := kvserver.NewMetrics()
	failed := make(chan error, 2) // one for each server
	if flags.metrics != "" {
		go func() { failed <- metrics.Serve(flags.metrics, log) }()
	}
	go func() { failed <- kvserver.NewServer(state, disk, options, metrics, log).Serve(flags.listen) }()
	return &exitError{exitUnavailable, <-failed}
}

func stateBackupCommand() *cobra.Command {
	return &cobra.Command{
		Use: "backup DIR FILE", Short: "Back up a state service's directory to a file", Args: cobra.ExactArgs(2),
		Long: "Back up a state service's directory to a file. The file appears only once it is complete.\n" +
			"The state service may be running.",
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := kvserver.Backup(args[0], args[1])
			return printInspection(newPrinter(cmd.OutOrStdout()), report, err)
		},
	}
}

func stateRestoreCommand() *cobra.Command {
	return &cobra.Command{
		Use: "restore FILE DIR", Short: "Create a state service's directory from a backup", Args: cobra.ExactArgs(2),
		Long: "Create a state service's directory from a backup. The directory must be empty or absent.\n" +
			"Revisions continue far above the backup's, so that no fencing token is issued twice.",
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := kvserver.Restore(args[0], args[1])
			return printInspection(newPrinter(cmd.OutOrStdout()), report, err)
		},
	}
}

// printInspection prints the outcome of a backup or a restore.
func printInspection(out *printer, report kvserver.Inspection, err error) error {
	if err != nil {
		return &exitError{exitDamaged, err}
	}
	out.printf("revision %d, %d keys\n", report.Revision, report.Keys)
	return out.firstError()
}
