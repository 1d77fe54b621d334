package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gullrudder/internal/site/process"

	"golang.org/x/sys/unix"
)

const (
	// tailBytes is how much of a failed task's error output its result keeps.
	tailBytes = 2048
	// mostOutput bounds what a task may write into one file, its outputs too.
	mostOutput = 1 << 30
	// mostFiles is how many files a task may have open.
	mostFiles = 1024
	// nice is how far tasks stand back behind the appliance itself.
	nice = 5
	// endWithin is how long processes that do not end are looked after before that is told.
	endWithin = 5 * time.Second
)

// Runner runs tasks as processes: each in a session of its own, marked in its environment, with a
// record on disk as long as it runs, so that a successor ends what is left. It owns the processes and
// the directories of the attempts.
type Runner struct {
	dir     string
	mark    string // of all tasks of this worker
	results *results
	as      *syscall.Credential
	log     *slog.Logger
	ended   func(e Ended, failed bool) // failed: the pool is to be told of its result

	mu    sync.Mutex
	procs map[attemptKey]*taskProcess
	sweep chan *taskProcess
}

// taskProcess is a task's, from its launch until nothing of it is left.
type taskProcess struct {
	attemptKey
	desc    *Spec
	group   int
	stopped bool // it was told to stop
	killed  bool
	gone    chan struct{} // closed when nothing is left
}

// newRunner ends what an earlier process of this worker has left, and makes a new one.
func newRunner(dir string, as *syscall.Credential, log *slog.Logger, ended func(e Ended, failed bool)) (*Runner, error) {
	r := &Runner{dir: dir, as: as, log: log, ended: ended, procs: map[attemptKey]*taskProcess{}, sweep: make(chan *taskProcess, 1024)}
	for _, sub := range []string{"running", "work", "save"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, fmt.Errorf("worker's directory: %w", err)
		}
	}
	id, err := identity(filepath.Join(dir, "id"))
	if err != nil {
		return nil, err
	}
	r.mark = "GULLRUDDER_WORKER=" + id
	// The database is locked: two processes of one worker would end each other's tasks.
	if r.results, err = openResults(filepath.Join(dir, "results.db")); err != nil {
		return nil, err
	}
	if err := r.endLeft(); err != nil {
		return nil, err
	}
	go r.sweeper()
	return r, nil
}

// endLeft ends the tasks of an earlier process: by their marks, and by their records where a task has
// cleared its environment.
func (r *Runner) endLeft() error {
	records, err := filepath.Glob(filepath.Join(r.dir, "running", "*"))
	if err != nil {
		return err
	}
	groups := map[int]bool{}
	for _, path := range records {
		var id process.Identity
		if raw, err := os.ReadFile(path); err == nil && json.Unmarshal(raw, &id) == nil && id.Alive() {
			groups[id.PID] = true
		}
	}
	if err := process.End(map[string]bool{r.mark: true}, groups, endWithin); err != nil {
		return fmt.Errorf("tasks of an earlier process: %w", err)
	}
	for _, path := range records {
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	return nil
}

func (k attemptKey) file() string {
	return strings.ReplaceAll(k.task, "/", ".") + "." + strconv.FormatUint(k.number, 10)
}

func (k attemptKey) mark() string { return fmt.Sprintf("GULLRUDDER_ATTEMPT=%s#%d", k.task, k.number) }

// Launch starts a task; what becomes of it is told through ended.
func (r *Runner) Launch(l Launch) {
	p := &taskProcess{attemptKey: attemptKey{l.Task, l.Attempt}, desc: l.Spec, gone: make(chan struct{})}
	r.mu.Lock()
	r.procs[p.attemptKey] = p
	r.mu.Unlock()
	go r.run(p)
}

// run takes a task from its start to its end, with the repetitions that its user allows.
func (r *Runner) run(p *taskProcess) {
	var res Result
	var err error
	for try := 0; ; try++ {
		res, err = r.once(p)
		if err != nil || res.Exit == 0 || try >= p.desc.Retries || r.wasStopped(p) {
			break
		}
	}
	r.sweep <- p
	<-p.gone
	e := Ended{Task: p.task, Attempt: p.number}
	r.mu.Lock()
	stopped, killed := p.stopped, p.killed
	delete(r.procs, p.attemptKey)
	r.mu.Unlock()
	switch {
	case err == nil && stopped && (!killed || res.Exit > 128 || p.group == 0):
		// What ends by itself in the time that it had has saved: it goes on from there another time.
		e.Stopped, e.CheckpointSaved = true, !killed
	case err == nil:
		err = r.results.keep(res)
	}
	if err != nil {
		r.log.Error("a task could not be run, or its result not be kept", "task", p.task, "attempt", p.number, "error", err)
		e.Failed = true
	}
	if err := os.Remove(filepath.Join(r.dir, "running", p.file())); err != nil && !errors.Is(err, os.ErrNotExist) {
		r.log.Error("a record of a task stays", "task", p.task, "error", err)
	}
	r.ended(e, !e.Stopped && !e.Failed && res.Exit != 0)
}

func (r *Runner) wasStopped(p *taskProcess) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.stopped
}

