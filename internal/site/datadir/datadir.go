// Package datadir reads and writes the data directory of a site on one machine. It owns the files in the directory's root: the addresses
// and size of the site (site.xml), the settings of its controllers, the lock and the record of the supervisor. site.xml and the settings
// are written when the site is created and not changed afterwards. The processes of the site own their directories below the root.
// docs/design/site.md describes a site.
package datadir

import (
	"encoding/xml"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// siteFileName is the file that describes the site. A directory without it holds no site.
const siteFileName = "site.xml"

// DefaultTeam is the team of jobs that are submitted without a team.
const DefaultTeam = "site"

// Timing of a site's worker.
const (
	HeartbeatInterval   = 2 * time.Second
	WorkerLeaseDuration = 15 * time.Second
)

// ErrNoSite is returned if there is no site in the directory.
var ErrNoSite = errors.New("no site in this directory; create one with `gullrudder up`")

// Site is the description of a site in site.xml. Its methods may be called from any goroutine.
type Site struct {
	XMLName         xml.Name     `xml:"site"`
	ID              string       `xml:"id"`
	ProgramVersion  string       `xml:"program-version"` // version of the program that created the site
	Zone            string       `xml:"zone"`
	CPUs            float64      `xml:"cpus"`
	MemoryGB        float64      `xml:"mem-gb"`
	HourlyPrice     float64      `xml:"price"` // of the machine, in the unit of the machine types' prices
	TaskUser        string       `xml:"tasks-run-as"`
	MinFreeDiskMB   uint64       `xml:"keep-free-mb"` // with less free disk space no job is accepted and no task started
	StateAddr       string       `xml:"state"`
	MachinePoolAddr string       `xml:"pool"`
	WorkerAddr      string       `xml:"worker"`
	Controllers     []Controller `xml:"controller"`

	dir string
}

// Controller is the name and the addresses (host:port) of one controller of the site.
type Controller struct {
	Name       string `xml:"name,attr"`
	PublicAddr string `xml:"public"` // for users and workers
	PeerAddr   string `xml:"peer"`   // for the other controllers
}

// Open reads the description of the site in dir. It returns ErrNoSite if there is none.
func Open(dir string) (*Site, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	content, err := os.ReadFile(filepath.Join(dir, siteFileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", dir, ErrNoSite)
	}
	if err != nil {
		return nil, fmt.Errorf("read site description: %w", err)
	}
	site := &Site{dir: dir}
	if err := xml.Unmarshal(content, site); err != nil {
		return nil, fmt.Errorf("parse description of site %s: %w", dir, err)
	}
	return site, nil
}

// Path returns the path of a file or directory below the data directory. Without names it returns the data directory itself.
func (s *Site) Path(name ...string) string {
	return filepath.Join(append([]string{s.dir}, name...)...)
}

// ControllerConfigPath returns the path of the settings of Controllers[index].
func (s *Site) ControllerConfigPath(index int) string {
	return s.Path(fmt.Sprintf("controller-%d.json", index+1))
}

// OptionsPath returns the path of the operators' settings of the controllers.
func (s *Site) OptionsPath() string { return s.Path("options.xml") }

// supervisorFile returns the path of the record of the process that supervises the site.
func (s *Site) supervisorFile() string { return s.Path("up.json") }

// FreeDisk returns the bytes that an unprivileged user can still write to the disk of the directory.
func FreeDisk(dir string) (uint64, error) {
	var stat unix.Statfs_t
	if err := unix.Statfs(dir, &stat); err != nil {
		return 0, fmt.Errorf("get free disk space of %s: %w", dir, err)
	}
	return stat.Bavail * uint64(stat.Bsize), nil
}

// replaceFile replaces a file atomically: after a crash it has either the old or the new content.
func replaceFile(path string, content []byte) error {
	temporaryPath := path + ".new"
	file, err := os.OpenFile(temporaryPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	err = errors.Join(err, file.Sync(), file.Close())
	if err != nil {
		return err
	}
	return os.Rename(temporaryPath, path)
}
