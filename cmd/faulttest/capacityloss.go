package main

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

// capacityLossFlags holds the flags of `faulttest capacity-loss`.
type capacityLossFlags struct {
	runs, parallelism int
	seed              uint64
	minShare          float64
	tuning            config.Options
}

func capacityLossCommand() *cobra.Command {
	options := capacityLossFlags{tuning: config.DefaultOptions()}
	tuning := &options.tuning
	cmd := &cobra.Command{
		Use: "capacity-loss", Aliases: []string{"famine"}, Args: cobra.NoArgs,
		Short: "Simulate the loss of four in ten machines",
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.runs, "runs", 20, "number of simulated runs; each uses the next seed")
	flags.IntVar(&options.parallelism, "jobs", 8, "number of runs in parallel; does not affect the result")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the first run")
	flags.Float64Var(&options.minShare, "at-least", 0, "smallest accepted share of done jobs of each class and team, 0 to 1; 0: accept any")
	flags.Float64Var(&tuning.FairShareCapacity, "floor-share", tuning.FairShareCapacity,
		"share of the cluster, 0 to 1, for classes and teams below --floor-least")
	flags.Float64Var(&tuning.OverdueShare, "late-share", tuning.OverdueShare,
		"share of the cluster, 0 to 1, for jobs that can no longer meet any objective")
	flags.Float64Var(&tuning.MinServedShare, "floor-least", tuning.MinServedShare,
		"minimum share of the jobs of each class and team that must be done, 0 to 1")
	return cmd
}

// leastServed is the class or team with the smallest share of done jobs in all runs.
type leastServed struct {
	name  string
	share float64
}

// add replaces the group by that of another run if that has a smaller share.
func (l *leastServed) add(name string, share float64) {
	if share < l.share {
		l.name, l.share = name, share
	}
}

func (o capacityLossFlags) run(cmd *cobra.Command) error {
	results, violations := make([]simulator.CapacityLoss, o.runs), make([][]simulator.Violation, o.runs)
	runInParallel(o.runs, o.parallelism, func(i int) {
		sim := simulator.New(o.seed+uint64(i), simulator.CapacityLossOptions(o.tuning), slog.New(slog.DiscardHandler))
		results[i] = sim.RunCapacityLoss()
		violations[i] = sim.Violations
	})
	out := output{w: cmd.OutOrStdout()}
	broken, leastClass, leastTeam := 0, leastServed{share: 2}, leastServed{share: 2}
	for i, result := range results {
		seed := o.seed + uint64(i)
		class, classShare := simulator.LeastServed(result.Classes)
		team, teamShare := simulator.LeastServed(result.Teams)
		out.printf("seed %d: %d machines before the loss, %d after it; least served: class %s %.2f, team %s %.2f; all classes:%s\n",
			seed, result.MachinesBefore, result.MachinesDuring, class, classShare, team, teamShare, formatShares(result.Classes))
		leastClass.add(class, classShare)
		leastTeam.add(team, teamShare)
		if len(violations[i]) > 0 {
			broken++
			out.printf("seed %d: a rule is broken: %v\n", seed, violations[i])
		}
	}
	out.printf("%d runs, %d rules broken, least served %.2f (by class: %s), %.2f (by team: %s)\n",
		o.runs, broken, leastClass.share, leastClass.name, leastTeam.share, leastTeam.name)
	if broken > 0 {
		return fmt.Errorf("rules were broken in %d of %d runs, expected none", broken, o.runs)
	}
	if least := min(leastClass.share, leastTeam.share); least < o.minShare {
		return fmt.Errorf("least served class or team: share of done jobs is %.2f, expected at least %.2f (--at-least)", least, o.minShare)
	}
	return out.err
}

// formatShares returns the share of done jobs of each class as text, sorted by class.
func formatShares(served map[string]simulator.Served) string {
	var list strings.Builder
	for _, name := range slices.Sorted(maps.Keys(served)) {
		fmt.Fprintf(&list, " %s %.2f", name, served[name].Share())
	}
	return list.String()
}
