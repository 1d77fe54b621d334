package supervisor

import "os"

// maxLogBytes is the size above which the log of a process is rotated at its next start. One older log is kept.
const maxLogBytes = 16 << 20

// openLog opens the log of a process for appending. A log larger than maxLogBytes is first renamed to path.old, which it replaces.
func openLog(path string) (*os.File, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > maxLogBytes {
		if err := os.Rename(path, path+".old"); err != nil {
			return nil, err
		}
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
