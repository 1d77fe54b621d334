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

// gapMeasurement is how long the gaps after a failure of the leader are measured.
const gapMeasurement = 40 * time.Second

// leaderRuns are the options of the command.
type leaderRuns struct {
	failures, jobs int
	seed           uint64
}

func leadersCommand() *cobra.Command {
	options := leaderRuns{}
	cmd := &cobra.Command{
		Use: "leaders", Short: "How long nobody acts after a failure of the leader, by cause, in virtual time", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	cmd.Flags().IntVar(&options.failures, "failures", 200, "how many failures, over all causes")
	cmd.Flags().IntVar(&options.jobs, "jobs", 8, "how many clusters at a time; the result does not depend on it")
	cmd.Flags().Uint64Var(&options.seed, "seed", 1, "of the first cluster")
	return cmd
}

func (o leaderRuns) run(cmd *cobra.Command) error {
	causes := simulator.New(0, leadersOptions(), slog.New(slog.DiscardHandler)).LeaderFailures()
	slices.Sort(causes)
	each := max(o.failures/len(causes), 1)
	gaps, violations := make([]simulator.LeaderGap, each*len(causes)), make([][]simulator.Violation, each*len(causes))
	runInParallel(len(gaps), o.jobs, func(i int) {
		sim := simulator.New(o.seed+uint64(i), leadersOptions(), slog.New(slog.DiscardHandler))
		gaps[i] = sim.FailLeader(causes[i/each], gapMeasurement)
		violations[i] = sim.Violations
	})
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	out := output{w: table}
	out.printf("failure\tplayed\tnobody acts: median\tmost\tnobody places: median\tmost\tnobody accepts: median\tmost\n")
	for k, cause := range causes {
		ofCause := gaps[k*each : (k+1)*each]
		out.printf("%s\t%d", cause, each)
		printMedianAndMost(&out, ofCause, func(gap simulator.LeaderGap) time.Duration { return gap.WithoutLeader })
		printMedianAndMost(&out, ofCause, func(gap simulator.LeaderGap) time.Duration { return gap.WithoutPlacement })
		printMedianAndMost(&out, ofCause, func(gap simulator.LeaderGap) time.Duration { return gap.WithoutAcceptance })
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
			return fmt.Errorf("%s, seed %d: %v", causes[i/each], o.seed+uint64(i), list)
		}
	}
	return nil
}

// printMedianAndMost prints two columns.
func printMedianAndMost(out *output, gaps []simulator.LeaderGap, length func(simulator.LeaderGap) time.Duration) {
	lengths := make([]time.Duration, len(gaps))
	for i, gap := range gaps {
		lengths[i] = length(gap)
	}
	slices.Sort(lengths)
	out.printf("\t%v\t%v", lengths[len(lengths)/2], lengths[len(lengths)-1])
}

// leadersOptions are those of the simulated clusters.
func leadersOptions() simulator.Options {
	return simulator.Options{
		Controllers: 3, HeartbeatInterval: 2500 * time.Millisecond, WorkerLease: 15 * time.Second, CancelTimeout: 35 * time.Second,
		Teams:  []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 14}, {Name: "blue", GuaranteedCPUs: 4, CPULimit: 20}},
		Tuning: config.DefaultOptions(),
	}
}
