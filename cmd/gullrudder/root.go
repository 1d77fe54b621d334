package main

import (
	"runtime"

	"github.com/spf13/cobra"
)

// version is set by the release build.
var version = "development"

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "gullrudder", Short: "A cluster scheduler for jobs with deadlines",
		SilenceUsage: true, SilenceErrors: true,
	}
	cmd.AddCommand(
		serveCommand(),
		checkCommand(),
		submitCommand(),
		showCommand(),
		cancelCommand(false),
		cancelCommand(true),
		explainCommand(),
		queueCommand(),
		accountCommand(),
		servedCommand(),
		zonesCommand(),
		settingsCommand(),
		statusCommand(),
		stateCommand(),
		upCommand(),
		downCommand(),
		drainCommand(),
		undrainCommand(),
		doctorCommand(),
		installCommand(),
		topCommand(),
		consoleCommand(),
		failuresCommand(),
		workerCommand(),
		poolCommand(),
		versionCommand(),
	)
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd.OutOrStdout())
			p.printf("gullrudder %s (%s)\n", version, runtime.Version())
			return p.firstError()
		},
	}
}
