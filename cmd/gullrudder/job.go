package main

import (
	"net/http"

	"github.com/spf13/cobra"
)

// jobStatus is a job as the controllers answer.
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

// cancelCommand cancels a job. Its old name, which earlier scripts use, is not listed.
func cancelCommand(isOldName bool) *cobra.Command {
	use := "cancel JOB"
	if isOldName {
		use = "withdraw JOB"
	}
	cmd := userCommand(use, "Cancel a job", "", cobra.ExactArgs(1), func(a *apiClient, args []string) error {
		return a.showJobFrom(http.MethodPost, cancelPath(args[0]), nil)
	})
	cmd.Hidden = isOldName
	return cmd
}

func cancelPath(job string) string { return "/work/" + escapePathSegment(job) + "/withdraw" }

// showJobFrom sends a request that is answered with a job, and prints that.
func (a *apiClient) showJobFrom(method, path string, body []byte) error {
	var job jobStatus
	if err := a.send(method, path, body, &job); err != nil {
		return err
	}
	return a.showJob(job)
}

func (a *apiClient) showJob(job jobStatus) error {
	return a.show(job, func(p *printer) {
		p.println("JOB\tSTATE\tLABEL\tDONE\tRUNNING")
		p.printf("%s\t%s\t%s\t%s\t%s\n",
			job.ID, job.State, orDash(job.Admission), formatCount(job.DoneTasks), formatCount(job.RunningTasks))
	})
}
