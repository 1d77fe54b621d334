package agent

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

const (
	// tailBytes is the maximum size of Result.ErrorTail.
	tailBytes = 2048
	// exitNotFound is the exit status of a command that could not be started, as in a shell.
	exitNotFound = 127
	// exitSignal is added to the number of the signal that ended a command, as in a shell.
	exitSignal = 128
)

// attemptFiles are the directories and open files of an attempt.
type attemptFiles struct {
	job, index     string
	workDir        string // used by this attempt only
	checkpointDir  string // shared by all attempts of the task
	stdout, stderr *os.File
}

// openAttemptFiles creates the directories below dir and opens the output files. The directories belong to the credential's user, or
// to the worker's user if it is nil.
func openAttemptFiles(dir string, attempt attemptKey, credential *syscall.Credential) (*attemptFiles, error) {
	job, index, _ := strings.Cut(attempt.task, "/")
	files := &attemptFiles{
		job: job, index: index,
		workDir:       filepath.Join(dir, "work", job, index+"."+strconv.FormatUint(attempt.number, 10)),
		checkpointDir: filepath.Join(dir, "save", job, index),
	}
	for _, path := range []string{files.workDir, files.checkpointDir} {
		if err := os.MkdirAll(path, 0o755); err != nil {
			return nil, fmt.Errorf("create attempt directory: %w", err)
		}
		if credential == nil {
			continue
		}
		if err := os.Chown(path, int(credential.Uid), int(credential.Gid)); err != nil {
			return nil, fmt.Errorf("change owner of attempt directory: %w", err)
		}
	}
	var err error
	if files.stdout, err = os.Create(filepath.Join(files.workDir, "out.txt")); err != nil {
		return nil, fmt.Errorf("create attempt output file: %w", err)
	}
	if files.stderr, err = os.Create(filepath.Join(files.workDir, "err.txt")); err != nil {
		return nil, errors.Join(fmt.Errorf("create attempt output file: %w", err), files.stdout.Close())
	}
	return files, nil
}

func (f *attemptFiles) close() error { return errors.Join(f.stdout.Close(), f.stderr.Close()) }

// newCommand returns the command of the Spec for this attempt, with {task} replaced by the task's index. The tags come first in its
// environment. They identify the processes of the attempt.
func newCommand(spec *Spec, files *attemptFiles, tags ...string) *exec.Cmd {
	args := make([]string, len(spec.Command))
	for i, arg := range spec.Command {
		args[i] = strings.ReplaceAll(arg, "{task}", files.index)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = files.stdout, files.stderr
	cmd.Dir = files.workDir
	if spec.WorkingDir != "" {
		cmd.Dir = strings.ReplaceAll(spec.WorkingDir, "{task}", files.index)
	}
	cmd.Env = append([]string{}, tags...)
	cmd.Env = append(cmd.Env,
		"GULLRUDDER_JOB="+files.job, "GULLRUDDER_TASK="+files.index, "GULLRUDDER_SAVE="+files.checkpointDir,
		"PATH="+os.Getenv("PATH"), "HOME="+files.workDir, "LANG="+os.Getenv("LANG"))
	for name, value := range spec.Env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	return cmd
}

// exitStatus returns the exit status as a shell reports it: exitSignal plus the signal's number if a signal ended the command.
func exitStatus(exit *exec.ExitError) int {
	if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return exitSignal + int(status.Signal())
	}
	return exit.ExitCode()
}

// readTail returns the last tailBytes of a file as valid UTF-8, or "" if the file cannot be read.
func readTail(f *os.File) string {
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return ""
	}
	buf := make([]byte, min(size, tailBytes))
	n, err := f.ReadAt(buf, size-int64(len(buf)))
	if err != nil && !errors.Is(err, io.EOF) {
		return ""
	}
	return strings.ToValidUTF8(string(buf[:n]), "?")
}
