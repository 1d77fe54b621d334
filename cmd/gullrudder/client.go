package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"gullrudder/internal/controller"
	"gullrudder/internal/site/datadir"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"

	"github.com/spf13/cobra"
)

// Exit codes, besides 0 and 2 for wrong usage or settings.
const (
	exitRefused     = 1
	exitUnavailable = 3
)

// apiClient is a user's side of the protocol.
type apiClient struct {
	servers        []string // one is asked after another
	server, output string
	dataDir        string // of a site on this machine
	retryTimeout   time.Duration
	client         *http1.Client
	site           *datadir.Site // of the site on this machine, if no controller was named
	out            io.Writer
}

// jobStatus is what the controllers say of a job.
type jobStatus struct {
	ID           string `msgpack:"id" json:"id"`
	State        string `msgpack:"trim" json:"state"`
	Admission    string `msgpack:"label" json:"label,omitempty"`
	DoneTasks    *int   `msgpack:"done" json:"done,omitempty"`
	RunningTasks *int   `msgpack:"running" json:"running,omitempty"`
}

func apiFlags(cmd *cobra.Command, a *apiClient) {
	a.client = http1.NewClient(1, 1, http1.MaxBodyBytes)
	cmd.Flags().StringVar(&a.server, "server", os.Getenv("GULLRUDDER_SERVER"), "address of a controller, host:port (or GULLRUDDER_SERVER)")
	cmd.Flags().StringVar(&a.dataDir, "data", os.Getenv("GULLRUDDER_DATA"), "directory of a site on this machine, as for up (or GULLRUDDER_DATA)")
	cmd.Flags().StringVar(&a.output, "output", "table", "table or json")
	cmd.Flags().DurationVar(&a.retryTimeout, "patience", time.Minute, "how long to go on asking when the service cannot answer")
}

func (a *apiClient) resolveServers() error {
	if a.server != "" {
		a.servers = []string{a.server}
	} else {
		h, err := datadir.Open(siteDir(a.dataDir))
		if err != nil {
			return &exitError{2, fmt.Errorf("no controller is named with --server or GULLRUDDER_SERVER, and %w", err)}
		}
		a.site = h
		for _, n := range h.Controllers {
			a.servers = append(a.servers, n.PublicAddr)
		}
	}
	if a.output != "table" && a.output != "json" {
		return fmt.Errorf("--output %s: not table or json", a.output)
	}
	return nil
}

// request sends a request, and again for as long as the protocol has users do.
func (a *apiClient) request(method, path string, body []byte) (*http1.Message, error) {
	return a.requestFrom(a.servers, method, path, body)
}

func (a *apiClient) requestFrom(servers []string, method, path string, body []byte) (*http1.Message, error) {
	end := time.Now().Add(a.retryTimeout)
	for try := 0; ; try++ {
		msg, err := a.client.Do(servers[try%len(servers)], method, path, body, 5*time.Second)
		if err == nil &&
			(msg.Status < 300 || msg.Status == 400 || msg.Status == 404 || msg.Status == 405 || msg.Status == 409 || msg.Status == 422) {
			return msg, nil
		}
		wait := time.Second
		if err == nil {
			wait = min(max(wait, msg.RetryAfter), 30*time.Second)
			err = fmt.Errorf("the service answers %d%s", msg.Status, errorDetail(msg.Body))
		}
		if time.Now().Add(wait).After(end) {
			return nil, &exitError{exitUnavailable, err}
		}
		time.Sleep(wait)
	}
}

func errorDetail(body []byte) string {
	var e struct {
		Error string `msgpack:"error"`
	}
	if codec.Unmarshal(body, &e) != nil || e.Error == "" {
		return ""
	}
	return ": " + e.Error
}

// showJobFrom asks for something that is answered with a job.
func (a *apiClient) showJobFrom(method, path string, body []byte) error {
	var j jobStatus
	if err := a.send(method, path, body, &j); err != nil {
		return err
	}
	return a.showJob(j)
}

