package console

import (
	"fmt"
	"strings"
	"time"
)

// screen is one of the console's screens.
type screen int

// The screens, in the order of their keys.
const (
	jobsScreen screen = iota
	workersScreen
	failuresScreen
	helpScreen
)

// String returns the name of the screen as the console shows it.
func (s screen) String() string { return [...]string{"jobs", "workers", "failures", "help"}[s] }

// Widths of columns whose values are cut to fit.
const (
	jobColumnWidth    = 26
	classColumnWidth  = 10
	workerColumnWidth = 20
	taskColumnWidth   = 32
	reasonColumnWidth = 20
)

// silentAfterSeconds is the time since its last report after which a worker is shown with that time.
const silentAfterSeconds = 5

// maxErrorOutputLines is how many lines of a failed task's error output are shown.
const maxErrorOutputLines = 6

// table is the content of a screen.
type table struct {
	head  string
	lines []string
	ids   []string // what the first lines stand for; lines beyond them cannot be acted on
}

func (t *table) add(id, line string) {
	t.ids = append(t.ids, id)
	t.lines = append(t.lines, line)
}

// table returns the content of a screen.
func (s *Snapshot) table(screen screen) table {
	switch screen {
	case jobsScreen:
		return s.jobTable()
	case workersScreen:
		return s.workerTable()
	case failuresScreen:
		return s.failureTable()
	}
	return table{lines: helpLines}
}

func (s *Snapshot) jobTable() table {
	t := table{head: fmt.Sprintf("%-26s %-10s %6s %6s %6s %8s  %s", "JOB", "CLASS", "WAIT", "RUN", "DONE", "AGE", "FIRST START BY")}
	for _, job := range s.Queue.Jobs {
		t.add(job.ID, fmt.Sprintf(
			"%-26s %-10s %6d %6d %6d %8s  %s",
			truncate(job.ID, jobColumnWidth), truncate(job.Class, classColumnWidth),
			job.WaitingTasks, job.RunningTasks, job.DoneTasks,
			formatSeconds(job.AgeSeconds), formatSeconds(job.FirstStartBoundSeconds),
		))
	}
	if unlisted := s.Queue.Total - len(s.Queue.Jobs); unlisted > 0 {
		t.lines = append(t.lines, fmt.Sprintf("and %d more", unlisted))
	}
	if len(t.lines) == 0 {
		t.lines = []string{"no job is unfinished"}
	}
	return t
}

func (s *Snapshot) workerTable() table {
	t := table{head: fmt.Sprintf("%-20s %-12s %8s %8s %6s %10s  %s", "WORKER", "MACHINE", "CPUS", "GB", "TASKS", "FREE MB", "HEARD")}
	for _, worker := range s.MachinePool.Workers {
		lastReport := "now"
		if worker.SilentSeconds > silentAfterSeconds {
			lastReport = formatSeconds(worker.SilentSeconds) + " ago"
		}
		t.add(worker.Name, fmt.Sprintf(
			"%-20s %-12s %8g %8g %6d %10d  %s",
			truncate(worker.Name, workerColumnWidth), orDash(worker.Machine),
			worker.CPUs, worker.MemoryGB, worker.RunningTasks, worker.FreeDiskMB, lastReport,
		))
	}
	if len(t.lines) == 0 {
		t.lines = []string{"no worker has been heard"}
	}
	return t
}

func (s *Snapshot) failureTable() table {
	t := table{head: fmt.Sprintf("%-32s %5s  %-20s %s", "TASK", "EXIT", "WHEN", "REASON")}
	for _, failure := range s.Failures {
		t.add(failure.Task, fmt.Sprintf(
			"%-32s %5d  %-20s %s",
			truncate(failure.Task, taskColumnWidth), failure.ExitCode,
			failure.FinishedAt.UTC().Format(time.DateTime), truncate(failure.Reason, reasonColumnWidth),
		))
	}
	if len(t.lines) == 0 {
		t.lines = []string{"no task has failed"}
	}
	return t
}

var helpLines = []string{
	"1  jobs          2  workers       3  failures      ?  this page",
	"j, down: next row          k, up: the row before",
	"c  cancel the job of the row (asks first)",
	"d  drain the site: nothing more starts, what runs goes on (asks first)",
	"u  use the site again",
	"r  look again now          q  leave; everything goes on without the console", "",
	"On the failures screen the end of the row's error output stands below the list.",
}

// detail returns the lines below the table about its selected row.
func (s *Snapshot) detail(screen screen, row int) []string {
	if screen != failuresScreen || row >= len(s.Failures) {
		return nil
	}
	failure := s.Failures[row]
	output := strings.Split(strings.TrimRight(failure.ErrorOutput, "\n"), "\n")
	shown := output[max(len(output)-maxErrorOutputLines, 0):]
	return append([]string{"", "end of the error output of " + failure.Task + ":"}, shown...)
}
