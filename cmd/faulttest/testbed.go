package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gullrudder/internal/simulator/emulator"
	"gullrudder/internal/wire/http1"
)

const controllerCount = 3

// testbed runs a state service and its controllers as real processes, with an emulated cloud, workers, users and store probes.
type testbed struct {
	seed           uint64
	rng            *rand.Rand
	client         *http1.Client
	stateAddr      string // address of the state service
	state          *process
	controllers    []*process
	publicAddrs    []string
	cloud          *emulator.Cloud
	probes         []*storeProbe
	users          *users
	killCandidates [2]chan *process // processes that have logged a line of killMoments: the state service, a controller
	stopping       chan struct{}
	wait           sync.WaitGroup
	probeLock      sync.RWMutex // read-locked during a commit of a probe, write-locked while all probes compare

	mu                sync.Mutex
	violations        []string
	killCounts        map[string]int
	archivedSegments  int
	compactedSegments int
}

// reportViolation records a broken rule.
func (bed *testbed) reportViolation(format string, args ...any) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.violations = append(bed.violations, fmt.Sprintf(format, args...))
}

// segmentCommitted is logged when an archive segment is committed. The segment has level 0 unless it results from a compaction.
const segmentCommitted = `msg="segment committed"`

// killMoments are the log messages after which a kill is most likely to find faults, with a name for each.
var killMoments = []struct{ line, name string }{
	{"snapshot begins", "during a snapshot"},
	{"snapshot written", "before the sync of a snapshot"},
	{"snapshot synced", "before the rename of a snapshot"},
	{"snapshot renamed", "after the rename of a snapshot"},
	{"deleting the log", "during the deletion of a log"},
	{`msg="archiving started"`, "during archiving"},
	{`msg="compaction started"`, "during a compaction"},
	{segmentCommitted, "after the commit of a segment"},
}

// segmentCounts returns the numbers of segments that the controllers have logged as archived, and as compacted.
func (bed *testbed) segmentCounts() (archived, compacted int) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.archivedSegments, bed.compactedSegments
}

// observeLog counts committed segments and records kill candidates from a log line of a process.
func (bed *testbed) observeLog(source *process, line string) {
	bed.mu.Lock()
	switch {
	case strings.Contains(line, segmentCommitted) && strings.Contains(line, "level=0"):
		bed.archivedSegments++
	case strings.Contains(line, segmentCommitted):
		bed.compactedSegments++
	}
	bed.mu.Unlock()
	for _, moment := range killMoments {
		if strings.Contains(line, moment.line) {
			kind := 1
			if source == bed.state {
				kind = 0
			}
			select {
			case bed.killCandidates[kind] <- source:
			default:
			}
		}
	}
}

// platformJSON returns the platform configuration of the controller with an index.
func platformJSON(index int, public, peers []string, state, cloud string) string {
	var others []string
	for other := range controllerCount {
		if other != index {
			others = append(others, fmt.Sprintf(`{"host_name":"node-%d","domain":"a","addr":%q}`, other, peers[other]))
		}
	}
	return fmt.Sprintf(`{"host_name":"node-%d","domain":"a","public_addr":%q,"peer_bind":%q,"others":[%s],
 "outside":{"cloud":%q,"state":%q},
 "cluster":{"size":3,"zones":["a"],"teams":[{"name":"red","cpus":0,"cpus_max":0}],
  "objectives":[],"workers":{"report_s":0.25,"lease_s":4,"cancel_s":15},
  "state":{"rps":3000,"write_rps":800,"value_kb":4,"txn_ops":12},"cloud":{"rps":20,"list_lag_s":0.2},
  "quota":{"cpu":1,"ram_mb":200,"max_connections":400},"clock_error_ms":500}}`,
		index, public[index], peers[index], strings.Join(others, ","), cloud, state)
}

const (
	storeOptions      = "<state><snapshot-kb>48</snapshot-kb><snapshot-share>0</snapshot-share><retry-after>50ms</retry-after></state>"
	controllerOptions = "<gullrudder><leader-lease>1</leader-lease><promise>1</promise><seal-after>0.2</seal-after><seal-jobs>4</seal-jobs>" +
		"<merge-runs>2</merge-runs><idle-after>20</idle-after></gullrudder>"
)

