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
	// tailBytes is how much of a failed task's error output its result keeps.
	tailBytes = 2048
	// exitNotFound is the exit status of a command that could not be started, as a shell has it.
	exitNotFound = 127
	// exitSignal is added to the number of the signal that ended a command, as a shell does.
	exitSignal = 128
)

// attemptFiles are the directories and open files of an attempt.
type attemptFiles struct {
	job, index     string
	workDir        string // of this attempt alone
	checkpointDir  string // of all attempts of the task
	stdout, stderr *os.File
}

// openAttemptFiles makes the directories below dir and opens the output files. The directories belong to the credential's user; nil:
// to the worker's.
func openAttemptFiles(dir string, attempt attemptKey, credential *syscall.Credential) (*attemptFiles, error) {
	job, index, _ := strings.Cut(attempt.task, "/")
	files := &attemptFiles{
		job: job, index: index,
		workDir:       filepath.Join(dir, "work", job, index+"."+strconv.FormatUint(attempt.number, 10)),
		checkpointDir: filepath.Join(dir, "save", job, index),
	}
	for _, path := range []string{files.workDir, files.checkpointDir} {
		if err := os.MkdirAll(path, 0o755); err != nil {
			return nil, fmt.Errorf("attempt's directory: %w", err)
		}
		if credential == nil {
			continue
		}
		if err := os.Chown(path, int(credential.Uid), int(credential.Gid)); err != nil {
			return nil, fmt.Errorf("attempt's directory: %w", err)
		}
	}
	var err error
	if files.stdout, err = os.Create(filepath.Join(files.workDir, "out.txt")); err != nil {
		return nil, fmt.Errorf("attempt's output: %w", err)
	}
	if files.stderr, err = os.Create(filepath.Join(files.workDir, "err.txt")); err != nil {
		return nil, errors.Join(fmt.Errorf("attempt's output: %w", err), files.stdout.Close())
	}
	return files, nil
}

func (f *attemptFiles) close() error { return errors.Join(f.stdout.Close(), f.stderr.Close()) }

// newCommand returns the command of the Spec for this attempt. {task} stands for the task's index. The tags come first in its
// environment; by them the processes of the attempt are found.
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

// exitStatus returns the exit status as a shell has it.
func exitStatus(exit *exec.ExitError) int {
	if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return exitSignal + int(status.Signal())
	}
	return exit.ExitCode()
}

// readTail returns the end of a file, made valid UTF-8; empty if it cannot be read.
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
