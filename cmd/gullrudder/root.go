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
		Long: "A cluster scheduler for jobs with deadlines.\n\n" +
			"Exit codes:\n" +
			"  0  success\n" +
			"  1  the request was refused, or a check failed\n" +
			"  2  invalid usage or settings\n" +
			"  3  the service cannot answer\n" +
			"  4  the directory of a state service is damaged or in use",
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
