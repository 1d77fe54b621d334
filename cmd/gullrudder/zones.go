package main

import (
	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func zonesCommand() *cobra.Command {
	return userCommand("zones", "Show each zone's connection state",
		"Show each zone's connection state.\n\n"+
			"STATE is one of:\n"+
			"  bright: heartbeats arrive.\n"+
			"  doubtful: heartbeats of many machines are overdue and none arrived lately.\n"+
			"    No instances are requested there.\n"+
			"  partly away: heartbeats of many machines are overdue, those of others arrive.\n"+
			"  cut: no heartbeats arrive from the zone, but those of other zones do.\n"+
			"    Its machines are not relied on.\n"+
			"  returning: heartbeats arrive again. Instances are requested in growing steps.\n"+
			"Each earlier outage of the last 10 minutes doubles the time between these steps.\n\n"+
			"IN STATE: time since the state began.\n"+
			"LAST HEARTBEAT: time since the last heartbeat of any machine of the zone.\n"+
			"MACHINES: machines whose heartbeats are expected.\n"+
			"OVERDUE: those of them whose heartbeat is overdue.\n"+
			"OUTAGES: outages in the last 10 minutes. At most 5 are counted.",
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
