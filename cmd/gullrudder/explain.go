package main

import (
	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func explainCommand() *cobra.Command {
	return userCommand("explain JOB", "Show why a job waits and which jobs are ahead of it",
		"Show why a job waits, which jobs are ahead of it, and how long it can wait in the worst case.",
		cobra.ExactArgs(1), func(a *apiClient, args []string) error {
			var explanation api.Explanation
			if err := a.get("/work/"+escapePathSegment(args[0])+"/explain", &explanation); err != nil {
				return err
			}
			return a.show(explanation, func(p *printer) { printExplanation(p, explanation) })
		})
}

func printExplanation(out *printer, explanation api.Explanation) {
	out.printf("job\t%s, %s\n", explanation.ID, explanation.State)
	if explanation.Team != "" {
		out.printf("team, class\t%s, %s\ntasks\t%d waiting, %d running, %d done\nage\t%s\n",
			explanation.Team, explanation.Class, explanation.WaitingTasks, explanation.RunningTasks, explanation.DoneTasks,
			formatSeconds(explanation.AgeSeconds))
	}
	if explanation.Position > 0 {
		out.printf("rank\t%s\nposition\t%d in the queue, with %.0f CPU seconds of work ahead\n",
			explanation.Rank, explanation.Position, explanation.CPUSecondsAhead)
	}
	printStartBounds(out, explanation)
	if len(explanation.TimeShares) > 0 {
		out.printf("time spent so far\t%s\n", formatTimeShares(explanation.TimeShares))
	}
	for _, reason := range explanation.Reasons {
		out.printf("reason\t%s\n", reason)
	}
	for _, remedy := range explanation.Remedies {
		out.printf("remedy\t%s\n", remedy)
	}
	printQueuedJobs(out, explanation.JobsAhead, "\nFIRST JOBS AHEAD")
}

// printStartBounds prints the bounds on the wait for the job's first and last start, as stated at its acceptance.
func printStartBounds(out *printer, explanation api.Explanation) {
	switch {
	case explanation.FirstStartBoundSeconds > 0:
		missed := ""
		if explanation.MissedStartBound {
			missed = ": MISSED, see the operations page on waiting"
		}
		out.printf("bound at acceptance\tfirst start within %s, last start within %s%s\n",
			formatSeconds(explanation.FirstStartBoundSeconds), formatSeconds(explanation.LastStartBoundSeconds), missed)
	case explanation.Team != "":
		out.println("bound at acceptance\tnone: there was no usable capacity, the job is a service, or it has ended")
	}
}
