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

// commitMeasurement is the options of the command and the directory that it works in.
type commitMeasurement struct {
	path, dir, clients string
	span               time.Duration // of each measurement
	syncDelay          time.Duration // added to every sync, 0 for none
	valueBytes         int
	root               string
}

func commitsCommand() *cobra.Command {
	measurement := commitMeasurement{}
	cmd := &cobra.Command{
		Use: "commits", Short: "Commits a second of a state service, against the least that its disk allows", Args: cobra.NoArgs,
		Long: "For each number of clients: commits of one key each for a while, without and with snapshots all the time. Then the\n" +
			"bytes that the log has got are written to a file on the same disk, with as many syncs: the ratio of the two times\n" +
			"is what the service costs besides.",
		RunE: func(cmd *cobra.Command, _ []string) error { return measurement.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&measurement.clients, "clients", "1,16,128", "numbers of clients")
	flags.DurationVar(&measurement.span, "for", 5*time.Second, "how long each measurement takes")
	flags.DurationVar(&measurement.syncDelay, "sync", 0,
		"a disk whose syncs take so much longer, in the service, which then runs in this process, and bare")
	flags.IntVar(&measurement.valueBytes, "bytes", 200, "size of a value")
	flags.StringVar(&measurement.path, "program", "", "the gullrudder program; it is built if none is given")
	flags.StringVar(&measurement.dir, "dir", "", "a directory on the disk that is measured; a temporary one if none is given")
	return cmd
}

func (m commitMeasurement) run(cmd *cobra.Command) (err error) {
	if m.root, err = os.MkdirTemp(m.dir, "faulttest-commits-"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(m.root)) }()
	if m.path, err = program(m.path, m.root); err != nil {
		return err
	}
	out := output{w: cmd.OutOrStdout()}
	out.printf("clients\tsnapshots\tcommits/s\tp50 ms\tp99 ms\tcommits/sync\tsnapshots taken\tratio to the bare disk\n")
	for _, text := range strings.Split(m.clients, ",") {
		clients, err := strconv.Atoi(text)
		if err != nil || clients < 1 || clients > 900 {
			return fmt.Errorf("--clients %s: not between 1 and 900", text)
		}
		for _, snapshots := range []bool{false, true} {
			if err := m.measure(&out, clients, snapshots); err != nil {
				return err
			}
		}
	}
	return out.err
}

// stateMetrics are the metrics of a running state service, by name without prefix.
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

// Options of the state service: without snapshots during a measurement, and with one after another.
const (
	optionsWithoutSnapshots = "<state><connections>2000</connections><snapshot-kb>1048576</snapshot-kb></state>"
	optionsWithSnapshots    = "<state><connections>2000</connections><snapshot-kb>64</snapshot-kb><snapshot-share>0</snapshot-share></state>"
)

// startService starts a state service and waits until it serves. It returns its address and that of its metrics.
func (m commitMeasurement) startService(clients int, snapshots bool) (service *process, addr, metrics string, err error) {
	data := filepath.Join(m.root, fmt.Sprintf("data-%d-%v", clients, snapshots))
	options := filepath.Join(m.root, "state.xml")
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
		path: m.path,
		args: []string{"state", "--data", data, "--listen", addr, "--metrics", metrics, "--options", options},
	}
	if m.syncDelay > 0 {
		err = serveSlowly(data, options, addr, metrics, m.syncDelay)
	} else {
		err = service.start()
	}
	return service, addr, metrics, err
}

