package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/simulator/emulator"
	"gullrudder/internal/wire/http1"

	"github.com/spf13/cobra"
)

func crashCommand() *cobra.Command {
	var runs, steps int
	var seed uint64
	var points, verbose bool
	var path, dir string
	cmd := &cobra.Command{
		Use: "crash", Short: "Kill a state service and its controllers at random moments and check what comes back",
		Long: "Starts one gullrudder state and three gullrudder serve, with workers and a cloud of its own, plays jobs, and kills\n" +
			"processes at random moments, by preference inside snapshots, sealing and merging. With --points it plays\n" +
			"short runs on a disk that loses what was not synced, ended at every operation, --runs of them.",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if seed == 0 {
				seed = uint64(time.Now().UnixNano())
			}
			if points {
				return crashPoints(cmd, seed, runs, steps)
			}
			return crashRuns(cmd, seed, runs, path, dir, verbose)
		},
	}
	cmd.Flags().IntVar(&runs, "runs", 20, "how many kills, or with --points how many short runs")
	cmd.Flags().IntVar(&steps, "steps", 30, "with --points: steps of a short run")
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed of the random choices; 0: one that is printed")
	cmd.Flags().BoolVar(&points, "points", false, "every crash point of short runs on a disk that loses unsynced writes")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "show the log of the processes")
	cmd.Flags().StringVar(&path, "program", "", "the gullrudder program; it is built if none is given")
	cmd.Flags().StringVar(&dir, "dir", "", "a directory for the run's files, which stays; a temporary one if none is given")
	return cmd
}

func crashPoints(cmd *cobra.Command, seed uint64, runs, steps int) error {
	points, tries := 0, 0
	for i := range runs {
		r, err := crashtest.Points(seed+uint64(i), steps)
		points, tries = points+r.Points, tries+r.Runs
		if err != nil {
			return err
		}
	}
	fmt.Fprintf(
		cmd.OutOrStdout(),
		"%d runs of %d steps, seeds from %d: %d crash points, %d tries, all as answered\n",
		runs,
		steps,
		seed,
		points,
		tries,
	)
	return nil
}

const nodes = 3

// field is a state service and its controllers, under fire.
type field struct {
	seed   uint64
	rng    *rand.Rand
	client *http1.Client
	addr   string // of the state service
	state  *process
	serve  []*process
	public []string
	cloud  *emulator.Cloud
	probes []*probe
	users  *users
	hot    [2]chan *process // a process that is in the middle of something: the state service, a controller
	stop   chan struct{}
	wait   sync.WaitGroup
	pause  sync.RWMutex // held while the probes are checked

	mu     sync.Mutex
	broken []string
	hits   map[string]int
	seals  int
	merges int
}

