// Command faulttest runs fault-injection, upgrade and load tests, in simulations and with real processes. It starts and kills only
// processes of this project, which listen on loopback addresses.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "faulttest", Short: "Run fault-injection, upgrade and load tests", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(
		crashCommand(),
		commitsCommand(),
		restartCommand(),
		leadersCommand(),
		siteCommand(),
		scaleCommand(),
		capacityLossCommand(),
		faultsCommand(),
		upgradeCommand(),
		pipelinesCommand(),
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "faulttest:", err)
		os.Exit(1)
	}
}
