package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/wire/codec"

	"github.com/spf13/cobra"
)

func settingsCommand() *cobra.Command {
	cmd := userCommand("settings", "Show the settings that count, and who changed what", "", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			var view dynamicconfig.View
			if err := a.get("/settings", &view); err != nil {
				return err
			}
			return a.show(view, func(p *printer) { printSettings(p, view) })
		})
	cmd.AddCommand(applySettingsCommand())
	return cmd
}

func applySettingsCommand() *cobra.Command {
	var author string
	cmd := userCommand("apply FILE", "Have other settings count, on all controllers, without a restart",
		"The file has the form of serve's --options. It is taken as a whole or not at all; what it does not name gets its default.",
		cobra.ExactArgs(1), func(a *apiClient, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return &exitError{exitUsage, fmt.Errorf("settings: %w", err)}
			}
			body, err := codec.Marshal(dynamicconfig.ChangeRequest{Author: author, Text: string(text)})
			if err != nil {
				return err
			}
			var view dynamicconfig.View
			if err := a.send(http.MethodPost, "/settings", body, &view); err != nil {
				return err
			}
			return a.show(view, func(p *printer) { printSettings(p, view) })
		})
	cmd.Flags().StringVar(&author, "who", os.Getenv("USER"), "who changes them, for the record")
	return cmd
}

func printSettings(out *printer, view dynamicconfig.View) {
	source := "the controllers' own files"
	if view.Version > 0 {
		source = fmt.Sprintf("version %d", view.Version)
	}
	out.printf("from\t%s\n", source)
	for _, value := range view.Values {
		out.printf("%s\t%g\n", value.Name, value.Value)
	}
	if len(view.Changes) > 0 {
		out.println("\nVERSION\tWHEN\tWHO\tWHAT")
	}
	for _, change := range view.Changes {
		appliedAt := time.Unix(change.AppliedAt, 0).UTC().Format(time.DateTime)
		out.printf("%d\t%s\t%s\t%s\n", change.Version, appliedAt, change.Author, strings.Join(change.Details, ", "))
	}
}
