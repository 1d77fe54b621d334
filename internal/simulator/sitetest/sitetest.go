// Package sitetest tests a whole site of real processes: tasks run while its processes are killed, and
// the files that they leave show whether each completed and no two attempts of one ran at the same time.
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
	Program string // path of gullrudder
	Dir     string // data directory of the site, which must not exist yet
	Tasks   int
	Seed    uint64
	Log     func(string, ...any)
}

// Report is the result of a run.
type Report struct {
	FirstTaskAfter time.Duration // from the start of `up` until the first task ran
	AllDoneAfter   time.Duration // from the start of `up` until all tasks were done, kills included
	Kills          int
}

// siteParts are the processes of a site, by the beginning of their arguments.
func siteParts() []string {
	return []string{"worker --data", "pool --data", "serve --config", "state --data"}
}

// Execute starts a site, kills each of its processes once while tasks run, then all at once, drains it,
// and stops it. It returns an error if a task is lost, runs twice at a time, or leaves a process behind.
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
	// No process of this run may be left behind, whatever fails.
	defer func() {
		if site, openErr := datadir.Open(r.Dir); openErr == nil {
			err = errors.Join(err, r.endRemaining(site))
		}
		_ = supervisor.Process.Kill() // it has exited by then unless something failed
		_ = supervisor.Wait()
	}()
	began := time.Now()
	if err := r.submitTasks(taskDir); err != nil {
		return report, err
	}
	report.FirstTaskAfter = time.Since(began)
	site, err := datadir.Open(r.Dir)
	if err != nil {
		return report, err
	}
	report.Kills = r.killParts(site, supervisor)
	if supervisor, err = r.start(); err != nil {
		return report, err
	}
	if err := r.waitUntil(func() bool { return r.jobState("job-1") == "done" }, 90*time.Second, "all tasks to be done"); err != nil {
		return report, err
	}
	report.AllDoneAfter = time.Since(began)
	if err := r.checkTaskFiles(taskDir); err != nil {
		return report, err
	}
	return report, r.cancelAndDrain(site, taskDir)
}

// submitTasks submits a job whose tasks leave files in a directory, and waits until the first runs.
func (r Run) submitTasks(taskDir string) error {
	// A task holds a lock while it runs, which the kernel releases however the task ends.
	script := "exec 9>" + taskDir + "/lock.{task}; flock -n 9 || { echo {task} >> " + taskDir + "/overlap; exit 9; }; : > " + taskDir +
		"/ran.{task}; sleep 0.3; : > " + taskDir + "/done.{task}"
	if err := r.command("submit", "--id", "job-1", "--tasks", strconv.Itoa(r.Tasks), "--cpus", "0.5", "--mem", "0.05",
		"--estimate", "1s", "--", "sh", "-c", script); err != nil {
		return err
	}
	return r.waitUntil(func() bool { return countFiles(taskDir, "ran.") > 0 }, 30*time.Second, "the first task to run")
}

// killParts kills each part of the site once, in a random order, and then all at once. It returns how many of the first kills hit.
func (r Run) killParts(site *datadir.Site, supervisor *exec.Cmd) (kills int) {
	rng := rand.New(rand.NewPCG(r.Seed, 5))
	parts := siteParts()
	rng.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	for _, part := range parts {
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		if r.killProcess(site, part) {
			kills++
		}
	}
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	_ = supervisor.Process.Kill() // the supervisor first, so that it restarts nothing
	_ = supervisor.Wait()         // it was killed
	for _, part := range parts {
		r.killProcess(site, part)
	}
	return kills
}

// checkTaskFiles checks that every task has completed and no two attempts of one ran at the same time.
func (r Run) checkTaskFiles(taskDir string) error {
	if n := countFiles(taskDir, "done."); n != r.Tasks {
		return fmt.Errorf("the job is done, and %d of %d tasks have left their file", n, r.Tasks)
	}
	if _, err := os.Stat(filepath.Join(taskDir, "overlap")); err == nil {
		return errors.New("two attempts of a task ran at a time")
	}
	return nil
}

// cancelAndDrain cancels a job whose tasks fork and ignore SIGTERM, and drains and stops the site:
// none of their processes may be left.
func (r Run) cancelAndDrain(site *datadir.Site, taskDir string) error {
	stubborn := "trap '' TERM; : > " + taskDir + "/stubborn.{task}; (setsid sleep 300 &) ; sleep 300"
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
		stubborn,
	); err != nil {
		return err
	}
	if err := r.waitUntil(
		func() bool { return countFiles(taskDir, "stubborn.") == 2 },
		30*time.Second,
		"the stubborn tasks to run",
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
		"a cancelled job's processes to end",
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

// command runs a command of gullrudder against the site.
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
		"the site's directory",
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

// killProcess sends SIGKILL to a process of the site and reports whether there was one.
func (r Run) killProcess(site *datadir.Site, part string) bool {
	for _, pid := range process.Find(map[string]bool{"GULLRUDDER_SITE=" + site.ID: true}, nil) {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
		if err != nil || !strings.Contains(strings.ReplaceAll(string(raw), "\x00", " "), " "+part) {
			continue
		}
		if id, err := process.Identify(pid); err == nil && id.Signal(syscall.SIGKILL) == nil {
			r.Log("killed %s", part)
			return true
		}
	}
	return false
}

// endRemaining ends processes that are left of the site and returns an error if there were any.
func (r Run) endRemaining(site *datadir.Site) error {
	environment := map[string]bool{"GULLRUDDER_SITE=" + site.ID: true}
	if raw, err := os.ReadFile(site.Path("worker", "id")); err == nil {
		environment["GULLRUDDER_WORKER="+string(raw)] = true
	}
	list := process.Find(environment, nil)
	if len(list) == 0 {
		return nil
	}
	_ = process.End(environment, nil, 5*time.Second) // the error below says what was found
	return fmt.Errorf("%d processes were left", len(list))
}

func (r Run) waitUntil(good func() bool, within time.Duration, what string) error {
	for end := time.Now().Add(within); !good(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("waited %v for %s", within, what)
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
