// Package process identifies, finds and ends processes of the operating system. It holds no state. A process is found by a tag in its
// environment, which its children inherit, by its process group, or as a descendant of a found process. It is identified by its PID, its
// start time and the boot, so that a process with a reused PID is never signalled. docs/design/site.md explains why processes are found
// this way.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Indexes of fields of /proc/PID/stat, where 0 is the field after the command name; see proc(5).
const (
	statFieldState        = 0
	statFieldParent       = 1
	statFieldProcessGroup = 2
	statFieldStartTicks   = 19
	statFieldCount        = 20
)

// Identity identifies a process even if its PID is reused or the machine reboots. It is stored as JSON in records of running tasks and of
// the supervisor.
type Identity struct {
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"began"` // start time, in clock ticks since boot
	BootID     string `json:"boot"`  // the kernel's ID of the boot in which the process was started
}

// procStat holds the fields of /proc/PID/stat that are used here.
type procStat struct {
	parent, group int
	isZombie      bool
	startTicks    uint64
}

// UnreadableStatError is returned if /proc/PID/stat does not have the expected format.
type UnreadableStatError struct{ PID int }

// Error implements error.
func (e *UnreadableStatError) Error() string {
	return fmt.Sprintf("process %d: unexpected format of its stat file in /proc", e.PID)
}

func readStat(pid int) (procStat, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return procStat{}, fmt.Errorf("process %d: %w", pid, err)
	}
	// The command name is in parentheses and may itself contain spaces and parentheses.
	nameEnd := bytes.LastIndexByte(raw, ')')
	fields := strings.Fields(string(raw[nameEnd+1:]))
	if nameEnd < 0 || len(fields) < statFieldCount {
		return procStat{}, &UnreadableStatError{pid}
	}
	state := fields[statFieldState]
	stat := procStat{isZombie: state == "Z" || state == "X"}
	var parentErr, groupErr, startErr error
	stat.parent, parentErr = strconv.Atoi(fields[statFieldParent])
	stat.group, groupErr = strconv.Atoi(fields[statFieldProcessGroup])
	stat.startTicks, startErr = strconv.ParseUint(fields[statFieldStartTicks], 10, 64)
	if err := errors.Join(parentErr, groupErr, startErr); err != nil {
		return stat, fmt.Errorf("process %d: %w", pid, err)
	}
	return stat, nil
}

// bootID returns the kernel's ID of the current boot, or "" if it cannot be read.
func bootID() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}

// Identify returns the identity of the process with this PID. It returns an error if there is none.
func Identify(pid int) (Identity, error) {
	stat, err := readStat(pid)
	return Identity{pid, stat.startTicks, bootID()}, err
}

// IsRunning reports whether the process still exists and is not a zombie.
func (id Identity) IsRunning() bool {
	stat, err := readStat(id.PID)
	return err == nil && !stat.isZombie && stat.startTicks == id.StartTicks && id.BootID == bootID()
}

// Signal sends a signal to the process. It returns os.ErrProcessDone if the process is no longer running.
func (id Identity) Signal(sig syscall.Signal) error {
	// On Linux FindProcess opens a pidfd. The signal therefore cannot reach a process that gets the same PID after the check below.
	handle, err := os.FindProcess(id.PID)
	if err != nil {
		return fmt.Errorf("signal process %d: %w", id.PID, err)
	}
	defer func() { _ = handle.Release() }() // a failed release leaks at most a file descriptor
	if !id.IsRunning() {
		return os.ErrProcessDone
	}
	return handle.Signal(sig)
}
