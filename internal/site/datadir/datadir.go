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

// Site is a site's directory.
type Site struct {
	XMLName         xml.Name     `xml:"site"`
	ID              string       `xml:"id"`
	ProgramVersion  string       `xml:"program-version"` // that made it
	Zone            string       `xml:"zone"`
	CPUs            float64      `xml:"cpus"`
	MemoryGB        float64      `xml:"mem-gb"`
	HourlyPrice     float64      `xml:"price"`
	TaskUser        string       `xml:"tasks-run-as"`
	MinFreeDiskMB   uint64       `xml:"keep-free-mb"` // of disk: below it nothing is accepted or started
	StateAddr       string       `xml:"state"`
	MachinePoolAddr string       `xml:"pool"`
	WorkerAddr      string       `xml:"worker"`
	Controllers     []Controller `xml:"controller"`

	dir string
}

// Controller is one controller.
type Controller struct {
	Name       string `xml:"name,attr"`
	PublicAddr string `xml:"public"`
	PeerAddr   string `xml:"peer"`
}

// CreateOptions are what the first run may be told.
type CreateOptions struct {
	CPUs, MemoryGB float64 // 0: what the machine has
	Controllers    int
	TaskUser       string // whom tasks run as where the site runs as root; empty: nobody
}

const (
	siteFileName         = "site.xml"
	heartbeatInterval    = 2 * time.Second  // between two of the worker
	workerLeaseDuration  = 15 * time.Second // of the worker
	defaultMinFreeDiskMB = 256              // MB
	reservedMemoryGB     = 1.0              // GB that the appliance and the system keep for themselves
	maxPorts             = 16
)

// ErrNoSite says that there is no site in the directory.
var ErrNoSite = errors.New("no site is here: gullrudder up makes one")

