// Package sitetest tests a whole site of real processes. It kills the processes while tasks run. The files that the tasks
// write show whether each task completed, and whether two attempts of a task ran at the same time.
package sitetest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gullrudder/internal/site/datadir"
	"gullrudder/internal/site/process"
)

// Run is the configuration of one test run.
type Run struct {
	Program string               // path of the gullrudder program
	Dir     string               // data directory for a new site; must not contain a site yet
	Tasks   int                  // number of tasks, which run 0.3 s each
	Seed    uint64               // of the order and times of the kills
	Log     func(string, ...any) // prints the progress in the manner of log.Printf; required
}

// Report is the result of a run.
type Report struct {
	FirstTaskAfter time.Duration // from the start of `up` until the first task ran
	AllDoneAfter   time.Duration // from the start of `up` until all tasks were done, with all kills and the restart
	Kills          int           // processes that were killed one at a time, before all were killed together
}

// processPatterns returns, for each kind of process of a site, the beginning of its arguments.
func processPatterns() []string {
	return []string{"worker --data", "pool --data", "serve --config", "state --data"}
}

// Execute starts a site and submits tasks. It kills each kind of process once and then all together, restarts the site and
// waits for the tasks. Then it drains and stops the site. It returns an error if a task is lost, two attempts of a task run
// at the same time, or a process of the site remains.
func (r Run) Execute() (report Report, err error) {
	taskDir, err := os.MkdirTemp("", "task-files")
	if err != nil {
		return report, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(taskDir)) }()
	supervisor, err := r.start()
	if err != nil {
		return report, err
	}
	// All processes of this run must end, even after an error.
	defer func() {
		if site, openErr := datadir.Open(r.Dir); openErr == nil {
			err = errors.Join(err, r.endRemaining(site))
		}
		_ = supervisor.Process.Kill() // it has already exited unless the run failed
		_ = supervisor.Wait()
	}()
	startedAt := time.Now()
	if err := r.submitTasks(taskDir); err != nil {
		return report, err
	}
	report.FirstTaskAfter = time.Since(startedAt)
	site, err := datadir.Open(r.Dir)
	if err != nil {
		return report, err
	}
	report.Kills = r.killProcesses(site, supervisor)
	if supervisor, err = r.start(); err != nil {
		return report, err
	}
	if err := r.waitUntil(func() bool { return r.jobState("job-1") == "done" }, 90*time.Second, "all tasks to complete"); err != nil {
		return report, err
	}
	report.AllDoneAfter = time.Since(startedAt)
	if err := r.checkTaskFiles(taskDir); err != nil {
		return report, err
	}
	return report, r.cancelAndDrain(site, taskDir)
}

// submitTasks submits a job whose tasks write files to a directory, and waits until the first task runs.
func (r Run) submitTasks(taskDir string) error {
	// A task holds a file lock while it runs. The kernel releases the lock even if the task is killed.
	script := "exec 9>" + taskDir + "/lock.{task}; flock -n 9 || { echo {task} >> " + taskDir + "/overlap; exit 9; }; : > " + taskDir +
		"/ran.{task}; sleep 0.3; : > " + taskDir + "/done.{task}"
	if err := r.command("submit", "--id", "job-1", "--tasks", strconv.Itoa(r.Tasks), "--cpus", "0.5", "--mem", "0.05",
		"--estimate", "1s", "--", "sh", "-c", script); err != nil {
		return err
	}
	return r.waitUntil(func() bool { return countFiles(taskDir, "ran.") > 0 }, 30*time.Second, "the first task to run")
}

// killProcesses kills each kind of process of the site once, in random order, and then all together. It returns how many
// processes were found and killed one at a time.
func (r Run) killProcesses(site *datadir.Site, supervisor *exec.Cmd) (kills int) {
	rng := rand.New(rand.NewPCG(r.Seed, 5))
	patterns := processPatterns()
	rng.Shuffle(len(patterns), func(i, j int) { patterns[i], patterns[j] = patterns[j], patterns[i] })
	for _, pattern := range patterns {
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		if r.killProcess(site, pattern) {
			kills++
		}
	}
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	_ = supervisor.Process.Kill() // killed first, so that it does not restart the other processes
	_ = supervisor.Wait()         // the error only says that it was killed
	for _, pattern := range patterns {
		r.killProcess(site, pattern)
	}
	return kills
}

