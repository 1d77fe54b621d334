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
	cmd := userCommand("account", "Show where the time of finished jobs went, by team and class",
		"Each moment of a job, from its submission to its final state, is counted to one cause. Only jobs that ended under the\n"+
			"present leader are counted; `gullrudder explain JOB` shows the account of one.", cobra.NoArgs,
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
	cmd.Flags().StringVar(&team, "team", "", "only those of a team")
	cmd.Flags().StringVar(&class, "class", "", "only those of a class")
	cmd.Flags().DurationVar(&since, "since", 0, "only jobs that ended so long ago or later, as far as they are kept; 0: all")
	return cmd
}

func printAccounts(out *printer, accounts api.Accounts) {
	out.printf("%d jobs are not finished and not counted\n", accounts.OpenJobs)
	for _, account := range accounts.Accounts {
		jobs, total := int64(max(account.JobCount, 1)), account.Milliseconds
		out.printf("\nTEAM %s, CLASS %s\t%d JOBS\tSHARE\tA JOB\n", account.Team, account.Class, account.JobCount)
		for _, share := range account.Shares {
			percent := 100 * float64(share.Milliseconds) / float64(max(total, 1))
			out.printf("%s\t%s\t%.1f %%\t%s\n",
				share.Reason, formatMilliseconds(share.Milliseconds), percent, formatMilliseconds(share.Milliseconds/jobs))
		}
		out.printf("sum\t%s\t100 %%\t%s\n", formatMilliseconds(total), formatMilliseconds(total/jobs))
	}
}
