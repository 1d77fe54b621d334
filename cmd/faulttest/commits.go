package main

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/http1"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
)

func commitsCommand() *cobra.Command {
	var path, dir, counts string
	var span, sync time.Duration
	var bytes int
	cmd := &cobra.Command{
		Use: "commits", Short: "Commits a second of a state service, against the least that its disk allows", Args: cobra.NoArgs,
		Long: "For each number of clients: commits of one key each for a while, without and with snapshots all the time. Then the\n" +
			"bytes that the log has got are written to a file on the same disk, with as many syncs: the ratio of the two times\n" +
			"is what the service costs besides.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return measureCommits(cmd, path, dir, counts, span, sync, bytes)
		},
	}
	cmd.Flags().StringVar(&counts, "clients", "1,16,128", "numbers of clients")
	cmd.Flags().DurationVar(&span, "for", 5*time.Second, "how long each measurement takes")
	cmd.Flags().DurationVar(
		&sync,
		"sync",
		0,
		"a disk whose syncs take so much longer, in the service, which then runs in this process, and bare",
	)
	cmd.Flags().IntVar(&bytes, "bytes", 200, "size of a value")
	cmd.Flags().StringVar(&path, "program", "", "the gullrudder program; it is built if none is given")
	cmd.Flags().StringVar(&dir, "dir", "", "a directory on the disk that is measured; a temporary one if none is given")
	return cmd
}

func measureCommits(cmd *cobra.Command, path, dir, counts string, span, sync time.Duration, bytes int) error {
	root, err := os.MkdirTemp(dir, "faulttest-commits-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(root)
	if path, err = program(path, root); err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	fmt.Fprintln(out, "clients\tsnapshots\tcommits/s\tp50 ms\tp99 ms\tcommits/sync\tsnapshots taken\tratio to the bare disk")
	for _, text := range strings.Split(counts, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > 900 {
			return fmt.Errorf("--clients %s: not between 1 and 900", text)
		}
		for _, snaps := range []bool{false, true} {
			if err := commitsWith(cmd, path, root, n, snaps, span, sync, bytes); err != nil {
				return err
			}
		}
	}
	return nil
}

// figures are a running service's own.
type figures map[string]float64

func readFigures(c *http1.Client, addr string) (figures, error) {
	m, err := c.Do(addr, "GET", "/metrics", nil, 5*time.Second)
	if err != nil {
		return nil, err
	}
	f := figures{}
	for _, line := range strings.Split(string(m.Body), "\n") {
		name, value, ok := strings.Cut(line, " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			f[strings.TrimPrefix(name, "gullrudder_state_")] = v
		}
	}
	return f, nil
}

func commitsWith(cmd *cobra.Command, path, root string, clients int, snaps bool, span, sync time.Duration, bytes int) error {
	data := filepath.Join(root, fmt.Sprintf("data-%d-%v", clients, snaps))
	options := filepath.Join(root, "state.xml")
	text := "<state><connections>2000</connections><snapshot-kb>1048576</snapshot-kb></state>"
	if snaps {
		text = "<state><connections>2000</connections><snapshot-kb>64</snapshot-kb><snapshot-share>0</snapshot-share></state>"
	}
	if err := os.WriteFile(options, []byte(text), 0o600); err != nil {
		return err
	}
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	p := &process{
		name: "state",
		path: path,
		args: []string{"state", "--data", data, "--listen", ports[0], "--metrics", ports[1], "--options", options},
	}
	if sync > 0 {
		err = serveSlowly(data, options, ports[0], ports[1], sync)
	} else {
		err = p.start()
	}
	if err != nil {
		return err
	}
	defer p.kill()
	client := http1.NewClient(clients+2, clients+2, 1<<20)
	if err := await(client, ports[0], "/ready", 200, 10*time.Second); err != nil {
		return err
	}
	if err := await(client, ports[1], "/metrics", 200, 10*time.Second); err != nil {
		return err
	}
	if err := fill(client, ports[0], 10_000, bytes); err != nil {
		return err
	}
	before, err := readFigures(client, ports[1])
	if err != nil {
		return err
	}
	hist, done, took, err := load(client, ports[0], clients, span, bytes)
	if err != nil {
		return err
	}
	after, err := readFigures(client, ports[1])
	if err != nil {
		return err
	}
	syncs := after["sync_seconds_count"] - before["sync_seconds_count"]
	p.kill()
	// What the log got: a record of a commit is its key and value and about 16 bytes.
	least, err := bareDisk(filepath.Join(root, "bare"), int(syncs), int(float64(done)*float64(bytes+40)/syncs)+20, sync)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d\t%v\t%.0f\t%.2f\t%.2f\t%.1f\t%.0f\t%.2f\n", clients, snaps, float64(done)/took.Seconds(),
		float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000, float64(done)/syncs,
		after["snapshot_seconds_count"]-before["snapshot_seconds_count"], took.Seconds()/least.Seconds())
	return err
}

