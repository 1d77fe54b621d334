// Package console is the screens of a site: what is asked of the controllers and of the pool, drawn as
// text for a terminal of 80 by 24 without any colour. It keeps no state but which screen and which row
// are shown: what it starts goes on without it, and the next console shows it.
package console

import (
	"fmt"
	"strings"
	"time"

	"gullrudder/internal/controller"
	"gullrudder/internal/controller/api"
	"gullrudder/internal/site/machinepool"
)

// Snapshot is all that was learnt at one look. What could not be asked has its error.
type Snapshot struct {
	TakenAt       time.Time
	Status        controller.Status
	Queue         api.Queue
	MachinePool   machinepool.Overview
	Failures      []machinepool.Failure
	FreeDiskMB    uint64 // of the disk that the site is on
	MinFreeDiskMB uint64
	Problems      []string // what could not be asked, in words
}

// Screen is one of the console's.
type Screen int

// The screens.
const (
	Jobs Screen = iota
	Workers
	Failures
	Help
)

func (s Screen) String() string { return [...]string{"jobs", "workers", "failures", "help"}[s] }

// rows are the lines of a screen below its head, and the ids that they stand for, where they do.
func (s *Snapshot) rows(screen Screen) (head string, lines, ids []string) {
	switch screen {
	case Jobs:
		head = fmt.Sprintf("%-26s %-10s %6s %6s %6s %8s  %s", "JOB", "CLASS", "WAIT", "RUN", "DONE", "AGE", "FIRST START BY")
		for _, j := range s.Queue.Jobs {
			lines = append(
				lines,
				fmt.Sprintf(
					"%-26s %-10s %6d %6d %6d %8s  %s",
					truncate(j.ID, 26),
					truncate(j.Class, 10),
					j.WaitingTasks,
					j.RunningTasks,
					j.DoneTasks,
					formatSeconds(j.AgeSeconds),
					formatSeconds(j.FirstStartBoundSeconds),
				),
			)
			ids = append(ids, j.ID)
		}
		if more := s.Queue.Total - len(s.Queue.Jobs); more > 0 {
			lines = append(lines, fmt.Sprintf("and %d more", more))
		}
		if len(lines) == 0 {
			lines = []string{"no job is unfinished"}
		}
	case Workers:
		head = fmt.Sprintf("%-20s %-12s %8s %8s %6s %10s  %s", "WORKER", "MACHINE", "CPUS", "GB", "TASKS", "FREE MB", "HEARD")
		for _, w := range s.MachinePool.Workers {
			heard := "now"
			if w.SilentSeconds > 5 {
				heard = formatSeconds(w.SilentSeconds) + " ago"
			}
			lines = append(
				lines,
				fmt.Sprintf("%-20s %-12s %8g %8g %6d %10d  %s", truncate(w.Name, 20), orDash(w.Machine), w.CPUs, w.MemoryGB, w.RunningTasks, w.FreeDiskMB, heard),
			)
			ids = append(ids, w.Name)
		}
		if len(lines) == 0 {
			lines = []string{"no worker has been heard"}
		}
	case Failures:
		head = fmt.Sprintf("%-32s %5s  %-20s %s", "TASK", "EXIT", "WHEN", "REASON")
		for _, f := range s.Failures {
			lines = append(
				lines,
				fmt.Sprintf("%-32s %5d  %-20s %s", truncate(f.Task, 32), f.ExitCode, f.FinishedAt.UTC().Format(time.DateTime), truncate(f.Reason, 20)),
			)
			ids = append(ids, f.Task)
		}
		if len(lines) == 0 {
			lines = []string{"no task has failed"}
		}
	case Help:
		lines = []string{
			"1  jobs          2  workers       3  failures      ?  this page",
			"j, down: next row          k, up: the row before",
			"c  cancel the job of the row (asks first)",
			"d  drain the site: nothing more starts, what runs goes on (asks first)",
			"u  use the site again",
			"r  look again now          q  leave; everything goes on without the console", "",
			"On the failures screen the end of the row's error output stands below the list.",
		}
	}
	return head, lines, ids
}

