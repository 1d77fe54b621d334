package main

import (
	"net/http"

	"gullrudder/internal/controller"

	"github.com/spf13/cobra"
)

func statusCommand() *cobra.Command {
	return userCommand("status", "Show a controller's view of the cluster",
		"Show a controller's view of the cluster: leader, jobs and tasks, request limits, machines and request latencies.", cobra.NoArgs,
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
	out.printf("controller\t%s\nleader\t%s\n", status.Controller, orDash(status.Leader))
	if status.FencingToken > 0 {
		out.printf("fencing token\t%d\nplacing tasks\t%v\nstate service ok\t%v\n",
			status.FencingToken, status.Placing, status.StateServiceHealthy)
		out.printf("unfinished jobs\t%d\nfinished jobs\t%d, %d archive segments\n", status.Jobs, status.FinishedJobs, status.ArchiveSegments)
		out.printf("waiting tasks\t%d\nplaced tasks\t%d\n", status.WaitingTasks, status.PlacedTasks)
	}
	b := status.Budgets
	out.printf("limits\tstate service %g requests/s, %g writes/s, cloud %g requests/s, %d connections, %g MB of memory\n",
		b.StateRequestRate, b.StateWriteRate, b.CloudRequestRate, b.Connections, b.MemoryMB)
	if len(status.Machines) > 0 {
		out.println("\nMACHINE\tTYPE\tZONE\tSPOT\tSTATE\tTASKS\tUSED CPUS")
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
