package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/http1"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
)

// commitMeasurement holds the flags of `faulttest commits` and its working directory.
type commitMeasurement struct {
	program, dir, clients string
	duration              time.Duration // length of each measurement
	syncDelay             time.Duration // added to each sync; 0: none
	valueBytes            int
	workDir               string
}

func commitsCommand() *cobra.Command {
	measurement := commitMeasurement{}
	cmd := &cobra.Command{
		Use: "commits", Short: "Measure commits per second of a state service", Args: cobra.NoArgs,
		Long: "Measure commits per second of a state service.\n\nFor each number of clients, commit one key at a time, first without " +
			"snapshots and then with\ncontinuous snapshots. Then write about as many bytes as the log has grown to a file on the\nsame " +
			"disk, with as many syncs. The last column divides the time of the commits by the time\nof these writes: the overhead of the service.",
		RunE: func(cmd *cobra.Command, _ []string) error { return measurement.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&measurement.clients, "clients", "1,16,128", "numbers of concurrent clients to measure, 1 to 900, separated by commas")
	flags.DurationVar(&measurement.duration, "for", 5*time.Second, "length of each measurement")
	flags.DurationVar(&measurement.syncDelay, "sync", 0,
		"delay added to each sync, to emulate a slow disk; the state service then runs in this process; 0: no delay")
	flags.IntVar(&measurement.valueBytes, "bytes", 200, "size of each value, in bytes")
	flags.StringVar(&measurement.program, "program", "", "path of the gullrudder program; empty: build it")
	flags.StringVar(&measurement.dir, "dir", "",
		"directory on the disk to measure, for temporary files; empty: the system's temporary directory")
	return cmd
}

func (m commitMeasurement) run(cmd *cobra.Command) (err error) {
	if m.workDir, err = os.MkdirTemp(m.dir, "faulttest-commits-"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(m.workDir)) }()
	if m.program, err = resolveProgram(m.program, m.workDir); err != nil {
		return err
	}
	out := output{w: cmd.OutOrStdout()}
	out.printf("clients\tsnapshots enabled\tcommits/s\tp50 ms\tp99 ms\tcommits/sync\tsnapshots taken\ttime / disk time\n")
	for _, field := range strings.Split(m.clients, ",") {
		clients, err := strconv.Atoi(field)
		if err != nil || clients < 1 || clients > 900 {
			return fmt.Errorf("--clients: %q: expected a whole number from 1 to 900", field)
		}
		for _, snapshots := range []bool{false, true} {
			if err := m.measure(&out, clients, snapshots); err != nil {
				return err
			}
		}
	}
	return out.err
}

// stateMetrics maps the metric names of a state service, without gullrudder_state_, to their values.
type stateMetrics map[string]float64

// readMetrics reads the metrics of a state service.
func readMetrics(client *http1.Client, addr string) (stateMetrics, error) {
	response, err := client.Do(addr, "GET", "/metrics", nil, 5*time.Second)
	if err != nil {
		return nil, err
	}
	metrics := stateMetrics{}
	for _, line := range strings.Split(string(response.Body), "\n") {
		name, value, ok := strings.Cut(line, " ")
		if number, err := strconv.ParseFloat(value, 64); ok && err == nil {
			metrics[strings.TrimPrefix(name, "gullrudder_state_")] = number
		}
	}
	return metrics, nil
}

// Options of the state service: without snapshots during a measurement, and with continuous snapshots.
const (
	optionsWithoutSnapshots = "<state><connections>2000</connections><snapshot-kb>1048576</snapshot-kb></state>"
	optionsWithSnapshots    = "<state><connections>2000</connections><snapshot-kb>64</snapshot-kb><snapshot-share>0</snapshot-share></state>"
)

