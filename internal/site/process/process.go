// Package process finds and ends processes of the operating system for certain. It owns nothing: a process is known by a tag, a
// variable of its environment that its children inherit, and by the time at which it started, so that a process ID that was
// reused is never signalled. It reads /proc and works on Linux only. The design is in docs/design/appliance.md.
package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// findInterval is the time between two searches while processes are being ended.
const findInterval = 2 * time.Millisecond

// Fields of /proc/PID/stat after the name, see proc(5).
const (
	statState      = 0
	statParent     = 1
	statGroup      = 2
	statStartTicks = 19
	minStatFields  = 20
)

// Identity is a process that cannot be taken for another one with the same process ID.
type Identity struct {
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"began"` // start of the process in clock ticks since the machine booted
	BootID     string `json:"boot"`  // of the machine's boot
}

// procStat is what is read of a process.
type procStat struct {
	parent, group int
	isZombie      bool
	startTicks    uint64
}

func readStat(pid int) (procStat, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return procStat{}, fmt.Errorf("process %d: %w", pid, err)
	}
	// The name is in brackets and may hold anything.
	nameEnd := bytes.LastIndexByte(raw, ')')
	fields := strings.Fields(string(raw[nameEnd+1:]))
	if nameEnd < 0 || len(fields) < minStatFields {
		return procStat{}, fmt.Errorf("process %d: its state cannot be read", pid)
	}
	var s procStat
	s.isZombie = fields[statState] == "Z" || fields[statState] == "X"
	if s.parent, err = strconv.Atoi(fields[statParent]); err != nil {
		return s, fmt.Errorf("process %d: parent: %w", pid, err)
	}
	if s.group, err = strconv.Atoi(fields[statGroup]); err != nil {
		return s, fmt.Errorf("process %d: process group: %w", pid, err)
	}
	if s.startTicks, err = strconv.ParseUint(fields[statStartTicks], 10, 64); err != nil {
		return s, fmt.Errorf("process %d: start time: %w", pid, err)
	}
	return s, nil
}

// BootID names the present boot of the machine; it is empty if that cannot be read.
func BootID() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

// Identify returns the identity of a running process.
func Identify(pid int) (Identity, error) {
	s, err := readStat(pid)
	return Identity{pid, s.startTicks, BootID()}, err
}

// IsRunning reports whether this very process is running. A zombie is not.
func (id Identity) IsRunning() bool {
	s, err := readStat(id.PID)
	return err == nil && !s.isZombie && s.startTicks == id.StartTicks && id.BootID == BootID()
}

// Signal sends a signal to the process if it is this very one, and returns os.ErrProcessDone if it is not running any more.
func (id Identity) Signal(sig syscall.Signal) error {
	handle, err := os.FindProcess(id.PID) // from here on the process ID cannot come to mean another process
	if err != nil {
		return err
	}
	defer func() { _ = handle.Release() }() // a handle that is not released is only freed later
	if !id.IsRunning() {
		return os.ErrProcessDone
	}
	return handle.Signal(sig)
}

// listPIDs lists all processes, none if /proc cannot be read.
func listPIDs() []int {
	proc, err := os.Open("/proc")
	if err != nil {
		return nil
	}
	defer func() { _ = proc.Close() }() // it was only read
	names, err := proc.Readdirnames(-1)
	if err != nil {
		return nil
	}
	var pids []int
	for _, name := range names {
		if pid, err := strconv.Atoi(name); err == nil {
			pids = append(pids, pid)
		}
	}
	return pids
}

// hasTag reports whether the process has one of the tags in the environment it was started with.
func hasTag(pid int, tags map[string]bool) bool {
	if len(tags) == 0 {
		return false
	}
	environment, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/environ")
	if err != nil {
		return false // it has ended, or belongs to another user
	}
	for _, variable := range bytes.Split(environment, []byte{0}) {
		if tags[string(variable)] {
			return true
		}
	}
	return false
}

// Find lists the processes that carry one of the tags ("NAME=value"), are in one of the process groups, or descend from one
// that does or is, apart from this process.
func Find(tags map[string]bool, groups map[int]bool) []int {
	own := os.Getpid()
	stats := map[int]procStat{}
	found := map[int]bool{}
	for _, pid := range listPIDs() {
		s, err := readStat(pid)
		if err != nil || s.isZombie {
			continue
		}
		stats[pid] = s
		if pid != own && (groups[s.group] || hasTag(pid, tags)) {
			found[pid] = true
		}
	}
	addDescendants(found, stats, own)
	pids := make([]int, 0, len(found))
	for pid := range found {
		pids = append(pids, pid)
	}
	return pids
}

// addDescendants adds the children of found processes, and theirs, apart from this process.
func addDescendants(found map[int]bool, stats map[int]procStat, own int) {
	for added := true; added; {
		added = false
		for pid, s := range stats {
			if !found[pid] && pid != own && found[s.parent] {
				found[pid], added = true, true
			}
		}
	}
}

// End kills what Find finds, until it finds nothing. A process can fork faster than it is searched for: it is stopped first,
// and what it forked meanwhile is found the next time. An error says how many are left after the timeout.
func End(tags map[string]bool, groups map[int]bool, timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; {
		pids := Find(tags, groups)
		if len(pids) == 0 {
			return nil
		}
		signalAll(pids, syscall.SIGSTOP)
		signalAll(pids, syscall.SIGKILL)
		if time.Now().After(end) {
			return fmt.Errorf("%d processes cannot be ended", len(pids))
		}
		time.Sleep(findInterval)
	}
}

// signalAll signals the processes that are still running. One may have ended by itself meanwhile: errors are not looked at.
func signalAll(pids []int, signal syscall.Signal) {
	for _, pid := range pids {
		if id, err := Identify(pid); err == nil {
			_ = id.Signal(signal)
		}
	}
}
