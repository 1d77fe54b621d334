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

// metricsRestartDelay is the time after which the metrics' address is opened again.
const metricsRestartDelay = time.Second

// configFiles are the settings files of a controller.
type configFiles struct{ platform, operators string }

func (f *configFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.platform, "config", "", "the platform's settings file (JSON)")
	cmd.Flags().StringVar(&f.operators, "options", "", "the operators' own settings (XML)")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag does not exist: a fault of the program
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
	cmd.Flags().StringVar(&metricsAddr, "metrics", "", "serve figures for Prometheus at this address; empty: nowhere")
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

// serveMetrics serves the metrics until the process ends, and opens the address again if that fails.
func serveMetrics(node *controller.Controller, addr string, log *slog.Logger) {
	for {
		err := metrics.Serve(node.Registry(), addr, log)
		log.Error("metrics are not served, and tried again", logkeys.Err, err)
		time.Sleep(metricsRestartDelay)
	}
}

// newLogger returns a logger of the level "info" or "debug"; any other one is error.
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
		Use: "check", Short: "Check the settings files", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform, _, err := files.load()
			if err != nil {
				return err
			}
			p := newPrinter(cmd.OutOrStdout())
			for _, warning := range controller.ConfigWarnings(platform) {
				p.println("warning: " + warning)
			}
			p.printf("ok: %s, %d other controllers, %d teams\n", platform.Name, len(platform.Peers), len(platform.Teams))
			return p.firstError()
		},
	}
	files.addFlags(cmd)
	return cmd
}