// once runs the command. An error is this machine's fault; the user's are in the result.
func (r *Runner) once(p *taskProcess) (Result, error) {
	job, num, _ := strings.Cut(p.task, "/")
	res := Result{Task: p.task, Attempt: p.number, Began: time.Now()}
	home := filepath.Join(r.dir, "work", job, num+"."+strconv.FormatUint(p.number, 10))
	save := filepath.Join(r.dir, "save", job, num)
	for _, dir := range []string{home, save} {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return res, err
		}
		if r.as != nil {
			if err := os.Chown(dir, int(r.as.Uid), int(r.as.Gid)); err != nil {
				return res, err
			}
		}
	}
	out, err := os.Create(filepath.Join(home, "out.txt"))
	if err != nil {
		return res, err
	}
	defer out.Close()
	errs, err := os.Create(filepath.Join(home, "err.txt"))
	if err != nil {
		return res, err
	}
	defer errs.Close()
	args := make([]string, len(p.desc.Command))
	for i, a := range p.desc.Command {
		args[i] = strings.ReplaceAll(a, "{task}", num)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = out, errs
	cmd.Dir = home
	if p.desc.WorkingDir != "" {
		cmd.Dir = strings.ReplaceAll(p.desc.WorkingDir, "{task}", num)
	}
	cmd.Env = []string{
		r.mark, p.mark(), "GULLRUDDER_JOB=" + job, "GULLRUDDER_TASK=" + num, "GULLRUDDER_SAVE=" + save,
		"PATH=" + os.Getenv("PATH"), "HOME=" + home, "LANG=" + os.Getenv("LANG"),
	}
	for k, v := range p.desc.Env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true, Credential: r.as}
	if err := r.start(p, cmd); err != nil {
		// The directory or the program is not there: so it would be anywhere.
		res.Exit, res.Reason, res.Finished = 127, err.Error(), time.Now()
		return res, nil
	}
	err = cmd.Wait()
	res.Finished = time.Now()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit):
		res.Exit, res.Reason = exit.ExitCode(), exit.Error()
		if ws, ok := exit.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
			res.Exit = 128 + int(ws.Signal())
		}
		res.Tail = tail(errs)
	default:
		return res, err
	}
	return res, nil
}

