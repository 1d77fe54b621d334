package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/site/kvserver"

	"github.com/spf13/cobra"
)

// exitDamaged ends a state service whose directory cannot be trusted.
const exitDamaged = 4

func stateCommand() *cobra.Command {
	var data, listen, operators, metrics string
	cmd := &cobra.Command{
		Use: "state", Short: "Run a state service", Args: cobra.NoArgs,
		Long: "Run a state service for controllers: keys, guarded commits, leases and watches, kept in a directory.\n" +
			"Exit codes: 2 wrong usage or settings, 4 the directory is damaged or taken.",
		RunE: func(*cobra.Command, []string) error {
			if data == "" || listen == "" {
				return &exitError{2, errors.New("state: --data and --listen are required")}
			}
			opt, err := config.LoadKVServerOptions(operators)
			if err != nil {
				return &exitError{2, err}
			}
			log := newLogger(os.Stderr, os.Getenv("LOG_LEVEL")).With("state", listen)
			dir, err := kvserver.LockDirectory(data)
			if err != nil {
				return &exitError{exitDamaged, err}
			}
			began := time.Now()
			state, disk, report, err := kvserver.Open(dir, opt, began, log)
			if err != nil {
				return &exitError{exitDamaged, err}
			}
			log.Info("serving", "revision", report.Revision, "keys", report.Keys, "snapshot", report.Snapshot,
				"frames", report.Frames, "read", time.Since(began).Round(time.Microsecond))
			watch := kvserver.NewMetrics()
			ends := make(chan error, 2)
			if metrics != "" {
				go func() { ends <- watch.Serve(metrics, log) }()
			}
			go func() { ends <- kvserver.NewServer(state, disk, opt, watch, log).Serve(listen) }()
			return &exitError{exitUnavailable, <-ends}
		},
	}
	cmd.Flags().StringVar(&data, "data", "", "the directory that the store is kept in")
	cmd.Flags().StringVar(&listen, "listen", "", "address of the service, host:port")
	cmd.Flags().StringVar(&operators, "options", "", "the operators' settings of the store (XML)")
	cmd.Flags().StringVar(&metrics, "metrics", "", "address of GET /metrics, host:port; none if it is not given")
	cmd.AddCommand(stateInspectCommand(), stateBackupCommand(), stateRestoreCommand())
	return cmd
}

func stateInspectCommand() *cobra.Command {
	var output string
	var keys bool
	cmd := &cobra.Command{
		Use: "inspect DIR", Short: "Show what a store's directory holds, and what is damaged", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a := apiClient{output: output, out: cmd.OutOrStdout()}
			if output != "table" && output != "json" {
				return &exitError{2, fmt.Errorf("--output %s: not table or json", output)}
			}
			report, err := kvserver.Inspect(args[0])
			var found []kvserver.KeyInfo
			if err == nil && keys {
				found, err = kvserver.Keys(args[0])
			}
			view := struct {
				kvserver.Inspection
				Damage string             `json:"damage,omitempty"`
				All    []kvserver.KeyInfo `json:"all_keys,omitempty"`
			}{report, "", found}
			if err != nil {
				view.Damage = err.Error()
			}
			if e := a.show(view, func(w io.Writer) { inspectTable(w, report, view.Damage, found) }); e != nil {
				return e
			}
			if err != nil {
				return &exitError{exitDamaged, err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	cmd.Flags().BoolVar(&keys, "keys", false, "list the keys too")
	return cmd
}

func inspectTable(out io.Writer, r kvserver.Inspection, damage string, keys []kvserver.KeyInfo) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "revision\t%d\nkeys\t%d\nleases\t%d\nsnapshot\t%s, %d bytes\nlog\t%d segments, %d frames, %d bytes\n",
		r.Revision, r.Keys, r.Leases, orDash(r.Snapshot), r.SnapshotBytes, len(r.Segments), r.Frames, r.LogBytes)
	if r.TornBytes > 0 {
		fmt.Fprintf(w, "unfinished at the end\t%d bytes, never answered\n", r.TornBytes)
	}
	for _, name := range r.Segments {
		fmt.Fprintf(w, "segment\t%s\n", name)
	}
	for _, name := range r.Snapshots {
		fmt.Fprintf(w, "snapshot\t%s\n", name)
	}
	for _, name := range r.UnfinishedSnapshots {
		fmt.Fprintf(w, "unfinished snapshot\t%s\n", name)
	}
	for _, p := range r.SkippedDamage {
		fmt.Fprintf(w, "passed over\t%s\n", p)
	}
	if damage == "" {
		damage = "none"
	}
	fmt.Fprintf(w, "damage\t%s\n", damage)
	if len(keys) > 0 {
		fmt.Fprintln(w, "\nKEY\tBYTES\tMARK\tLEASE")
	}
	for _, k := range keys {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", k.Key, k.ValueBytes, k.ModRevision, k.LeaseID)
	}
	w.Flush()
}

func stateBackupCommand() *cobra.Command {
	return &cobra.Command{
		Use: "backup DIR FILE", Short: "Write what a store's directory holds to a file", Args: cobra.ExactArgs(2),
		Long: "Write what a store's directory holds to a file, which appears only once it is whole. The service may run.",
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := kvserver.Backup(args[0], args[1])
			if err != nil {
				return &exitError{exitDamaged, err}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d, %d keys\n", report.Revision, report.Keys)
			return err
		},
	}
}

func stateRestoreCommand() *cobra.Command {
	return &cobra.Command{
		Use: "restore FILE DIR", Short: "Make a store's directory of a backup", Args: cobra.ExactArgs(2),
		Long: "Make a store's directory of a backup. The directory must hold nothing. Revisions go on far above the backup's,\n" +
			"so that no token is given out twice.",
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := kvserver.Restore(args[0], args[1])
			if err != nil {
				return &exitError{exitDamaged, err}
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d, %d keys\n", report.Revision, report.Keys)
			return err
		},
	}
}
