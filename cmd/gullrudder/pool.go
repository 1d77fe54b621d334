package main

import (
	"os"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/machinepool"
	"gullrudder/internal/units"

	"github.com/spf13/cobra"
)

func poolCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "pool", Short: "Run a site's machine pool and job description store", Args: cobra.NoArgs,
		Long: "Run a site's machine pool and job description store.\n" +
			"gullrudder up runs this command for each site.",
		RunE: func(*cobra.Command, []string) error {
			site, err := openSite(data)
			if err != nil {
				return err
			}
			log := newLogger(os.Stderr, siteLogLevel()).With(logkeys.Process, "pool")
			options := machinepool.Options{Zone: site.Zone, HourlyPrice: site.HourlyPrice}
			service, err := machinepool.NewService(site.Path(), options, site.MinFreeDiskMB*units.BytesPerMB, log)
			if err != nil {
				return &exitError{exitUnavailable, err}
			}
			return &exitError{exitUnavailable, service.Serve(site.MachinePoolAddr)}
		},
	}
	dataFlag(cmd, &data)
	return cmd
}
