package main

import (
	"net/url"
	"strconv"
	"time"

	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func accountCommand() *cobra.Command {
	var team, class string
	var since time.Duration
	cmd := userCommand("account", "Show what the time of finished jobs was spent on",
		"Show what the time of finished jobs was spent on, by team and class.\n\n"+
			"Each moment from submission to the final state counts towards one reason.\n"+
			"Only jobs that ended under the current leader are counted.\n"+
			"For one job, run gullrudder explain JOB.", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			query := url.Values{}
			setIfGiven(query, "team", team)
			setIfGiven(query, "class", class)
			if since > 0 {
				query.Set("since_s", strconv.FormatFloat(since.Seconds(), 'f', -1, 64))
			}
			var accounts api.Accounts
			if err := a.get("/account?"+query.Encode(), &accounts); err != nil {
				return err
			}
			return a.show(accounts, func(p *printer) { printAccounts(p, accounts) })
		})
	cmd.Flags().StringVar(&team, "team", "", "count only jobs of this team; empty: all teams")
	cmd.Flags().StringVar(&class, "class", "", "count only jobs of this class; empty: all classes")
	cmd.Flags().DurationVar(&since, "since", 0, "count only jobs that ended at most this long ago, as far as they are kept; 0: all")
	return cmd
}

func printAccounts(out *printer, accounts api.Accounts) {
	out.printf("unfinished jobs, not counted: %d\n", accounts.OpenJobs)
	for _, account := range accounts.Accounts {
		jobs, total := int64(max(account.JobCount, 1)), account.Milliseconds
		out.printf("\nTEAM %s, CLASS %s\tTOTAL TIME (JOBS: %d)\tSHARE\tTIME PER JOB\n", account.Team, account.Class, account.JobCount)
		for _, share := range account.Shares {
			percent := 100 * float64(share.Milliseconds) / float64(max(total, 1))
			out.printf("%s\t%s\t%.1f %%\t%s\n",
				share.Reason, formatMilliseconds(share.Milliseconds), percent, formatMilliseconds(share.Milliseconds/jobs))
		}
		out.printf("total\t%s\t100 %%\t%s\n", formatMilliseconds(total), formatMilliseconds(total/jobs))
	}
}
