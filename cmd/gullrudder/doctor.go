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
	// minOpenFiles is the limit of open files below which a site's processes may run out of them.
	minOpenFiles         = 1024
	dialTimeout          = time.Second
	leaderRequestTimeout = 3 * time.Second
)

// checkResult is the outcome of one check.
type checkResult struct {
	subject string
	state   string
	remedy  string // what to do; empty: nothing is wrong
}

// newCheckResult returns the outcome of a check; the remedy counts only if something is wrong.
func newCheckResult(isGood bool, subject, state, remedy string) checkResult {
	if isGood {
		remedy = ""
	}
	return checkResult{subject, state, remedy}
}

func doctorCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "doctor", Short: "Check the site on this machine, and say what to do", Args: cobra.NoArgs,
		Long: "Check the site on this machine, and say what to do. Exit code 1 if anything is wrong.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd.OutOrStdout())
			if wrong := printCheckResults(p, checkSite(siteDir(data))); wrong > 0 {
				return &exitError{exitRefused, errors.Join(fmt.Errorf("%d things are wrong", wrong), p.firstError())}
			}
			return p.firstError()
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// printCheckResults prints the results and returns how many things are wrong.
func printCheckResults(out *printer, results []checkResult) (wrong int) {
	for _, result := range results {
		if result.remedy == "" {
			out.printf("ok     %s: %s\n", result.subject, result.state)
			continue
		}
		wrong++
		out.printf("WRONG  %s: %s\n       %s\n", result.subject, result.state, result.remedy)
	}
	return wrong
}

// checkSite checks everything that a site needs.
func checkSite(dir string) []checkResult {
	site, err := datadir.Open(dir)
	if err != nil {
		return []checkResult{{"site", err.Error(), "gullrudder up --data " + dir}}
	}
	_, isUp := site.RunningSupervisor()
	results := []checkResult{
		{"site", fmt.Sprintf("%s, made by %s, this is %s", site.Path(), site.ProgramVersion, version), ""},
		checkDisk(site),
		checkWriting(site),
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
		return checkResult{"disk", err.Error(), "see that the directory can be read"}
	}
	freeMB := freeBytes / units.BytesPerMB
	return newCheckResult(freeMB >= 2*site.MinFreeDiskMB, "disk",
		fmt.Sprintf("%d MB free, %d are kept", freeMB, site.MinFreeDiskMB),
		"delete what is not needed, first under "+site.Path("worker", "work")+": outputs of tasks")
}

func checkWriting(site *datadir.Site) checkResult {
	path := site.Path("doctor")
	err := errors.Join(os.WriteFile(path, []byte("x"), 0o600), os.Remove(path))
	return newCheckResult(err == nil, "writing", site.Path(), "let this user write there")
}

func checkOpenFiles() checkResult {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	return newCheckResult(err == nil && limit.Cur >= minOpenFiles, "open files", fmt.Sprintf("%d allowed", limit.Cur),
		fmt.Sprintf("raise it to %d at least (ulimit -n)", minOpenFiles))
}

func checkSupervisor(site *datadir.Site) checkResult {
	supervisor, isUp := site.RunningSupervisor()
	state := "not running"
	if isUp {
		state = fmt.Sprintf("process %d", supervisor.PID)
	}
	return newCheckResult(isUp, "supervisor", state, "gullrudder up --data "+site.Path())
}

// checkAddrs checks that the site's processes answer if the site is up, and that their ports are free if it is not.
func checkAddrs(site *datadir.Site, isUp bool) []checkResult {
	first := site.Controllers[0]
	var results []checkResult
	for _, process := range []struct{ name, addr string }{
		{"state", site.StateAddr}, {"pool", site.MachinePoolAddr}, {"worker", site.WorkerAddr}, {first.Name, first.PublicAddr},
	} {
		switch {
		case isUp:
			results = append(results, checkAnswers(site, process.name, process.addr))
		case !isFree(process.addr):
			results = append(results, checkResult{
				process.name,
				"another program has " + process.addr,
				"end it, or remove " + site.Path("site.xml") + " to have the site choose other ports",
			})
		}
	}
	return results
}

func checkAnswers(site *datadir.Site, name, addr string) checkResult {
	state := "answers at " + addr
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		state = err.Error()
	} else {
		_ = conn.Close() // that it was opened is the answer
	}
	return newCheckResult(err == nil, name, state, "see "+site.Path("log", name+".log"))
}

// isFree reports whether the address can be listened at.
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
	return newCheckResult(err == nil && status.Leader != "", "leader", orDash(status.Leader), "see "+site.Path("log", first.Name+".log"))
}
