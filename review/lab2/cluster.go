package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// node is one controller.
type node struct {
	name, zone   string
	publicAddr   string // users reach it directly
	peerAddr     string
	network      *cut                               // the network between it, the state service and the other controllers
	stateHook    atomic.Pointer[func(chunk []byte)] // called with what was delivered to the state service
	stateAddr    string                             // of the state service as this controller reaches it
	peerAddrs    map[string]string
	statusClient *client
	process      *os.Process
}

// cluster is a small deployment: a state service, a cloud without free machines, and three controllers.
type cluster struct {
	lab                  *lab
	stateAddr, cloudAddr string
	nodes                []*node
}

// startCluster starts the processes and waits until a controller leads.
func startCluster(l *lab) (*cluster, error) {
	addrs, err := freeAddrs(8)
	if err != nil {
		return nil, err
	}
	c := &cluster{lab: l, stateAddr: addrs[0]}
	if _, err := l.start("state", l.program, "state", "--data", filepath.Join(l.dir, "state"), "--listen", c.stateAddr,
		"--metrics", addrs[1], "--options", "deploy/state.xml"); err != nil {
		return nil, err
	}
	if c.cloudAddr, err = startCloud(l); err != nil {
		return nil, err
	}
	zones := []string{"nemea-room", "patras-room", "nemea-room"}
	for i, zone := range zones {
		c.nodes = append(c.nodes, &node{
			name: fmt.Sprintf("oarlock-%d", i), zone: zone, publicAddr: addrs[2+2*i], peerAddr: addrs[3+2*i],
			network: newCut(), peerAddrs: map[string]string{}, statusClient: newClient(time.Second),
		})
	}
	for _, n := range c.nodes {
		if err := c.configure(n); err != nil {
			return nil, err
		}
		if err := c.startNode(n); err != nil {
			return nil, err
		}
	}
	return c, waitFor("a leader", 20*time.Second, func() bool { return c.settledLeader() != nil })
}

// configure makes the links of a controller and writes its settings.
func (c *cluster) configure(n *node) error {
	onState := func(chunk []byte) {
		if hook := n.stateHook.Load(); hook != nil {
			(*hook)(chunk)
		}
	}
	var err error
	if n.stateAddr, err = newLink(c.lab, c.stateAddr, onState, n.network); err != nil {
		return err
	}
	for _, other := range c.nodes {
		if other == n {
			continue
		}
		if n.peerAddrs[other.name], err = newLink(c.lab, other.peerAddr, nil, n.network, other.network); err != nil {
			return err
		}
	}
	settings, err := json.MarshalIndent(c.settings(n), "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.settingsPath(n), settings, 0o600)
}

func (c *cluster) settingsPath(n *node) string { return filepath.Join(c.lab.dir, n.name+".json") }

// startNode starts a controller.
func (c *cluster) startNode(n *node) error {
	cmd, err := c.lab.start(n.name, c.lab.program, "serve", "--config", c.settingsPath(n))
	if err == nil {
		n.process = cmd.Process
	}
	return err
}

// other returns a controller other than the given one.
func (c *cluster) other(n *node) *node { return c.third(n, n) }

// third returns a controller other than the given ones.
func (c *cluster) third(a, b *node) *node {
	for _, n := range c.nodes {
		if n != a && n != b {
			return n
		}
	}
	return nil
}

// settings returns the settings of the first site's controllers.
func (c *cluster) settings(n *node) map[string]any {
	others := []map[string]any{}
	for _, other := range c.nodes {
		if other != n {
			others = append(others, map[string]any{"host_name": other.name, "domain": other.zone, "addr": n.peerAddrs[other.name]})
		}
	}
	return map[string]any{
		"host_name": n.name, "domain": n.zone, "public_addr": n.publicAddr, "peer_bind": n.peerAddr, "others": others,
		"outside": map[string]any{"cloud": c.cloudAddr, "state": n.stateAddr},
		"cluster": map[string]any{
			"size": 3, "zones": []string{"nemea-room", "patras-room"},
			"teams":      []map[string]any{{"name": "harvest-records", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
			"objectives": []map[string]any{{"kind": "finished", "class": "tally-merge", "within_s": 90.0, "share": 0.88}},
			"workers": map[string]any{
				"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 5.0, "cancel_s": 30.0,
			},
			"state":          map[string]any{"rps": 200.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
			"cloud":          map[string]any{"rps": 2.0, "list_lag_s": 3.0},
			"quota":          map[string]any{"cpu": 0.24, "ram_mb": 98.0, "max_connections": 900},
			"clock_error_ms": 1000.0,
		},
	}
}

// setStateHook sets the function that is called with what was delivered to the state service; nil: none.
func (n *node) setStateHook(hook func(chunk []byte)) {
	if hook == nil {
		n.stateHook.Store(nil)
		return
	}
	n.stateHook.Store(&hook)
}

// leads reports whether a controller says that it leads itself and has loaded its state, in which there is an unfinished job.
func (n *node) leads() bool {
	status, body := n.statusClient.call(http.MethodGet, n.publicAddr, "/status", nil)
	return status == http.StatusOK && body["leader"] == n.name && fmt.Sprint(body["jobs"]) != "0"
}

// settledLeader returns the controller that leads according to all controllers, or nil.
func (c *cluster) settledLeader() *node {
	var leader *node
	for _, n := range c.nodes {
		status, body := n.statusClient.call(http.MethodGet, n.publicAddr, "/status", nil)
		name, _ := body["leader"].(string)
		if status != http.StatusOK || name == "" || leader != nil && leader.name != name {
			return nil
		}
		for _, candidate := range c.nodes {
			if candidate.name == name {
				leader = candidate
			}
		}
	}
	return leader
}

// startCloud starts a cloud that offers the first site's machine types and has no machine free.
func startCloud(l *lab) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	types := map[string]any{"keels": []map[string]any{{
		"name": "trygos", "cpus": 8.0, "cards": 0.0, "mem_gb": 32.0, "local_gb": 40.0, "fetch_gb_per_s": 0.5, "hourly": 0.57,
		"low_price": 0.18, "ready_s": 40.0, "harbours": []string{"nemea-room", "patras-room"},
	}}}
	answer := func(w http.ResponseWriter, status int, body any) {
		raw, _ := msgpack.Marshal(body) // the bodies above and below can be encoded
		w.Header().Set("Content-Type", "application/msgpack")
		w.Header().Set("Content-Length", fmt.Sprint(len(raw)))
		w.WriteHeader(status)
		_, _ = w.Write(raw)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, types) })
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, map[string]any{"oarlocks": []any{}, "has_next": false})
	})
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
	})
	mux.HandleFunc("POST /hosts/delete", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, map[string]any{})
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	l.onEnd(func() { _ = server.Close() })
	return listener.Addr().String(), nil
}
