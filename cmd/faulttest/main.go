// Command faulttest is home of long measurements, experiments and random faults. It starts only
// processes of this project, on loopback, and ends only those.
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
		applianceCommand(),
		scaleCommand(),
		famineCommand(),
		troublesCommand(),
		upgradeCommand(),
		pipelinesCommand(),
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "faulttest:", err)
		os.Exit(1)
	}
}