// measure prints one line: commits of a number of clients, and what the disk alone would have taken.
func (m commitMeasurement) measure(out *output, clients int, snapshots bool) error {
	service, addr, metrics, err := m.startService(clients, snapshots)
	if err != nil {
		return err
	}
	defer service.kill()
	client := http1.NewClient(clients+2, clients+2, 1<<20)
	if err := await(client, addr, "/ready", 10*time.Second); err != nil {
		return err
	}
	if err := await(client, metrics, "/metrics", 10*time.Second); err != nil {
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
	// What was appended to the log: the record of a commit is its key and value and about 16 bytes.
	bytesPerSync := int(float64(commits)*float64(m.valueBytes+40)/syncs) + 20
	bare, err := measureBareDisk(filepath.Join(m.root, "bare"), int(syncs), bytesPerSync, m.syncDelay)
	if err != nil {
		return err
	}
	out.printf("%d\t%v\t%.0f\t%.2f\t%.2f\t%.1f\t%.0f\t%.2f\n", clients, snapshots, float64(commits)/took.Seconds(),
		float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000, float64(commits)/syncs,
		after["snapshot_seconds_count"]-before["snapshot_seconds_count"], took.Seconds()/bare.Seconds())
	return out.err
}

// writeKeys writes a number of keys.
func writeKeys(client *http1.Client, addr string, keys, bytes int) error {
	for from := 0; from < keys; from += 100 {
		var operations []crashtest.Operation
		for i := from; i < min(from+100, keys); i++ {
			operations = append(operations, crashtest.Operation{Key: fmt.Sprintf("fill/%08d", i), Value: value(i, bytes)})
		}
		request := crashtest.CommitRequest(nil, operations)
		response, err := client.Do(addr, request.Method, request.Target, request.Body, 10*time.Second)
		if err != nil || response.Status != http.StatusOK {
			return fmt.Errorf("fill: %v, %w", response, err)
		}
	}
	return nil
}

// value is the text of a number, filled up to a size in bytes.
func value(i, bytes int) string { return fmt.Sprintf("%0*d", bytes, i) }

// commitLoad commits from a number of clients, each as fast as it gets responses. It returns the latencies in microseconds, and
// how long the load took.
func (m commitMeasurement) commitLoad(client *http1.Client, addr string, clients int) (*hdrhistogram.Histogram, time.Duration, error) {
	byClient, failures := make([][]int64, clients), make([]error, clients)
	began := time.Now()
	runInParallel(clients, clients, func(i int) {
		byClient[i], failures[i] = m.commitUntil(began.Add(m.span), client, addr, i)
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

// commitUntil commits to keys of one client until the end, and returns the latencies in microseconds.
func (m commitMeasurement) commitUntil(end time.Time, client *http1.Client, addr string, index int) (latencies []int64, err error) {
	for commits := 0; time.Now().Before(end); commits++ {
		operation := crashtest.Operation{Key: fmt.Sprintf("load/%03d/%04d", index, commits%100), Value: value(commits, m.valueBytes)}
		request := crashtest.CommitRequest(nil, []crashtest.Operation{operation})
		sent := time.Now()
		response, err := client.Do(addr, request.Method, request.Target, request.Body, 10*time.Second)
		if err != nil || response.Status != http.StatusOK {
			return nil, fmt.Errorf("a commit: %v, %w", response, err)
		}
		latencies = append(latencies, time.Since(sent).Microseconds())
	}
	return latencies, nil
}

// measureBareDisk is the time for a number of writes of one size, each synced.
func measureBareDisk(name string, syncs, bytes int, slower time.Duration) (took time.Duration, err error) {
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
		time.Sleep(slower)
	}
	return time.Since(began), nil
}

// slowDirectory is a directory on a disk whose syncs take longer.
type slowDirectory struct {
	*kvserver.OSDirectory
	slower time.Duration
}

// slowFile is a file whose syncs take longer.
type slowFile struct {
	kvserver.File
	slower time.Duration
}

// Create creates a file whose syncs take longer.
func (d slowDirectory) Create(name string) (kvserver.File, error) {
	f, err := d.OSDirectory.Create(name)
	return slowFile{f, d.slower}, err
}

// Open opens a file whose syncs take longer.
func (d slowDirectory) Open(name string) (kvserver.File, error) {
	f, err := d.OSDirectory.Open(name)
	return slowFile{f, d.slower}, err
}

// Sync syncs the file and then waits.
func (f slowFile) Sync() error {
	err := f.File.Sync()
	time.Sleep(f.slower)
	return err
}

// serveSlowly runs the state service in this process until that exits.
func serveSlowly(data, options, listen, metrics string, slower time.Duration) error {
	opt, err := config.LoadKVServerOptions(options)
	if err != nil {
		return err
	}
	dir, err := kvserver.LockDirectory(data)
	if err != nil {
		return err
	}
	log := slog.New(slog.DiscardHandler)
	state, disk, _, err := kvserver.Open(slowDirectory{dir, slower}, opt, time.Now(), log)
	if err != nil {
		return err
	}
	watch := kvserver.NewMetrics()
	ended := func(err error) { fmt.Fprintln(os.Stderr, "the service ended:", err) }
	go func() { ended(watch.Serve(metrics, log)) }()
	go func() { ended(kvserver.NewServer(state, disk, opt, watch, log).Serve(listen)) }()
	return nil
}
