package datadir

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"

	"gullrudder/internal/site/process"
)

// Lock locks the site for one supervisor. The lock is held until the returned file is closed or the process exits. Lock returns an error
// at once if another process holds it.
func (s *Site) Lock() (*os.File, error) {
	file, err := os.OpenFile(s.Path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("site %s is already up: %w", s.dir, err), file.Close())
	}
	return file, nil
}

// RunningSupervisor returns the process that was recorded as supervisor of the site, and whether it is running.
func (s *Site) RunningSupervisor() (process.Identity, bool) {
	var id process.Identity
	raw, err := os.ReadFile(s.supervisorFile())
	if err != nil || json.Unmarshal(raw, &id) != nil {
		return id, false
	}
	return id, id.IsRunning()
}

// RecordSupervisor records that the calling process supervises the site. The caller must hold the lock.
func (s *Site) RecordSupervisor() error {
	id, err := process.Identify(os.Getpid())
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return replaceFile(s.supervisorFile(), encoded)
}
