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
	PID   int    `json:"pid"`
	Began uint64 `json:"began"` // in ticks since the machine started
	Boot  string `json:"boot"`  // of the machine
}

// stat is what is read of a process.
type stat struct {
	parent, group int
	zombie        bool
	began         uint64
}

func read(pid int) (stat, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return stat{}, fmt.Errorf("process %d: %w", pid, err)
	}
	// The name is in brackets and may hold anything.
	i := bytes.LastIndexByte(raw, ')')
	f := strings.Fields(string(raw[i+1:]))
	if i < 0 || len(f) < 20 {
		return stat{}, fmt.Errorf("process %d: its state cannot be read", pid)
	}
	var s stat
	s.zombie = f[0] == "Z" || f[0] == "X"
	if s.parent, err = strconv.Atoi(f[1]); err == nil {
		if s.group, err = strconv.Atoi(f[2]); err == nil {
			s.began, err = strconv.ParseUint(f[19], 10, 64)
		}
	}
	return s, err
}

// Boot names the present start of the machine.
func Boot() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

// Identify is the identity of a process that is there.
func Identify(pid int) (Identity, error) {
	s, err := read(pid)
	return Identity{pid, s.began, Boot()}, err
}

// Alive reports whether the very process is there and not only waits to be read off.
func (id Identity) Alive() bool {
	s, err := read(id.PID)
	return err == nil && !s.zombie && s.began == id.Began && id.Boot == Boot()
}

// Signal sends a signal to the process, if it is the very one.
func (id Identity) Signal(sig syscall.Signal) error {
	p, err := os.FindProcess(id.PID) // a handle: the number cannot change hands from here on
	if err != nil {
		return err
	}
	defer func() { _ = p.Release() }() // nothing to be done about it
	if !id.Alive() {
		return os.ErrProcessDone
	}
	return p.Signal(sig)
}

func all() []int {
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

// carries reports whether the process has one of the marks in the environment it was started with.
func carries(pid int, marks map[string]bool) bool {
	if len(marks) == 0 {
		return false
	}
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/environ")
	if err != nil {
		return false // it has ended, or is another user's
	}
	for _, v := range bytes.Split(raw, []byte{0}) {
		if marks[string(v)] {
			return true
		}
	}
	return false
}

// Find lists the processes that carry one of the marks ("NAME=value"), are in one of the groups, or
// descend from one that does or is, this process aside.
func Find(marks map[string]bool, groups map[int]bool) []int {
	own := os.Getpid()
	stats := map[int]stat{}
	found := map[int]bool{}
	for _, pid := range all() {
		s, err := read(pid)
		if err != nil || s.zombie {
			continue
		}
		stats[pid] = s
		if pid == own {
			continue
		}
		if groups[s.group] || carries(pid, marks) {
			found[pid] = true
		}
	}
	for more := true; more; {
		more = false
		for pid, s := range stats {
			if !found[pid] && pid != own && found[s.parent] {
				found[pid], more = true, true
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
func End(marks map[string]bool, groups map[int]bool, within time.Duration) error {
	for end := time.Now().Add(within); ; {
		list := Find(marks, groups)
		if len(list) == 0 {
			return nil
		}
		for _, sig := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGKILL} {
			for _, pid := range list {
				if id, err := Identify(pid); err == nil {
					_ = id.Signal(sig) // it may have ended by itself, or have been found by its group
				}
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d processes cannot be ended", len(list))
		}
		time.Sleep(2 * time.Millisecond)
	}
}