// fill writes so many keys.
func fill(c *http1.Client, addr string, keys, bytes int) error {
	for from := 0; from < keys; from += 100 {
		var ops []crashtest.Op
		for i := from; i < min(from+100, keys); i++ {
			ops = append(ops, crashtest.Op{Key: fmt.Sprintf("fill/%08d", i), Value: value(i, bytes)})
		}
		r := crashtest.Commit(nil, ops)
		if m, err := c.Do(addr, r.Method, r.Target, r.Body, 10*time.Second); err != nil || m.Status != 200 {
			return fmt.Errorf("fill: %v, %w", m, err)
		}
	}
	return nil
}

func value(i, bytes int) string { return fmt.Sprintf("%0*d", bytes, i) }

// load commits from so many clients, each as fast as it is answered.
func load(c *http1.Client, addr string, clients int, span time.Duration, bytes int) (*hdrhistogram.Histogram, int, time.Duration, error) {
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	began := time.Now()
	end := began.Add(span)
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var took []int64
			for n := 0; time.Now().Before(end); n++ {
				r := crashtest.Commit(nil, []crashtest.Op{{Key: fmt.Sprintf("load/%03d/%04d", i, n%100), Value: value(n, bytes)}})
				sent := time.Now()
				m, err := c.Do(addr, r.Method, r.Target, r.Body, 10*time.Second)
				if err != nil || m.Status != 200 {
					mu.Lock()
					failed = fmt.Errorf("a commit: %v, %w", m, err)
					mu.Unlock()
					return
				}
				took = append(took, time.Since(sent).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			for _, t := range took {
				if err := hist.RecordValue(max(t, 1)); err != nil {
					failed = err
				}
			}
		}()
	}
	wait.Wait()
	return hist, int(hist.TotalCount()), time.Since(began), failed
}

// bareDisk is the time for so many writes of so many bytes, each synced.
func bareDisk(name string, syncs, bytes int, slower time.Duration) (time.Duration, error) {
	f, err := os.Create(name)
	if err != nil {
		return 0, err
	}
	defer os.Remove(name)
	defer f.Close()
	block := make([]byte, bytes)
	began := time.Now()
	for i := range syncs {
		if _, err := f.WriteAt(block, int64(i*bytes)); err != nil {
			return 0, err
		}
		if err := syscall.Fdatasync(int(f.Fd())); err != nil {
			return 0, err
		}
		time.Sleep(slower)
	}
	return time.Since(began), nil
}

// slowDir is a directory on a disk whose syncs take longer.
type slowDir struct {
	*kvserver.OSDirectory
	slower time.Duration
}

type slowFile struct {
	kvserver.File
	slower time.Duration
}

func (d slowDir) Create(name string) (kvserver.File, error) {
	f, err := d.OSDirectory.Create(name)
	return slowFile{f, d.slower}, err
}

func (d slowDir) Open(name string) (kvserver.File, error) {
	f, err := d.OSDirectory.Open(name)
	return slowFile{f, d.slower}, err
}

func (f slowFile) Sync() error {
	err := f.File.Sync()
	time.Sleep(f.slower)
	return err
}

// serveSlowly runs the service in this process, until that ends.
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
	state, disk, _, err := kvserver.Open(slowDir{dir, slower}, opt, time.Now(), log)
	if err != nil {
		return err
	}
	watch := kvserver.NewMetrics()
	ended := func(err error) { fmt.Fprintln(os.Stderr, "the service ended:", err) }
	go func() { ended(watch.Serve(metrics, log)) }()
	go func() { ended(kvserver.NewServer(state, disk, opt, watch, log).Serve(listen)) }()
	return nil
}
