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
		Use: "scale", Short: "Simulate large clusters: leader cost and recovery", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runScale(cmd, seed, sizes) },
	}
	cmd.Flags().IntSliceVar(&sizes, "machines", []int{1000, 2500, 5000, 10000},
		"numbers of machines to simulate, one cluster each, separated by commas")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of each cluster")
	return cmd
}

func runScale(cmd *cobra.Command, seed uint64, sizes []int) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	out := output{w: table}
	out.printf("machines\ttasks\tsteps/s\tmean step\tlongest step\tCPUs used\tstate writes/s\theap MiB\tplacement after\trecovered after\n")
	for _, size := range sizes {
		result, err := simulator.New(seed, scaleOptions(size), slog.New(slog.DiscardHandler)).RunScale(size)
		out.printf("%d\t%d\t%.0f\t%v\t%v\t%.3f\t%.1f\t%d\t%v\t%v\n", result.Machines, result.Tasks, float64(result.Steps)/60,
			result.MeanStep.Round(time.Microsecond), result.LongestStep.Round(100*time.Microsecond), result.CPUShare,
			result.WritesPerSecond, result.HeapMiB, result.PlacementAfter, result.RecoveredAfter)
		if err != nil {
			return fmt.Errorf("cluster of %d machines: %w", size, err)
		}
		if out.err != nil {
			return out.err
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// scaleOptions returns the options of a simulated cluster of a given size, with the limits of a large deployment.
func scaleOptions(machines int) simulator.Options {
	return simulator.Options{
		Controllers: 3, HeartbeatInterval: 2500 * time.Millisecond, WorkerLease: 15 * time.Second, CancelTimeout: 35 * time.Second,
		StopPollingFinished: true, MachinesPerKind: (machines + 5) / 6, SkipCostlyChecks: true, Tuning: config.DefaultOptions(),
		AdjustPlatform: func(p *config.Platform) {
			p.StateRequestRate, p.StateWriteRate, p.MaxValueBytes, p.MaxTransactionOps = 600, 100, 16384, 16
			p.CloudRequestRate, p.MaxConnections, p.CPUQuota = 9, 10000, 1
		},
	}
}
