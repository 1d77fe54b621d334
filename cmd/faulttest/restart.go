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

// restartMeasurement holds the flags of `faulttest restart`.
type restartMeasurement struct {
	program, dir                        string
	changes, keys, restarts, valueBytes int
}

func restartCommand() *cobra.Command {
	measurement := restartMeasurement{}
	cmd := &cobra.Command{
		Use: "restart", Short: "Measure the restart time of a state service", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return measurement.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&measurement.changes, "changes", 1_000_000,
		"writes before the restarts in the second measurement; in the first, each key is written once")
	flags.IntVar(&measurement.keys, "keys", 10_000, "number of keys that are written")
	flags.IntVar(&measurement.restarts, "times", 11, "restarts")
	flags.IntVar(&measurement.valueBytes, "bytes", 200, "size of each value, in bytes")
	flags.StringVar(&measurement.program, "program", "", "path of the gullrudder program; empty: build it")
	flags.StringVar(&measurement.dir, "dir", "",
		"directory on the disk to measure, for temporary files; empty: the system's temporary directory")
	return cmd
}

func (m restartMeasurement) run(cmd *cobra.Command) (err error) {
	root, err := os.MkdirTemp(m.dir, "faulttest-restart-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(root)) }()
	if m.program, err = resolveProgram(m.program, root); err != nil {
		return err
	}
	out := output{w: cmd.OutOrStdout()}
	out.printf("changes\tkeys\tmedian ms\tmax ms\tsnapshot bytes\tlog bytes\n")
	var baseline time.Duration
	for _, changes := range []int{m.keys, m.changes} {
		took, err := m.measure(&out, filepath.Join(root, strconv.Itoa(changes)), changes)
		if err != nil {
			return err
		}
		if changes == m.keys {
			baseline = took
		} else {
			out.printf("ratio of the medians: %.2f\n", float64(took)/float64(baseline))
		}
	}
	return out.err
}

// measure writes keys and kills the service. Then it measures several times how long a new process takes until it is ready. It
// returns the median.
func (m restartMeasurement) measure(out *output, data string, changes int) (time.Duration, error) {
	ports, err := freePorts(1)
	if err != nil {
		return 0, err
	}
	service := &process{name: "state", path: m.program, args: []string{"state", "--data", data, "--listen", ports[0]}}
	if err := service.start(); err != nil {
		return 0, err
	}
	defer service.kill()
	client := http1.NewClient(4, 4, 1<<20)
	if err := awaitOK(client, ports[0], "/ready", 10*time.Second); err != nil {
		return 0, err
	}
	for n := 0; n < changes; n += 100 {
		var operations []crashtest.Operation
		for i := n; i < min(n+100, changes); i++ {
			operations = append(operations, crashtest.Operation{Key: fmt.Sprintf("k/%08d", i%m.keys), Value: paddedNumber(i, m.valueBytes)})
		}
		request := crashtest.CommitRequest(nil, operations)
		response, err := client.Do(ports[0], request.Method, request.Target, request.Body, 10*time.Second)
		if err != nil || response.Status != http.StatusOK {
			return 0, fmt.Errorf("commit to %s: got response %v, want status 200: %w", ports[0], response, err)
		}
	}
	service.kill()
	report, err := kvserver.Inspect(data)
	if err != nil {
		return 0, err
	}
	var durations []time.Duration
	for range m.restarts {
		began := time.Now()
		if err := service.start(); err != nil {
			return 0, err
		}
		if err := awaitOK(http1.NewClient(1, 0, 1<<20), ports[0], "/ready", 30*time.Second); err != nil {
			return 0, err
		}
		durations = append(durations, time.Since(began))
		service.kill()
	}
	slices.Sort(durations)
	median, longest := durations[len(durations)/2], durations[len(durations)-1]
	out.printf("%d\t%d\t%.1f\t%.1f\t%d\t%d\n",
		changes, report.Keys, milliseconds(median), milliseconds(longest), report.SnapshotBytes, report.LogBytes)
	return median, out.err
}

// milliseconds converts a duration to milliseconds, with a precision of microseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
