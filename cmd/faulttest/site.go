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
		Use: "appliance", Short: "Kill the parts of a whole site of real processes while it works, again and again", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			program, err := filepath.Abs(program)
			if err != nil {
				return err
			}
			var worst, sum time.Duration
			for i := range runs {
				dir, err := os.MkdirTemp("", "site")
				if err != nil {
					return err
				}
				rep, err := sitetest.Run{Program: program, Dir: dir, Tasks: tasks, Seed: seed + uint64(i), Log: func(string, ...any) {}}.Execute()
				if err != nil {
					return fmt.Errorf("run %d, kept in %s: %w", i, dir, err)
				}
				if err := os.RemoveAll(dir); err != nil {
					return err
				}
				worst, sum = max(worst, rep.FirstTaskAfter), sum+rep.FirstTaskAfter
				fmt.Fprintf(
					cmd.OutOrStdout(),
					"run %d: first task after %.2f s, %d tasks done after %.1f s with %d parts killed, then all\n",
					i,
					rep.FirstTaskAfter.Seconds(),
					tasks,
					rep.AllDoneAfter.Seconds(),
					rep.Kills,
				)
			}
			fmt.Fprintf(
				cmd.OutOrStdout(),
				"%d runs: no task lost, none beside itself, nothing left; first task after %.2f s on average, %.2f s at most\n",
				runs,
				sum.Seconds()/float64(max(runs, 1)),
				worst.Seconds(),
			)
			return nil
		},
	}
	cmd.Flags().IntVar(&runs, "runs", 3, "how many runs")
	cmd.Flags().IntVar(&tasks, "tasks", 60, "tasks of a run, of 0.3 s each")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the first run")
	cmd.Flags().StringVar(&program, "program", "target/gullrudder", "the program")
	return cmd
}