// startService starts a state service. It returns the address of its API and that of its metrics, which may not respond yet.
func (m commitMeasurement) startService(clients int, snapshots bool) (service *process, addr, metrics string, err error) {
	data := filepath.Join(m.workDir, fmt.Sprintf("data-%d-%v", clients, snapshots))
	options := filepath.Join(m.workDir, "state.xml")
	text := optionsWithoutSnapshots
	if snapshots {
		text = optionsWithSnapshots
	}
	if err := os.WriteFile(options, []byte(text), 0o600); err != nil {
		return nil, "", "", err
	}
	ports, err := freePorts(2)
	if err != nil {
		return nil, "", "", err
	}
	addr, metrics = ports[0], ports[1]
	service = &process{
		name: "state",
		path: m.program,
		args: []string{"state", "--data", data, "--listen", addr, "--metrics", metrics, "--options", options},
	}
	if m.syncDelay > 0 {
		err = serveWithSyncDelay(data, options, addr, metrics, m.syncDelay)
	} else {
		err = service.start()
	}
	return service, addr, metrics, err
}

// measure prints one table row: the commits of a number of clients, compared with the same bytes and syncs without the service.
func (m commitMeasurement) measure(out *output, clients int, snapshots bool) error {
	service, addr, metrics, err := m.startService(clients, snapshots)
	if err != nil {
		return err
	}
	defer service.kill()
	client := http1.NewClient(clients+2, clients+2, 1<<20)
	if err := awaitOK(client, addr, "/ready", 10*time.Second); err != nil {
		return err
	}
	if err := awaitOK(client, metrics, "/metrics", 10*time.Second); err != nil {
		return err
	}
	if err := writeKeys(client, addr, 10_000, m.valueBytes); err != nil {
		return err
	}
	before, err := readMetrics(client, metrics)
	if err != nil {
		return err
	}
	latencies, took, err := m.commitLoad(client, addr, clients)
	if err != nil {
		return err
	}
	commits := latencies.TotalCount()
	after, err := readMetrics(client, metrics)
	if err != nil {
		return err
	}
	service.kill()
	syncs := after["sync_seconds_count"] - before["sync_seconds_count"]
	// Bytes appended to the log: the record of a commit is its key, its value and about 16 more bytes.
	bytesPerSync := int(float64(commits)*float64(m.valueBytes+40)/syncs) + 20
	diskTime, err := measureDisk(filepath.Join(m.workDir, "bare"), int(syncs), bytesPerSync, m.syncDelay)
	if err != nil {
		return err
	}
	out.printf("%d\t%v\t%.0f\t%.2f\t%.2f\t%.1f\t%.0f\t%.2f\n", clients, snapshots, float64(commits)/took.Seconds(),
		float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000, float64(commits)/syncs,
		after["snapshot_seconds_count"]-before["snapshot_seconds_count"], took.Seconds()/diskTime.Seconds())
	return out.err
}

// writeKeys writes a number of keys with values of a size in bytes, 100 keys in each commit.
func writeKeys(client *http1.Client, addr string, keys, bytes int) error {
	for from := 0; from < keys; from += 100 {
		var operations []crashtest.Operation
		for i := from; i < min(from+100, keys); i++ {
			operations = append(operations, crashtest.Operation{Key: fmt.Sprintf("fill/%08d", i), Value: paddedNumber(i, bytes)})
		}
		request := crashtest.CommitRequest(nil, operations)
		response, err := client.Do(addr, request.Method, request.Target, request.Body, 10*time.Second)
		if err != nil || response.Status != http.StatusOK {
			return fmt.Errorf("write keys to %s: got response %v, want status 200: %w", addr, response, err)
		}
	}
	return nil
}

// paddedNumber returns a decimal number with leading zeros, of a size in bytes.
func paddedNumber(i, bytes int) string { return fmt.Sprintf("%0*d", bytes, i) }

