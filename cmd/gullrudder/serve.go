package main

import (
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

// metricsRestartDelay is the delay before a failed metrics server is started again.
const metricsRestartDelay = time.Second

// configFiles are the settings files of a controller.
type configFiles struct{ platform, operators string }

func (f *configFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.platform, "config", "", "settings file of the platform, JSON (required)")
	cmd.Flags().StringVar(&f.operators, "options", "", "options file of the operators, XML; empty: default options")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // programming error: the flag is not defined
	}
}

func (f *configFiles) load() (*config.Platform, config.Options, error) {
	platform, err := config.LoadPlatform(f.platform)
	if err != nil {
		return nil, config.Options{}, &exitError{exitUsage, err}
	}
	options, err := config.LoadOptions(f.operators)
	if err != nil {
		return nil, config.Options{}, &exitError{exitUsage, err}
	}
	return platform, options, nil
}

func serveCommand() *cobra.Command {
	var files configFiles
	var metricsAddr string
	cmd := &cobra.Command{
		Use: "serve", Short: "Run a controller", Args: cobra.NoArgs,
		Long: "Run a controller. The controllers elect a leader, and the others forward requests to it.\n\n" +
			"The files are read when the controller starts.\n" +
			"Options that were applied with gullrudder settings apply replace those of the options file,\n" +
			"except for leader-lease and promise.\n" +
			"The environment variable LOG_LEVEL is error (default), info or debug.",
		RunE: func(*cobra.Command, []string) error {
			platform, options, err := files.load()
			if err != nil {
				return err
			}
			serve(platform, options, metricsAddr)
			return nil
		},
	}
	files.addFlags(cmd)
	cmd.Flags().StringVar(&metricsAddr, "metrics", "", "address to serve Prometheus metrics on, host:port; empty: no metrics")
	return cmd
}

// serve runs a controller until the process ends.
func serve(platform *config.Platform, options config.Options, metricsAddr string) {
	// The platform gives the process a share of one core.
	runtime.GOMAXPROCS(1)
	log := newLogger(os.Stderr, os.Getenv("LOG_LEVEL")).With(logkeys.Controller, platform.Name)
	now := time.Now()
	rng := rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(os.Getpid())))
	node := controller.New(platform, options, now, rng, log)
	if metricsAddr != "" {
		go serveMetrics(node, metricsAddr, log)
	}
	for _, warning := range controller.ConfigWarnings(platform) {
		log.Error("settings", "warning", warning)
	}
	log.Info("serving", "public", platform.PublicAddr, "peers", platform.PeerListenAddr)
	controller.NewRuntime(node, platform, log).Serve()
}

// serveMetrics serves the metrics until the process ends, and starts the server again if it fails.
func serveMetrics(node *controller.Controller, addr string, log *slog.Logger) {
	for {
		err := metrics.Serve(node.Registry(), addr, log)
		log.Error("metrics server failed, retrying", logkeys.Err, err)
		time.Sleep(metricsRestartDelay)
	}
}

// newLogger returns a logger of the level "info" or "debug". Any other level means "error".
func newLogger(out io.Writer, level string) *slog.Logger {
	minLevel := slog.LevelError
	switch level {
	case "info":
		minLevel = slog.LevelInfo
	case "debug":
		minLevel = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: minLevel}))
}

func checkCommand() *cobra.Command {
	var files configFiles
	cmd := &cobra.Command{
		Use: "check", Short: "Check the settings files of a controller", Args: cobra.NoArgs,
		Long: "Check the settings files of a controller without starting it.\n\n" +
			"The exit code is 2 if a file is invalid. A warning does not change the exit code.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform, _, err := files.load()
			if err != nil {
				return err
			}
			p := newPrinter(cmd.OutOrStdout())
			for _, warning := range controller.ConfigWarnings(platform) {
				p.println("warning: " + warning)
			}
			p.printf("ok: controller %s, %d other controllers, %d teams\n", platform.Name, len(platform.Peers), len(platform.Teams))
			return p.firstError()
		},
	}
	files.addFlags(cmd)
	return cmd
}
