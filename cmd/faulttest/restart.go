package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/http1"

	"github.com/spf13/cobra"
)

// restartMeasurement are the options of the command.
type restartMeasurement struct {
	path, dir                        string
	changes, keys, times, valueBytes int
}

func restartCommand() *cobra.Command {
	measurement := restartMeasurement{}
	cmd := &cobra.Command{
		Use: "restart", Short: "How long a state service takes to come back, with and without a history", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return measurement.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&measurement.changes, "changes", 1_000_000, "changes in the history")
	flags.IntVar(&measurement.keys, "keys", 10_000, "keys that are there")
	flags.IntVar(&measurement.times, "times", 11, "restarts")
	flags.IntVar(&measurement.valueBytes, "bytes", 200, "size of a value")
	flags.StringVar(&measurement.path, "program", "", "the gullrudder program; it is built if none is given")
	flags.StringVar(&measurement.dir, "dir", "", "a directory on the disk that is measured; a temporary one if none is given")
	return cmd
}

func (m restartMeasurement) run(cmd *cobra.Command) (err error) {
	root, err := os.MkdirTemp(m.dir, "faulttest-restart-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(root)) }()
	if m.path, err = program(m.path, root); err != nil {
		return err
	}
	out := output{w: cmd.OutOrStdout()}
	out.printf("changes\tkeys\tmedian ms\tmost ms\tsnapshot bytes\tlog bytes\n")
	var first time.Duration
	for _, changes := range []int{m.keys, m.changes} {
		took, err := m.measure(&out, filepath.Join(root, strconv.Itoa(changes)), changes)
		if err != nil {
			return err
		}
		if changes == m.keys {
			first = took
		} else {
			out.printf("ratio %.2f\n", float64(took)/float64(first))
		}
	}
	return out.err
}

// measure writes keys, kills the service, and measures the time from its start to its first response. It returns the median.
func (m restartMeasurement) measure(out *output, data string, changes int) (time.Duration, error) {
	ports, err := freePorts(1)
	if err != nil {
		return 0, err
	}
	service := &process{name: "state", path: m.path, args: []string{"state", "--data", data, "--listen", ports[0]}}
	if err := service.start(); err != nil {
		return 0, err
	}
	defer service.kill()
	client := http1.NewClient(4, 4, 1<<20)
	if err := await(client, ports[0], "/ready", 10*time.Second); err != nil {
		return 0, err
	}
	for n := 0; n < changes; n += 100 {
		var operations []crashtest.Operation
		for i := n; i < min(n+100, changes); i++ {
			operations = append(operations, crashtest.Operation{Key: fmt.Sprintf("k/%08d", i%m.keys), Value: value(i, m.valueBytes)})
		}
		request := crashtest.CommitRequest(nil, operations)
		response, err := client.Do(ports[0], request.Method, request.Target, request.Body, 10*time.Second)
		if err != nil || response.Status != http.StatusOK {
			return 0, fmt.Errorf("a commit: %v, %w", response, err)
		}
	}
	service.kill()
	report, err := kvserver.Inspect(data)
	if err != nil {
		return 0, err
	}
	var took []time.Duration
	for range m.times {
		began := time.Now()
		if err := service.start(); err != nil {
			return 0, err
		}
		if err := await(http1.NewClient(1, 0, 1<<20), ports[0], "/ready", 30*time.Second); err != nil {
			return 0, err
		}
		took = append(took, time.Since(began))
		service.kill()
	}
	slices.Sort(took)
	median, longest := took[len(took)/2], took[len(took)-1]
	out.printf("%d\t%d\t%.1f\t%.1f\t%d\t%d\n",
		changes, report.Keys, milliseconds(median), milliseconds(longest), report.SnapshotBytes, report.LogBytes)
	return median, out.err
}

// milliseconds is a duration as a number with fractions.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