// commitLoad commits from a number of clients. Each sends its next commit when it has the response to the last. It returns the
// latencies in microseconds and the duration of the load.
func (m commitMeasurement) commitLoad(client *http1.Client, addr string, clients int) (*hdrhistogram.Histogram, time.Duration, error) {
	byClient, failures := make([][]int64, clients), make([]error, clients)
	began := time.Now()
	runInParallel(clients, clients, func(i int) {
		byClient[i], failures[i] = m.commitUntil(began.Add(m.duration), client, addr, i)
	})
	took := time.Since(began)
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	for _, list := range byClient {
		for _, latency := range list {
			if err := latencies.RecordValue(max(latency, 1)); err != nil {
				return nil, 0, err
			}
		}
	}
	return latencies, took, errors.Join(failures...)
}

// commitUntil commits to the keys of one client until the end time. It returns the latencies in microseconds.
func (m commitMeasurement) commitUntil(end time.Time, client *http1.Client, addr string, index int) (latencies []int64, err error) {
	for commits := 0; time.Now().Before(end); commits++ {
		operation := crashtest.Operation{Key: fmt.Sprintf("load/%03d/%04d", index, commits%100), Value: paddedNumber(commits, m.valueBytes)}
		request := crashtest.CommitRequest(nil, []crashtest.Operation{operation})
		sent := time.Now()
		response, err := client.Do(addr, request.Method, request.Target, request.Body, 10*time.Second)
		if err != nil || response.Status != http.StatusOK {
			return nil, fmt.Errorf("commit to %s: got response %v, want status 200: %w", addr, response, err)
		}
		latencies = append(latencies, time.Since(sent).Microseconds())
	}
	return latencies, nil
}

// measureDisk measures a number of writes of one size to a new file, each followed by a sync and a delay.
func measureDisk(name string, syncs, bytes int, syncDelay time.Duration) (took time.Duration, err error) {
	file, err := os.Create(name)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, file.Close(), os.Remove(name)) }()
	block := make([]byte, bytes)
	began := time.Now()
	for i := range syncs {
		if _, err := file.WriteAt(block, int64(i*bytes)); err != nil {
			return 0, err
		}
		if err := syscall.Fdatasync(int(file.Fd())); err != nil {
			return 0, err
		}
		time.Sleep(syncDelay)
	}
	return time.Since(began), nil
}

// slowDirectory is a directory whose files have a delay added to each sync.
type slowDirectory struct {
	*kvserver.OSDirectory
	syncDelay time.Duration
}

// slowFile is a file with a delay added to each sync.
type slowFile struct {
	kvserver.File
	syncDelay time.Duration
}

// Create creates a slowFile.
func (d slowDirectory) Create(name string) (kvserver.File, error) {
	f, err := d.OSDirectory.Create(name)
	return slowFile{f, d.syncDelay}, err
}

// Open opens a slowFile.
func (d slowDirectory) Open(name string) (kvserver.File, error) {
	f, err := d.OSDirectory.Open(name)
	return slowFile{f, d.syncDelay}, err
}

// Sync syncs the file and then waits for the delay.
func (f slowFile) Sync() error {
	err := f.File.Sync()
	time.Sleep(f.syncDelay)
	return err
}

// serveWithSyncDelay starts a state service in this process, with a delay added to each sync. It runs until the process exits.
func serveWithSyncDelay(data, options, listen, metrics string, syncDelay time.Duration) error {
	opt, err := config.LoadKVServerOptions(options)
	if err != nil {
		return err
	}
	dir, err := kvserver.LockDirectory(data)
	if err != nil {
		return err
	}
	log := slog.New(slog.DiscardHandler)
	state, disk, _, err := kvserver.Open(slowDirectory{dir, syncDelay}, opt, time.Now(), log)
	if err != nil {
		return err
	}
	metricsServer := kvserver.NewMetrics()
	logStop := func(err error) { fmt.Fprintln(os.Stderr, "faulttest: state service stopped:", err) }
	go func() { logStop(metricsServer.Serve(metrics, log)) }()
	go func() { logStop(kvserver.NewServer(state, disk, opt, metricsServer, log).Serve(listen)) }()
	return nil
}
