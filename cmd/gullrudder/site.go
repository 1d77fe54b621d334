package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"os/user"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"gullrudder/internal/controller"
	"gullrudder/internal/site/agent"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/site/machinepool"
	"gullrudder/internal/site/supervisor"
	"gullrudder/internal/wire/http1"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"
)

// siteDir is the directory of a site on this machine.
func siteDir(data string) string {
	if data != "" {
		return data
	}
	dir, err := os.UserHomeDir()
	if err != nil {
		return ".gullrudder"
	}
	return filepath.Join(dir, ".gullrudder")
}

func dataFlag(cmd *cobra.Command, data *string) {
	cmd.Flags().StringVar(data, "data", os.Getenv("GULLRUDDER_DATA"), "directory of the site (or GULLRUDDER_DATA); empty: .gullrudder at home")
}

func upCommand() *cobra.Command {
	var data string
	var w datadir.CreateOptions
	cmd := &cobra.Command{
		Use: "up", Short: "Run a whole site on this machine, in the foreground", Args: cobra.NoArgs,
		Long: "Run a whole site on this machine: state service, pool, controllers and a worker, each started again when it ends.\n" +
			"The first run makes the directory; the flags besides --data count only then. SIGTERM or an interrupt ends it.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			h, err := datadir.OpenOrCreate(siteDir(data), w, version)
			if err != nil {
				return &exitError{exitUnavailable, err}
			}
			return runSite(cmd.OutOrStdout(), h)
		},
	}
	dataFlag(cmd, &data)
	cmd.Flags().Float64Var(&w.CPUs, "cpus", 0, "CPUs that tasks may take; 0: all")
	cmd.Flags().Float64Var(&w.MemoryGB, "mem", 0, "memory that tasks may take, in GB; 0: all but one")
	cmd.Flags().IntVar(&w.Controllers, "controllers", 1, "controllers, 1 or 3")
	cmd.Flags().StringVar(&w.TaskUser, "as", "", "user that tasks run as where the site runs as root; empty: nobody")
	return cmd
}

