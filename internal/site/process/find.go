package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// endInterval is the pause between two searches of End: long enough for killed processes to exit.
const endInterval = 2 * time.Millisecond

// EndError is returned by End if processes are still running after the timeout. Count is their number.
type EndError struct{ Count int }

// Error implements error.
func (e *EndError) Error() string {
	return fmt.Sprintf("%d processes still running after the timeout", e.Count)
}

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

// hasTag reports whether the process was started with one of the tags in its environment.
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
// process groups, or descend from such a process. It never returns the calling process or zombies.
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

// End kills the processes that Find returns, and repeats this until Find returns none. It returns an EndError if processes are left after
// the timeout. All found processes are stopped (SIGSTOP) before any is killed: otherwise a process could fork faster than the search finds
// its children. The next search finds children that were forked before their parent was stopped.
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
			_ = id.Signal(sig) // fails if it has exited meanwhile; the next search skips it
		}
	}
}
