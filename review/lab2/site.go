package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/site/process"
)

// site is a whole site on this machine, as `gullrudder up` runs it.
type site struct {
	lab  *lab
	data string // its data directory
	up   *exec.Cmd
}

// newSite starts a site with 8 CPUs and 4 GB for tasks, and waits until a controller leads.
func newSite(l *lab) (*site, error) {
	s := &site{lab: l, data: filepath.Join(l.dir, "site")}
	l.onEnd(s.end)
	return s, s.start("up")
}

// logErrors copies the errors that the site's processes have logged to the record, for a case that could not run.
func (s *site) logErrors() {
	paths, _ := filepath.Glob(filepath.Join(s.data, "log", "*.log")) // the pattern is valid
	for _, path := range append(paths, filepath.Join(s.lab.dir, "up.log")) {
		raw, _ := os.ReadFile(path) // a log that cannot be read has no errors to show
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, "level=ERROR") && !strings.Contains(line, "task limit not set") {
				s.lab.log("%s: %s", filepath.Base(path), strings.TrimSpace(line))
			}
		}
	}
}

// start runs `up` and waits until a controller leads.
func (s *site) start(name string) error {
	var err error
	if s.up, err = s.lab.start(name, s.lab.program, "up", "--data", s.data, "--cpus", "8", "--mem", "4"); err != nil {
		return err
	}
	return waitFor("up", 30*time.Second, func() bool {
		raw, err := os.ReadFile(filepath.Join(s.lab.dir, name+".log"))
		return err == nil && bytes.Contains(raw, []byte("up after"))
	})
}

// run runs a command on the site and returns what it printed.
func (s *site) run(args ...string) (string, error) {
	cmd := exec.Command(s.lab.program, args...)
	cmd.Dir = s.lab.root
	cmd.Env = append(os.Environ(), "GULLRUDDER_DATA="+s.data, "GULLRUDDER_SERVER=")
	raw, err := cmd.CombinedOutput()
	return string(raw), err
}

// jobState returns the state of a job, or what the command printed instead.
func (s *site) jobState(id string) string {
	text, err := s.run("show", "--patience", "1s", id)
	if err != nil {
		return strings.TrimSpace(text)
	}
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == id {
			return fields[1]
		}
	}
	return strings.TrimSpace(text)
}

// down stops the site with the command for that.
func (s *site) down() error {
	text, err := s.run("down")
	s.lab.log("down: %s", strings.TrimSpace(text))
	if err != nil {
		return fmt.Errorf("down: %w", err)
	}
	_ = s.up.Wait()
	return nil
}

// end stops the site, and ends what may be left of it.
func (s *site) end() {
	if id := s.identity("site.xml", `<id>(\w+)</id>`); id != "" {
		_, _ = s.run("down")
		_ = process.End(map[string]bool{"GULLRUDDER_SITE=" + id: true}, nil, 5*time.Second)
	}
	if id := s.identity("worker/id", `(\w+)`); id != "" {
		_ = process.End(map[string]bool{"GULLRUDDER_WORKER=" + id: true}, nil, 5*time.Second)
	}
}

// identity returns the ID in a file of the site, or "" if there is none.
func (s *site) identity(file, pattern string) string {
	raw, err := os.ReadFile(filepath.Join(s.data, file))
	if err != nil {
		return ""
	}
	if match := regexp.MustCompile(pattern).FindSubmatch(raw); match != nil {
		return string(match[1])
	}
	return ""
}

// controllers returns the processes of the site's controllers.
func (s *site) controllers() []int {
	var pids []int
	entries, _ := os.ReadDir("/proc") // without it there are none
	for _, entry := range entries {
		pid, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		raw, err := os.ReadFile(filepath.Join("/proc", entry.Name(), "cmdline"))
		line := strings.ReplaceAll(string(raw), "\x00", " ")
		if err == nil && strings.Contains(line, " serve --config "+s.data+"/") {
			pids = append(pids, pid)
		}
	}
	return pids
}
