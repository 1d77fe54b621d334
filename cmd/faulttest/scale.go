package main

import (
	"fmt"
	"log/slog"
	"text/tabwriter"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

func scaleCommand() *cobra.Command {
	var sizes []int
	var seed uint64
	cmd := &cobra.Command{
		Use: "scale", Short: "What a large fleet costs its leader, and how it comes back when a third of it fails at once", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(
				out,
				"machines\ttasks\tsteps a second\ta step\tlongest\tof a processor\tstate changes/s\theap MB\tplacing after\tfull again after",
			)
			for _, n := range sizes {
				w := simulator.New(seed, scaleOptions(n), slog.New(slog.DiscardHandler))
				s, err := w.RunScale(n)
				fmt.Fprintf(
					out,
					"%d\t%d\t%.0f\t%v\t%v\t%.3f\t%.1f\t%d\t%v\t%v\n",
					s.Machines,
					s.Tasks,
					float64(s.Steps)/60,
					s.MeanStep.Round(time.Microsecond),
					s.LongestStep.Round(100*time.Microsecond),
					s.CPUShare,
					s.WritesPerSecond,
					s.HeapMB,
					s.PlacingAfter,
					s.RecoveredAfter,
				)
				if err != nil {
					return fmt.Errorf("%d machines: %w", n, err)
				}
				if err := out.Flush(); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().IntSliceVar(&sizes, "machines", []int{1000, 2500, 5000, 10000}, "sizes of the fleet")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the worlds")
	return cmd
}

func scaleOptions(machines int) simulator.Options {
	return simulator.Options{
		Controllers: 3, HeartbeatInterval: 2500 * time.Millisecond, WorkerLease: 15 * time.Second, CancelTimeout: 35 * time.Second, StopPollingFinished: true,
		MachinesPerKind: (machines + 5) / 6, SkipCostlyChecks: true, Tuning: config.DefaultOptions(), AdjustPlatform: func(p *config.Platform) {
			p.StateWriteRate, p.MaxValueBytes, p.MaxTransactionOps, p.CloudRequestRate, p.MaxConnections, p.CPUQuota = 100, 16384, 16, 9, 10000, 1
			p.StateRequestRate = 600
		},
	}
}
