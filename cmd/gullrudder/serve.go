package main

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/metrics"

	"github.com/spf13/cobra"
)

// version is set by the release build.
var version = "development"

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "gullrudder", Short: "A cluster scheduler for deadline jobs",
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

func settingsFlags(cmd *cobra.Command, platform, operators *string) {
	cmd.Flags().StringVar(platform, "config", "", "the platform's settings file (JSON)")
	cmd.Flags().StringVar(operators, "options", "", "the operators' own settings (XML)")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
}

func loadSettings(platform, operators string) (*config.Platform, config.Options, error) {
	cfg, err := config.LoadPlatform(platform)
	if err != nil {
		return nil, config.Options{}, &exitError{2, err}
	}
	opt, err := config.LoadOptions(operators)
	if err != nil {
		return nil, config.Options{}, &exitError{2, err}
	}
	return cfg, opt, nil
}

func serveCommand() *cobra.Command {
	var platform, operators, metricsAddress string
	cmd := &cobra.Command{
		Use: "serve", Short: "Run a controller", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, opt, err := loadSettings(platform, operators)
			if err != nil {
				return err
			}
			// The platform gives the process a share of one core.
			runtime.GOMAXPROCS(1)
			log := newLogger(os.Stderr, os.Getenv("LOG_LEVEL")).With(logkeys.Controller, cfg.Name)
			now := time.Now()
			rng := rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(os.Getpid())))
			n := controller.New(cfg, opt, now, rng, log)
			if metricsAddress != "" {
				go func() {
					for {
						log.Error("metrics are not served, and tried again", "error", metrics.Serve(n.Registry(), metricsAddress, log))
						time.Sleep(time.Second)
					}
				}()
			}
			for _, w := range controller.ConfigWarnings(cfg) {
				log.Error("settings", "warning", w)
			}
			log.Info("serving", "public", cfg.PublicAddr, "peers", cfg.PeerListenAddr)
			controller.NewRuntime(n, cfg, log).Serve()
			return nil
		},
	}
	settingsFlags(cmd, &platform, &operators)
	cmd.Flags().StringVar(&metricsAddress, "metrics", "", "serve figures for Prometheus at this address; empty: nowhere")
	return cmd
}

func newLogger(w io.Writer, level string) *slog.Logger {
	l := slog.LevelError
	switch level {
	case "info":
		l = slog.LevelInfo
	case "debug":
		l = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}

func checkCommand() *cobra.Command {
	var platform, operators string
	cmd := &cobra.Command{
		Use: "check", Short: "Check the settings files", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, _, err := loadSettings(platform, operators)
			if err != nil {
				return err
			}
			for _, w := range controller.ConfigWarnings(cfg) {
				fmt.Fprintln(cmd.OutOrStdout(), "warning:", w)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "ok: %s, %d other controllers, %d teams\n", cfg.Name, len(cfg.Peers), len(cfg.Teams))
			return err
		},
	}
	settingsFlags(cmd, &platform, &operators)
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "gullrudder %s (%s)\n", version, runtime.Version())
			return err
		},
	}
}