// checkTaskFiles checks that every task has completed and that no two attempts of a task ran at the same time.
func (r Run) checkTaskFiles(taskDir string) error {
	if n := countFiles(taskDir, "done."); n != r.Tasks {
		return fmt.Errorf("job job-1 is done, but only %d of %d tasks wrote their done file", n, r.Tasks)
	}
	if _, err := os.Stat(filepath.Join(taskDir, "overlap")); err == nil {
		return errors.New("two attempts of a task ran at the same time")
	}
	return nil
}

// cancelAndDrain cancels a job whose tasks fork and ignore SIGTERM, and checks that all processes of the job end. Then it
// drains and stops the site.
func (r Run) cancelAndDrain(site *datadir.Site, taskDir string) error {
	script := "trap '' TERM; : > " + taskDir + "/stubborn.{task}; (setsid sleep 300 &) ; sleep 300"
	if err := r.command(
		"submit",
		"--id",
		"job-2",
		"--tasks",
		"2",
		"--cpus",
		"0.5",
		"--mem",
		"0.05",
		"--",
		"sh",
		"-c",
		script,
	); err != nil {
		return err
	}
	if err := r.waitUntil(
		func() bool { return countFiles(taskDir, "stubborn.") == 2 },
		30*time.Second,
		"the tasks that ignore SIGTERM to run",
	); err != nil {
		return err
	}
	if err := r.command("cancel", "job-2"); err != nil {
		return err
	}
	workerID, err := os.ReadFile(site.Path("worker", "id"))
	if err != nil {
		return err
	}
	environment := map[string]bool{"GULLRUDDER_WORKER=" + string(workerID): true}
	if err := r.waitUntil(
		func() bool { return len(process.Find(environment, nil)) == 0 },
		15*time.Second,
		"the processes of the cancelled job to end",
	); err != nil {
		return err
	}
	for _, args := range [][]string{{"drain", "--wait"}, {"undrain"}, {"down"}} {
		if err := r.command(args...); err != nil {
			return err
		}
	}
	return nil
}

func (r Run) start() (*exec.Cmd, error) {
	cmd := exec.Command(r.Program, "up", "--data", r.Dir, "--as", "root", "--cpus", "4", "--mem", "4")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd, cmd.Start()
}

// command runs a gullrudder command on the site. The error contains the command's output.
func (r Run) command(args ...string) error {
	out, err := r.output(args...)
	if err != nil {
		return fmt.Errorf("gullrudder %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

func (r Run) output(args ...string) (string, error) {
	cmd := exec.Command(r.Program, append([]string{args[0], "--data", r.Dir}, args[1:]...)...)
	if err := r.waitUntil(
		func() bool { _, err := datadir.Open(r.Dir); return err == nil },
		10*time.Second,
		"the data directory of the site to exist",
	); err != nil {
		return "", err
	}
	timer := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (r Run) jobState(job string) string {
	out, err := r.output("show", job)
	lines := strings.Split(out, "\n")
	if err != nil || len(lines) < 2 {
		return ""
	}
	fields := strings.Fields(lines[1])
	if len(fields) < 2 {
		return ""
	}
	return fields[1]
}

// killProcess sends SIGKILL to one process of the site whose arguments match the pattern. It reports whether there was one.
func (r Run) killProcess(site *datadir.Site, pattern string) bool {
	for _, pid := range process.Find(map[string]bool{"GULLRUDDER_SITE=" + site.ID: true}, nil) {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
		if err != nil || !strings.Contains(strings.ReplaceAll(string(raw), "\x00", " "), " "+pattern) {
			continue
		}
		if id, err := process.Identify(pid); err == nil && id.Signal(syscall.SIGKILL) == nil {
			r.Log("killed %s", pattern)
			return true
		}
	}
	return false
}

// endRemaining ends the remaining processes of the site and its tasks. It returns an error if there were any.
func (r Run) endRemaining(site *datadir.Site) error {
	environment := map[string]bool{"GULLRUDDER_SITE=" + site.ID: true}
	if raw, err := os.ReadFile(site.Path("worker", "id")); err == nil {
		environment["GULLRUDDER_WORKER="+string(raw)] = true
	}
	list := process.Find(environment, nil)
	if len(list) == 0 {
		return nil
	}
	_ = process.End(environment, nil, 5*time.Second) // the run fails in any case, with the error below
	return fmt.Errorf("%d processes of the site or its tasks remained after the run", len(list))
}

func (r Run) waitUntil(condition func() bool, timeout time.Duration, description string) error {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v waiting for %s", timeout, description)
		}
	}
	return nil
}

func countFiles(dir, prefix string) int {
	list, err := filepath.Glob(filepath.Join(dir, prefix+"*"))
	if err != nil {
		return 0
	}
	return len(list)
}
