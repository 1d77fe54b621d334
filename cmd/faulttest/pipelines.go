package main

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

const pipelinesPerRun = 30

func pipelinesCommand() *cobra.Command {
	var runs int
	var seed uint64
	cmd := &cobra.Command{
		Use:   "pipelines",
		Short: "Simulate pipelines of jobs under faults",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runPipelines(cmd, seed, runs) },
	}
	cmd.Flags().IntVar(&runs, "runs", 4, "number of simulated runs, of 30 pipelines each; each uses the next seed")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run")
	return cmd
}

func runPipelines(cmd *cobra.Command, seed uint64, runs int) error {
	out := output{w: cmd.OutOrStdout()}
	total, lost, tooEarly, orphaned, broken := 0, 0, 0, 0, 0
	var lateness []time.Duration
	for i := range runs {
		sim := simulator.New(seed+uint64(i), pipelinesOptions(), slog.New(slog.DiscardHandler))
		result := sim.RunPipelines(pipelinesPerRun)
		total, lost, lateness = total+result.Total, lost+result.Unfinished, append(lateness, result.Lateness...)
		for _, violation := range sim.Violations {
			broken++
			out.printf("broken: seed %d: %s\n", seed+uint64(i), violation)
			switch violation.Rule {
			case simulator.RuleTooEarly:
				tooEarly++
			case simulator.RuleOrphaned:
				orphaned++
			}
		}
	}
	if slices.Sort(lateness); len(lateness) == 0 {
		return errors.New("no pipeline was done, expected at least one")
	}
	out.printf("%d pipelines, %d too early, %d orphaned, %d lost, median lateness %.1f s, worst %.1f s\n",
		total, tooEarly, orphaned, lost, lateness[len(lateness)/2].Seconds(), lateness[len(lateness)-1].Seconds())
	if broken+lost > 0 {
		return fmt.Errorf("%d rules broken and %d pipelines lost, expected none", broken, lost)
	}
	return out.err
}

// pipelinesOptions returns the options of the simulated clusters.
func pipelinesOptions() simulator.Options {
	tuning := config.DefaultOptions()
	tuning.ArchiveDelay, tuning.MinSegmentJobs, tuning.CompactionFanIn = 0, 2, 2
	return simulator.Options{
		Controllers: 3, HeartbeatInterval: time.Second, WorkerLease: 8 * time.Second, CancelTimeout: 20 * time.Second,
		LateShare: 0.5, MachinesPerKind: 12, NoTaskFailures: true, Tuning: tuning,
	}
}
