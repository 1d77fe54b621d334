package main

import (
	"net/http"

	"github.com/spf13/cobra"
)

// jobStatus is the controllers' response about a job.
type jobStatus struct {
	ID           string `msgpack:"id" json:"id"`
	State        string `msgpack:"trim" json:"state"`
	Admission    string `msgpack:"label" json:"label,omitempty"`
	DoneTasks    *int   `msgpack:"done" json:"done,omitempty"`
	RunningTasks *int   `msgpack:"running" json:"running,omitempty"`
}

// isFinished reports whether the job's state is final.
func (j jobStatus) isFinished() bool { return j.State == "done" || j.State == "cancelled" }

func showCommand() *cobra.Command {
	return userCommand("show JOB", "Show a job's state", "", cobra.ExactArgs(1), func(a *apiClient, args []string) error {
		return a.showJobFrom(http.MethodGet, "/work/"+escapePathSegment(args[0]), nil)
	})
}

// cancelCommand returns the command that cancels a job, or its alias withdraw, which older scripts use and the help hides.
func cancelCommand(isLegacyAlias bool) *cobra.Command {
	use := "cancel JOB"
	if isLegacyAlias {
		use = "withdraw JOB"
	}
	cmd := userCommand(use, "Cancel a job", "", cobra.ExactArgs(1), func(a *apiClient, args []string) error {
		return a.showJobFrom(http.MethodPost, cancelPath(args[0]), nil)
	})
	cmd.Hidden = isLegacyAlias
	return cmd
}

func cancelPath(job string) string { return "/work/" + escapePathSegment(job) + "/withdraw" }

// showJobFrom sends a request whose response is a job, and prints the job.
func (a *apiClient) showJobFrom(method, path string, body []byte) error {
	var job jobStatus
	if err := a.send(method, path, body, &job); err != nil {
		return err
	}
	return a.showJob(job)
}

func (a *apiClient) showJob(job jobStatus) error {
	return a.show(job, func(p *printer) {
		p.println("JOB\tSTATE\tADMISSION\tDONE TASKS\tRUNNING TASKS")
		p.printf("%s\t%s\t%s\t%s\t%s\n",
			job.ID, job.State, orDash(job.Admission), formatCount(job.DoneTasks), formatCount(job.RunningTasks))
	})
}
