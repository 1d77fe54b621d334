package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	failingTasks  = 20
	secondJob     = "job-000502"
	startLimit    = 60 * time.Second
	shortComplain = `echo "the file is not there" >&2; exit 1`
	// longComplain writes 2 KB of XML, as the tools of the tasks do when they fail.
	longComplain = `for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do ` +
		`echo "<error><code>5</code><file>sheet $i</file><line>7</line><column>3</column><text>not a number</text></error>" >&2; done; exit 1`
)

// failureReports runs a job that was submitted with a mistake, so that each of its tasks fails with 2 KB of error output. Then a second job
// is accepted, and the site is stopped and started again. The second job must run.
func failureReports(l *lab) error {
	s, err := newSite(l)
	if err != nil {
		return err
	}
	out := filepath.Join(l.dir, "out")
	if err := makeOpenDir(out); err != nil {
		return err
	}
	complaint := shortComplain
	if l.trouble {
		complaint = longComplain
	}
	text, err := s.run("submit", "--id", "job-000501", "--tasks", fmt.Sprint(failingTasks), "--cpus", "0.2", "--mem", "0.05", "--wait", "--",
		"sh", "-c", complaint)
	l.log("first job, its tasks fail: %s", strings.TrimSpace(text))
	if err != nil {
		return fmt.Errorf("first job: %w", err)
	}
	text, err = s.run("submit", "--id", secondJob, "--tasks", "4", "--cpus", "0.2", "--mem", "0.05", "--",
		"sh", "-c", "sleep 6; echo {task} >> "+out+"/ran")
	l.log("second job accepted: %s", strings.TrimSpace(text))
	if err != nil {
		return fmt.Errorf("second job: %w", err)
	}
	time.Sleep(3 * time.Second)
	if err := s.down(); err != nil {
		return err
	}
	if err := s.start("up-again"); err != nil {
		return err
	}
	l.log("the site is up again")
	err = waitFor("the second job is done", startLimit, func() bool { return s.jobState(secondJob) == "done" })
	text, _ = s.run("failures")
	l.log("failures lists %d lines", strings.Count(text, "\n"))
	l.log("state of the second job: %s", s.jobState(secondJob))
	ran, _ := os.ReadFile(filepath.Join(out, "ran")) // absent if no task ran
	l.log("tasks of the second job that ran to their end: %q", strings.Fields(string(ran)))
	if err == nil {
		return nil
	}
	text, err = s.run("submit", "--patience", "10s", "--id", "job-000503", "--tasks", "1", "--", "true")
	l.log("a third job: %s, %v", strings.TrimSpace(text), err)
	return errors.Join(errBroken, fmt.Errorf("an accepted job does not run within %v of the restart", startLimit))
}

// makeOpenDir makes a directory in which the tasks' user may write.
func makeOpenDir(path string) error {
	if err := os.Mkdir(path, 0o777); err != nil {
		return err
	}
	return os.Chmod(path, 0o777)
}
