package main

import (
	"fmt"
	"log/slog"
	"slices"
	"text/tabwriter"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

// gapMeasurementDuration is the time after a failure of the leader in which gaps are measured.
const gapMeasurementDuration = 40 * time.Second

// leaderFlags holds the flags of `faulttest leaders`.
type leaderFlags struct {
	failures, parallelism int
	seed                  uint64
}

func leadersCommand() *cobra.Command {
	options := leaderFlags{}
	cmd := &cobra.Command{
		Use: "leaders", Short: "Simulate leader failures and measure the gaps", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	cmd.Flags().IntVar(&options.failures, "failures", 200,
		"number of simulated failures, one per run, divided equally among the causes; at least one each")
	cmd.Flags().IntVar(&options.parallelism, "jobs", 8, "number of runs in parallel; does not affect the result")
	cmd.Flags().Uint64Var(&options.seed, "seed", 1, "seed of the first run")
	return cmd
}

func (o leaderFlags) run(cmd *cobra.Command) error {
	causes := simulator.New(0, leadersOptions(), slog.New(slog.DiscardHandler)).LeaderFailures()
	slices.Sort(causes)
	runsPerCause := max(o.failures/len(causes), 1)
	gaps, violations := make([]simulator.LeaderGap, runsPerCause*len(causes)), make([][]simulator.Violation, runsPerCause*len(causes))
	runInParallel(len(gaps), o.parallelism, func(i int) {
		sim := simulator.New(o.seed+uint64(i), leadersOptions(), slog.New(slog.DiscardHandler))
		gaps[i] = sim.FailLeader(causes[i/runsPerCause], gapMeasurementDuration)
		violations[i] = sim.Violations
	})
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	out := output{w: table}
	out.printf("cause\truns\tno leader: median\tmax\tno placement: median\tmax\tno acceptance: median\tmax\n")
	for k, cause := range causes {
		causeGaps := gaps[k*runsPerCause : (k+1)*runsPerCause]
		out.printf("%s\t%d", cause, runsPerCause)
		printMedianAndMax(&out, causeGaps, func(gap simulator.LeaderGap) time.Duration { return gap.WithoutLeader })
		printMedianAndMax(&out, causeGaps, func(gap simulator.LeaderGap) time.Duration { return gap.WithoutPlacement })
		printMedianAndMax(&out, causeGaps, func(gap simulator.LeaderGap) time.Duration { return gap.WithoutAcceptance })
		out.printf("\n")
	}
	if out.err != nil {
		return out.err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i, list := range violations {
		if len(list) > 0 {
			return fmt.Errorf("cause %q, seed %d: got violations %v, want none", causes[i/runsPerCause], o.seed+uint64(i), list)
		}
	}
	return nil
}

// printMedianAndMax prints two columns: the median and the maximum of one duration of the gaps.
func printMedianAndMax(out *output, gaps []simulator.LeaderGap, duration func(simulator.LeaderGap) time.Duration) {
	durations := make([]time.Duration, len(gaps))
	for i, gap := range gaps {
		durations[i] = duration(gap)
	}
	slices.Sort(durations)
	out.printf("\t%v\t%v", durations[len(durations)/2], durations[len(durations)-1])
}

// leadersOptions returns the options of the simulated clusters.
func leadersOptions() simulator.Options {
	return simulator.Options{
		Controllers: 3, HeartbeatInterval: 2500 * time.Millisecond, WorkerLease: 15 * time.Second, CancelTimeout: 35 * time.Second,
		Teams:  []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 14}, {Name: "blue", GuaranteedCPUs: 4, CPULimit: 20}},
		Tuning: config.DefaultOptions(),
	}
}
