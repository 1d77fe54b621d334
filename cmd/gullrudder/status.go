package main

import (
	"net/http"

	"gullrudder/internal/controller"

	"github.com/spf13/cobra"
)

func statusCommand() *cobra.Command {
	return userCommand("status", "Show what a controller knows: leader, budgets, fleet, queue, latencies", "", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			msg, err := a.requestFrom(a.servers, http.MethodGet, "/status", nil)
			if err != nil {
				return err
			}
			var status controller.Status
			if err := decode(msg, &status); err != nil {
				return err
			}
			return a.show(status, func(p *printer) { printStatus(p, status) })
		})
}

func printStatus(out *printer, status controller.Status) {
	out.printf("node\t%s\nleader\t%s\n", status.Controller, orDash(status.Leader))
	if status.FencingToken > 0 {
		out.printf("token\t%d\nplacing\t%v\nstate service ok\t%v\n", status.FencingToken, status.Placing, status.StateServiceHealthy)
		out.printf("jobs\t%d\njobs finished\t%d, %d runs sealed\n", status.Jobs, status.FinishedJobs, status.ArchiveSegments)
		out.printf("tasks waiting\t%d\ntasks placed\t%d\n", status.WaitingTasks, status.PlacedTasks)
	}
	b := status.Budgets
	out.printf("budgets\tstate %g/s, changes %g/s, cloud %g/s, %d connections, %g MB\n",
		b.StateRequestRate, b.StateWriteRate, b.CloudRequestRate, b.Connections, b.MemoryMB)
	if len(status.Machines) > 0 {
		out.println("\nMACHINE\tTYPE\tZONE\tSPOT\tSTATE\tTASKS\tCPUS")
	}
	for _, m := range status.Machines {
		out.printf("%s\t%s\t%s\t%v\t%s\t%d\t%g\n", m.ID, m.Type, m.Zone, m.Spot, m.State, m.Tasks, m.UsedCPUs)
	}
	if len(status.Latencies) > 0 {
		out.println("\nREQUEST\tCOUNT\tP50 MS\tP99 MS\tMAX MS")
	}
	for _, l := range status.Latencies {
		out.printf("%s\t%d\t%d\t%d\t%d\n", l.Kind, l.Count, l.P50, l.P99, l.Max)
	}
}
