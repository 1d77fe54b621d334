package main

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

func faultsCommand() *cobra.Command {
	var runs, jobs, capacity int
	var seed uint64
	var kinds []string
	var begin time.Duration
	tuning := config.DefaultOptions()
	cmd := &cobra.Command{
		Use: "troubles", Short: "Rules and who is served on days of troubles, several at once, in virtual time", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tuning.StartBound = begin
			opt := simulator.CapacityLossOptions(tuning)
			opt.MachinesPerKind, opt.LateShare, opt.LossShare = capacity, 0.5, 0.002
			days, broken, fails := make([]simulator.FaultDay, runs), make([][]simulator.Violation, runs), make([]error, runs)
			var wait sync.WaitGroup
			slots := make(chan struct{}, jobs)
			for i := range days {
				slots <- struct{}{}
				wait.Go(func() {
					defer func() { <-slots }()
					w := simulator.New(seed+uint64(i), opt, slog.New(slog.DiscardHandler))
					days[i], fails[i] = w.RunFaultDay(kinds)
					broken[i] = w.Violations
				})
			}
			wait.Wait()
			out := cmd.OutOrStdout()
			rules, forgotten, latest := 0, 0, time.Duration(0)
			least := [3]float64{2, 2, 2}
			for i, d := range days {
				if fails[i] != nil {
					return fails[i]
				}
				if len(broken[i]) > 0 {
					rules++
					if d.IsForgotten {
						forgotten++
					}
					fmt.Fprintf(out, "seed %d: a rule is broken: %v\n", seed+uint64(i), broken[i])
					continue
				}
				class, team, largest := d.LeastServed()
				if min(class, team, largest) < 0.5 || d.LatestFirstStart > 4*time.Minute {
					fmt.Fprintf(
						out,
						"seed %d: %d machines, least served %.2f (class) %.2f (team) %.2f (largest), latest first start %.0f s; %.0f CPU seconds asked for, %.0f there: possible %v\n",
						seed+uint64(i),
						d.MaxMachines,
						class,
						team,
						largest,
						d.LatestFirstStart.Seconds(),
						d.RequestedCPUSeconds,
						d.AvailableCPUSeconds,
						d.IsFeasible(),
					)
					if !d.IsFeasible() {
						continue
					}
				}
				least = [3]float64{min(least[0], class), min(least[1], team), min(least[2], largest)}
				latest = max(latest, d.LatestFirstStart)
			}
			fewest, most := days[0].MaxMachines, 0
			for _, d := range days {
				fewest, most = min(fewest, d.MaxMachines), max(most, d.MaxMachines)
			}
			fmt.Fprintf(out, "%d to %d machines at a time\n", fewest, most)
			fmt.Fprintf(
				out,
				"%d runs, %d rules broken, %d forgotten, least served %.2f (class) %.2f (team) %.2f (largest), latest first start %.0f s\n",
				runs,
				rules,
				forgotten,
				least[0],
				least[1],
				least[2],
				latest.Seconds(),
			)
			if rules > 0 || min(least[0], least[1], least[2]) < 0.5 || latest > 4*time.Minute {
				return fmt.Errorf("a rule was broken, or somebody was not served")
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&runs, "runs", 40, "how many days")
	cmd.Flags().IntVar(&jobs, "jobs", 8, "how many days at a time; the result does not depend on it")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the first day")
	cmd.Flags().IntVar(&capacity, "capacity", 36, "machines of each of the six kinds")
	cmd.Flags().StringSliceVar(&kinds, "kinds", simulator.FaultKinds(), "which troubles: "+strings.Join(simulator.FaultKinds(), ", "))
	cmd.Flags().DurationVar(
		&begin,
		"begin-bound",
		tuning.StartBound,
		"a job of which nothing has begun after this begins ahead of others; 0: none does",
	)
	return cmd
}
