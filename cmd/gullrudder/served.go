package main

import (
	"fmt"
	"io"

	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func servedCommand() *cobra.Command {
	return userCommand("served", "Show which class and which team is served least",
		"DONE counts jobs of the last minutes, what is longer ago counting ever less; LATE are jobs that can keep none of their\n"+
			"aims any more. Below the least share (floor-least) a class or team has room ahead of others (floor-share).", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			var list api.ServedShares
			if err := a.get("/served", &list); err != nil {
				return err
			}
			return a.show(list, func(w io.Writer) { servedTable(w, list) })
		})
}

func servedTable(w io.Writer, list api.ServedShares) {
	fmt.Fprintln(w, "\tNAME\tSERVED\tDONE\tLATE\tWITH ROOM OF THEIR OWN")
	for _, g := range list.Groups {
		kind, mark := "class", ""
		switch {
		case g.IsTeam:
			kind = "team"
		case g.IsLargestJobs:
			kind = "largest of class"
		}
		if g.Share < list.MinShare {
			mark = "behind"
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f %%\t%.1f\t%d\t%d\t%s\n", kind, g.Name, 100*g.Share, g.DoneJobs, g.UnservedJobs, g.AllocatedJobs, mark)
	}
}
