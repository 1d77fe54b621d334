package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/process"

	"golang.org/x/sys/unix"
)

const (
	// maxOutputBytes bounds the size of each file that a task writes, including its output.
	maxOutputBytes = 1 << 30
	// maxOpenFiles is the number of files that a task may have open.
	maxOpenFiles = 1024
	// taskNiceness is the niceness of tasks. It gives the site's own processes priority.
	taskNiceness = 5
	// endTimeout is how long processes may take to end before an error is logged and they are killed again.
	endTimeout = 5 * time.Second
	// exitedQueueSize is how many exited processes may wait for cleanup before their goroutines block.
	exitedQueueSize = 1024
)

// Runner runs attempts as processes. Each has a session of its own, a tag in its environment and a record on disk while it runs, so that
// a later worker process can end leftover processes. Runner owns the processes and the directories of the attempts. Its methods may be
// called from any goroutine.
type Runner struct {
	dir        string
	workerTag  string // in the environment of all tasks of this worker
	results    *results
	credential *syscall.Credential
	log        *slog.Logger
	onEnded    func(ended Ended, hasFailed bool) // hasFailed: a failure is to be reported to the machine pool

	mu        sync.Mutex
	processes map[attemptKey]*taskProcess
	exited    chan *taskProcess // waiting for cleanup
}

// taskProcess is the process of an attempt. It exists from the launch until no process of the attempt is left.
type taskProcess struct {
	attemptKey
	spec         *Spec
	processGroup int           // 0: not started
	isStopped    bool          // a stop was requested
	isKilled     bool          // it was killed, at once or after its time to save a checkpoint
	ended        chan struct{} // closed when no process of the attempt is left
}

// newRunner returns a Runner, after ending the tasks that an earlier process of this worker left running. It fails if another worker
// uses dir.
func newRunner(
	dir string, credential *syscall.Credential, log *slog.Logger, onEnded func(ended Ended, hasFailed bool),
) (*Runner, error) {
	r := &Runner{
		dir: dir, credential: credential, log: log, onEnded: onEnded,
		processes: map[attemptKey]*taskProcess{}, exited: make(chan *taskProcess, exitedQueueSize),
	}
	for _, sub := range []string{"running", "work", "save"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, fmt.Errorf("create worker directory: %w", err)
		}
	}
	id, err := loadOrCreateWorkerID(filepath.Join(dir, "id"))
	if err != nil {
		return nil, err
	}
	r.workerTag = "GULLRUDDER_WORKER=" + id
	// The database is locked, since two processes of one worker would end each other's tasks.
	if r.results, err = openResults(filepath.Join(dir, "results.db")); err != nil {
		return nil, err
	}
	if err := r.endLeftoverProcesses(); err != nil {
		return nil, err
	}
	go r.cleanUpExited()
	return r, nil
}

// recordName returns the name of the file that records the process of an attempt.
func (k attemptKey) recordName() string {
	return strings.ReplaceAll(k.task, "/", ".") + "." + strconv.FormatUint(k.number, 10)
}

// processTag returns the environment variable that identifies the processes of an attempt.
func (k attemptKey) processTag() string {
	return fmt.Sprintf("GULLRUDDER_ATTEMPT=%s#%d", k.task, k.number)
}

// Launch starts an attempt and returns at once. onEnded is called once none of its processes is left.
func (r *Runner) Launch(launch Launch) {
	child := &taskProcess{attemptKey: attemptKey{launch.Task, launch.Attempt}, spec: launch.Spec, ended: make(chan struct{})}
	r.mu.Lock()
	r.processes[child.attemptKey] = child
	r.mu.Unlock()
	go r.run(child)
}

// run runs an attempt to its end, with the retries that its Spec allows, and stores the result.
func (r *Runner) run(child *taskProcess) {
	var result Result
	var err error
	for try := 0; ; try++ {
		result, err = r.runOnce(child)
		if err != nil || result.Exit == 0 || try >= child.spec.Retries || r.wasStopped(child) {
			break
		}
	}
	r.exited <- child
	<-child.ended
	ended := Ended{Task: child.task, Attempt: child.number}
	r.mu.Lock()
	stopped, killed := child.isStopped, child.isKilled
	delete(r.processes, child.attemptKey)
	r.mu.Unlock()
	switch {
	case err == nil && stopped && (!killed || result.Exit > exitSignal || child.processGroup == 0):
		// An attempt that exited by itself in time has saved a checkpoint, from which the next attempt resumes.
		ended.Stopped, ended.CheckpointSaved = true, !killed
	case err == nil:
		err = r.results.store(result)
	}
	if err != nil {
		r.log.Error("attempt failed on this machine", logkeys.Task, child.task, logkeys.Attempt, child.number, logkeys.Err, err)
		ended.Failed = true
	}
	if err := os.Remove(filepath.Join(r.dir, "running", child.recordName())); err != nil && !errors.Is(err, os.ErrNotExist) {
		r.log.Error("task record not removed", logkeys.Task, child.task, logkeys.Err, err)
	}
	r.onEnded(ended, !ended.Stopped && !ended.Failed && result.Exit != 0)
}

