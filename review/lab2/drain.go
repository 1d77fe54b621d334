package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	runningJob = "job-000401"
	nextJob    = "job-000402"
	// waitLimit is how long a job may wait while a machine that fits has room.
	waitLimit = 90 * time.Second
)

// drainUndone drains a site while a task runs, and takes the drain back before the task ends. A job that is accepted afterwards must run.
func drainUndone(l *lab) error {
	s, err := newSite(l)
	if err != nil {
		return err
	}
	if err := s.submitSleep(runningJob, "14"); err != nil {
		return err
	}
	if err := waitFor("the first job runs", 17*time.Second, func() bool { return s.jobState(runningJob) == "running" }); err != nil {
		s.logErrors()
		return err
	}
	l.log("the first job runs")
	if l.trouble {
		for _, command := range []string{"drain", "undrain"} {
			text, err := s.run(command)
			l.log("%s: %s", command, strings.TrimSpace(text))
			if err != nil {
				return fmt.Errorf("%s: %w", command, err)
			}
			time.Sleep(2 * time.Second)
		}
	}
	if err := s.submitSleep(nextJob, "1"); err != nil {
		return err
	}
	acceptedAt := time.Now()
	err = waitFor("the second job runs", waitLimit, func() bool {
		state := s.jobState(nextJob)
		return state == "running" || state == "done"
	})
	l.log("state of the first job: %s, of the second one, %v after it was accepted: %s",
		s.jobState(runningJob), time.Since(acceptedAt).Round(time.Second), s.jobState(nextJob))
	text, _ := s.run("status")
	l.log("status:\n%s", text)
	if err != nil {
		return errors.Join(errBroken, fmt.Errorf("an accepted job has waited for %v while the site's machine has room", waitLimit))
	}
	return nil
}

// submitSleep submits a job of one task with one CPU that sleeps.
func (s *site) submitSleep(id, seconds string) error {
	text, err := s.run("submit", "--id", id, "--tasks", "1", "--cpus", "1", "--mem", "0.1", "--", "sleep", seconds)
	s.lab.log("submission of %s: %s", id, strings.TrimSpace(text))
	if err != nil {
		return fmt.Errorf("submission of %s: %w", id, err)
	}
	return nil
}