// start starts the command with its limits and writes its record. A task that was stopped before it
// started is not started at all.
func (r *Runner) start(p *taskProcess, cmd *exec.Cmd) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.stopped {
		return errors.New("stopped before its start")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.group = cmd.Process.Pid
	id, err := process.Identify(p.group)
	if err != nil {
		r.log.Debug("a task ended at once", "task", p.task)
		return nil
	}
	raw, err := json.Marshal(id)
	if err == nil {
		err = os.WriteFile(filepath.Join(r.dir, "running", p.file()), raw, 0o600)
	}
	if err != nil { // its mark is there still
		r.log.Error("a task runs without a record", "task", p.task, "error", err)
	}
	limits := map[int]uint64{unix.RLIMIT_CORE: 0, unix.RLIMIT_NOFILE: mostFiles, unix.RLIMIT_FSIZE: mostOutput}
	if p.desc.MemoryGB > 0 {
		limits[unix.RLIMIT_DATA] = uint64(p.desc.MemoryGB * (1 << 30))
	}
	for which, most := range limits {
		if err := unix.Prlimit(p.group, which, &unix.Rlimit{Cur: most, Max: most}, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			r.log.Error("a limit of a task is not set", "task", p.task, "limit", which, "error", err)
		}
	}
	if err := unix.Setpriority(unix.PRIO_PROCESS, p.group, nice); err != nil && !errors.Is(err, unix.ESRCH) {
		r.log.Debug("a task is not set back", "task", p.task, "error", err)
	}
	return nil
}

// Stop has a task save and end, or ends it at once.
func (r *Runner) Stop(s Stop) {
	r.mu.Lock()
	p := r.procs[attemptKey{s.Task, s.Attempt}]
	if p == nil {
		r.mu.Unlock()
		return
	}
	p.stopped = true
	p.killed = p.killed || s.Grace <= 0
	group := p.group
	r.mu.Unlock()
	if group == 0 {
		return // it is not started any more
	}
	if s.Grace <= 0 {
		r.signal(group, syscall.SIGKILL)
		return
	}
	r.signal(group, syscall.SIGTERM)
	time.AfterFunc(s.Grace, func() {
		r.mu.Lock()
		still := r.procs[p.attemptKey] == p
		p.killed = p.killed || still
		r.mu.Unlock()
		if still {
			r.signal(group, syscall.SIGKILL)
		}
	})
}

// signal reaches the whole group. Its number stays taken as long as we have not read off its leader,
// and after that only if a process of the group is left.
func (r *Runner) signal(group int, sig syscall.Signal) {
	if err := syscall.Kill(-group, sig); err != nil && !errors.Is(err, syscall.ESRCH) {
		r.log.Error("a task's processes cannot be signalled", "group", group, "error", err)
	}
}

// sweeper ends what tasks leave behind when their first process has ended: of all that ended since the
// last sweep at once, since a look at all processes costs some milliseconds.
func (r *Runner) sweeper() {
	for p := range r.sweep {
		batch := []*taskProcess{p}
		time.Sleep(20 * time.Millisecond)
		for more := true; more; {
			select {
			case q := <-r.sweep:
				batch = append(batch, q)
			default:
				more = false
			}
		}
		marks, groups := map[string]bool{}, map[int]bool{}
		for _, q := range batch {
			marks[q.mark()] = true
			if q.group > 0 {
				groups[q.group] = true
			}
		}
		for process.End(marks, groups, endWithin) != nil {
			r.log.Error("processes of tasks that ended cannot be ended, and are tried again", "tasks", len(batch))
		}
		for _, q := range batch {
			close(q.gone)
		}
	}
}

// Clear ends all tasks and returns when nothing of them is left. They are told about as ended, to an
// owner that has forgotten them.
func (r *Runner) Clear() {
	r.mu.Lock()
	var list []*taskProcess
	groups := map[int]bool{}
	for _, p := range r.procs {
		p.stopped, p.killed = true, true
		list = append(list, p)
		if p.group > 0 {
			groups[p.group] = true
		}
	}
	r.mu.Unlock()
	for group := range groups {
		r.signal(group, syscall.SIGKILL)
	}
	for process.End(map[string]bool{r.mark: true}, groups, endWithin) != nil {
		r.log.Error("tasks cannot be ended, and are tried again", "tasks", len(list))
	}
	for _, p := range list {
		<-p.gone
	}
}

func tail(f *os.File) string {
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
