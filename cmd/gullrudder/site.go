package main

import (
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"syscall"

	"gullrudder/internal/site/datadir"

	"github.com/spf13/cobra"
)

// defaultSiteDir is the directory of a site in the user's home directory.
const defaultSiteDir = ".gullrudder"

// siteDir returns the directory of a site on this machine: that of --data, or the default.
func siteDir(data string) string {
	if data != "" {
		return data
	}
	userHome, err := os.UserHomeDir()
	if err != nil {
		return defaultSiteDir
	}
	return filepath.Join(userHome, defaultSiteDir)
}

func dataFlag(cmd *cobra.Command, data *string) {
	cmd.Flags().StringVar(data, "data", os.Getenv("GULLRUDDER_DATA"),
		"data directory of the site (env GULLRUDDER_DATA); empty: ~/.gullrudder")
}

// openSite opens the site in the directory of --data.
func openSite(data string) (*datadir.Site, error) {
	site, err := datadir.Open(siteDir(data))
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	return site, nil
}

// taskCredential returns the credential that tasks run with; nil means that of the site's own processes.
func taskCredential(site *datadir.Site) (*syscall.Credential, error) {
	if os.Getuid() != 0 || site.TaskUser == "root" {
		return nil, nil
	}
	account, err := user.Lookup(site.TaskUser)
	if err != nil {
		return nil, err
	}
	uid, err := strconv.ParseUint(account.Uid, 10, 32)
	if err != nil {
		return nil, err
	}
	gid, err := strconv.ParseUint(account.Gid, 10, 32)
	return &syscall.Credential{Uid: uint32(uid), Gid: uint32(gid)}, err
}

// siteLogLevel returns the log level of a site's own processes: LOG_LEVEL, or info if that is not set.
func siteLogLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}
