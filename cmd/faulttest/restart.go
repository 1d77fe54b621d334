package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/http1"

	"github.com/spf13/cobra"
)

func restartCommand() *cobra.Command {
	var path, dir string
	var changes, keys, times, bytes int
	cmd := &cobra.Command{
		Use: "restart", Short: "How long a state service takes to come back, with and without a history", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			root, err := os.MkdirTemp(dir, "faulttest-restart-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(root)
			if path, err = program(path, root); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "changes\tkeys\tmedian ms\tmost ms\tsnapshot bytes\tlog bytes")
			var first time.Duration
			for _, n := range []int{keys, changes} {
				took, err := measureRestart(cmd, path, filepath.Join(root, fmt.Sprint(n)), n, keys, times, bytes)
				if err != nil {
					return err
				}
				if n == keys {
					first = took
				} else {
					fmt.Fprintf(cmd.OutOrStdout(), "ratio %.2f\n", float64(took)/float64(first))
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&changes, "changes", 1_000_000, "changes in the history")
	cmd.Flags().IntVar(&keys, "keys", 10_000, "keys that are there")
	cmd.Flags().IntVar(&times, "times", 11, "restarts")
	cmd.Flags().IntVar(&bytes, "bytes", 200, "size of a value")
	cmd.Flags().StringVar(&path, "program", "", "the gullrudder program; it is built if none is given")
	cmd.Flags().StringVar(&dir, "dir", "", "a directory on the disk that is measured; a temporary one if none is given")
	return cmd
}

// measureRestart writes keys, kills the service, and measures the time from its start to its first
// response.
func measureRestart(cmd *cobra.Command, path, data string, changes, keys, times, bytes int) (time.Duration, error) {
	ports, err := freePorts(1)
	if err != nil {
		return 0, err
	}
	p := &process{name: "state", path: path, args: []string{"state", "--data", data, "--listen", ports[0]}}
	if err := p.start(); err != nil {
		return 0, err
	}
	defer p.kill()
	client := http1.NewClient(4, 4, 1<<20)
	if err := await(client, ports[0], "/ready", 10*time.Second); err != nil {
		return 0, err
	}
	for n := 0; n < changes; n += 100 {
		var ops []crashtest.Operation
		for i := n; i < min(n+100, changes); i++ {
			ops = append(ops, crashtest.Operation{Key: fmt.Sprintf("k/%08d", i%keys), Value: value(i, bytes)})
		}
		r := crashtest.CommitRequest(nil, ops)
		if m, err := client.Do(ports[0], r.Method, r.Target, r.Body, 10*time.Second); err != nil || m.Status != 200 {
			return 0, fmt.Errorf("a commit: %v, %w", m, err)
		}
	}
	p.kill()
	report, err := kvserver.Inspect(data)
	if err != nil {
		return 0, err
	}
	var took []time.Duration
	for range times {
		began := time.Now()
		if err := p.start(); err != nil {
			return 0, err
		}
		if err := await(http1.NewClient(1, 0, 1<<20), ports[0], "/ready", 30*time.Second); err != nil {
			return 0, err
		}
		took = append(took, time.Since(began))
		p.kill()
	}
	slices.Sort(took)
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d\t%d\t%.1f\t%.1f\t%d\t%d\n", changes, report.Keys, ms(took[len(took)/2]), ms(took[len(took)-1]),
		report.SnapshotBytes, report.LogBytes)
	return took[len(took)/2], err
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
