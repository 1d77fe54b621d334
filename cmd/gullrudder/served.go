package main

import (
	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func servedCommand() *cobra.Command {
	return userCommand("served", "Show which class and which team is served least",
		"DONE counts jobs of the last minutes, what is longer ago counting ever less; LATE are jobs that can keep none of their\n"+
			"aims any more. Below the least share (floor-least) a class or team has room ahead of others (floor-share).", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			var shares api.ServedShares
			if err := a.get("/served", &shares); err != nil {
				return err
			}
			return a.show(shares, func(p *printer) { printServedShares(p, shares) })
		})
}

func printServedShares(out *printer, shares api.ServedShares) {
	out.println("\tNAME\tSERVED\tDONE\tLATE\tWITH ROOM OF THEIR OWN")
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
			kind, group.Name, 100*group.Share, group.DoneJobs, group.UnservedJobs, group.AllocatedJobs, behind)
	}
}
