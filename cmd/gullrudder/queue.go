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
	cmd := userCommand("queue", "List the jobs that wait, in the order in which they get room", "", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			query := url.Values{"most": {strconv.Itoa(limit)}}
			setIfGiven(query, "team", team)
			setIfGiven(query, "class", class)
			var queue api.Queue
			if err := a.get("/queue?"+query.Encode(), &queue); err != nil {
				return err
			}
			return a.show(queue, func(p *printer) {
				p.printf("%d jobs wait; %d have waited longer than was stated\n", queue.Total, queue.MissedStartBounds)
				printQueuedJobs(p, queue.Jobs, "JOB")
			})
		})
	cmd.Flags().StringVar(&team, "team", "", "only those of a team")
	cmd.Flags().StringVar(&class, "class", "", "only those of a class")
	cmd.Flags().IntVar(&limit, "most", defaultListedJobs, "how many to list, at most 200")
	return cmd
}

// setIfGiven adds a parameter to a query unless it is empty.
func setIfGiven(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}

// printQueuedJobs prints a table of jobs, and nothing if there are none.
func printQueuedJobs(out *printer, jobs []api.QueuedJob, title string) {
	if len(jobs) == 0 {
		return
	}
	out.printf("%s\tTEAM\tCLASS\tWAIT\tRUN\tAGE\tFIRST START BY\tSTANDING\n", title)
	for _, job := range jobs {
		out.printf("%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", job.ID, job.Team, job.Class, job.WaitingTasks, job.RunningTasks,
			formatSeconds(job.AgeSeconds), formatSeconds(job.FirstStartBoundSeconds), job.Rank)
	}
}
