package main

import (
	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func servedCommand() *cobra.Command {
	return userCommand("served", "Show the share of done jobs by class and team",
		"Show the share of done jobs by class and team, lowest first. DONE JOBS counts recent jobs most. OVERDUE JOBS can no longer meet\n"+
			"any objective; ALLOCATED JOBS of them have reserved capacity. 'behind': below option floor-least, gets floor-share first.",
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
