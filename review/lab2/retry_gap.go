package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	waitingJob   = "job-000601"
	waitingTasks = 12
	// awayTime is how long all controllers stand still: longer than the lease of a site's worker, which is 15 s.
	awayTime  = 20 * time.Second
	doneLimit = 60 * time.Second
)

// retryGap submits a job whose tasks fail and are run again until a file is there. All controllers stand still for longer than the worker's
// lease. Then the file is made, and the job must not be done before each of its tasks has seen it.
func retryGap(l *lab) error {
	s, err := newSite(l)
	if err != nil {
		return err
	}
	out := filepath.Join(l.dir, "out")
	if err := makeOpenDir(out); err != nil {
		return err
	}
	text, err := s.run("submit", "--id", waitingJob, "--tasks", fmt.Sprint(waitingTasks), "--cpus", "0.2", "--mem", "0.05",
		"--retries", "1000000", "--", "sh", "-c", "test -e "+out+"/sheet && echo {task} >> "+out+"/ran")
	l.log("job accepted: %s", strings.TrimSpace(text))
	if err != nil {
		return fmt.Errorf("submission: %w", err)
	}
	if err := waitFor("the job runs", 20*time.Second, func() bool { return s.jobState(waitingJob) == "running" }); err != nil {
		s.logErrors()
		return err
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		if err := s.standStill(awayTime); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	l.log("state of the job before the file is there: %s", s.jobState(waitingJob))
	if err := os.WriteFile(filepath.Join(out, "sheet"), nil, 0o644); err != nil {
		return err
	}
	l.log("the file is there")
	if err := waitFor("the job is done", doneLimit, func() bool { return s.jobState(waitingJob) == "done" }); err != nil {
		return err
	}
	raw, _ := os.ReadFile(filepath.Join(out, "ran")) // absent if no task ran
	ran := map[string]bool{}
	for _, task := range strings.Fields(string(raw)) {
		ran[task] = true
	}
	l.log("the job is done; %d of its %d tasks have completed", len(ran), waitingTasks)
	text, _ = s.run("failures")
	l.log("failures:\n%s", strings.TrimSpace(text))
	if len(ran) < waitingTasks {
		return errors.Join(errBroken, fmt.Errorf("not_done: %d tasks of a done job never completed", waitingTasks-len(ran)))
	}
	return nil
}

// standStill stops all controllers and lets them go on after a time.
func (s *site) standStill(duration time.Duration) error {
	pids := s.controllers()
	if len(pids) == 0 {
		return errors.New("no controller found")
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
			return err
		}
	}
	s.lab.log("controllers %v stand still", pids)
	time.Sleep(duration)
	for _, pid := range pids {
		if err := syscall.Kill(pid, syscall.SIGCONT); err != nil {
			return err
		}
	}
	s.lab.log("controllers go on")
	return nil
}