// newTestbed starts an emulated cloud and prepares the other processes, with their files in a directory. start starts them.
func newTestbed(seed uint64, program, dir string, verbose bool) (*testbed, error) {
	bed := &testbed{
		seed:           seed,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		client:         http1.NewClient(64, 8, 16<<20),
		killCandidates: [2]chan *process{make(chan *process, 1), make(chan *process, 1)},
		stopping:       make(chan struct{}),
		killCounts:     map[string]int{},
	}
	ports, err := freePorts(2*controllerCount + 1)
	if err != nil {
		return nil, err
	}
	bed.stateAddr, bed.publicAddrs = ports[0], ports[1:1+controllerCount]
	peers := ports[1+controllerCount:]
	controllerAddrs := map[string]string{}
	for i, addr := range bed.publicAddrs {
		controllerAddrs[fmt.Sprintf("node-%d", i)] = addr
	}
	if bed.cloud, err = emulator.NewCloud(emulator.Options{
		Controllers: controllerAddrs, HeartbeatInterval: 250 * time.Millisecond, WorkerLease: 4 * time.Second, MaxMachines: 6,
		MaxRunTime: 150 * time.Millisecond, Seed: seed,
	}); err != nil {
		return nil, err
	}
	for name, text := range map[string]string{"state.xml": storeOptions, "node.xml": controllerOptions} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	newProcess := func(name string, args ...string) *process {
		p := &process{name: name, path: program, args: args, env: []string{"LOG_LEVEL=info"}, onLogLine: bed.observeLog}
		if verbose {
			p.logWriter = os.Stderr
		}
		return p
	}
	bed.state = newProcess("state", "state", "--data", filepath.Join(dir, "data"), "--listen", bed.stateAddr,
		"--options", filepath.Join(dir, "state.xml"))
	for i := range controllerCount {
		file := filepath.Join(dir, fmt.Sprintf("node-%d.json", i))
		if err := os.WriteFile(file, []byte(platformJSON(i, bed.publicAddrs, peers, bed.stateAddr, bed.cloud.Addr())), 0o600); err != nil {
			return nil, err
		}
		controller := newProcess(fmt.Sprintf("node-%d", i), "serve", "--config", file, "--options", filepath.Join(dir, "node.xml"))
		bed.controllers = append(bed.controllers, controller)
	}
	return bed, nil
}

// start starts the processes, the probes and the users, and waits until the state service is ready.
func (bed *testbed) start() error {
	for _, p := range append([]*process{bed.state}, bed.controllers...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := awaitOK(bed.client, bed.stateAddr, "/ready", 10*time.Second); err != nil {
		return err
	}
	for i := range 4 {
		p := &storeProbe{testbed: bed, id: i, rng: rand.New(rand.NewPCG(bed.seed, 100+uint64(i))), model: map[string]probeKey{}}
		bed.probes = append(bed.probes, p)
		bed.wait.Add(1)
		go p.run()
	}
	bed.users = &users{
		testbed: bed,
		rng:     rand.New(rand.NewPCG(bed.seed, 7)),
		jobs:    map[string]*userJob{},
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	go bed.users.run()
	return nil
}

// stop kills all processes and closes the cloud.
func (bed *testbed) stop() {
	for _, p := range append([]*process{bed.state}, bed.controllers...) {
		p.kill()
	}
	bed.cloud.Close()
}

// killRandomProcess kills a process and starts it again. It prefers a process that reaches one of killMoments soon.
func (bed *testbed) killRandomProcess() error {
	victim, name := bed.state, "the state service at a random moment"
	if bed.rng.IntN(4) == 0 {
		victim, name = bed.controllers[bed.rng.IntN(controllerCount)], "a controller at a random moment"
	}
	wait := time.Duration(20+bed.rng.IntN(250)) * time.Millisecond
	if bed.rng.IntN(10) == 0 {
		time.Sleep(time.Duration(1000+bed.rng.IntN(1500)) * time.Millisecond) // let work accumulate
	}
	switch kind := bed.rng.IntN(3); kind {
	case 2:
		time.Sleep(wait)
	default:
		select {
		case <-bed.killCandidates[kind]: // drops an entry that was recorded before this wait
		default:
		}
		select {
		case p := <-bed.killCandidates[kind]:
			victim, name = p, "the state service during a snapshot or log deletion"
			if kind == 1 {
				name = "a controller during archiving or compaction"
				if bed.rng.IntN(3) == 0 {
					victim, name = bed.state, "the state service during archiving or compaction"
				}
			}
			time.Sleep(time.Duration(bed.rng.IntN(1500)) * time.Microsecond)
		case <-time.After(wait + time.Duration(kind)*700*time.Millisecond):
		}
	}
	victim.kill()
	bed.killCounts[name]++
	if bed.rng.IntN(4) == 0 {
		time.Sleep(time.Duration(bed.rng.IntN(120)) * time.Millisecond)
	}
	if err := victim.start(); err != nil {
		return err
	}
	if victim != bed.state {
		return nil
	}
	if err := awaitOK(bed.client, bed.stateAddr, "/ready", 10*time.Second); err != nil {
		return fmt.Errorf("state service is not ready after its restart: %w", err)
	}
	return nil
}
