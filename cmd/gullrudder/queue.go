package main

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/api"
	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/wire/codec"

	"github.com/spf13/cobra"
)

// get asks for something that is answered with v.
func (a *apiClient) get(path string, response any) error { return a.send("GET", path, nil, response) }

func (a *apiClient) send(method, path string, body []byte, response any) error {
	return a.sendTo(a.servers, method, path, body, response)
}

func (a *apiClient) sendTo(servers []string, method, path string, body []byte, response any) error {
	msg, err := a.requestFrom(servers, method, path, body)
	if err != nil {
		return err
	}
	if msg.Status >= 300 {
		return &exitError{exitRefused, fmt.Errorf("refused with %d%s", msg.Status, errorDetail(msg.Body))}
	}
	if err := codec.Unmarshal(msg.Body, response); err != nil {
		return &exitError{exitUnavailable, fmt.Errorf("the answer cannot be read: %w", err)}
	}
	return nil
}

func formatSeconds(s float64) string {
	if s <= 0 {
		return "-"
	}
	return (time.Duration(s) * time.Second).String()
}

func explainCommand() *cobra.Command {
	return userCommand("explain JOB", "Show why a job waits, what stands before it, and how long it can wait at worst", "",
		cobra.ExactArgs(1), func(a *apiClient, args []string) error {
			var x api.Explanation
			if err := a.get("/work/"+escapePathSegment(args[0])+"/explain", &x); err != nil {
				return err
			}
			return a.show(x, func(w io.Writer) { explainTable(w, x) })
		})
}

func explainTable(w io.Writer, x api.Explanation) {
	fmt.Fprintf(w, "job\t%s, %s\n", x.ID, x.State)
	if x.Team != "" {
		fmt.Fprintf(
			w,
			"team, class\t%s, %s\ntasks\t%d wait, %d run, %d done\nwaits since\t%s\n",
			x.Team,
			x.Class,
			x.QueuedJob.WaitingTasks,
			x.RunningTasks,
			x.DoneTasks,
			formatSeconds(x.AgeSeconds),
		)
	}
	if x.Position > 0 {
		fmt.Fprintf(w, "standing\t%s\nplace\t%d of those that wait, %.0f CPU seconds before it\n", x.Rank, x.Position, x.CPUSecondsAhead)
	}
	if x.FirstStartBoundSeconds > 0 {
		late := ""
		if x.MissedStartBound {
			late = ": MISSED, see the operators' page on waiting"
		}
		fmt.Fprintf(
			w,
			"stated when accepted\tfirst start within %s, last within %s%s\n",
			formatSeconds(x.FirstStartBoundSeconds),
			formatSeconds(x.LastStartBoundSeconds),
			late,
		)
	} else if x.Team != "" {
		fmt.Fprintln(w, "stated when accepted\tno bound: nothing that it can use was there, or it is a service")
	}
	if len(x.TimeShares) > 0 {
		fmt.Fprintf(w, "its time so far\t%s\n", formatTimeShares(x.TimeShares))
	}
	for _, r := range x.Reasons {
		fmt.Fprintf(w, "because\t%s\n", r)
	}
	for _, r := range x.Remedies {
		fmt.Fprintf(w, "would change it\t%s\n", r)
	}
	queueTable(w, x.JobsAhead, "\nFIRST OF THOSE BEFORE IT")
}

func queueCommand() *cobra.Command {
	var team, class string
	var most int
	cmd := userCommand("queue", "List the jobs that wait, in the order in which they get room", "", cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			q := url.Values{"most": {strconv.Itoa(most)}}
			if team != "" {
				q.Set("team", team)
			}
			if class != "" {
				q.Set("class", class)
			}
			var queue api.Queue
			if err := a.get("/queue?"+q.Encode(), &queue); err != nil {
				return err
			}
			return a.show(queue, func(w io.Writer) {
				fmt.Fprintf(w, "%d jobs wait; %d have waited longer than was stated\n", queue.Total, queue.MissedStartBounds)
				queueTable(w, queue.Jobs, "JOB")
			})
		})
	cmd.Flags().StringVar(&team, "team", "", "only those of a team")
	cmd.Flags().StringVar(&class, "class", "", "only those of a class")
	cmd.Flags().IntVar(&most, "most", 50, "how many to list, at most 200")
	return cmd
}

func queueTable(w io.Writer, rows []api.QueuedJob, title string) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintf(w, "%s\tTEAM\tCLASS\tWAIT\tRUN\tAGE\tFIRST START BY\tSTANDING\n", title)
	for _, j := range rows {
		fmt.Fprintf(
			w,
			"%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n",
			j.ID,
			j.Team,
			j.Class,
			j.WaitingTasks,
			j.RunningTasks,
			formatSeconds(j.AgeSeconds),
			formatSeconds(j.FirstStartBoundSeconds),
			j.Rank,
		)
	}
}

func settingsCommand() *cobra.Command {
	cmd := userCommand(
		"settings",
		"Show the settings that count, and who changed what",
		"",
		cobra.NoArgs,
		func(a *apiClient, _ []string) error {
			var s dynamicconfig.View
			if err := a.get("/settings", &s); err != nil {
				return err
			}
			return a.show(s, func(w io.Writer) { settingsTable(w, s) })
		},
	)
	var who string
	apply := userCommand("apply FILE", "Have other settings count, on all controllers, without a restart",
		"The file has the form of serve's --options. It is taken as a whole or not at all; what it does not name gets its default.",
		cobra.ExactArgs(1), func(a *apiClient, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return &exitError{2, fmt.Errorf("settings: %w", err)}
			}
			body, err := codec.Marshal(dynamicconfig.ChangeRequest{Author: who, Text: string(text)})
			if err != nil {
				return err
			}
			var s dynamicconfig.View
			if err := a.send("POST", "/settings", body, &s); err != nil {
				return err
			}
			return a.show(s, func(w io.Writer) { settingsTable(w, s) })
		})
	apply.Flags().StringVar(&who, "who", os.Getenv("USER"), "who changes them, for the record")
	cmd.AddCommand(apply)
	return cmd
}

func settingsTable(w io.Writer, s dynamicconfig.View) {
	from := "the controllers' own files"
	if s.Version > 0 {
		from = fmt.Sprintf("version %d", s.Version)
	}
	fmt.Fprintf(w, "from\t%s\n", from)
	for _, v := range s.Values {
		fmt.Fprintf(w, "%s\t%g\n", v.Name, v.Value)
	}
	if len(s.Changes) > 0 {
		fmt.Fprintln(w, "\nVERSION\tWHEN\tWHO\tWHAT")
	}
	for _, c := range s.Changes {
		fmt.Fprintf(
			w,
			"%d\t%s\t%s\t%s\n",
			c.Version,
			time.Unix(c.AppliedAt, 0).UTC().Format(time.DateTime),
			c.Author,
			strings.Join(c.Details, ", "),
		)
	}
}
