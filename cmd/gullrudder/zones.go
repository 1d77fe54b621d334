package main

import (
	"fmt"
	"io"

	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func zonesCommand() *cobra.Command {
	return userCommand("zones", "Show what is known of each zone's connection",
		"A zone is cut when nothing is heard of it while other zones are heard: what is there is not counted on. One that\n"+
			"returns is trusted by steps, later after each cut of the last ten minutes.", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			var list api.Zones
			if err := a.get("/zones", &list); err != nil {
				return err
			}
			return a.show(list, func(w io.Writer) {
				fmt.Fprintln(w, "ZONE\tSTATE\tFOR\tHEARD\tMACHINES\tOVERDUE\tCUTS")
				for _, z := range list.Zones {
					fmt.Fprintf(
						w,
						"%s\t%s\t%.0f s\t%.1f s ago\t%d\t%d\t%d\n",
						z.Name,
						z.State,
						z.StateSeconds,
						z.LastHeartbeatSeconds,
						z.Machines,
						z.Overdue,
						z.Outages,
					)
				}
			})
		})
}
