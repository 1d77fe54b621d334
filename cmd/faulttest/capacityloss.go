package main

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

// formatShares lists the share of done jobs of each class.
func formatShares(served map[string]simulator.Served) string {
	list := ""
	for _, name := range slices.Sorted(maps.Keys(served)) {
		list += fmt.Sprintf(" %s %.2f", name, served[name].Share())
	}
	return list
}

func capacityLossCommand() *cobra.Command {
	var runs, jobs int
	var seed uint64
	var atLeast float64
	tuning := config.DefaultOptions()
	cmd := &cobra.Command{
		Use: "famine", Short: "Who is served when most machines are lost for minutes, in virtual time", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			days, broken := make([]simulator.CapacityLoss, runs), make([][]simulator.Violation, runs)
			var wait sync.WaitGroup
			slots := make(chan struct{}, jobs)
			for i := range days {
				wait.Add(1)
				slots <- struct{}{}
				go func() {
					defer func() { <-slots; wait.Done() }()
					w := simulator.New(seed+uint64(i), simulator.CapacityLossOptions(tuning), slog.New(slog.DiscardHandler))
					days[i] = w.RunCapacityLoss()
					broken[i] = w.Violations
				}()
			}
			wait.Wait()
			out := cmd.OutOrStdout()
			rules, leastClass, leastTeam, class, team := 0, 2.0, 2.0, "", ""
			for i, f := range days {
				c, cs := simulator.LeastServed(f.Classes)
				t, ts := simulator.LeastServed(f.Teams)
				fmt.Fprintf(
					out,
					"seed %d: %d machines, then %d; least served %s %.2f, team %s %.2f;%s\n",
					seed+uint64(i),
					f.MachinesBefore,
					f.MachinesDuring,
					c,
					cs,
					t,
					ts,
					formatShares(f.Classes),
				)
				if cs < leastClass {
					class, leastClass = c, cs
				}
				if ts < leastTeam {
					team, leastTeam = t, ts
				}
				if len(broken[i]) > 0 {
					rules++
					fmt.Fprintf(out, "seed %d: a rule is broken: %v\n", seed+uint64(i), broken[i])
				}
			}
			fmt.Fprintf(
				out,
				"%d runs, %d rules broken, least served %.2f (by class: %s), %.2f (by team: %s)\n",
				runs,
				rules,
				leastClass,
				class,
				leastTeam,
				team,
			)
			if rules > 0 {
				return fmt.Errorf("a rule was broken in %d of %d runs", rules, runs)
			}
			if least := min(leastClass, leastTeam); least < atLeast {
				return fmt.Errorf("only %.2f of a class or team was served, less than %.2f", least, atLeast)
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&runs, "runs", 20, "how many days")
	cmd.Flags().IntVar(&jobs, "jobs", 8, "how many days at a time; the result does not depend on it")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the first day")
	cmd.Flags().Float64Var(&atLeast, "at-least", 0, "fail if less than this share of any class or team is served")
	cmd.Flags().Float64Var(
		&tuning.FairShareCapacity,
		"floor-share",
		tuning.FairShareCapacity,
		"share of the fleet for classes and teams that are served least",
	)
	cmd.Flags().Float64Var(&tuning.OverdueShare, "late-share", tuning.OverdueShare, "share of the fleet for late jobs")
	cmd.Flags().Float64Var(
		&tuning.MinServedShare,
		"floor-least",
		tuning.MinServedShare,
		"share of the jobs of each class and team that is to be done",
	)
	return cmd
}
