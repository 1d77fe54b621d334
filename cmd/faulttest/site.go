package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gullrudder/internal/simulator/sitetest"

	"github.com/spf13/cobra"
)

func siteCommand() *cobra.Command {
	var runs, tasks int
	var seed uint64
	var program string
	cmd := &cobra.Command{
		Use: "site", Aliases: []string{"appliance"}, Args: cobra.NoArgs,
		Short: "Kill processes of a whole site and check its tasks",
		RunE: func(cmd *cobra.Command, _ []string) error {
			program, err := filepath.Abs(program)
			if err != nil {
				return err
			}
			out := output{w: cmd.OutOrStdout()}
			var worst, sum time.Duration
			for i := range runs {
				report, err := runSite(program, tasks, seed+uint64(i))
				if err != nil {
					return fmt.Errorf("run %d: %w", i, err)
				}
				worst, sum = max(worst, report.FirstTaskAfter), sum+report.FirstTaskAfter
				out.printf("run %d: first task after %.2f s, %d tasks done after %.1f s; %d processes killed one at a time, then all at once\n",
					i, report.FirstTaskAfter.Seconds(), tasks, report.AllDoneAfter.Seconds(), report.Kills)
			}
			out.printf(
				"%d runs: no task lost, none run twice at a time, no process left behind; first task after %.2f s on average, %.2f s at most\n",
				runs, sum.Seconds()/float64(max(runs, 1)), worst.Seconds())
			return out.err
		},
	}
	cmd.Flags().IntVar(&runs, "runs", 3, "number of runs; each uses the next seed")
	cmd.Flags().IntVar(&tasks, "tasks", 60, "tasks in each run; a task takes 0.3 s")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run")
	cmd.Flags().StringVar(&program, "program", "target/gullrudder", "path of the gullrudder program")
	return cmd
}

// runSite runs a site in a temporary directory and removes it unless the run fails.
func runSite(program string, tasks int, seed uint64) (sitetest.Report, error) {
	dir, err := os.MkdirTemp("", "site")
	if err != nil {
		return sitetest.Report{}, err
	}
	run := sitetest.Run{Program: program, Dir: dir, Tasks: tasks, Seed: seed, Log: func(string, ...any) {}}
	report, err := run.Execute()
	if err != nil {
		return report, fmt.Errorf("files are kept in %s: %w", dir, err)
	}
	return report, os.RemoveAll(dir)
}
