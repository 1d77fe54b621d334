// Package main runs real controllers with stand-ins for the state service, the cloud, workers and users.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gullrudder/internal/wire/codec"
)

// node is a controller process.
type node struct {
	name, public, peer string
	config             string
	toState            *link // its link to the state service
	toCloud            *link
	peerIn             map[string]*link // links from other controllers, by their name
	cmd                *exec.Cmd
	output             io.Writer
	restart            sync.Mutex
}

// lab is a deployment: controllers as processes, and stand-ins.
type lab struct {
	began  time.Time
	run    string // command of the deploy file
	dir    string
	record *os.File
	mu     sync.Mutex

	report, lease, cancel time.Duration
	store                 *store
	cloud                 *cloud
	nodes                 []*node
	check                 *check
	teams                 []any
	zones                 []any
	state                 map[string]any
	quota                 map[string]any
	copies                bool // copies of reports arrive late
	imageDigits           int  // least length of the number in an image's name
	zoneCuts              bool // zones are cut off, and the state service is slow at times
	zoneCut               sync.Mutex
}

func (l *lab) note(kind, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %-8s %s\n", time.Since(l.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

func newLab(record string) *lab {
	file, err := os.Create(record)
	if err != nil {
		panic(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	l := &lab{
		began: time.Now(), dir: dir, record: file, report: time.Second, lease: 10 * time.Second, cancel: 30 * time.Second,
		teams: []any{map[string]any{"name": "harvest-records", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
		zones: []any{"nemea-room", "patras-room"},
		state: map[string]any{"rps": 200.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
		quota: map[string]any{"cpu": 0.24, "ram_mb": 98.0, "max_connections": 900},
	}
	l.run = deployCommand()
	l.check = newCheck(l)
	l.store = newStore()
	return l
}

// deployCommand returns the command of the deploy file that runs a controller.
func deployCommand() string {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		panic(err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if command, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(command, "\"")
		}
	}
	panic("deploy/service.toml has no run")
}

// freeAddr returns a free loopback address. Its port is below those that outgoing connections use.
func freeAddr() string {
	for {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000)))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().String()
		}
	}
}

// nodeCount is the number of controllers.
const nodeCount = 3

// prepare writes the settings of the controllers.
func (l *lab) prepare() {
	cloudAddr := serveHTTP(l.cloud)
	for i := range nodeCount {
		name := fmt.Sprintf("oarlock-%d", i)
		n := &node{name: name, public: freeAddr(), peer: freeAddr(), peerIn: map[string]*link{}}
		n.toState = newLink(serveHTTP(l.store.handler(name)))
		n.toCloud = newLink(cloudAddr)
		l.nodes = append(l.nodes, n)
	}
	l.writeSettings()
	for _, n := range l.nodes {
		log, err := os.Create(filepath.Join(l.dir, n.name+".log"))
		if err != nil {
			panic(err)
		}
		n.output = log
	}
}

func (l *lab) writeSettings() {
	for i, n := range l.nodes {
		others := []any{}
		for _, o := range l.nodes {
			if o == n {
				continue
			}
			in := o.peerIn[n.name]
			if in == nil {
				in = newLink(o.peer)
				o.peerIn[n.name] = in
			}
			others = append(others, map[string]any{"host_name": o.name, "domain": "nemea-room", "addr": in.addr})
		}
		settings := map[string]any{
			"host_name": n.name, "domain": "nemea-room", "public_addr": n.public, "peer_bind": n.peer, "others": others,
			"outside": map[string]any{"cloud": n.toCloud.addr, "state": n.toState.addr},
			"cluster": map[string]any{
				"size": nodeCount, "zones": l.zones, "teams": l.teams, "objectives": []any{},
				"workers": map[string]any{
					"report_s": l.report.Seconds(), "lease_s": l.lease.Seconds(), "gang_wait_s": 35.0, "gang_peer_s": 5.0, "cancel_s": l.cancel.Seconds(),
				},
				"state": l.state, "cloud": map[string]any{"rps": 2.0, "list_lag_s": 3.0}, "quota": l.quota, "clock_error_ms": 1000.0,
			},
		}
		raw, err := json.Marshal(settings)
		if err != nil {
			panic(err)
		}
		n.config = filepath.Join(l.dir, fmt.Sprintf("node-%d.json", i))
		if err := os.WriteFile(n.config, raw, 0o600); err != nil {
			panic(err)
		}
	}
}

func (l *lab) start(n *node) {
	run := append(strings.Fields(l.run), n.config)
	n.cmd = exec.Command(run[0], run[1:]...)
	n.cmd.Stderr = n.output
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		panic(err)
	}
	l.note("node", "%s started", n.name)
	cmd := n.cmd
	go func() {
		err := cmd.Wait()
		if cmd.ProcessState.ExitCode() != -1 {
			l.check.mu.Lock()
			l.check.breaks("ended", "controller %s ended by itself: %v", n.name, err)
			l.check.mu.Unlock()
		}
	}()
}

func logLevel() string {
	if v := os.Getenv("LOG_LEVEL"); v != "" {
		return v
	}
	return "info"
}

func (l *lab) signal(n *node, sig syscall.Signal) {
	l.note("node", "%s gets %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// leader returns the controller that places tasks, or nil.
func (l *lab) leader() *node {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range l.nodes {
		status, answer, _ := call(client, 500*time.Millisecond, http.MethodGet, "http://"+n.public+"/status", nil)
		if status == 200 && answer["leader"] == n.name {
			return n
		}
	}
	return nil
}

func (l *lab) awaitLeader(d time.Duration) *node {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := l.leader(); n != nil {
			return n
		}
	}
	return nil
}

// startAll starts all controllers and waits for a leader.
func (l *lab) startAll() {
	for _, n := range l.nodes {
		l.start(n)
	}
	go l.check.watch()
	if l.awaitLeader(15*time.Second) == nil {
		l.fail("no controller leads after 15 s")
	}
}

func (l *lab) zoneNames() []string {
	var names []string
	for _, zone := range l.zones {
		names = append(names, zone.(string))
	}
	return names
}

// fail ends a case that cannot run.
func (l *lab) fail(format string, args ...any) {
	l.note("FAIL", format, args...)
	l.end()
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

func (l *lab) end() {
	for _, n := range l.nodes {
		if n.cmd != nil {
			cmd := n.cmd
			n.cmd = nil
			_ = cmd.Process.Kill()
		}
	}
	time.Sleep(50 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// ask sends a request of a user to a controller and judges the answer.
func (l *lab) ask(
	client *http.Client, n *node, method, path string, body codec.Object, timeout time.Duration,
) (status int, trim string, after time.Duration) {
	sent := time.Now()
	status, answer, after := call(client, timeout, method, "http://"+n.public+path, body)
	trim, _ = answer["trim"].(string)
	l.note("user", "%s %s at %s: %d %s %v", method, path, n.name, status, trim, answer["error"])
	id := ""
	if body != nil {
		id, _ = body["id"].(string)
	}
	if id == "" {
		id = strings.TrimSuffix(strings.TrimPrefix(path, "/work/"), "/withdraw")
	}
	l.check.answered(id, status, trim, sent, method == http.MethodPost && path == "/work")
	return status, trim, after
}
