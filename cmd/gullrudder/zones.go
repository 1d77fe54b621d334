package main

import (
	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func zonesCommand() *cobra.Command {
	return userCommand("zones", "Show what is known of each zone's connection",
		"A zone is cut when nothing is heard of it while other zones are heard: what is there is not counted on. One that\n"+
			"returns is trusted by steps, later after each cut of the last ten minutes.", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			var zones api.Zones
			if err := a.get("/zones", &zones); err != nil {
				return err
			}
			return a.show(zones, func(p *printer) { printZones(p, zones) })
		})
}

func printZones(out *printer, zones api.Zones) {
	out.println("ZONE\tSTATE\tFOR\tHEARD\tMACHINES\tOVERDUE\tCUTS")
	for _, zone := range zones.Zones {
		out.printf("%s\t%s\t%.0f s\t%.1f s ago\t%d\t%d\t%d\n",
			zone.Name, zone.State, zone.StateSeconds, zone.LastHeartbeatSeconds, zone.Machines, zone.Overdue, zone.Outages)
	}
}
