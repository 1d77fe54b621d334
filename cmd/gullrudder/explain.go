package main

import (
	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func explainCommand() *cobra.Command {
	return userCommand("explain JOB", "Show why a job waits, what stands before it, and how long it can wait at worst", "",
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
		out.printf("team, class\t%s, %s\ntasks\t%d wait, %d run, %d done\nwaits since\t%s\n",
			explanation.Team, explanation.Class, explanation.WaitingTasks, explanation.RunningTasks, explanation.DoneTasks,
			formatSeconds(explanation.AgeSeconds))
	}
	if explanation.Position > 0 {
		out.printf("standing\t%s\nplace\t%d of those that wait, %.0f CPU seconds before it\n",
			explanation.Rank, explanation.Position, explanation.CPUSecondsAhead)
	}
	printStartBounds(out, explanation)
	if len(explanation.TimeShares) > 0 {
		out.printf("its time so far\t%s\n", formatTimeShares(explanation.TimeShares))
	}
	for _, reason := range explanation.Reasons {
		out.printf("because\t%s\n", reason)
	}
	for _, remedy := range explanation.Remedies {
		out.printf("would change it\t%s\n", remedy)
	}
	printQueuedJobs(out, explanation.JobsAhead, "\nFIRST OF THOSE BEFORE IT")
}

// printStartBounds prints by when the job was stated to start when it was accepted.
func printStartBounds(out *printer, explanation api.Explanation) {
	switch {
	case explanation.FirstStartBoundSeconds > 0:
		missed := ""
		if explanation.MissedStartBound {
			missed = ": MISSED, see the operators' page on waiting"
		}
		out.printf("stated when accepted\tfirst start within %s, last within %s%s\n",
			formatSeconds(explanation.FirstStartBoundSeconds), formatSeconds(explanation.LastStartBoundSeconds), missed)
	case explanation.Team != "":
		out.println("stated when accepted\tno bound: nothing that it can use was there, or it is a service")
	}
}
