// Package datadir is the directory of a site that runs on its own machine: which addresses its parts have,
// how large it is, and the controllers' settings. It is made at the first run and never edited by hand.
// It owns the files in the directory's root; the parts own their own directories.
package datadir

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gullrudder/internal/site/process"

	"golang.org/x/sys/unix"
)

// Home is a site's directory.
type Home struct {
	XMLName     xml.Name `xml:"site"`
	ID          string   `xml:"id"`
	Program     string   `xml:"program-version"` // that made it
	Zone        string   `xml:"zone"`
	CPUs        float64  `xml:"cpus"`
	MemGB       float64  `xml:"mem-gb"`
	Price       float64  `xml:"price"`
	As          string   `xml:"tasks-run-as"`
	KeepFreeMB  uint64   `xml:"keep-free-mb"` // of disk: below it nothing is accepted or started
	State       string   `xml:"state"`
	Pool        string   `xml:"pool"`
	Worker      string   `xml:"worker"`
	Controllers []Node   `xml:"controller"`

	dir string
}

// Node is one controller.
type Node struct {
	Name   string `xml:"name,attr"`
	Public string `xml:"public"`
	Peer   string `xml:"peer"`
}

// Wishes are what the first run may be told.
type Wishes struct {
	CPUs, MemGB float64 // 0: what the machine has
	Controllers int
	As          string // whom tasks run as where the site runs as root; empty: nobody
}

const (
	fileName  = "site.xml"
	report    = 2 * time.Second  // between two of the worker
	lease     = 15 * time.Second // of the worker
	keepFree  = 256              // MB
	ownMemory = 1.0              // GB that the appliance and the system keep for themselves
	mostPorts = 16
)

// ErrNone says that there is no site in the directory.
var ErrNone = errors.New("no site is here: gullrudder up makes one")

// Open reads a site's directory.
func Open(dir string) (*Home, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", dir, ErrNone)
	}
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	h := &Home{dir: dir}
	if err := xml.Unmarshal(raw, h); err != nil {
		return nil, fmt.Errorf("site %s: %w", dir, err)
	}
	return h, nil
}

// Make opens a site's directory, or makes one: a run that is cut off leaves none.
func Make(dir string, w Wishes, version string) (*Home, error) {
	h, err := Open(dir)
	if err == nil || !errors.Is(err, ErrNone) {
		return h, err
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o711); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	id := make([]byte, 12)
	if _, err := rand.Read(id); err != nil {
		return nil, err
	}
	h = &Home{
		ID:         hex.EncodeToString(id),
		Program:    version,
		Zone:       "here",
		CPUs:       w.CPUs,
		MemGB:      w.MemGB,
		Price:      1,
		As:         w.As,
		KeepFreeMB: keepFree,
		dir:        dir,
	}
	if h.As == "" {
		h.As = "nobody"
	}
	if h.CPUs <= 0 {
		h.CPUs = float64(runtime.NumCPU())
	}
	if h.MemGB <= 0 {
		h.MemGB = machineMemory()
	}
	count := max(w.Controllers, 1)
	addrs, err := freeAddrs(3 + 2*count)
	if err != nil {
		return nil, err
	}
	h.State, h.Pool, h.Worker = addrs[0], addrs[1], addrs[2]
	for i := range count {
		h.Controllers = append(h.Controllers, Node{fmt.Sprintf("controller-%d", i+1), addrs[3+2*i], addrs[4+2*i]})
	}
	for i := range h.Controllers {
		if err := h.writeController(i); err != nil {
			return nil, err
		}
	}
	// A small site's disk may stall for longer than the lease that is meant for a state service of many.
	opt := "<gullrudder>\n  <leader-lease>5</leader-lease>\n  <promise>5</promise>\n  <idle-after>60</idle-after>\n</gullrudder>\n"
	if err := write(h.Options(), []byte(opt)); err != nil {
		return nil, err
	}
	raw, err := xml.MarshalIndent(h, "", "  ")
	if err != nil {
		return nil, err
	}
	return h, write(filepath.Join(dir, fileName), append(raw, '\n')) // the last: now there is a site
}