func (r *Runner) wasStopped(child *taskProcess) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return child.isStopped
}

// runOnce runs the command and waits for its exit. An error is a failure of this machine. Failures of the command are in the result.
func (r *Runner) runOnce(child *taskProcess) (Result, error) {
	result := Result{Task: child.task, Attempt: child.number, StartedAt: time.Now()}
	files, err := openAttemptFiles(r.dir, child.attemptKey, r.credential)
	if err != nil {
		return result, err
	}
	defer func() {
		if err := files.close(); err != nil {
			r.log.Error("attempt output not closed", logkeys.Task, child.task, logkeys.Attempt, child.number, logkeys.Err, err)
		}
	}()
	cmd := newCommand(child.spec, files, r.workerTag, child.processTag())
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true, Credential: r.credential}
	if err := r.start(child, cmd); err != nil {
		// The directory or the program does not exist. This would fail on any machine.
		result.Exit, result.Reason, result.FinishedAt = exitNotFound, err.Error(), time.Now()
		return result, nil
	}
	err = cmd.Wait()
	result.FinishedAt = time.Now()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		result.Exit, result.Reason = exitStatus(exit), exit.Error()
		result.ErrorTail = readTail(files.stderr)
		return result, nil
	}
	return result, err
}

// start starts the command, writes its record and sets its limits. It returns an error if the attempt was stopped before.
func (r *Runner) start(child *taskProcess, cmd *exec.Cmd) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if child.isStopped {
		return errors.New("stopped before its start")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	child.processGroup = cmd.Process.Pid
	id, err := process.Identify(child.processGroup)
	if err != nil {
		r.log.Debug("task exited at once", logkeys.Task, child.task)
		return nil
	}
	raw, err := json.Marshal(id)
	if err == nil {
		err = os.WriteFile(filepath.Join(r.dir, "running", child.recordName()), raw, 0o600)
	}
	if err != nil { // not fatal: a later worker process finds the task by its tag
		r.log.Error("task record not written", logkeys.Task, child.task, logkeys.Err, err)
	}
	r.setLimits(child)
	return nil
}

// setLimits sets the resource limits and the niceness of an attempt's process.
func (r *Runner) setLimits(child *taskProcess) {
	limits := map[int]uint64{unix.RLIMIT_CORE: 0, unix.RLIMIT_NOFILE: maxOpenFiles, unix.RLIMIT_FSIZE: maxOutputBytes}
	if child.spec.MemoryGB > 0 {
		limits[unix.RLIMIT_DATA] = uint64(child.spec.MemoryGB * (1 << 30))
	}
	for resource, limit := range limits {
		err := unix.Prlimit(child.processGroup, resource, &unix.Rlimit{Cur: limit, Max: limit}, nil)
		if err != nil && !errors.Is(err, unix.ESRCH) {
			r.log.Error("task limit not set", logkeys.Task, child.task, logkeys.Limit, resource, logkeys.Err, err)
		}
	}
	if err := unix.Setpriority(unix.PRIO_PROCESS, child.processGroup, taskNiceness); err != nil && !errors.Is(err, unix.ESRCH) {
		r.log.Debug("task niceness not set", logkeys.Task, child.task, logkeys.Err, err)
	}
}

// Stop sends SIGTERM, so that the attempt saves a checkpoint and exits, and kills the attempt after stop.Grace. If Grace is 0, it kills the
// attempt immediately.
func (r *Runner) Stop(stop Stop) {
	r.mu.Lock()
	child := r.processes[attemptKey{stop.Task, stop.Attempt}]
	if child == nil {
		r.mu.Unlock()
		return
	}
	child.isStopped = true
	child.isKilled = child.isKilled || stop.Grace <= 0
	group := child.processGroup
	r.mu.Unlock()
	if group == 0 {
		return // start checks isStopped and does not start it
	}
	if stop.Grace <= 0 {
		r.signal(group, syscall.SIGKILL)
		return
	}
	r.signal(group, syscall.SIGTERM)
	time.AfterFunc(stop.Grace, func() {
		r.mu.Lock()
		isStillRunning := r.processes[child.attemptKey] == child
		child.isKilled = child.isKilled || isStillRunning
		r.mu.Unlock()
		if isStillRunning {
			r.signal(group, syscall.SIGKILL)
		}
	})
}

// signal sends a signal to the whole process group. The ID of a group is not reused until its leader has been waited for and no process
// of the group is left.
func (r *Runner) signal(group int, sig syscall.Signal) {
	if err := syscall.Kill(-group, sig); err != nil && !errors.Is(err, syscall.ESRCH) {
		r.log.Error("signalling of task processes failed", logkeys.ProcessGroup, group, logkeys.Err, err)
	}
}
