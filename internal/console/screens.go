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

// Widths of columns whose values are truncated.
const (
	jobColumnWidth    = 26
	classColumnWidth  = 10
	workerColumnWidth = 20
	taskColumnWidth   = 32
	reasonColumnWidth = 20
)

// maxHeartbeatAgeSeconds is the age up to which a worker's last heartbeat is shown as "now".
const maxHeartbeatAgeSeconds = 5

// maxErrorOutputLines is how many lines of a failed task's error output are shown.
const maxErrorOutputLines = 6

// table is the content of a screen.
type table struct {
	head  string
	lines []string
	ids   []string // the job, worker or task of each line; the lines after these cannot be selected
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
	t := table{head: fmt.Sprintf("%-26s %-10s %6s %6s %6s %8s  %s", "JOB", "CLASS", "WAIT", "RUN", "DONE", "AGE", "START WITHIN")}
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
		t.lines = []string{"no unfinished jobs"}
	}
	return t
}

func (s *Snapshot) workerTable() table {
	t := table{head: fmt.Sprintf("%-20s %-12s %8s %8s %6s %10s  %s", "WORKER", "MACHINE", "CPUS", "GB", "TASKS", "FREE MB", "HEARD")}
	for _, worker := range s.MachinePool.Workers {
		lastHeartbeat := "now"
		if worker.SilentSeconds > maxHeartbeatAgeSeconds {
			lastHeartbeat = formatSeconds(worker.SilentSeconds) + " ago"
		}
		t.add(worker.Name, fmt.Sprintf(
			"%-20s %-12s %8g %8g %6d %10d  %s",
			truncate(worker.Name, workerColumnWidth), orDash(worker.Machine),
			worker.CPUs, worker.MemoryGB, worker.RunningTasks, worker.FreeDiskMB, lastHeartbeat,
		))
	}
	if len(t.lines) == 0 {
		t.lines = []string{"no worker has sent a heartbeat"}
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
		t.lines = []string{"no failed tasks"}
	}
	return t
}

var helpLines = []string{
	"1  jobs          2  workers       3  failures      ?  help",
	"j, down: next row          k, up: previous row",
	"c  cancel the selected job (asks first)",
	"d  drain the site: start no new tasks, let running ones finish (asks first)",
	"u  undrain the site: start tasks again (asks first)",
	"r  refresh now             q  quit; the site runs on without the console", "",
	"The failures screen ends with the last error output of the selected task.",
}

// detail returns the lines about the selected row, which are shown below the table.
func (s *Snapshot) detail(screen screen, row int) []string {
	if screen != failuresScreen || row >= len(s.Failures) {
		return nil
	}
	failure := s.Failures[row]
	output := strings.Split(strings.TrimRight(failure.ErrorOutput, "\n"), "\n")
	shown := output[max(len(output)-maxErrorOutputLines, 0):]
	return append([]string{"", "end of the error output of " + failure.Task + ":"}, shown...)
}
