package main

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/api"

	"github.com/spf13/cobra"
)

func formatMilliseconds(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d < 10*time.Second {
		return d.String()
	}
	return d.Round(time.Second).String()
}

// formatTimeShares lists causes with their times.
func formatTimeShares(list []api.TimeShare) string {
	var parts []string
	for _, s := range list {
		parts = append(parts, s.Reason+" "+formatMilliseconds(s.Milliseconds))
	}
	return strings.Join(parts, ", ")
}

func accountCommand() *cobra.Command {
	var team, class string
	var since time.Duration
	cmd := userCommand("account", "Show where the time of finished jobs went, by team and class",
		"Each moment of a job, from its submission to its final state, is counted to one cause. Only jobs that ended under the\n"+
			"present leader are counted; `gullrudder explain JOB` shows the account of one.", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			q := url.Values{}
			for name, v := range map[string]string{"team": team, "class": class} {
				if v != "" {
					q.Set(name, v)
				}
			}
			if since > 0 {
				q.Set("since_s", strconv.FormatFloat(since.Seconds(), 'f', -1, 64))
			}
			var all api.Accounts
			if err := a.get("/account?"+q.Encode(), &all); err != nil {
				return err
			}
			return a.show(all, func(w io.Writer) { accountTable(w, all) })
		})
	cmd.Flags().StringVar(&team, "team", "", "only those of a team")
	cmd.Flags().StringVar(&class, "class", "", "only those of a class")
	cmd.Flags().DurationVar(&since, "since", 0, "only jobs that ended so long ago or later, as far as they are kept; 0: all")
	return cmd
}

func accountTable(w io.Writer, all api.Accounts) {
	fmt.Fprintf(w, "%d jobs are not finished and not counted\n", all.OpenJobs)
	for _, a := range all.Accounts {
		fmt.Fprintf(w, "\nTEAM %s, CLASS %s\t%d JOBS\tSHARE\tA JOB\n", a.Team, a.Class, a.JobCount)
		for _, s := range a.Shares {
			fmt.Fprintf(
				w,
				"%s\t%s\t%.1f %%\t%s\n",
				s.Reason,
				formatMilliseconds(s.Milliseconds),
				100*float64(s.Milliseconds)/float64(max(a.Milliseconds, 1)),
				formatMilliseconds(s.Milliseconds/int64(max(a.JobCount, 1))),
			)
		}
		fmt.Fprintf(w, "sum\t%s\t100 %%\t%s\n", formatMilliseconds(a.Milliseconds), formatMilliseconds(a.Milliseconds/int64(max(a.JobCount, 1))))
	}
}
