package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// endInterval is the pause between two searches of End: long enough for killed processes to be gone.
const endInterval = 2 * time.Millisecond

// EndError says that processes were still running when the timeout of End had passed.
type EndError struct{ Count int }

// Error implements error.
func (e *EndError) Error() string { return fmt.Sprintf("%d processes cannot be ended", e.Count) }

func listPIDs() []int {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil
	}
	var pids []int
	for _, entry := range entries {
		if pid, err := strconv.Atoi(entry.Name()); err == nil {
			pids = append(pids, pid)
		}
	}
	return pids
}

// hasTag reports whether the environment that the process was started with contains one of the tags.
func hasTag(pid int, tags map[string]bool) bool {
	if len(tags) == 0 {
		return false
	}
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/environ")
	if err != nil {
		return false // the process has exited or belongs to another user
	}
	for _, variable := range bytes.Split(raw, []byte{0}) {
		if tags[string(variable)] {
			return true
		}
	}
	return false
}

// Find returns the PIDs of the processes that have one of the tags ("NAME=value") in their environment, belong to one of the
// process groups, or descend from such a process. The calling process is never among them.
func Find(tags map[string]bool, groups map[int]bool) []int {
	own := os.Getpid()
	stats := map[int]procStat{}
	found := map[int]bool{}
	for _, pid := range listPIDs() {
		stat, err := readStat(pid)
		if err != nil || stat.isZombie {
			continue
		}
		stats[pid] = stat
		if pid != own && (groups[stat.group] || hasTag(pid, tags)) {
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

// addDescendants adds all descendants of the found processes, except the process with the PID own.
func addDescendants(found map[int]bool, stats map[int]procStat, own int) {
	for hasGrown := true; hasGrown; {
		hasGrown = false
		for pid, stat := range stats {
			if !found[pid] && pid != own && found[stat.parent] {
				found[pid], hasGrown = true, true
			}
		}
	}
}

// End kills the processes that Find returns until it returns none, and returns an EndError if some are left after the timeout.
// Each process is stopped before any is killed: otherwise one could fork faster than it is searched for. Children that it
// forked before it was stopped are found in the next search.
func End(tags map[string]bool, groups map[int]bool, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		pids := Find(tags, groups)
		if len(pids) == 0 {
			return nil
		}
		signalAll(pids, syscall.SIGSTOP)
		signalAll(pids, syscall.SIGKILL)
		if time.Now().After(deadline) {
			return &EndError{len(pids)}
		}
		time.Sleep(endInterval)
	}
}

func signalAll(pids []int, sig syscall.Signal) {
	for _, pid := range pids {
		if id, err := Identify(pid); err == nil {
			_ = id.Signal(sig) // it may have exited meanwhile; the next search finds out
		}
	}
}