// write replaces a file whole.
func write(path string, raw []byte) error {
	tmp := path + ".new"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// freeAddrs finds addresses of loopback that nobody listens at.
func freeAddrs(n int) ([]string, error) {
	var list []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range min(n, mostPorts) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("a free port: %w", err)
		}
		open = append(open, l)
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// machineMemory is what the machine has, in GB, less what the system needs.
func machineMemory() float64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return ownMemory
	}
	for _, line := range strings.Split(string(raw), "\n") {
		f := strings.Fields(line)
		if len(f) >= 2 && f[0] == "MemTotal:" {
			if kb, err := strconv.ParseFloat(f[1], 64); err == nil {
				return math.Max(math.Floor(kb/(1<<20)-ownMemory), ownMemory)
			}
		}
	}
	return ownMemory
}

// writeController writes a controller's settings, in the platform's form.
func (h *Home) writeController(i int) error {
	n := h.Controllers[i]
	others := []any{}
	for k, o := range h.Controllers {
		if k != i {
			others = append(others, map[string]any{"host_name": o.Name, "domain": h.Zone, "addr": o.Peer})
		}
	}
	raw, err := json.MarshalIndent(map[string]any{
		"host_name": n.Name, "domain": h.Zone, "public_addr": n.Public, "peer_bind": n.Peer, "others": others,
		"outside": map[string]any{"cloud": h.Pool, "state": h.State},
		"cluster": map[string]any{
			"zones":          []string{h.Zone},
			"teams":          []any{map[string]any{"name": Team, "cpus": h.CPUs}},
			"workers":        map[string]any{"report_s": report.Seconds(), "lease_s": lease.Seconds(), "cancel_s": 2 * lease.Seconds()},
			"state":          map[string]any{"rps": 2000, "write_rps": 2000, "value_kb": 32, "txn_ops": 64},
			"cloud":          map[string]any{"rps": 20, "list_lag_s": 0.5},
			"quota":          map[string]any{"cpu": 1, "ram_mb": 512, "max_connections": 512},
			"clock_error_ms": 100,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return write(h.Controller(i), append(raw, '\n'))
}

// Team is the team that jobs belong to where their user names none.
const Team = "site"

// Dir is a file or directory of the site.
func (h *Home) Dir(name ...string) string {
	return filepath.Join(append([]string{h.dir}, name...)...)
}

// Controller is the settings file of a controller, Options the operators' own.
func (h *Home) Controller(i int) string { return h.Dir(fmt.Sprintf("controller-%d.json", i+1)) }

// Options is the operators' settings of the controllers.
func (h *Home) Options() string { return h.Dir("options.xml") }

// Supervisor is the file that says who supervises the site.
func (h *Home) Supervisor() string { return h.Dir("up.json") }

// Spans are the worker's: between its reports, and of its lease.
func (h *Home) Spans() (between, leased time.Duration) { return report, lease }

// FreeDisk is how many bytes of the disk that a directory is on may still be written.
func FreeDisk(dir string) (uint64, error) {
	var fs unix.Statfs_t
	if err := unix.Statfs(dir, &fs); err != nil {
		return 0, fmt.Errorf("disk of %s: %w", dir, err)
	}
	return fs.Bavail * uint64(fs.Bsize), nil
}

// Lock takes the site for one supervisor; the file stays locked as long as it is open.
func (h *Home) Lock() (*os.File, error) {
	f, err := os.OpenFile(h.Dir("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: the site is up already (%w)", h.dir, err)
	}
	return f, nil
}

// Running is the process that supervises the site, if one does.
func (h *Home) Running() (process.Identity, bool) {
	var id process.Identity
	raw, err := os.ReadFile(h.Supervisor())
	if err != nil || json.Unmarshal(raw, &id) != nil {
		return id, false
	}
	return id, id.IsAlive()
}

// Supervised leaves word that this process supervises the site.
func (h *Home) Supervised() error {
	id, err := process.Identify(os.Getpid())
	if err != nil {
		return err
	}
	raw, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return write(h.Supervisor(), raw)
}
