package main

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator"

	"github.com/spf13/cobra"
)

func leadersCommand() *cobra.Command {
	var failures, jobs int
	var seed uint64
	cmd := &cobra.Command{
		Use: "leaders", Short: "How long nobody acts after a failure of the leader, by cause, in virtual time", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			names := simulator.New(0, leadersOptions(), slog.New(slog.DiscardHandler)).LeaderFailures()
			slices.Sort(names)
			each := max(failures/len(names), 1)
			gaps, broken := make([]simulator.LeaderGap, each*len(names)), make([][]simulator.Violation, each*len(names))
			var wait sync.WaitGroup
			slots := make(chan struct{}, jobs)
			for i := range gaps {
				wait.Add(1)
				slots <- struct{}{}
				go func() {
					defer func() { <-slots; wait.Done() }()
					w := simulator.New(seed+uint64(i), leadersOptions(), slog.New(slog.DiscardHandler))
					gaps[i] = w.FailLeader(names[i/each], 40*time.Second)
					broken[i] = w.Violations
				}()
			}
			wait.Wait()
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "failure\tplayed\tnobody acts: median\tmost\tnobody places: median\tmost\tnobody accepts: median\tmost")
			for k, name := range names {
				var acting, placing, accepting []time.Duration
				for _, g := range gaps[k*each : (k+1)*each] {
					acting, placing, accepting = append(acting, g.WithoutLeader), append(placing, g.WithoutPlacement), append(accepting, g.WithoutAcceptance)
				}
				slices.Sort(acting)
				slices.Sort(placing)
				slices.Sort(accepting)
				fmt.Fprintf(
					out,
					"%s\t%d\t%v\t%v\t%v\t%v\t%v\t%v\n",
					name,
					each,
					acting[each/2],
					acting[each-1],
					placing[each/2],
					placing[each-1],
					accepting[each/2],
					accepting[each-1],
				)
			}
			if err := out.Flush(); err != nil {
				return err
			}
			for i, b := range broken {
				if len(b) > 0 {
					return fmt.Errorf("%s, seed %d: %v", names[i/each], seed+uint64(i), b)
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&failures, "failures", 200, "how many failures, over all causes")
	cmd.Flags().IntVar(&jobs, "jobs", 8, "how many worlds at a time; the result does not depend on it")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the first world")
	return cmd
}

func leadersOptions() simulator.Options {
	return simulator.Options{
		Controllers: 3, HeartbeatInterval: 2500 * time.Millisecond, WorkerLease: 15 * time.Second, CancelTimeout: 35 * time.Second,
		Teams:  []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 14}, {Name: "blue", GuaranteedCPUs: 4, CPULimit: 20}},
		Tuning: config.DefaultOptions(),
	}
}
