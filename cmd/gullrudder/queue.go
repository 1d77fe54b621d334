package main

import (
	"net/url"
	"strconv"

	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

const defaultListedJobs = 50

func queueCommand() *cobra.Command {
	var team, class string
	var limit int
	cmd := userCommand("queue", "List waiting jobs in scheduling order",
		"List waiting jobs in scheduling order.\n\n"+
			"START WITHIN: the longest wait for the first task, as computed at acceptance.\n"+
			"It counts from the submission, or from the end of the jobs that the job depends on.\n"+
			"RANK: why the job has its place.\n"+
			"The number of jobs that missed START WITHIN includes jobs of all teams and classes.",
		cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			query := url.Values{"most": {strconv.Itoa(limit)}}
			setIfGiven(query, "team", team)
			setIfGiven(query, "class", class)
			var queue api.Queue
			if err := a.get("/queue?"+query.Encode(), &queue); err != nil {
				return err
			}
			return a.show(queue, func(p *printer) {
				p.printf("jobs waiting: %d; jobs that missed START WITHIN under this leader: %d\n", queue.Total, queue.MissedStartBounds)
				printQueuedJobs(p, queue.Jobs, "JOB")
			})
		})
	cmd.Flags().StringVar(&team, "team", "", "list only jobs of this team; empty: all teams")
	cmd.Flags().StringVar(&class, "class", "", "list only jobs of this class; empty: all classes")
	cmd.Flags().IntVar(&limit, "most", defaultListedJobs, "maximum number of jobs to list, 1 to 200")
	return cmd
}

// setIfGiven sets a parameter of a query unless the value is empty.
func setIfGiven(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}

// printQueuedJobs prints a table of jobs, or nothing if there are none. The title is the header of its first column.
func printQueuedJobs(out *printer, jobs []api.QueuedJob, title string) {
	if len(jobs) == 0 {
		return
	}
	out.printf("%s\tTEAM\tCLASS\tWAITING TASKS\tRUNNING TASKS\tAGE\tSTART WITHIN\tRANK\n", title)
	for _, job := range jobs {
		out.printf("%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", job.ID, job.Team, job.Class, job.WaitingTasks, job.RunningTasks,
			formatSeconds(job.AgeSeconds), formatSeconds(job.FirstStartBoundSeconds), job.Rank)
	}
}
