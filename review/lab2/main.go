// Command lab2 runs the cases 4 to 8 of the second review: lab2 CASE FOLDER. It starts the project's own programs as separate processes on
// loopback, plays the users and the platform, and writes what happened to record.txt in the folder. The exit code is 0 if the rule held,
// 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 114 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// lab is one run of a case.
type lab struct {
	dir       string // temporary folder of this run
	program   string // the program under review
	root      string // of the repository
	trouble   bool   // whether the disruption takes place
	startedAt time.Time

	mu       sync.Mutex // guards the fields below
	record   *os.File
	cleanups []func()
}

// cases are the cases by name.
var cases = map[string]func(*lab) error{
	"drain-undone":    drainUndone,
	"failure-reports": failureReports,
	"retry-gap":       retryGap,
	"late-commit":     lateCommit,
	"late-forward":    lateForward,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	signal.Ignore(syscall.SIGPIPE) // the record goes on if nobody reads standard output
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- cases[name](l) }()
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("ended by a signal")
	case <-time.After(caseLimit):
		err = errors.New("the case took too long")
	}
	l.cleanUp()
	code := exitFailed
	switch {
	case err == nil:
		code = exitHeld
		l.log("result: the rule held")
	case errors.Is(err, errBroken):
		code = exitBroken
		l.log("result: %v", err)
	default:
		l.log("result: could not run: %v", err)
	}
	return code
}

func newLab(folder string) (*lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	// The tasks of a site that runs as root run as another user, who has to enter the folder.
	if err := os.Chmod(dir, 0o711); err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{
		dir: dir, root: root, program: filepath.Join(root, "target", "gullrudder"), record: record,
		trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(),
	}
	l.onEnd(func() { _ = os.RemoveAll(dir) })
	l.log("disruption: %v", l.trouble)
	return l, nil
}

// log writes a line to the record and to standard output.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// onEnd adds a function that is called when the run ends, the last one first.
func (l *lab) onEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cleanups = append(l.cleanups, f)
}

func (l *lab) cleanUp() {
	l.mu.Lock()
	cleanups := l.cleanups
	l.cleanups = nil
	l.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
}

// waitFor calls check until it returns true, or returns an error after the limit.
func waitFor(what string, limit time.Duration, check func() bool) error {
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
