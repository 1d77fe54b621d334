package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
)

// unitTemplate is a systemd unit; its two values are the paths of the program and of the site's data directory.
const unitTemplate = `[Unit]
Description=gullrudder, a cluster scheduler for small sites
After=network.target

[Service]
ExecStart=%s up --data %s
Restart=on-failure
KillMode=mixed
TimeoutStopSec=60

[Install]
WantedBy=multi-user.target
`

func installCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use:   "install FILE",
		Short: "Write a systemd unit for the site",
		Long: "Write a systemd unit for the site to FILE.\n\n" +
			"Nothing else is changed: install and enable the unit with systemctl.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			dir, err := filepath.Abs(siteDir(data))
			if err != nil {
				return err
			}
			if err := os.WriteFile(args[0], fmt.Appendf(nil, unitTemplate, program, dir), 0o644); err != nil {
				return &exitError{exitUsage, err}
			}
			p := newPrinter(cmd.OutOrStdout())
			p.printf("wrote %s\n", args[0])
			return p.firstError()
		},
	}
	dataFlag(cmd, &data)
	return cmd
}
