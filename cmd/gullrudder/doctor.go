package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"gullrudder/internal/controller"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/units"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"
)

const (
	// minOpenFiles is the limit of open files below which a process of a site may run out of file descriptors.
	minOpenFiles         = 1024
	dialTimeout          = time.Second
	leaderRequestTimeout = 3 * time.Second
)

// checkResult is the outcome of one check.
type checkResult struct {
	subject string
	state   string
	remedy  string // what to do; empty: the check passed
}

// newCheckResult returns the outcome of a check, without the remedy if the check passed.
func newCheckResult(isGood bool, subject, state, remedy string) checkResult {
	if isGood {
		remedy = ""
	}
	return checkResult{subject, state, remedy}
}

func doctorCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "doctor", Short: "Check the site on this machine and suggest remedies", Args: cobra.NoArgs,
		Long: "Check the site on this machine and suggest a remedy for each failed check. Exit code 1 if a check failed.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd.OutOrStdout())
			if failedCount := printCheckResults(p, checkSite(siteDir(data))); failedCount > 0 {
				return &exitError{exitRefused, errors.Join(fmt.Errorf("failed checks: %d", failedCount), p.firstError())}
			}
			return p.firstError()
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// printCheckResults prints the results and returns the number of failed checks.
func printCheckResults(out *printer, results []checkResult) (failedCount int) {
	for _, result := range results {
		if result.remedy == "" {
			out.printf("ok      %s: %s\n", result.subject, result.state)
			continue
		}
		failedCount++
		out.printf("FAILED  %s: %s\n        remedy: %s\n", result.subject, result.state, result.remedy)
	}
	return failedCount
}

// checkSite checks everything that a site needs.
func checkSite(dir string) []checkResult {
	site, err := datadir.Open(dir)
	if err != nil {
		return []checkResult{{"site", err.Error(), "run gullrudder up --data " + dir}}
	}
	_, isUp := site.RunningSupervisor()
	results := []checkResult{
		{"site", fmt.Sprintf("%s, created by version %s, this is version %s", site.Path(), site.ProgramVersion, version), ""},
		checkDisk(site),
		checkWritable(site),
		checkOpenFiles(),
		checkSupervisor(site),
	}
	results = append(results, checkAddrs(site, isUp)...)
	if isUp {
		results = append(results, checkLeader(site))
	}
	return results
}

func checkDisk(site *datadir.Site) checkResult {
	freeBytes, err := datadir.FreeDisk(site.Path())
	if err != nil {
		return checkResult{"disk", err.Error(), "make the directory readable"}
	}
	freeMB := freeBytes / units.BytesPerMB
	return newCheckResult(freeMB >= 2*site.MinFreeDiskMB, "disk",
		fmt.Sprintf("%d MB free, jobs are refused below %d MB", freeMB, site.MinFreeDiskMB),
		"free disk space: start with "+site.Path("worker", "work")+" (outputs of tasks)")
}

func checkWritable(site *datadir.Site) checkResult {
	path := site.Path("doctor")
	err := errors.Join(os.WriteFile(path, []byte("x"), 0o600), os.Remove(path))
	return newCheckResult(err == nil, "writing", site.Path(), "give this user write permission")
}

func checkOpenFiles() checkResult {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	return newCheckResult(err == nil && limit.Cur >= minOpenFiles, "open files", fmt.Sprintf("at most %d", limit.Cur),
		fmt.Sprintf("raise the limit to at least %d (ulimit -n)", minOpenFiles))
}

func checkSupervisor(site *datadir.Site) checkResult {
	supervisor, isUp := site.RunningSupervisor()
	state := "not running"
	if isUp {
		state = fmt.Sprintf("process %d", supervisor.PID)
	}
	return newCheckResult(isUp, "supervisor", state, "run gullrudder up --data "+site.Path())
}

// checkAddrs checks that the processes of a running site accept connections, and that the ports of a stopped one are free.
func checkAddrs(site *datadir.Site, isUp bool) []checkResult {
	first := site.Controllers[0]
	var results []checkResult
	for _, process := range []struct{ name, addr string }{
		{"state", site.StateAddr}, {"pool", site.MachinePoolAddr}, {"worker", site.WorkerAddr}, {first.Name, first.PublicAddr},
	} {
		switch {
		case isUp:
			results = append(results, checkReachable(site, process.name, process.addr))
		case !isFree(process.addr):
			results = append(results, checkResult{
				process.name,
				"another program listens on " + process.addr,
				"stop it, or remove " + site.Path("site.xml") + " and run gullrudder up, which chooses new ports",
			})
		}
	}
	return results
}

func checkReachable(site *datadir.Site, name, addr string) checkResult {
	state := "listens on " + addr
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		state = err.Error()
	} else {
		_ = conn.Close() // only the connect matters
	}
	return newCheckResult(err == nil, name, state, "read the log "+site.Path("log", name+".log"))
}

// isFree reports whether no process listens on the address.
func isFree(addr string) bool {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

func checkLeader(site *datadir.Site) checkResult {
	first := site.Controllers[0]
	var status controller.Status
	err := newServerClient(first.PublicAddr, leaderRequestTimeout).get("/status", &status)
	return newCheckResult(err == nil && status.Leader != "", "leader", orDash(status.Leader),
		"read the log "+site.Path("log", first.Name+".log"))
}
