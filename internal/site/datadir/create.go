package datadir

import (
	"crypto/rand"
	"encoding/hex"
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
)

const (
	siteIDBytes          = 12
	siteZone             = "here"
	defaultHourlyPrice   = 1
	defaultTaskUser      = "nobody"
	defaultMinFreeDiskMB = 256
	reservedMemoryGB     = 1.0 // for the site's own processes and the operating system
	kilobytesPerGB       = 1 << 20
	maxPorts             = 16
	// commonAddrs is the number of addresses of the state service, the machine pool and the worker.
	commonAddrs        = 3
	addrsPerController = 2
)

// initialOptions is the options file of a new site. Its leader lease is longer than the default: the default is meant for a state service
// on several machines, and the disk of a small site may stall for longer than that.
const initialOptions = `<gullrudder>
  <leader-lease>5</leader-lease>
  <promise>5</promise>
  <idle-after>60</idle-after>
</gullrudder>
`

// CreateOptions are the settings that the user may choose for a new site.
type CreateOptions struct {
	CPUs, MemoryGB float64 // 0: all CPUs of the machine; its memory less a reserve for the system
	Controllers    int     // number of controllers; 0: 1
	TaskUser       string  // the user that tasks run as if the site runs as root; empty: nobody
}

// OpenOrCreate opens the site in dir, or creates one. An interrupted creation leaves no site, since site.xml is written last. The options
// and the version are used for a new site only.
func OpenOrCreate(dir string, options CreateOptions, version string) (*Site, error) {
	site, err := Open(dir)
	if err == nil || !errors.Is(err, ErrNoSite) {
		return site, err
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o711); err != nil {
		return nil, fmt.Errorf("create site directory: %w", err)
	}
	site, err = newSite(dir, options, version)
	if err != nil {
		return nil, err
	}
	return site, site.writeFiles()
}

// newSite returns the description of a new site. It writes no file.
func newSite(dir string, options CreateOptions, version string) (*Site, error) {
	id := make([]byte, siteIDBytes)
	if _, err := rand.Read(id); err != nil {
		return nil, err
	}
	site := &Site{
		ID:             hex.EncodeToString(id),
		ProgramVersion: version,
		Zone:           siteZone,
		CPUs:           options.CPUs,
		MemoryGB:       options.MemoryGB,
		HourlyPrice:    defaultHourlyPrice,
		TaskUser:       options.TaskUser,
		MinFreeDiskMB:  defaultMinFreeDiskMB,
		dir:            dir,
	}
	if site.TaskUser == "" {
		site.TaskUser = defaultTaskUser
	}
	if site.CPUs <= 0 {
		site.CPUs = float64(runtime.NumCPU())
	}
	if site.MemoryGB <= 0 {
		site.MemoryGB = usableMemoryGB()
	}
	return site, site.chooseAddrs(max(options.Controllers, 1))
}

func (s *Site) chooseAddrs(controllers int) error {
	addrs, err := findFreeAddrs(commonAddrs + addrsPerController*controllers)
	if err != nil {
		return err
	}
	s.StateAddr, s.MachinePoolAddr, s.WorkerAddr = addrs[0], addrs[1], addrs[2]
	for i := range controllers {
		first := commonAddrs + addrsPerController*i
		s.Controllers = append(s.Controllers, Controller{
			Name: fmt.Sprintf("controller-%d", i+1), PublicAddr: addrs[first], PeerAddr: addrs[first+1],
		})
	}
	return nil
}

// writeFiles writes the files of a new site.
func (s *Site) writeFiles() error {
	for i := range s.Controllers {
		if err := s.writeControllerConfig(i); err != nil {
			return err
		}
	}
	if err := replaceFile(s.OptionsPath(), []byte(initialOptions)); err != nil {
		return err
	}
	encoded, err := xml.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return replaceFile(s.Path(siteFileName), append(encoded, '\n')) // last: the site exists once this file does
}

// findFreeAddrs returns count loopback addresses on which no process listens, at most maxPorts.
func findFreeAddrs(count int) (addrs []string, err error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			err = errors.Join(err, listener.Close())
		}
	}()
	for range min(count, maxPorts) {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		listeners = append(listeners, listener)
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

// usableMemoryGB returns the machine's memory less reservedMemoryGB, in whole GB and at least reservedMemoryGB.
func usableMemoryGB() float64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return reservedMemoryGB
	}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kilobytes, err := strconv.ParseFloat(fields[1], 64); err == nil {
			return math.Max(math.Floor(kilobytes/kilobytesPerGB-reservedMemoryGB), reservedMemoryGB)
		}
	}
	return reservedMemoryGB
}
