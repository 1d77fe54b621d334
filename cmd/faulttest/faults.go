package main

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

// Limits that each run must meet.
const (
	minServedShare = 0.5             // of the jobs of each class, team and group of largest jobs
	maxFirstStart  = 4 * time.Minute // from submission to first start, of the largest jobs
)

// faultFlags holds the flags of `faulttest faults`.
type faultFlags struct {
	runs, parallelism, capacity int
	seed                        uint64
	kinds                       []string
	startBound                  time.Duration
}

func faultsCommand() *cobra.Command {
	options := faultFlags{}
	cmd := &cobra.Command{
		Use: "faults", Aliases: []string{"troubles"}, Args: cobra.NoArgs,
		Short: "Simulate several faults at once and check the rules",
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.runs, "runs", 40, "number of simulated runs; each uses the next seed")
	flags.IntVar(&options.parallelism, "jobs", 8, "number of runs in parallel; does not affect the result")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the first run")
	flags.IntVar(&options.capacity, "capacity", 36, "machines that the cloud has of each of the six combinations of type, zone and kind")
	flags.StringSliceVar(&options.kinds, "kinds", simulator.FaultKinds(),
		"kinds of faults to inject, separated by commas; quote a kind that contains a comma; all kinds: "+
			strings.Join(simulator.FaultKinds(), ", "))
	flags.DurationVar(&options.startBound, "begin-bound", config.DefaultOptions().StartBound,
		"wait after which a job without a started task goes before other jobs; 0: no bound")
	return cmd
}

func (o faultFlags) run(cmd *cobra.Command) error {
	tuning := config.DefaultOptions()
	tuning.StartBound = o.startBound
	options := simulator.CapacityLossOptions(tuning)
	options.MachinesPerKind, options.LateShare, options.LossShare = o.capacity, 0.5, 0.002
	results, violations, failures := make([]simulator.FaultRun, o.runs), make([][]simulator.Violation, o.runs), make([]error, o.runs)
	runInParallel(o.runs, o.parallelism, func(i int) {
		sim := simulator.New(o.seed+uint64(i), options, slog.New(slog.DiscardHandler))
		results[i], failures[i] = sim.RunWithFaults(o.kinds)
		violations[i] = sim.Violations
	})
	if err := errors.Join(failures...); err != nil {
		return err
	}
	out := &output{w: cmd.OutOrStdout()}
	summary := faultSummary{class: 2, team: 2, largest: 2}
	for i, result := range results {
		summary.add(out, o.seed+uint64(i), result, violations[i])
	}
	fewest, most := results[0].MaxMachines, 0
	for _, result := range results {
		fewest, most = min(fewest, result.MaxMachines), max(most, result.MaxMachines)
	}
	out.printf("peak machines per run: %d to %d\n", fewest, most)
	out.printf("%d runs, %d rules broken, %d forgotten, least served %.2f (class) %.2f (team) %.2f (largest), latest first start %.0f s\n",
		o.runs, summary.broken, summary.forgotten, summary.class, summary.team, summary.largest, summary.firstStart.Seconds())
	if summary.broken > 0 || min(summary.class, summary.team, summary.largest) < minServedShare || summary.firstStart > maxFirstStart {
		return fmt.Errorf("%d rules broken, least served %.2f, latest first start %v: expected none, at least %.2f and at most %v",
			summary.broken, min(summary.class, summary.team, summary.largest), summary.firstStart, minServedShare, maxFirstStart)
	}
	return out.err
}

// faultSummary holds the worst results of several runs.
type faultSummary struct {
	broken, forgotten    int
	class, team, largest float64       // smallest shares of done jobs
	firstStart           time.Duration // longest time from submission to first start, of the largest jobs
}

// add adds the result of a run. The shares and the first start of a run are ignored in two cases: the run broke a rule, or it missed
// a limit and its machines could not have run all jobs.
func (s *faultSummary) add(out *output, seed uint64, result simulator.FaultRun, violations []simulator.Violation) {
	if len(violations) > 0 {
		s.broken++
		if result.HasForgottenJob {
			s.forgotten++
		}
		out.printf("seed %d: a rule is broken: %v\n", seed, violations)
		return
	}
	class, team, largest := result.LeastServed()
	if min(class, team, largest) < minServedShare || result.LatestFirstStart > maxFirstStart {
		out.printf("seed %d: %d machines, least served %.2f (class) %.2f (team) %.2f (largest), latest first start %.0f s; "+
			"%.0f CPU seconds requested, %.0f available, feasible: %v\n",
			seed, result.MaxMachines, class, team, largest, result.LatestFirstStart.Seconds(),
			result.RequestedCPUSeconds, result.AvailableCPUSeconds, result.IsFeasible())
		if !result.IsFeasible() {
			return
		}
	}
	s.class, s.team, s.largest = min(s.class, class), min(s.team, team), min(s.largest, largest)
	s.firstStart = max(s.firstStart, result.LatestFirstStart)
}