// Open reads a site's directory.
func Open(dir string) (*Site, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(filepath.Join(dir, siteFileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", dir, ErrNoSite)
	}
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	site := &Site{dir: dir}
	if err := xml.Unmarshal(raw, site); err != nil {
		return nil, fmt.Errorf("site %s: %w", dir, err)
	}
	return site, nil
}

// OpenOrCreate opens a site's directory, or makes one: a run that is cut off leaves none.
func OpenOrCreate(dir string, options CreateOptions, version string) (*Site, error) {
	site, err := Open(dir)
	if err == nil || !errors.Is(err, ErrNoSite) {
		return site, err
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
	site = &Site{
		ID:             hex.EncodeToString(id),
		ProgramVersion: version,
		Zone:           "here",
		CPUs:           options.CPUs,
		MemoryGB:       options.MemoryGB,
		HourlyPrice:    1,
		TaskUser:       options.TaskUser,
		MinFreeDiskMB:  defaultMinFreeDiskMB,
		dir:            dir,
	}
	if site.TaskUser == "" {
		site.TaskUser = "nobody"
	}
	if site.CPUs <= 0 {
		site.CPUs = float64(runtime.NumCPU())
	}
	if site.MemoryGB <= 0 {
		site.MemoryGB = usableMemoryGB()
	}
	count := max(options.Controllers, 1)
	addrs, err := findFreeAddrs(3 + 2*count)
	if err != nil {
		return nil, err
	}
	site.StateAddr, site.MachinePoolAddr, site.WorkerAddr = addrs[0], addrs[1], addrs[2]
	for i := range count {
		site.Controllers = append(site.Controllers, Controller{fmt.Sprintf("controller-%d", i+1), addrs[3+2*i], addrs[4+2*i]})
	}
	for i := range site.Controllers {
		if err := site.writeControllerConfig(i); err != nil {
			return nil, err
		}
	}
	// A small site's disk may stall for longer than the lease that is meant for a state service of many.
	opt := "<gullrudder>\n  <leader-lease>5</leader-lease>\n  <promise>5</promise>\n  <idle-after>60</idle-after>\n</gullrudder>\n"
	if err := replaceFile(site.OptionsFile(), []byte(opt)); err != nil {
		return nil, err
	}
	raw, err := xml.MarshalIndent(site, "", "  ")
	if err != nil {
		return nil, err
	}
	return site, replaceFile(filepath.Join(dir, siteFileName), append(raw, '\n')) // the last: now there is a site
}

// replaceFile replaces a file whole.
func replaceFile(path string, raw []byte) error {
	temporaryPath := path + ".new"
	f, err := os.OpenFile(temporaryPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return os.Rename(temporaryPath, path)
}

// findFreeAddrs finds addresses of loopback that nobody listens at.
func findFreeAddrs(count int) ([]string, error) {
	var addrs []string
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for range min(count, maxPorts) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("a free port: %w", err)
		}
		listeners = append(listeners, l)
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// usableMemoryGB is what the machine has, in GB, less what the system needs.
func usableMemoryGB() float64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return reservedMemoryGB
	}
	for _, line := range strings.Split(string(raw), "\n") {
		f := strings.Fields(line)
		if len(f) >= 2 && f[0] == "MemTotal:" {
			if kb, err := strconv.ParseFloat(f[1], 64); err == nil {
				return math.Max(math.Floor(kb/(1<<20)-reservedMemoryGB), reservedMemoryGB)
			}
		}
	}
	return reservedMemoryGB
}

// writeControllerConfig writes a controller's settings, in the platform's form.
func (h *Site) writeControllerConfig(index int) error {
	own := h.Controllers[index]
	others := []any{}
	for i, other := range h.Controllers {
		if i != index {
			others = append(others, map[string]any{"host_name": other.Name, "domain": h.Zone, "addr": other.PeerAddr})
		}
	}
	raw, err := json.MarshalIndent(map[string]any{
		"host_name": own.Name, "domain": h.Zone, "public_addr": own.PublicAddr, "peer_bind": own.PeerAddr, "others": others,
		"outside": map[string]any{"cloud": h.MachinePoolAddr, "state": h.StateAddr},
		"cluster": map[string]any{
			"zones":          []string{h.Zone},
			"teams":          []any{map[string]any{"name": DefaultTeam, "cpus": h.CPUs}},
			"workers":        map[string]any{"report_s": heartbeatInterval.Seconds(), "lease_s": workerLeaseDuration.Seconds(), "cancel_s": 2 * workerLeaseDuration.Seconds()},
			"state":          map[string]any{"rps": 2000, "write_rps": 2000, "value_kb": 32, "txn_ops": 64},
			"cloud":          map[string]any{"rps": 20, "list_lag_s": 0.5},
			"quota":          map[string]any{"cpu": 1, "ram_mb": 512, "max_connections": 512},
			"clock_error_ms": 100,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return replaceFile(h.ControllerConfig(index), append(raw, '\n'))
}

// DefaultTeam is the team that jobs belong to where their user names none.
const DefaultTeam = "site"

// Path is a file or directory of the site.
func (h *Site) Path(name ...string) string {
	return filepath.Join(append([]string{h.dir}, name...)...)
}

// ControllerConfig is the settings file of a controller, Options the operators' own.
func (h *Site) ControllerConfig(index int) string {
	return h.Path(fmt.Sprintf("controller-%d.json", index+1))
}

// OptionsFile is the operators' settings of the controllers.
func (h *Site) OptionsFile() string { return h.Path("options.xml") }

// SupervisorFile is the file that says who supervises the site.
func (h *Site) SupervisorFile() string { return h.Path("up.json") }

// WorkerTiming are the worker's: between its reports, and of its lease.
func (h *Site) WorkerTiming() (between, leased time.Duration) {
	return heartbeatInterval, workerLeaseDuration
}

// FreeDisk is how many bytes of the disk that a directory is on may still be written.
func FreeDisk(dir string) (uint64, error) {
	var fs unix.Statfs_t
	if err := unix.Statfs(dir, &fs); err != nil {
		return 0, fmt.Errorf("disk of %s: %w", dir, err)
	}
	return fs.Bavail * uint64(fs.Bsize), nil
}

// Lock takes the site for one supervisor; the file stays locked as long as it is open.
func (h *Site) Lock() (*os.File, error) {
	f, err := os.OpenFile(h.Path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: the site is up already (%w)", h.dir, err)
	}
	return f, nil
}

// RunningSupervisor is the process that supervises the site, if one does.
func (h *Site) RunningSupervisor() (process.Identity, bool) {
	var id process.Identity
	raw, err := os.ReadFile(h.SupervisorFile())
	if err != nil || json.Unmarshal(raw, &id) != nil {
		return id, false
	}
	return id, id.IsRunning()
}

// RecordSupervisor leaves word that this process supervises the site.
func (h *Site) RecordSupervisor() error {
	id, err := process.Identify(os.Getpid())
	if err != nil {
		return err
	}
	raw, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return replaceFile(h.SupervisorFile(), raw)
}
