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
	cmd := userCommand("settings", "Show the options in effect and their changes",
		"Show the options in effect, and who changed which of them when.", cobra.NoArgs,
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
	cmd := userCommand("apply FILE", "Apply an options file to all controllers",
		"Apply FILE to all controllers without a restart.\n\n"+
			"FILE is an options file of the operators, as for serve --options, of at most 1 KiB.\n"+
			"Either all options of FILE take effect or none.\n"+
			"An option that FILE does not name gets its default.\n"+
			"FILE must name leader-lease and promise with the values of the controllers' own files,\n"+
			"unless these are the defaults.\n"+
			"The change needs an author: set --who if USER is not set.",
		cobra.ExactArgs(1), func(a *apiClient, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return &exitError{exitUsage, fmt.Errorf("read the options file: %w", err)}
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
	cmd.Flags().StringVar(&author, "who", os.Getenv("USER"), "author of the change, recorded in the history of changes (required; env USER)")
	return cmd
}

func printSettings(out *printer, view dynamicconfig.View) {
	source := "the controllers' own options files"
	if view.Version > 0 {
		source = fmt.Sprintf("version %d", view.Version)
	}
	out.printf("source\t%s\n", source)
	for _, value := range view.Values {
		out.printf("%s\t%g\n", value.Name, value.Value)
	}
	if len(view.Changes) > 0 {
		out.println("\nVERSION\tAPPLIED AT (UTC)\tAUTHOR\tCHANGES")
	}
	for _, change := range view.Changes {
		appliedAt := time.Unix(change.AppliedAt, 0).UTC().Format(time.DateTime)
		out.printf("%d\t%s\t%s\t%s\n", change.Version, appliedAt, change.Author, strings.Join(change.Details, ", "))
	}
}
