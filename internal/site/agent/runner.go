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
	// maxOutputBytes bounds each file that a task writes, its output included.
	maxOutputBytes = 1 << 30
	// maxOpenFiles is how many files a task may have open.
	maxOpenFiles = 1024
	// taskNiceness is the niceness of tasks, so that the own processes of the site go first.
	taskNiceness = 5
	// endTimeout is how long processes may take to end before that is logged and they are killed again.
	endTimeout = 5 * time.Second
	// exitedBuffer is how many exited processes may wait to be cleaned up before their goroutines block.
	exitedBuffer = 1024
)

// Runner runs attempts as processes: each in a session of its own, tagged in its environment, and with a record on disk as long as it
// runs, so that a later worker process can end what is left. It owns the processes and the directories of the attempts. Its methods
// may be called from any goroutine.
type Runner struct {
	dir        string
	workerTag  string // in the environment of all tasks of this worker
	results    *results
	credential *syscall.Credential
	log        *slog.Logger
	onEnded    func(ended Ended, hasFailed bool) // hasFailed: there is a result to report to the pool

	mu        sync.Mutex
	processes map[attemptKey]*taskProcess
	exited    chan *taskProcess // to be cleaned up
}

// taskProcess is the process of an attempt, from its launch until nothing of it is left.
type taskProcess struct {
	attemptKey
	spec         *Spec
	processGroup int           // 0: not started
	isStopped    bool          // a stop was requested
	isKilled     bool          // without time to save a checkpoint, or after that time
	ended        chan struct{} // closed when nothing is left
}

// newRunner ends what an earlier process of this worker left and returns a Runner. dir must not be in use by another worker.
func newRunner(
	dir string, credential *syscall.Credential, log *slog.Logger, onEnded func(ended Ended, hasFailed bool),
) (*Runner, error) {
	r := &Runner{
		dir: dir, credential: credential, log: log, onEnded: onEnded,
		processes: map[attemptKey]*taskProcess{}, exited: make(chan *taskProcess, exitedBuffer),
	}
	for _, sub := range []string{"running", "work", "save"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, fmt.Errorf("worker's directory: %w", err)
		}
	}
	id, err := identity(filepath.Join(dir, "id"))
	if err != nil {
		return nil, err
	}
	r.workerTag = "GULLRUDDER_WORKER=" + id
	// The database is locked, since two processes of one worker would end each other's tasks.
	if r.results, err = openResults(filepath.Join(dir, "results.db")); err != nil {
		return nil, err
	}
	if err := r.endLeftProcesses(); err != nil {
		return nil, err
	}
	go r.cleanUpExited()
	return r, nil
}

// recordName is the name of the file that records the process of an attempt.
func (k attemptKey) recordName() string {
	return strings.ReplaceAll(k.task, "/", ".") + "." + strconv.FormatUint(k.number, 10)
}

// processTag is the variable in the environment of an attempt's processes by which they are found.
func (k attemptKey) processTag() string {
	return fmt.Sprintf("GULLRUDDER_ATTEMPT=%s#%d", k.task, k.number)
}

// Launch starts an attempt. onEnded is called once nothing of it is left.
func (r *Runner) Launch(launch Launch) {
	child := &taskProcess{attemptKey: attemptKey{launch.Task, launch.Attempt}, spec: launch.Spec, ended: make(chan struct{})}
	r.mu.Lock()
	r.processes[child.attemptKey] = child
	r.mu.Unlock()
	go r.run(child)
}

// run takes an attempt from its start to its end, with the retries that its Spec allows.
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
		// An attempt that exited by itself within its time has saved a checkpoint, from which another one resumes.
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

// runOnce runs the command and waits for its exit. An error is this machine's fault; the user's faults are in the result.
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
		// The directory or the program does not exist, which would be so on any machine.
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

// start starts the command with its limits and writes its record. An attempt that was stopped before is not started.
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
	if err != nil { // a later worker process finds it by its tag
		r.log.Error("task record not written", logkeys.Task, child.task, logkeys.Err, err)
	}
	r.setLimits(child)
	return nil
}

// setLimits limits what the process of an attempt may use.
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

// Stop has an attempt save a checkpoint and exit within stop.Grace, or kills it at once.
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
		return // and start does not start it
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

// signal signals the whole process group. Its ID cannot be reused before its leader was waited for, nor as long as a process of the
// group is left.
func (r *Runner) signal(group int, sig syscall.Signal) {
	if err := syscall.Kill(-group, sig); err != nil && !errors.Is(err, syscall.ESRCH) {
		r.log.Error("signalling of task processes failed", logkeys.ProcessGroup, group, logkeys.Err, err)
	}
}