// summary is the first lines of every screen.
func (s *Snapshot) summary() []string {
	leader, state := orDash(s.Status.Leader), "state service ok"
	if !s.Status.StateServiceHealthy {
		state = "STATE SERVICE AWAY"
	}
	if leader == "-" {
		state = "NO LEADER"
	}
	lines := []string{
		fmt.Sprintf(
			"gullrudder  leader %s, %s   %d jobs, %d tasks wait, %d run   %s",
			leader,
			state,
			s.Status.Jobs,
			s.Status.WaitingTasks,
			s.Status.PlacedTasks,
			s.TakenAt.UTC().Format("15:04:05"),
		),
	}
	switch {
	case s.MachinePool.IsDraining && s.MachinePool.MachineCount > 0:
		lines = append(lines, fmt.Sprintf("DRAINING: %d tasks run still; nothing more starts until undrain", s.MachinePool.RunningTasks))
	case s.MachinePool.IsDraining:
		lines = append(lines, "DRAINED: nothing runs; nothing starts until undrain")
	}
	if s.MinFreeDiskMB > 0 && s.FreeDiskMB < s.MinFreeDiskMB {
		lines = append(
			lines,
			fmt.Sprintf("DISK: %d MB free, below %d MB nothing is accepted: delete old outputs (gullrudder doctor)", s.FreeDiskMB, s.MinFreeDiskMB),
		)
	}
	for _, p := range s.Problems {
		lines = append(lines, "PROBLEM: "+p)
	}
	return lines
}

// detail is what stands below the list for its chosen row.
func (s *Snapshot) detail(screen Screen, row int) []string {
	if screen != Failures || row >= len(s.Failures) {
		return nil
	}
	f := s.Failures[row]
	tail := strings.Split(strings.TrimRight(f.ErrorOutput, "\n"), "\n")
	return append([]string{"", "end of the error output of " + f.Task + ":"}, tail[max(len(tail)-6, 0):]...)
}

// Text is a whole look at all screens, for those who want no console.
func (s *Snapshot) Text() string {
	var b strings.Builder
	for _, l := range s.summary() {
		fmt.Fprintln(&b, l)
	}
	for screen := Jobs; screen < Help; screen++ {
		head, lines, _ := s.rows(screen)
		fmt.Fprintf(&b, "\n%s\n", head)
		for _, l := range lines {
			fmt.Fprintln(&b, l)
		}
	}
	return b.String()
}

// render is one screen, no wider and no higher than the terminal.
func (s *Snapshot) render(screen Screen, row, width, height int, message string) string {
	lines := s.summary()
	bar := ""
	for i := Jobs; i <= Help; i++ {
		key, t := fmt.Sprint(int(i)+1), i.String()
		if i == Help {
			key = "?"
		}
		if i == screen {
			t = "[" + t + "]"
		}
		bar += key + " " + t + "  "
	}
	lines = append(lines, bar+"q leave", "")
	head, list, _ := s.rows(screen)
	below := s.detail(screen, row)
	if head != "" {
		lines = append(lines, "  "+head)
	}
	room := max(height-len(lines)-len(below)-1, 1)
	first := max(0, min(row-room/2, len(list)-room))
	for i := first; i < min(first+room, len(list)); i++ {
		mark := "  "
		if i == row && screen != Help {
			mark = "> "
		}
		lines = append(lines, mark+list[i])
	}
	lines = append(lines, below...)
	for len(lines) < height-1 {
		lines = append(lines, "")
	}
	lines = append(lines[:min(len(lines), max(height-1, 1))], message)
	for i, l := range lines {
		lines[i] = truncate(l, width)
	}
	return strings.Join(lines, "\n")
}

// truncate cuts a line, and keeps what a terminal would take for a command from getting there.
func truncate(s string, width int) string {
	out := make([]rune, 0, width)
	for _, r := range s {
		if len(out) == width {
			break
		}
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			r = '?'
		}
		out = append(out, r)
	}
	return string(out)
}

func formatSeconds(s float64) string {
	if s <= 0 {
		return "-"
	}
	return (time.Duration(s) * time.Second).String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
