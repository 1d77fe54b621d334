package main

import (
	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func zonesCommand() *cobra.Command {
	return userCommand("zones", "Show each zone's connection state",
		"Show each zone's connection state.\n\nbright: heartbeats arrive\ndoubtful: many are overdue\npartly away: many overdue, some arrive\n"+
			"cut: none arrive but other zones' do; not relied upon\nreturning: trusted in steps, later after each outage of the last 10 minutes",
		cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			var zones api.Zones
			if err := a.get("/zones", &zones); err != nil {
				return err
			}
			return a.show(zones, func(p *printer) { printZones(p, zones) })
		})
}

func printZones(out *printer, zones api.Zones) {
	out.println("ZONE\tSTATE\tIN STATE\tLAST HEARTBEAT\tMACHINES\tOVERDUE\tOUTAGES")
	for _, zone := range zones.Zones {
		out.printf("%s\t%s\t%.0f s\t%.1f s ago\t%d\t%d\t%d\n",
			zone.Name, zone.State, zone.StateSeconds, zone.LastHeartbeatSeconds, zone.Machines, zone.Overdue, zone.Outages)
	}
}
