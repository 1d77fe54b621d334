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

// capacityLossRuns are the options of the command.
type capacityLossRuns struct {
	runs, jobs int
	seed       uint64
	atLeast    float64
	tuning     config.Options
}

func capacityLossCommand() *cobra.Command {
	options := capacityLossRuns{tuning: config.DefaultOptions()}
	tuning := &options.tuning
	cmd := &cobra.Command{
		Use: "capacity-loss", Aliases: []string{"famine"}, Args: cobra.NoArgs,
		Short: "Who is served when most machines are lost for minutes, in virtual time",
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.runs, "runs", 20, "how many days")
	flags.IntVar(&options.jobs, "jobs", 8, "how many days at a time; the result does not depend on it")
	flags.Uint64Var(&options.seed, "seed", 1, "of the first day")
	flags.Float64Var(&options.atLeast, "at-least", 0, "fail if less than this share of any class or team is served")
	flags.Float64Var(&tuning.FairShareCapacity, "floor-share", tuning.FairShareCapacity,
		"share of the fleet for classes and teams that are served least")
	flags.Float64Var(&tuning.OverdueShare, "late-share", tuning.OverdueShare, "share of the fleet for late jobs")
	flags.Float64Var(&tuning.MinServedShare, "floor-least", tuning.MinServedShare,
		"share of the jobs of each class and team that is to be done")
	return cmd
}

// leastServed is the group with the smallest share of done jobs of several runs.
type leastServed struct {
	name  string
	share float64
}

// add takes in the least served group of a run.
func (l *leastServed) add(name string, share float64) {
	if share < l.share {
		l.name, l.share = name, share
	}
}

func (o capacityLossRuns) run(cmd *cobra.Command) error {
	results, violations := make([]simulator.CapacityLoss, o.runs), make([][]simulator.Violation, o.runs)
	runInParallel(o.runs, o.jobs, func(i int) {
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
		out.printf("seed %d: %d machines, then %d; least served %s %.2f, team %s %.2f;%s\n",
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
		return fmt.Errorf("a rule was broken in %d of %d runs", broken, o.runs)
	}
	if least := min(leastClass.share, leastTeam.share); least < o.atLeast {
		return fmt.Errorf("only %.2f of a class or team was served, less than %.2f", least, o.atLeast)
	}
	return out.err
}

// formatShares lists the share of done jobs of each class.
func formatShares(served map[string]simulator.Served) string {
	var list strings.Builder
	for _, name := range slices.Sorted(maps.Keys(served)) {
		fmt.Fprintf(&list, " %s %.2f", name, served[name].Share())
	}
	return list.String()
}
