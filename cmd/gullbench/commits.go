package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"gullrudder/internal/standin/crash"
	"gullrudder/internal/wire/httpwire"
)

func commitsCommand() *cobra.Command {
	var path, dir, counts string
	var span time.Duration
	var bytes int
	cmd := &cobra.Command{Use: "commits", Short: "Commits a second of a state service, against the least that its disk allows", Args: cobra.NoArgs,
		Long: "For each number of clients: commits of one key each for a while, without and with snapshots all the time. Then the\n" +
			"bytes that the log has got are written to a file on the same disk, with as many syncs: the ratio of the two times\n" +
			"is what the service costs besides.",
		RunE: func(cmd *cobra.Command, _ []string) error { return measureCommits(cmd, path, dir, counts, span, bytes) }}
	cmd.Flags().StringVar(&counts, "clients", "1,16,128", "numbers of clients")
	cmd.Flags().DurationVar(&span, "for", 5*time.Second, "how long each measurement takes")
	cmd.Flags().IntVar(&bytes, "bytes", 200, "size of a value")
	cmd.Flags().StringVar(&path, "program", "", "the gullrudder program; it is built if none is given")
	cmd.Flags().StringVar(&dir, "dir", "", "a directory on the disk that is measured; a temporary one if none is given")
	return cmd
}

func measureCommits(cmd *cobra.Command, path, dir, counts string, span time.Duration, bytes int) error {
	root, err := os.MkdirTemp(dir, "gullbench-commits-")
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
			if err := commitsWith(cmd, path, root, n, snaps, span, bytes); err != nil {
				return err
			}
		}
	}
	return nil
}

// figures are a running service's own.
type figures map[string]float64

func readFigures(c *httpwire.Client, addr string) (figures, error) {
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

func commitsWith(cmd *cobra.Command, path, root string, clients int, snaps bool, span time.Duration, bytes int) error {
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
	p := &process{name: "state", path: path, args: []string{"state", "--data", data, "--listen", ports[0], "--metrics", ports[1], "--options", options}}
	if err := p.start(); err != nil {
		return err
	}
	defer p.kill()
	client := httpwire.NewClient(clients+2, clients+2, 1<<20)
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
	least, err := bareDisk(filepath.Join(root, "bare"), int(syncs), int(float64(done)*float64(bytes+40)/syncs)+20)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d\t%v\t%.0f\t%.2f\t%.2f\t%.1f\t%.0f\t%.2f\n", clients, snaps, float64(done)/took.Seconds(),
		float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000, float64(done)/syncs,
		after["snapshot_seconds_count"]-before["snapshot_seconds_count"], took.Seconds()/least.Seconds())
	return err
}

// fill writes so many keys.
func fill(c *httpwire.Client, addr string, keys, bytes int) error {
	for from := 0; from < keys; from += 100 {
		var ops []crash.Op
		for i := from; i < min(from+100, keys); i++ {
			ops = append(ops, crash.Op{Key: fmt.Sprintf("fill/%08d", i), Value: value(i, bytes)})
		}
		r := crash.Commit(nil, ops)
		if m, err := c.Do(addr, r.Method, r.Target, r.Body, 10*time.Second); err != nil || m.Status != 200 {
			return fmt.Errorf("fill: %v, %w", m, err)
		}
	}
	return nil
}

func value(i, bytes int) string { return fmt.Sprintf("%0*d", bytes, i) }

// load commits from so many clients, each as fast as it is answered.
func load(c *httpwire.Client, addr string, clients int, span time.Duration, bytes int) (*hdrhistogram.Histogram, int, time.Duration, error) {
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
				r := crash.Commit(nil, []crash.Op{{Key: fmt.Sprintf("load/%03d/%04d", i, n%100), Value: value(n, bytes)}})
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
func bareDisk(name string, syncs, bytes int) (time.Duration, error) {
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
	}
	return time.Since(began), nil
}