func (a *apiClient) showJob(j jobStatus) error {
	return a.show(j, func(w io.Writer) {
		fmt.Fprintln(w, "JOB\tSTATE\tLABEL\tDONE\tRUNNING")
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", j.ID, j.State, orDash(j.Admission), formatCount(j.DoneTasks), formatCount(j.RunningTasks))
	})
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatCount(n *int) string {
	if n == nil {
		return "-"
	}
	return fmt.Sprint(*n)
}

func (a *apiClient) show(value any, table func(io.Writer)) error {
	if a.output == "json" {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// userCommand makes a command that takes one argument and speaks to a controller.
func userCommand(use, short, long string, args cobra.PositionalArgs, run func(a *apiClient, args []string) error) *cobra.Command {
	a := &apiClient{}
	cmd := &cobra.Command{Use: use, Short: short, Long: long, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
		if err := a.resolveServers(); err != nil {
			return err
		}
		a.out = cmd.OutOrStdout()
		return run(a, args)
	}}
	apiFlags(cmd, a)
	return cmd
}

func showCommand() *cobra.Command {
	return userCommand("show JOB", "Show a job's state", "", cobra.ExactArgs(1), func(a *apiClient, args []string) error {
		return a.showJobFrom("GET", "/work/"+escapePathSegment(args[0]), nil)
	})
}

// cancelCommand cancels a job. Scripts of before call it by its old name, which is not listed.
func cancelCommand(isOldName bool) *cobra.Command {
	name := "cancel JOB"
	if isOldName {
		name = "withdraw JOB"
	}
	cmd := userCommand(name, "Cancel a job", "", cobra.ExactArgs(1), func(a *apiClient, args []string) error {
		return a.showJobFrom("POST", "/work/"+escapePathSegment(args[0])+"/withdraw", nil)
	})
	cmd.Hidden = isOldName
	return cmd
}

// escapePathSegment keeps an id that is none from becoming another path.
func escapePathSegment(id string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || strings.ContainsRune("/?#%", r) {
			return '_'
		}
		return r
	}, id)
}

func statusCommand() *cobra.Command {
	return userCommand("status", "Show what a controller knows: leader, budgets, fleet, queue, latencies", "", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			msg, err := a.request("GET", "/status", nil)
			if err != nil {
				return err
			}
			var s controller.Status
			if err := codec.Unmarshal(msg.Body, &s); err != nil {
				return &exitError{exitUnavailable, fmt.Errorf("the answer cannot be read: %w", err)}
			}
			return a.show(s, func(w io.Writer) { statusTable(w, s) })
		})
}

func statusTable(w io.Writer, s controller.Status) {
	fmt.Fprintf(w, "node\t%s\nleader\t%s\n", s.Controller, orDash(s.Leader))
	if s.FencingToken > 0 {
		fmt.Fprintf(
			w,
			"token\t%d\nplacing\t%v\nstate service ok\t%v\njobs\t%d\njobs finished\t%d, %d runs sealed\ntasks waiting\t%d\ntasks placed\t%d\n",
			s.FencingToken,
			s.Placing,
			s.StateServiceHealthy,
			s.Jobs,
			s.FinishedJobs,
			s.ArchiveSegments,
			s.WaitingTasks,
			s.PlacedTasks,
		)
	}
	b := s.Budgets
	fmt.Fprintf(
		w,
		"budgets\tstate %g/s, changes %g/s, cloud %g/s, %d connections, %g MB\n",
		b.StateRequestRate,
		b.StateWriteRate,
		b.CloudRequestRate,
		b.Connections,
		b.MemoryMB,
	)
	if len(s.Machines) > 0 {
		fmt.Fprintln(w, "\nMACHINE\tTYPE\tZONE\tSPOT\tSTATE\tTASKS\tCPUS")
		for _, m := range s.Machines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%d\t%g\n", m.ID, m.Type, m.Zone, m.Spot, m.State, m.Tasks, m.UsedCPUs)
		}
	}
	if len(s.Latencies) > 0 {
		fmt.Fprintln(w, "\nREQUEST\tCOUNT\tP50 MS\tP99 MS\tMAX MS")
		for _, l := range s.Latencies {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", l.Kind, l.Count, l.P50, l.P99, l.Max)
		}
	}
}
