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
				return runCrashPoints(cmd, seed, runs, steps)
			}
			return runKills(cmd, seed, runs, path, dir, verbose)
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

func runCrashPoints(cmd *cobra.Command, seed uint64, runs, steps int) error {
	points, tries := 0, 0
	for i := range runs {
		r, err := crashtest.RunCrashPoints(seed+uint64(i), steps)
		points, tries = points+r.CrashPoints, tries+r.Runs
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

const controllerCount = 3

// testbed is a state service and its controllers, as real processes that are killed.
type testbed struct {
	seed          uint64
	rng           *rand.Rand
	client        *http1.Client
	stateAddr     string // address of the state service
	state         *process
	controllers   []*process
	publicAddrs   []string
	cloud         *emulator.Cloud
	probes        []*storeProbe
	users         *users
	busyProcesses [2]chan *process // processes that logged a line of killMoments: the state service, a controller
	stopping      chan struct{}
	wait          sync.WaitGroup
	pause         sync.RWMutex // write-locked while the probes are checked

	mu                sync.Mutex
	violations        []string
	killCounts        map[string]int
	archivedSegments  int
	compactedSegments int
}

func (f *testbed) reportViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// segmentCommitted is logged when an archive segment is committed; its level is 0 unless it is the result of a compaction.
const segmentCommitted = `msg="segment committed"`

// killMoments are the log lines after which a kill is most likely to find faults, with a name for each.
var killMoments = []struct{ line, name string }{
	{"snapshot begins", "in a snapshot"},
	{"snapshot written", "before the sync of a snapshot"},
	{"snapshot synced", "before a rename"},
	{"snapshot renamed", "after a rename"},
	{"deleting the log", "in a log's deletion"},
	{`msg="archiving started"`, "while a segment is archived"},
	{`msg="compaction started"`, "in a compaction"},
	{segmentCommitted, "after a segment was committed"},
}

func (f *testbed) segmentCounts() (sealings, merges int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.archivedSegments, f.compactedSegments
}

func (f *testbed) observeLog(p *process, line string) {
	f.mu.Lock()
	switch {
	case strings.Contains(line, segmentCommitted) && strings.Contains(line, "level=0"):
		f.archivedSegments++
	case strings.Contains(line, segmentCommitted):
		f.compactedSegments++
	}
	f.mu.Unlock()
	for _, m := range killMoments {
		if strings.Contains(line, m.line) {
			kind := 1
			if p == f.state {
				kind = 0
			}
			select {
			case f.busyProcesses[kind] <- p:
			default:
			}
		}
	}
}

func platformJSON(i int, public, peers []string, state, cloud string) string {
	var others []string
	for j := range controllerCount {
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
	storeOptions      = "<state><snapshot-kb>48</snapshot-kb><snapshot-share>0</snapshot-share><retry-after>50ms</retry-after></state>"
	controllerOptions = "<gullrudder><leader-lease>1</leader-lease><promise>1</promise><seal-after>0.2</seal-after><seal-jobs>4</seal-jobs>" +
		"<merge-runs>2</merge-runs><idle-after>20</idle-after></gullrudder>"
)

func newTestbed(seed uint64, path, dir string, verbose bool) (*testbed, error) {
	f := &testbed{
		seed:          seed,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		client:        http1.NewClient(64, 8, 16<<20),
		busyProcesses: [2]chan *process{make(chan *process, 1), make(chan *process, 1)},
		stopping:      make(chan struct{}),
		killCounts:    map[string]int{},
	}
	ports, err := freePorts(2*controllerCount + 1)
	if err != nil {
		return nil, err
	}
	f.stateAddr, f.publicAddrs = ports[0], ports[1:1+controllerCount]
	peers := ports[1+controllerCount:]
	names := map[string]string{}
	for i, addr := range f.publicAddrs {
		names[fmt.Sprintf("node-%d", i)] = addr
	}
	if f.cloud, err = emulator.NewCloud(emulator.Options{
		Controllers: names, HeartbeatInterval: 250 * time.Millisecond, WorkerLease: 4 * time.Second, MaxMachines: 6,
		MaxRunTime: 150 * time.Millisecond, Seed: seed,
	}); err != nil {
		return nil, err
	}
	for name, text := range map[string]string{"state.xml": storeOptions, "node.xml": controllerOptions} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	make := func(name string, args ...string) *process {
		p := &process{name: name, path: path, args: args, env: []string{"LOG_LEVEL=info"}, seen: f.observeLog}
		if verbose {
			p.logs = os.Stderr
		}
		return p
	}
	f.state = make("state", "state", "--data", filepath.Join(dir, "data"), "--listen", f.stateAddr, "--options", filepath.Join(dir, "state.xml"))
	for i := range controllerCount {
		file := filepath.Join(dir, fmt.Sprintf("node-%d.json", i))
		if err := os.WriteFile(file, []byte(platformJSON(i, f.publicAddrs, peers, f.stateAddr, f.cloud.Addr())), 0o600); err != nil {
			return nil, err
		}
		f.controllers = append(f.controllers, make(fmt.Sprintf("node-%d", i), "serve", "--config", file, "--options", filepath.Join(dir, "node.xml")))
	}
	return f, nil
}

func (f *testbed) start() error {
	for _, p := range append([]*process{f.state}, f.controllers...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := await(f.client, f.stateAddr, "/ready", 10*time.Second); err != nil {
		return err
	}
	for i := range 4 {
		p := &storeProbe{testbed: f, id: i, rng: rand.New(rand.NewPCG(f.seed, 100+uint64(i))), model: map[string]probeKey{}}
		f.probes = append(f.probes, p)
		f.wait.Add(1)
		go p.run()
	}
	f.users = &users{
		testbed: f,
		rng:     rand.New(rand.NewPCG(f.seed, 7)),
		jobs:    map[string]*userJob{},
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	go f.users.run()
	return nil
}

func (f *testbed) stop() {
	for _, p := range append([]*process{f.state}, f.controllers...) {
		p.kill()
	}
	f.cloud.Close()
}

// killRandomProcess kills a process, at one of killMoments if that comes soon, and starts it again.
func (f *testbed) killRandomProcess() error {
	victim, name := f.state, "state at any moment"
	if f.rng.IntN(4) == 0 {
		victim, name = f.controllers[f.rng.IntN(controllerCount)], "a controller at any moment"
	}
	wait := time.Duration(20+f.rng.IntN(250)) * time.Millisecond
	if f.rng.IntN(10) == 0 {
		time.Sleep(time.Duration(1000+f.rng.IntN(1500)) * time.Millisecond) // let work accumulate
	}
	switch kind := f.rng.IntN(3); kind {
	case 2:
		time.Sleep(wait)
	default:
		select {
		case <-f.busyProcesses[kind]: // an entry of a while ago is out of date
		default:
		}
		select {
		case p := <-f.busyProcesses[kind]:
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
	f.killCounts[name]++
	if f.rng.IntN(4) == 0 {
		time.Sleep(time.Duration(f.rng.IntN(120)) * time.Millisecond)
	}
	if err := victim.start(); err != nil {
		return err
	}
	if victim != f.state {
		return nil
	}
	if err := await(f.client, f.stateAddr, "/ready", 10*time.Second); err != nil {
		return fmt.Errorf("the state service does not come back: %w", err)
	}
	return nil
}

func runKills(cmd *cobra.Command, seed uint64, runs int, path, dir string, verbose bool) error {
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
	f, err := newTestbed(seed, path, dir, verbose)
	if err != nil {
		return err
	}
	defer f.stop()
	began := time.Now()
	err = f.start()
	kills := 0
	for ; err == nil && kills < runs; kills++ {
		if err = f.killRandomProcess(); err == nil {
			f.checkProbes()
		}
		if _, _, broken := f.cloud.History.Summary(); len(broken)+len(f.violations) > 0 {
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
	close(f.stopping)
	f.wait.Wait()
	f.checkProbes()
	out := cmd.OutOrStdout()
	started, duplicated, broken := f.cloud.History.Summary()
	broken = append(broken, f.violations...)
	if err != nil {
		broken = append(broken, err.Error())
	}
	commits, doubts := 0, 0
	for _, p := range f.probes {
		commits, doubts = commits+p.commits, doubts+p.uncertainCommits
	}
	fmt.Fprintf(out, "%v; %d commits of the probes, %d without an answer; %d jobs accepted, %d done; %d tasks started\n",
		time.Since(began).Round(time.Second), commits, doubts, f.users.acceptedCount(), f.users.doneCount(), started)
	for name, n := range f.killCounts {
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
	runs, merged := f.segmentCounts()
	fmt.Fprintf(out, "%d sealings and %d merges were seen\n", runs, merged)
	lost := len(broken) - duplicated
	fmt.Fprintf(out, "%d kills, %d lost, %d duplicated\n", kills, max(lost, 0), duplicated)
	if len(broken) > 0 {
		return errors.New("something was not as it was answered")
	}
	return nil
}
