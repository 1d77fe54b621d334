package main

import (
	"encoding/json"
	"net/http"
	"time"

	"gullrudder/internal/site/machinepool"

	"github.com/spf13/cobra"
)

func failuresCommand() *cobra.Command {
	return userCommand("failures", "Show the last failed tasks of this site",
		"Show the last failed tasks of this site, the newest first, with the end of their error output.", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			failures, err := a.listFailures()
			if err != nil {
				return err
			}
			return a.show(failures, func(p *printer) { printFailures(p, failures) })
		})
}

// listFailures returns the failures that the machine pool of the local site has stored, the newest first.
func (a *apiClient) listFailures() ([]machinepool.Failure, error) {
	var list machinepool.FailureList
	if err := a.callMachinePool(http.MethodGet, failuresPath, &list); err != nil {
		return nil, err
	}
	failures := []machinepool.Failure{}
	for _, encoded := range list.EncodedFailures {
		var failure machinepool.Failure
		if err := json.Unmarshal([]byte(encoded), &failure); err != nil {
			return nil, &exitError{exitUnavailable, err}
		}
		failures = append(failures, failure)
	}
	return failures, nil
}

func printFailures(out *printer, failures []machinepool.Failure) {
	for _, failure := range failures {
		finishedAt := failure.FinishedAt.UTC().Format(time.DateTime)
		out.printf("%s\texit %d\t%s\t%s\n", failure.Task, failure.ExitCode, finishedAt, failure.Reason)
		if failure.ErrorOutput != "" {
			out.println(failure.ErrorOutput)
		}
	}
}