func (f *field) broke(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// moments are the lines of the logs after which a kill is worth most, and what they are called.
var moments = []struct{ line, name string }{
	{"snapshot begins", "in a snapshot"},
	{"snapshot written", "before the sync of a snapshot"},
	{"snapshot synced", "before a rename"},
	{"snapshot renamed", "after a rename"},
	{"deleting the log", "in a log's deletion"},
	{"msg=sealing", "in a sealing"},
	{"msg=merging", "in a merge"},
	{"msg=sealed", "after a sealing"},
}

func (f *field) sealed() (sealings, merges int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seals, f.merges
}

func (f *field) saw(p *process, line string) {
	f.mu.Lock()
	switch {
	case strings.Contains(line, "msg=sealed") && strings.Contains(line, "level=0"):
		f.seals++
	case strings.Contains(line, "msg=sealed"):
		f.merges++
	}
	f.mu.Unlock()
	for _, m := range moments {
		if strings.Contains(line, m.line) {
			kind := 1
			if p == f.state {
				kind = 0
			}
			select {
			case f.hot[kind] <- p:
			default:
			}
		}
	}
}

func settings(i int, public, peers []string, state, cloud string) string {
	var others []string
	for j := range nodes {
		if j != i {
			others = append(others, fmt.Sprintf(`{"host_name":"node-%d","domain":"a","addr":%q}`, j, peers[j]))
		}
	}
	return fmt.Sprintf(`{"host_name":"node-%d","domain":"a","public_addr":%q,"peer_bind":%q,"others":[%s],
 "outside":{"cloud":%q,"state":%q},
 "cluster":{"size":3,"zones":["a"],"teams":[{"name":"red","cpus":0,"cpus_max":0}],
  "objectives":[],"workers":{"report_s":0.25,"lease_s":4,"cancel_s":15},
  "state":{"rps":3000,"write_rps":800,"value_kb":4,"txn_ops":12},"cloud":{"rps":20,"list_lag_s":0.2},
  "quota":{"cpu":1,"ram_mb":200,"max_connections":400},"clock_error_ms":500}}`,
		i, public[i], peers[i], strings.Join(others, ","), cloud, state)
}

const (
	storeOptions = "<state><snapshot-kb>48</snapshot-kb><snapshot-share>0</snapshot-share><retry-after>50ms</retry-after></state>"
	nodeOptions  = "<gullrudder><leader-lease>1</leader-lease><promise>1</promise><seal-after>0.2</seal-after><seal-jobs>4</seal-jobs>" +
		"<merge-runs>2</merge-runs><idle-after>20</idle-after></gullrudder>"
)

func newField(seed uint64, path, dir string, verbose bool) (*field, error) {
	f := &field{
		seed:   seed,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		client: http1.NewClient(64, 8, 16<<20),
		hot:    [2]chan *process{make(chan *process, 1), make(chan *process, 1)},
		stop:   make(chan struct{}),
		hits:   map[string]int{},
	}
	ports, err := freePorts(2*nodes + 1)
	if err != nil {
		return nil, err
	}
	f.addr, f.public = ports[0], ports[1:1+nodes]
	peers := ports[1+nodes:]
	names := map[string]string{}
	for i, addr := range f.public {
		names[fmt.Sprintf("node-%d", i)] = addr
	}
	if f.cloud, err = emulator.NewCloud(emulator.Options{
		Controllers: names, Report: 250 * time.Millisecond, Lease: 4 * time.Second, Capacity: 6,
		TaskTime: 150 * time.Millisecond, Seed: seed,
	}); err != nil {
		return nil, err
	}
	for name, text := range map[string]string{"state.xml": storeOptions, "node.xml": nodeOptions} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	make := func(name string, args ...string) *process {
		p := &process{name: name, path: path, args: args, env: []string{"LOG_LEVEL=info"}, seen: f.saw}
		if verbose {
			p.logs = os.Stderr
		}
		return p
	}
	f.state = make("state", "state", "--data", filepath.Join(dir, "data"), "--listen", f.addr, "--options", filepath.Join(dir, "state.xml"))
	for i := range nodes {
		file := filepath.Join(dir, fmt.Sprintf("node-%d.json", i))
		if err := os.WriteFile(file, []byte(settings(i, f.public, peers, f.addr, f.cloud.Addr())), 0o600); err != nil {
			return nil, err
		}
		f.serve = append(f.serve, make(fmt.Sprintf("node-%d", i), "serve", "--config", file, "--options", filepath.Join(dir, "node.xml")))
	}
	return f, nil
}

func (f *field) begin() error {
	for _, p := range append([]*process{f.state}, f.serve...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := await(f.client, f.addr, "/ready", 200, 10*time.Second); err != nil {
		return err
	}
	for i := range 4 {
		p := &probe{f: f, id: i, rng: rand.New(rand.NewPCG(f.seed, 100+uint64(i))), model: map[string]probeKey{}}
		f.probes = append(f.probes, p)
		f.wait.Add(1)
		go p.run()
	}
	f.users = &users{
		f:     f,
		rng:   rand.New(rand.NewPCG(f.seed, 7)),
		jobs:  map[string]*userJob{},
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	go f.users.run()
	return nil
}

func (f *field) end() {
	for _, p := range append([]*process{f.state}, f.serve...) {
		p.kill()
	}
	f.cloud.Close()
}

// killOne ends one process, in the middle of something if that comes soon, and starts it again.
func (f *field) killOne() error {
	victim, name := f.state, "state at any moment"
	if f.rng.IntN(4) == 0 {
		victim, name = f.serve[f.rng.IntN(nodes)], "a controller at any moment"
	}
	wait := time.Duration(20+f.rng.IntN(250)) * time.Millisecond
	if f.rng.IntN(10) == 0 {
		time.Sleep(time.Duration(1000+f.rng.IntN(1500)) * time.Millisecond) // let them come to something
	}
	switch kind := f.rng.IntN(3); kind {
	case 2:
		time.Sleep(wait)
	default:
		select {
		case <-f.hot[kind]: // what was hot a while ago is not now
		default:
		}
		select {
		case p := <-f.hot[kind]:
			victim, name = p, "state in the middle"
			if kind == 1 {
				name = "a controller in the middle"
				if f.rng.IntN(3) == 0 {
					victim, name = f.state, "state, with a controller in the middle"
				}
			}
			time.Sleep(time.Duration(f.rng.IntN(1500)) * time.Microsecond)
		case <-time.After(wait + time.Duration(kind)*700*time.Millisecond):
		}
	}
	victim.kill()
	f.hits[name]++
	if f.rng.IntN(4) == 0 {
		time.Sleep(time.Duration(f.rng.IntN(120)) * time.Millisecond)
	}
	if err := victim.start(); err != nil {
		return err
	}
	if victim != f.state {
		return nil
	}
	if err := await(f.client, f.addr, "/ready", 200, 10*time.Second); err != nil {
		return fmt.Errorf("the state service does not come back: %w", err)
	}
	return nil
}

func crashRuns(cmd *cobra.Command, seed uint64, runs int, path, dir string, verbose bool) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "faulttest-crash-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	path, err := program(path, dir)
	if err != nil {
		return err
	}
	f, err := newField(seed, path, dir, verbose)
	if err != nil {
		return err
	}
	defer f.end()
	began := time.Now()
	err = f.begin()
	kills := 0
	for ; err == nil && kills < runs; kills++ {
		if err = f.killOne(); err == nil {
			f.check()
		}
		if _, _, broken := f.cloud.History.Report(); len(broken)+len(f.broken) > 0 {
			kills++
			break
		}
		if kills%100 == 99 {
			fmt.Fprintf(cmd.ErrOrStderr(), "%d kills, %v\n", kills+1, time.Since(began).Round(time.Second))
		}
	}
	if err == nil {
		err = f.users.drain(90 * time.Second)
	}
	close(f.stop)
	f.wait.Wait()
	f.check()
	out := cmd.OutOrStdout()
	started, duplicated, broken := f.cloud.History.Report()
	broken = append(broken, f.broken...)
	if err != nil {
		broken = append(broken, err.Error())
	}
	commits, doubts := 0, 0
	for _, p := range f.probes {
		commits, doubts = commits+p.commits, doubts+p.doubts
	}
	fmt.Fprintf(out, "%v; %d commits of the probes, %d without an answer; %d jobs accepted, %d done; %d tasks started\n",
		time.Since(began).Round(time.Second), commits, doubts, f.users.accepted(), f.users.finished(), started)
	for name, n := range f.hits {
		fmt.Fprintf(out, "%d kills of %s\n", n, name)
	}
	for i, b := range broken {
		if i == 10 {
			break
		}
		fmt.Fprintln(out, "broken:", b)
	}
	if len(broken) > 0 {
		fmt.Fprintf(out, "seed %d\n", seed)
	}
	runs, merged := f.sealed()
	fmt.Fprintf(out, "%d sealings and %d merges were seen\n", runs, merged)
	lost := len(broken) - duplicated
	fmt.Fprintf(out, "%d kills, %d lost, %d duplicated\n", kills, max(lost, 0), duplicated)
	if len(broken) > 0 {
		return errors.New("something was not as it was answered")
	}
	return nil
}