// runSite runs the parts of a site until it is told to end.
func runSite(out io.Writer, h *datadir.Site) error {
	lock, err := h.Lock()
	if err != nil {
		return &exitError{exitUnavailable, err}
	}
	defer lock.Close()
	if err := checkTaskUserAccess(h); err != nil {
		return &exitError{2, err}
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	parts := []supervisor.ProcessSpec{
		{Name: "state", Args: []string{"state", "--data", h.Path("state"), "--listen", h.StateAddr}},
		{Name: "pool", Args: []string{"pool", "--data", h.Path()}},
	}
	for i, n := range h.Controllers {
		parts = append(parts, supervisor.ProcessSpec{Name: n.Name, Args: []string{"serve", "--config", h.ControllerConfig(i), "--options", h.OptionsFile()}})
	}
	parts = append(parts, supervisor.ProcessSpec{Name: "worker", Args: []string{"worker", "--data", h.Path()}})
	log := newLogger(os.Stderr, "info")
	s, err := supervisor.New(program, h.Path(), h.ID, parts, log)
	if err != nil {
		return &exitError{exitUnavailable, err}
	}
	if err := h.RecordSupervisor(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fmt.Fprintln(out, "ending")
		s.Stop()
	}()
	began := time.Now()
	go func() {
		a := &apiClient{servers: []string{h.Controllers[0].PublicAddr}, client: http1.NewClient(1, 1, http1.MaxBodyBytes), retryTimeout: time.Minute}
		for {
			var st controller.Status
			if a.get("/status", &st) == nil && st.Leader != "" {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprintf(out, "up after %.1f s: %g CPUs, %g GB, controller at %s\ntry: gullrudder submit --data %s --wait -- echo hello\n",
			time.Since(began).Seconds(), h.CPUs, h.MemoryGB, h.Controllers[0].PublicAddr, h.Path())
	}()
	s.Run()
	return nil
}

// checkTaskUserAccess reports whether the user that tasks run as can get to the site's directory.
func checkTaskUserAccess(h *datadir.Site) error {
	as, err := taskCredential(h)
	if err != nil || as == nil {
		return err
	}
	for dir := h.Path(); dir != filepath.Dir(dir); dir = filepath.Dir(dir) {
		st, err := os.Stat(dir)
		if err != nil {
			return err
		}
		if st.Mode().Perm()&0o001 == 0 {
			return fmt.Errorf("tasks run as %s, who cannot get into %s: use another --data, or up --as root", h.TaskUser, dir)
		}
	}
	return nil
}

// taskCredential is whom tasks run as: nil for the user that the site runs as.
func taskCredential(h *datadir.Site) (*syscall.Credential, error) {
	if os.Getuid() != 0 || h.TaskUser == "root" {
		return nil, nil
	}
	u, err := user.Lookup(h.TaskUser)
	if err != nil {
		return nil, err
	}
	uid, err := strconv.ParseUint(u.Uid, 10, 32)
	if err != nil {
		return nil, err
	}
	gid, err := strconv.ParseUint(u.Gid, 10, 32)
	return &syscall.Credential{Uid: uint32(uid), Gid: uint32(gid)}, err
}

func downCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "down", Short: "End the site on this machine; tasks that run start again with the next up", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h, err := datadir.Open(siteDir(data))
			if err != nil {
				return &exitError{2, err}
			}
			id, up := h.RunningSupervisor()
			if !up {
				fmt.Fprintln(cmd.OutOrStdout(), "the site is not up")
				return nil
			}
			if err := id.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
				return &exitError{exitUnavailable, fmt.Errorf("end process %d: %w", id.PID, err)}
			}
			for end := time.Now().Add(time.Minute); id.IsRunning(); time.Sleep(50 * time.Millisecond) {
				if time.Now().After(end) {
					return &exitError{exitUnavailable, fmt.Errorf("process %d does not end", id.PID)}
				}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the site has ended")
			return nil
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// callMachinePool asks the pool of the site on this machine.
func (a *apiClient) callMachinePool(method, path string, response any) error {
	if a.site == nil {
		return &exitError{2, errors.New("this is for a site on this machine: use --data, and no --server")}
	}
	return a.sendTo([]string{a.site.MachinePoolAddr}, method, path, nil, response)
}

// workerSilenceLimit is after how long of a worker's silence nobody waits for it any more.
const workerSilenceLimit = 30 * time.Second

func drainCommand() *cobra.Command {
	var wait bool
	cmd := userCommand("drain", "Start nothing more on this site; what runs goes on to its end",
		"Start nothing more on this site; what runs goes on to its end. Jobs are accepted still, and wait. It lasts over\n"+
			"restarts, until undrain.", cobra.NoArgs, func(a *apiClient, _ []string) error {
			var overview machinepool.Overview
			if err := a.callMachinePool("POST", "/site/drain", &overview); err != nil {
				return err
			}
			// A worker that greeted nobody once had this wait for ever. A pool that has just started
			// knows no worker yet.
			for lastReport := time.Now(); wait && overview.MachineCount > 0; {
				if !overview.AllWorkersSilentFor(workerSilenceLimit) {
					lastReport = time.Now()
				}
				if time.Since(lastReport) > workerSilenceLimit {
					return &exitError{
						exitUnavailable,
						fmt.Errorf("the worker has not been heard for %v; the drain goes on (see gullrudder doctor)", workerSilenceLimit),
					}
				}
				time.Sleep(500 * time.Millisecond)
				if err := a.callMachinePool("GET", "/site", &overview); err != nil {
					return err
				}
			}
			return a.show(overview, func(w io.Writer) { fmt.Fprintln(w, formatDrainState(overview)) })
		})
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until nothing runs any more")
	return cmd
}

func formatDrainState(o machinepool.Overview) string {
	switch {
	case !o.IsDraining:
		return "in use"
	case o.MachineCount > 0:
		return fmt.Sprintf("draining: %d tasks run still", o.RunningTasks)
	}
	return "drained: nothing runs"
}

func undrainCommand() *cobra.Command {
	return userCommand("undrain", "Use this site again after a drain", "", cobra.NoArgs, func(a *apiClient, _ []string) error {
		var overview machinepool.Overview
		if err := a.callMachinePool("POST", "/site/undrain", &overview); err != nil {
			return err
		}
		return a.show(overview, func(w io.Writer) { fmt.Fprintln(w, formatDrainState(overview)) })
	})
}

func poolCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "pool", Short: "Run a site's pool: its machines as a cloud, and the jobs' descriptions", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			h, err := datadir.Open(siteDir(data))
			if err != nil {
				return &exitError{2, err}
			}
			s, err := machinepool.NewService(
				h.Path(),
				machinepool.Options{Zone: h.Zone, HourlyPrice: h.HourlyPrice},
				h.MinFreeDiskMB<<20,
				newLogger(os.Stderr, siteLogLevel()).With("part", "pool"),
			)
			if err != nil {
				return &exitError{exitUnavailable, err}
			}
			return &exitError{exitUnavailable, s.Serve(h.MachinePoolAddr)}
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// siteLogLevel is info for a site's own parts where nothing else is asked for.
func siteLogLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

func workerCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "worker", Short: "Run a site's worker: it runs the tasks", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			h, err := datadir.Open(siteDir(data))
			if err != nil {
				return &exitError{2, err}
			}
			log := newLogger(os.Stderr, siteLogLevel()).With("part", "worker")
			as, err := taskCredential(h)
			if err != nil {
				return &exitError{2, err}
			}
			controllers := map[string]string{}
			for _, n := range h.Controllers {
				controllers[n.Name] = n.PublicAddr
			}
			r, err := agent.NewRuntime(agent.Options{
				Addr: h.WorkerAddr, Type: fmt.Sprintf("own-%g-%g", h.CPUs, h.MemoryGB), Zone: h.Zone, CPUs: h.CPUs, MemoryGB: h.MemoryGB,
				Controllers: controllers, HeartbeatInterval: datadir.HeartbeatInterval, LeaseDuration: datadir.WorkerLeaseDuration,
			},
				agent.RuntimeOptions{DataDir: h.Path("worker"), Name: "worker", MachinePoolAddr: h.MachinePoolAddr, Credential: as, MinFreeDisk: h.MinFreeDiskMB << 20}, log)
			if err != nil {
				return &exitError{exitUnavailable, err}
			}
			ends := make(chan error, 1)
			go func() { ends <- r.Run() }()
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			select {
			case <-signals:
				r.Close()
				return nil
			case err := <-ends:
				r.Close()
				return &exitError{exitUnavailable, err}
			}
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// checkResult is what doctor says of one thing.
type checkResult struct {
	subject, state, remedy string
}

func doctorCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "doctor", Short: "Check the site on this machine, and say what to do", Args: cobra.NoArgs,
		Long: "Check the site on this machine, and say what to do. Exit code 1 if anything is wrong.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			wrong := 0
			for _, f := range checkSite(siteDir(data)) {
				mark := "ok   "
				if f.remedy != "" {
					mark = "WRONG"
					wrong++
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s  %s: %s\n", mark, f.subject, f.state)
				if f.remedy != "" {
					fmt.Fprintf(cmd.OutOrStdout(), "       %s\n", f.remedy)
				}
			}
			if wrong > 0 {
				return &exitError{exitRefused, fmt.Errorf("%d things are wrong", wrong)}
			}
			return nil
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// checkSite looks at everything that a site needs.
func checkSite(dir string) []checkResult {
	h, err := datadir.Open(dir)
	if err != nil {
		return []checkResult{{"site", err.Error(), "gullrudder up --data " + dir}}
	}
	results := []checkResult{{"site", fmt.Sprintf("%s, made by %s, this is %s", h.Path(), h.ProgramVersion, version), ""}}
	add := func(what, state, do string, good bool) {
		if good {
			do = ""
		}
		results = append(results, checkResult{what, state, do})
	}
	if free, err := datadir.FreeDisk(h.Path()); err != nil {
		add("disk", err.Error(), "see that the directory can be read", false)
	} else {
		free >>= 20
		add("disk", fmt.Sprintf("%d MB free, %d are kept", free, h.MinFreeDiskMB),
			"delete what is not needed, first under "+h.Path("worker", "work")+": outputs of tasks", free >= 2*h.MinFreeDiskMB)
	}
	probe := h.Path("doctor")
	err = os.WriteFile(probe, []byte("x"), 0o600)
	add("writing", fmt.Sprint(h.Path()), "let this user write there", errors.Join(err, os.Remove(probe)) == nil)
	var lim unix.Rlimit
	err = unix.Getrlimit(unix.RLIMIT_NOFILE, &lim)
	add("open files", fmt.Sprintf("%d allowed", lim.Cur), "raise it to 1024 at least (ulimit -n)", err == nil && lim.Cur >= 1024)
	id, up := h.RunningSupervisor()
	add("supervisor", map[bool]string{true: fmt.Sprintf("process %d", id.PID), false: "not running"}[up], "gullrudder up --data "+h.Path(), up)
	for _, p := range []struct{ name, addr string }{{"state", h.StateAddr}, {"pool", h.MachinePoolAddr}, {"worker", h.WorkerAddr}, {h.Controllers[0].Name, h.Controllers[0].PublicAddr}} {
		conn, err := net.DialTimeout("tcp4", p.addr, time.Second)
		if err == nil {
			conn.Close()
		}
		state, do := "answers at "+p.addr, "see "+h.Path("log", p.name+".log")
		if err != nil {
			state = err.Error()
		}
		if !up {
			l, err := net.Listen("tcp4", p.addr)
			if err == nil {
				l.Close()
				continue // not up, and its port is free
			}
			state, do = "another program has "+p.addr, "end it, or remove "+h.Path("site.xml")+" to have the site choose other ports"
		}
		add(p.name, state, do, err == nil && up)
	}
	if up {
		a := &apiClient{servers: []string{h.Controllers[0].PublicAddr}, client: http1.NewClient(1, 1, http1.MaxBodyBytes), retryTimeout: 3 * time.Second}
		var st controller.Status
		err := a.get("/status", &st)
		add("leader", orDash(st.Leader), "see "+h.Path("log", h.Controllers[0].Name+".log"), err == nil && st.Leader != "")
	}
	return results
}

func installCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use:   "install FILE",
		Short: "Write a service unit that runs the site, to the file that is named and nothing else",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			dir, err := filepath.Abs(siteDir(data))
			if err != nil {
				return err
			}
			unit := "[Unit]\nDescription=gullrudder, a cluster scheduler for small sites\nAfter=network.target\n\n[Service]\nExecStart=" + program + " up --data " + dir +
				"\nRestart=on-failure\nKillMode=mixed\nTimeoutStopSec=60\n\n[Install]\nWantedBy=multi-user.target\n"
			if err := os.WriteFile(args[0], []byte(unit), 0o644); err != nil {
				return &exitError{2, err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "written: %s\n", args[0])
			return nil
		},
	}
	dataFlag(cmd, &data)
	return cmd
}
