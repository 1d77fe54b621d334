// Package process finds and ends processes of the operating system for certain. It owns nothing: a
// process is known by a variable of its environment (a mark), which its children inherit, and by the
// time at which it began, so that a number that was given out anew is never signalled.
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

// Identity is a process that cannot be taken for another one with the same number.
type Identity struct {
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"began"` // in ticks since the machine started
	BootID     string `json:"boot"`  // of the machine
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
	i := bytes.LastIndexByte(raw, ')')
	f := strings.Fields(string(raw[i+1:]))
	if i < 0 || len(f) < 20 {
		return procStat{}, fmt.Errorf("process %d: its state cannot be read", pid)
	}
	var stat procStat
	stat.isZombie = f[0] == "Z" || f[0] == "X"
	if stat.parent, err = strconv.Atoi(f[1]); err == nil {
		if stat.group, err = strconv.Atoi(f[2]); err == nil {
			stat.startTicks, err = strconv.ParseUint(f[19], 10, 64)
		}
	}
	return stat, err
}

// BootID names the present start of the machine.
func BootID() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

// Identify is the identity of a process that is there.
func Identify(pid int) (Identity, error) {
	s, err := readStat(pid)
	return Identity{pid, s.startTicks, BootID()}, err
}

// IsRunning reports whether the very process is there and not only waits to be read off.
func (id Identity) IsRunning() bool {
	s, err := readStat(id.PID)
	return err == nil && !s.isZombie && s.startTicks == id.StartTicks && id.BootID == BootID()
}

// Signal sends a signal to the process, if it is the very one.
func (id Identity) Signal(sig syscall.Signal) error {
	p, err := os.FindProcess(id.PID) // a handle: the number cannot change hands from here on
	if err != nil {
		return err
	}
	defer func() { _ = p.Release() }() // nothing to be done about it
	if !id.IsRunning() {
		return os.ErrProcessDone
	}
	return p.Signal(sig)
}

func listPIDs() []int {
	dir, err := os.Open("/proc")
	if err != nil {
		return nil
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return nil
	}
	var list []int
	for _, n := range names {
		if pid, err := strconv.Atoi(n); err == nil {
			list = append(list, pid)
		}
	}
	return list
}

// hasTag reports whether the process has one of the marks in the environment it was started with.
func hasTag(pid int, tags map[string]bool) bool {
	if len(tags) == 0 {
		return false
	}
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/environ")
	if err != nil {
		return false // it has ended, or is another user's
	}
	for _, v := range bytes.Split(raw, []byte{0}) {
		if tags[string(v)] {
			return true
		}
	}
	return false
}

// Find lists the processes that carry one of the marks ("NAME=value"), are in one of the groups, or
// descend from one that does or is, this process aside.
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
		if pid == own {
			continue
		}
		if groups[stat.group] || hasTag(pid, tags) {
			found[pid] = true
		}
	}
	for grown := true; grown; {
		grown = false
		for pid, stat := range stats {
			if !found[pid] && pid != own && found[stat.parent] {
				found[pid], grown = true, true
			}
		}
	}
	list := make([]int, 0, len(found))
	for pid := range found {
		list = append(list, pid)
	}
	return list
}

// End kills what Find finds, until it finds nothing. A process can fork faster than it is looked for:
// it is stopped first, and what it forked meanwhile is found the next time.
func End(tags map[string]bool, groups map[int]bool, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; {
		pids := Find(tags, groups)
		if len(pids) == 0 {
			return nil
		}
		for _, sig := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGKILL} {
			for _, pid := range pids {
				if id, err := Identify(pid); err == nil {
					_ = id.Signal(sig) // it may have ended by itself, or have been found by its group
				}
			}
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d processes cannot be ended", len(pids))
		}
		time.Sleep(2 * time.Millisecond)
	}
}
