package main

import (
	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func servedCommand() *cobra.Command {
	return userCommand("served", "Show the share of done jobs by class and team",
		"Show the share of done jobs by class and team, lowest first.\n\n"+
			"DONE SHARE: DONE JOBS as a share of DONE JOBS and OVERDUE JOBS together.\n"+
			"DONE JOBS: recently done jobs. Each counts less as time passes (option floor-window).\n"+
			"OVERDUE JOBS: jobs overdue by so much that they count against DONE SHARE.\n"+
			"ALLOCATED JOBS: overdue jobs that have allocated capacity.\n"+
			"They include overdue jobs that do not count against DONE SHARE yet.\n\n"+
			"A job is overdue if it can no longer meet any of its objectives, or has waited too long.\n"+
			"If it has waited too long, it counts against DONE SHARE at once.\n"+
			"Otherwise it counts once it has waited a quarter longer than its longest objective allows.\n\n"+
			"behind: DONE SHARE is below option floor-least.\n"+
			"Overdue jobs of a class or team that is behind can get up to floor-share of the CPUs.",
		cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			var shares api.ServedShares
			if err := a.get("/served", &shares); err != nil {
				return err
			}
			return a.show(shares, func(p *printer) { printServedShares(p, shares) })
		})
}

func printServedShares(out *printer, shares api.ServedShares) {
	out.println("KIND\tNAME\tDONE SHARE\tDONE JOBS\tOVERDUE JOBS\tALLOCATED JOBS")
	for _, group := range shares.Groups {
		kind, behind := "class", ""
		switch {
		case group.IsTeam:
			kind = "team"
		case group.IsLargestJobs:
			kind = "largest of class"
		}
		if group.Share < shares.MinShare {
			behind = "behind"
		}
		out.printf("%s\t%s\t%.0f %%\t%.1f\t%d\t%d\t%s\n",
			kind, group.Name, 100*group.Share, group.DoneJobs, group.StarvedJobs, group.AllocatedJobs, behind)
	}
}
