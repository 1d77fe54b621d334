package main

import (
	"errors"
	"log/slog"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

// What every fault day has to reach.
const (
	minServedShare = 0.5
	maxFirstStart  = 4 * time.Minute
)

// faultRuns are the options of the command.
type faultRuns struct {
	runs, jobs, capacity int
	seed                 uint64
	kinds                []string
	startBound           time.Duration
}

func faultsCommand() *cobra.Command {
	options := faultRuns{}
	cmd := &cobra.Command{
		Use: "faults", Aliases: []string{"troubles"}, Args: cobra.NoArgs,
		Short: "Rules and who is served on days of faults, several at once, in virtual time",
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.runs, "runs", 40, "how many days")
	flags.IntVar(&options.jobs, "jobs", 8, "how many days at a time; the result does not depend on it")
	flags.Uint64Var(&options.seed, "seed", 1, "of the first day")
	flags.IntVar(&options.capacity, "capacity", 36, "machines of each of the six kinds")
	flags.StringSliceVar(&options.kinds, "kinds", simulator.FaultKinds(), "which faults: "+strings.Join(simulator.FaultKinds(), ", "))
	flags.DurationVar(&options.startBound, "begin-bound", config.DefaultOptions().StartBound,
		"a job of which nothing has begun after this begins ahead of others; 0: none does")
	return cmd
}

func (o faultRuns) run(cmd *cobra.Command) error {
	tuning := config.DefaultOptions()
	tuning.StartBound = o.startBound
	options := simulator.CapacityLossOptions(tuning)
	options.MachinesPerKind, options.LateShare, options.LossShare = o.capacity, 0.5, 0.002
	days, violations, failures := make([]simulator.FaultDay, o.runs), make([][]simulator.Violation, o.runs), make([]error, o.runs)
	runInParallel(o.runs, o.jobs, func(i int) {
		sim := simulator.New(o.seed+uint64(i), options, slog.New(slog.DiscardHandler))
		days[i], failures[i] = sim.RunFaultDay(o.kinds)
		violations[i] = sim.Violations
	})
	if err := errors.Join(failures...); err != nil {
		return err
	}
	out := &output{w: cmd.OutOrStdout()}
	summary := faultSummary{class: 2, team: 2, largest: 2}
	for i, day := range days {
		summary.add(out, o.seed+uint64(i), day, violations[i])
	}
	fewest, most := days[0].MaxMachines, 0
	for _, day := range days {
		fewest, most = min(fewest, day.MaxMachines), max(most, day.MaxMachines)
	}
	out.printf("%d to %d machines at a time\n", fewest, most)
	out.printf("%d runs, %d rules broken, %d forgotten, least served %.2f (class) %.2f (team) %.2f (largest), latest first start %.0f s\n",
		o.runs, summary.broken, summary.forgotten, summary.class, summary.team, summary.largest, summary.firstStart.Seconds())
	if summary.broken > 0 || min(summary.class, summary.team, summary.largest) < minServedShare || summary.firstStart > maxFirstStart {
		return errors.New("a rule was broken, or somebody was not served")
	}
	return out.err
}

// faultSummary is the worst of several fault days.
type faultSummary struct {
	broken, forgotten    int
	class, team, largest float64 // least served
	firstStart           time.Duration
}

// add takes in a day. A day that broke a rule, or that no scheduler could have served, does not count as served badly.
func (s *faultSummary) add(out *output, seed uint64, day simulator.FaultDay, violations []simulator.Violation) {
	if len(violations) > 0 {
		s.broken++
		if day.IsForgotten {
			s.forgotten++
		}
		out.printf("seed %d: a rule is broken: %v\n", seed, violations)
		return
	}
	class, team, largest := day.LeastServed()
	if min(class, team, largest) < minServedShare || day.LatestFirstStart > maxFirstStart {
		out.printf("seed %d: %d machines, least served %.2f (class) %.2f (team) %.2f (largest), latest first start %.0f s; "+
			"%.0f CPU seconds asked for, %.0f there: possible %v\n",
			seed, day.MaxMachines, class, team, largest, day.LatestFirstStart.Seconds(),
			day.RequestedCPUSeconds, day.AvailableCPUSeconds, day.IsFeasible())
		if !day.IsFeasible() {
			return
		}
	}
	s.class, s.team, s.largest = min(s.class, class), min(s.team, team), min(s.largest, largest)
	s.firstStart = max(s.firstStart, day.LatestFirstStart)
}
