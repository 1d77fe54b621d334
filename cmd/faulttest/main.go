// Command faulttest runs load and fault-injection tests and long measurements. It starts only
// processes of this project, on loopback, and kills only those.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "faulttest", Short: "Long measurements and random faults", SilenceUsage: true, SilenceErrors: true}
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
