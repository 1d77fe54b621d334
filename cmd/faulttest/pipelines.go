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

func pipelinesCommand() *cobra.Command {
	var runs int
	var seed uint64
	cmd := &cobra.Command{
		Use:   "pipelines",
		Short: "Pipelines of jobs on days of troubles, in virtual time: rules, and by how much deadlines are missed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			const each = 30
			played, lost, early, orphaned := 0, 0, 0, 0
			var late []time.Duration
			var broken []string
			for i := range runs {
				tuning := config.DefaultOptions()
				tuning.ArchiveDelay, tuning.MinSegmentJobs, tuning.CompactionFanIn = 0, 2, 2
				w := simulator.New(seed+uint64(i), simulator.Options{
					Controllers: 3, HeartbeatInterval: time.Second, WorkerLease: 8 * time.Second, CancelTimeout: 20 * time.Second,
					LateShare: 0.5, MachinesPerKind: 12, NoTaskFailures: true, Tuning: tuning,
				}, slog.New(slog.DiscardHandler))
				p := w.RunPipelines(each)
				played, lost, late = played+p.Played, lost+p.Lost, append(late, p.Lateness...)
				for _, b := range w.Violations {
					broken = append(broken, fmt.Sprintf("seed %d: %s", seed+uint64(i), b))
					if b.Rule == simulator.RuleTooEarly {
						early++
					}
					if b.Rule == simulator.RuleOrphaned {
						orphaned++
					}
				}
			}
			for _, b := range broken {
				fmt.Fprintln(cmd.OutOrStdout(), "broken:", b)
			}
			if slices.Sort(late); len(late) == 0 {
				return errors.New("no pipeline was done")
			}
			fmt.Fprintf(
				cmd.OutOrStdout(),
				"%d pipelines, %d too early, %d orphaned, %d lost, median lateness %.1f s, worst %.1f s\n",
				played,
				early,
				orphaned,
				lost,
				late[len(late)/2].Seconds(),
				late[len(late)-1].Seconds(),
			)
			if len(broken)+lost > 0 {
				return errors.New("a rule was broken, or a pipeline lost")
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&runs, "runs", 4, "how many days, of thirty pipelines each")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the first day")
	return cmd
}
