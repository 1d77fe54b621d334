package main

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

// pipelinesPerRun is how many pipelines are submitted in each run.
const pipelinesPerRun = 30

func pipelinesCommand() *cobra.Command {
	var runs int
	var seed uint64
	cmd := &cobra.Command{
		Use:   "pipelines",
		Short: "Pipelines of jobs on days of faults, in virtual time: rules, and by how much deadlines are missed",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runPipelines(cmd, seed, runs) },
	}
	cmd.Flags().IntVar(&runs, "runs", 4, "how many days, of thirty pipelines each")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the first day")
	return cmd
}

func runPipelines(cmd *cobra.Command, seed uint64, runs int) error {
	out := output{w: cmd.OutOrStdout()}
	played, lost, early, orphaned, broken := 0, 0, 0, 0, 0
	var lateness []time.Duration
	for i := range runs {
		sim := simulator.New(seed+uint64(i), pipelinesOptions(), slog.New(slog.DiscardHandler))
		result := sim.RunPipelines(pipelinesPerRun)
		played, lost, lateness = played+result.Played, lost+result.Lost, append(lateness, result.Lateness...)
		for _, violation := range sim.Violations {
			broken++
			out.printf("broken: seed %d: %s\n", seed+uint64(i), violation)
			switch violation.Rule {
			case simulator.RuleTooEarly:
				early++
			case simulator.RuleOrphaned:
				orphaned++
			}
		}
	}
	if slices.Sort(lateness); len(lateness) == 0 {
		return errors.New("no pipeline was done")
	}
	out.printf("%d pipelines, %d too early, %d orphaned, %d lost, median lateness %.1f s, worst %.1f s\n",
		played, early, orphaned, lost, lateness[len(lateness)/2].Seconds(), lateness[len(lateness)-1].Seconds())
	if broken+lost > 0 {
		return errors.New("a rule was broken, or a pipeline lost")
	}
	return out.err
}

// pipelinesOptions are those of the simulated clusters.
func pipelinesOptions() simulator.Options {
	tuning := config.DefaultOptions()
	tuning.ArchiveDelay, tuning.MinSegmentJobs, tuning.CompactionFanIn = 0, 2, 2
	return simulator.Options{
		Controllers: 3, HeartbeatInterval: time.Second, WorkerLease: 8 * time.Second, CancelTimeout: 20 * time.Second,
		LateShare: 0.5, MachinesPerKind: 12, NoTaskFailures: true, Tuning: tuning,
	}
}
