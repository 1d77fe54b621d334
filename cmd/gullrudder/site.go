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
	var w datadir.Wishes
	cmd := &cobra.Command{
		Use: "up", Short: "Run a whole site on this machine, in the foreground", Args: cobra.NoArgs,
		Long: "Run a whole site on this machine: state service, pool, controllers and a worker, each started again when it ends.\n" +
			"The first run makes the directory; the flags besides --data count only then. SIGTERM or an interrupt ends it.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			h, err := datadir.Make(siteDir(data), w, version)
			if err != nil {
				return &failure{exitUnavailable, err}
			}
			return up(cmd.OutOrStdout(), h)
		},
	}
	dataFlag(cmd, &data)
	cmd.Flags().Float64Var(&w.CPUs, "cpus", 0, "CPUs that tasks may take; 0: all")
	cmd.Flags().Float64Var(&w.MemGB, "mem", 0, "memory that tasks may take, in GB; 0: all but one")
	cmd.Flags().IntVar(&w.Controllers, "controllers", 1, "controllers, 1 or 3")
	cmd.Flags().StringVar(&w.As, "as", "", "user that tasks run as where the site runs as root; empty: nobody")
	return cmd
}

// up runs the parts of a site until it is told to end.
func up(out io.Writer, h *datadir.Home) error {
	lock, err := h.Lock()
	if err != nil {
		return &failure{exitUnavailable, err}
	}
	defer lock.Close()
	if err := reachable(h); err != nil {
		return &failure{2, err}
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	parts := []supervisor.Part{
		{Name: "state", Args: []string{"state", "--data", h.Dir("state"), "--listen", h.State}},
		{Name: "pool", Args: []string{"pool", "--data", h.Dir()}},
	}
	for i, n := range h.Controllers {
		parts = append(parts, supervisor.Part{Name: n.Name, Args: []string{"serve", "--config", h.Controller(i), "--options", h.Options()}})
	}
	parts = append(parts, supervisor.Part{Name: "worker", Args: []string{"worker", "--data", h.Dir()}})
	log := logger(os.Stderr, "info")
	s, err := supervisor.New(program, h.Dir(), h.ID, parts, log)
	if err != nil {
		return &failure{exitUnavailable, err}
	}
	if err := h.Supervised(); err != nil {
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
		a := &apiClient{servers: []string{h.Controllers[0].Public}, client: http1.NewClient(1, 1, http1.MaxBodyBytes), patience: time.Minute}
		for {
			var st controller.Status
			if a.get("/status", &st) == nil && st.Leader != "" {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprintf(out, "up after %.1f s: %g CPUs, %g GB, controller at %s\ntry: gullrudder submit --data %s --wait -- echo hello\n",
			time.Since(began).Seconds(), h.CPUs, h.MemGB, h.Controllers[0].Public, h.Dir())
	}()
	s.Run()
	return nil
}

// reachable reports whether the user that tasks run as can get to the site's directory.
func reachable(h *datadir.Home) error {
	as, err := taskUser(h)
	if err != nil || as == nil {
		return err
	}
	for dir := h.Dir(); dir != filepath.Dir(dir); dir = filepath.Dir(dir) {
		st, err := os.Stat(dir)
		if err != nil {
			return err
		}
		if st.Mode().Perm()&0o001 == 0 {
			return fmt.Errorf("tasks run as %s, who cannot get into %s: use another --data, or up --as root", h.As, dir)
		}
	}
	return nil
}

// taskUser is whom tasks run as: nil for the user that the site runs as.
func taskUser(h *datadir.Home) (*syscall.Credential, error) {
	if os.Getuid() != 0 || h.As == "root" {
		return nil, nil
	}
	u, err := user.Lookup(h.As)
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
				return &failure{2, err}
			}
			id, up := h.Running()
			if !up {
				fmt.Fprintln(cmd.OutOrStdout(), "the site is not up")
				return nil
			}
			if err := id.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
				return &failure{exitUnavailable, fmt.Errorf("end process %d: %w", id.PID, err)}
			}
			for end := time.Now().Add(time.Minute); id.IsAlive(); time.Sleep(50 * time.Millisecond) {
				if time.Now().After(end) {
					return &failure{exitUnavailable, fmt.Errorf("process %d does not end", id.PID)}
				}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the site has ended")
			return nil
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// siteCall asks the pool of the site on this machine.
func (a *apiClient) siteCall(method, path string, v any) error {
	if a.home == nil {
		return &failure{2, errors.New("this is for a site on this machine: use --data, and no --server")}
	}
	return a.sendTo([]string{a.home.Pool}, method, path, nil, v)
}

// workerGone is after how long of a worker's silence nobody waits for it any more.
const workerGone = 30 * time.Second

func drainCommand() *cobra.Command {
	var wait bool
	cmd := userCommand("drain", "Start nothing more on this site; what runs goes on to its end",
		"Start nothing more on this site; what runs goes on to its end. Jobs are accepted still, and wait. It lasts over\n"+
			"restarts, until undrain.", cobra.NoArgs, func(a *apiClient, _ []string) error {
			var o machinepool.Overview
			if err := a.siteCall("POST", "/site/drain", &o); err != nil {
				return err
			}
			// A worker that greeted nobody once had this wait for ever. A pool that has just started
			// knows no worker yet.
			for heard := time.Now(); wait && o.Rented > 0; {
				if !o.Unheard(workerGone) {
					heard = time.Now()
				}
				if time.Since(heard) > workerGone {
					return &failure{
						exitUnavailable,
						fmt.Errorf("the worker has not been heard for %v; the drain goes on (see gullrudder doctor)", workerGone),
					}
				}
				time.Sleep(500 * time.Millisecond)
				if err := a.siteCall("GET", "/site", &o); err != nil {
					return err
				}
			}
			return a.show(o, func(w io.Writer) { fmt.Fprintln(w, drained(o)) })
		})
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until nothing runs any more")
	return cmd
}

func drained(o machinepool.Overview) string {
	switch {
	case !o.Draining:
		return "in use"
	case o.Rented > 0:
		return fmt.Sprintf("draining: %d tasks run still", o.Busy)
	}
	return "drained: nothing runs"
}

func undrainCommand() *cobra.Command {
	return userCommand("undrain", "Use this site again after a drain", "", cobra.NoArgs, func(a *apiClient, _ []string) error {
		var o machinepool.Overview
		if err := a.siteCall("POST", "/site/undrain", &o); err != nil {
			return err
		}
		return a.show(o, func(w io.Writer) { fmt.Fprintln(w, drained(o)) })
	})
}

func poolCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "pool", Short: "Run a site's pool: its machines as a cloud, and the jobs' descriptions", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			h, err := datadir.Open(siteDir(data))
			if err != nil {
				return &failure{2, err}
			}
			s, err := machinepool.NewService(
				h.Dir(),
				machinepool.Options{Zone: h.Zone, Price: h.Price},
				h.KeepFreeMB<<20,
				logger(os.Stderr, logLevel()).With("part", "pool"),
			)
			if err != nil {
				return &failure{exitUnavailable, err}
			}
			return &failure{exitUnavailable, s.Serve(h.Pool)}
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// logLevel is info for a site's own parts where nothing else is asked for.
func logLevel() string {
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
				return &failure{2, err}
			}
			log := logger(os.Stderr, logLevel()).With("part", "worker")
			as, err := taskUser(h)
			if err != nil {
				return &failure{2, err}
			}
			controllers := map[string]string{}
			for _, n := range h.Controllers {
				controllers[n.Name] = n.Public
			}
			report, lease := h.Spans()
			r, err := agent.NewRuntime(agent.Options{
				Addr: h.Worker, Type: fmt.Sprintf("own-%g-%g", h.CPUs, h.MemGB), Zone: h.Zone, CPUs: h.CPUs, MemoryGB: h.MemGB,
				Controllers: controllers, HeartbeatInterval: report, LeaseDuration: lease,
			},
				agent.RuntimeOptions{DataDir: h.Dir("worker"), Name: "worker", MachinePoolAddr: h.Pool, Credential: as, MinFreeDisk: h.KeepFreeMB << 20}, log)
			if err != nil {
				return &failure{exitUnavailable, err}
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
				return &failure{exitUnavailable, err}
			}
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// finding is what doctor says of one thing.
type finding struct {
	what, state, do string
}

func doctorCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "doctor", Short: "Check the site on this machine, and say what to do", Args: cobra.NoArgs,
		Long: "Check the site on this machine, and say what to do. Exit code 1 if anything is wrong.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			wrong := 0
			for _, f := range examine(siteDir(data)) {
				mark := "ok   "
				if f.do != "" {
					mark = "WRONG"
					wrong++
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s  %s: %s\n", mark, f.what, f.state)
				if f.do != "" {
					fmt.Fprintf(cmd.OutOrStdout(), "       %s\n", f.do)
				}
			}
			if wrong > 0 {
				return &failure{exitRefused, fmt.Errorf("%d things are wrong", wrong)}
			}
			return nil
		},
	}
	dataFlag(cmd, &data)
	return cmd
}

// examine looks at everything that a site needs.
func examine(dir string) []finding {
	h, err := datadir.Open(dir)
	if err != nil {
		return []finding{{"site", err.Error(), "gullrudder up --data " + dir}}
	}
	list := []finding{{"site", fmt.Sprintf("%s, made by %s, this is %s", h.Dir(), h.Program, version), ""}}
	add := func(what, state, do string, good bool) {
		if good {
			do = ""
		}
		list = append(list, finding{what, state, do})
	}
	if free, err := datadir.FreeDisk(h.Dir()); err != nil {
		add("disk", err.Error(), "see that the directory can be read", false)
	} else {
		free >>= 20
		add("disk", fmt.Sprintf("%d MB free, %d are kept", free, h.KeepFreeMB),
			"delete what is not needed, first under "+h.Dir("worker", "work")+": outputs of tasks", free >= 2*h.KeepFreeMB)
	}
	probe := h.Dir("doctor")
	err = os.WriteFile(probe, []byte("x"), 0o600)
	add("writing", fmt.Sprint(h.Dir()), "let this user write there", errors.Join(err, os.Remove(probe)) == nil)
	var lim unix.Rlimit
	err = unix.Getrlimit(unix.RLIMIT_NOFILE, &lim)
	add("open files", fmt.Sprintf("%d allowed", lim.Cur), "raise it to 1024 at least (ulimit -n)", err == nil && lim.Cur >= 1024)
	id, up := h.Running()
	add("supervisor", map[bool]string{true: fmt.Sprintf("process %d", id.PID), false: "not running"}[up], "gullrudder up --data "+h.Dir(), up)
	for _, p := range []struct{ name, addr string }{{"state", h.State}, {"pool", h.Pool}, {"worker", h.Worker}, {h.Controllers[0].Name, h.Controllers[0].Public}} {
		conn, err := net.DialTimeout("tcp4", p.addr, time.Second)
		if err == nil {
			conn.Close()
		}
		state, do := "answers at "+p.addr, "see "+h.Dir("log", p.name+".log")
		if err != nil {
			state = err.Error()
		}
		if !up {
			l, err := net.Listen("tcp4", p.addr)
			if err == nil {
				l.Close()
				continue // not up, and its port is free
			}
			state, do = "another program has "+p.addr, "end it, or remove "+h.Dir("site.xml")+" to have the site choose other ports"
		}
		add(p.name, state, do, err == nil && up)
	}
	if up {
		a := &apiClient{servers: []string{h.Controllers[0].Public}, client: http1.NewClient(1, 1, http1.MaxBodyBytes), patience: 3 * time.Second}
		var st controller.Status
		err := a.get("/status", &st)
		add("leader", orDash(st.Leader), "see "+h.Dir("log", h.Controllers[0].Name+".log"), err == nil && st.Leader != "")
	}
	return list
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
				return &failure{2, err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "written: %s\n", args[0])
			return nil
		},
	}
	dataFlag(cmd, &data)
	return cmd
}
