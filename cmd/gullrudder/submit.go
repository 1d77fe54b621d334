package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"gullrudder/internal/site/datadir"
	"gullrudder/internal/wire/codec"

	"github.com/spf13/cobra"
)

// jobFlags are a job's, for those who write no job file.
type jobFlags struct {
	id, class, team, priority, workingDir  string
	tasks, retries                         int
	cpus, memoryGB                         float64
	deadline, estimate, checkpointDuration time.Duration
	env                                    map[string]string
	wait                                   bool
	after                                  []string
}

func submitCommand() *cobra.Command {
	var f jobFlags
	cmd := userCommand("submit FILE | submit [flags] -- COMMAND...", "Submit a job",
		"Submit a job: described by a JSON file with the fields of the protocol ('-' reads standard input), or a command,\n"+
			"in which {task} stands for the task's number. In a file, 'command' (a list), 'env', 'workdir', 'retries' and\n"+
			"'save_s' say what its tasks run on a site of one's own. The same file may be submitted again: the id makes it\n"+
			"one job; with another command it is refused.",
		cobra.MinimumNArgs(1), func(a *apiClient, args []string) error {
			fields, err := f.fields(args)
			if err != nil {
				return &exitError{2, err}
			}
			return a.submit(fields, f.wait)
		})
	cmd.Flags().StringVar(&f.id, "id", "", "id of the job, like job-000412; empty: one that is made from the time")
	cmd.Flags().StringVar(&f.class, "class", "job", "class of jobs")
	cmd.Flags().StringVar(&f.team, "team", datadir.DefaultTeam, "team whose limit applies")
	cmd.Flags().StringVar(&f.priority, "priority", "standard", "critical, high, standard or best_effort")
	cmd.Flags().StringVar(&f.workingDir, "workdir", "", "directory that the tasks run in; empty: one for each")
	cmd.Flags().IntVar(&f.tasks, "tasks", 1, "number of tasks")
	cmd.Flags().IntVar(&f.retries, "retries", 0, "how often a task that fails is repeated")
	cmd.Flags().Float64Var(&f.cpus, "cpus", 1, "CPUs of a task")
	cmd.Flags().Float64Var(&f.memoryGB, "mem", 0.5, "memory of a task, in GB")
	cmd.Flags().DurationVar(&f.deadline, "deadline", 0, "when the job should be complete, from now; 0: no deadline")
	cmd.Flags().DurationVar(&f.estimate, "estimate", time.Minute, "about how long a task runs")
	cmd.Flags().DurationVar(&f.checkpointDuration, "save", 0, "what a task needs to save when it is told to stop (SIGTERM); 0: it cannot")
	cmd.Flags().StringToStringVar(&f.env, "env", nil, "variables of the tasks' environment, NAME=value")
	cmd.Flags().StringSliceVar(&f.after, "after", nil,
		"jobs that have to be done before any task of this one starts; if one is cancelled, so is this one")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the job is over")
	// What stands after the first word is the command's own: its flags are not ours.
	cmd.Flags().SetInterspersed(false)
	return cmd
}

// fields are those of a job file, or what the flags make of a command. A single word that names a file
// ending in .json, or '-', is a job file.
func (f *jobFlags) fields(args []string) (map[string]any, error) {
	if len(args) == 1 && (args[0] == "-" || len(args[0]) > 5 && args[0][len(args[0])-5:] == ".json") {
		return readJobFile(args[0])
	}
	id := f.id
	if id == "" {
		id = "job-" + strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	fields := map[string]any{
		"id":         id,
		"berth":      f.class,
		"crew":       f.team,
		"rig":        "array",
		"heading":    f.priority,
		"strokes":    f.tasks,
		"cpus":       f.cpus,
		"cards":      0.0,
		"mem_gb":     f.memoryGB,
		"hull":       "none",
		"image_gb":   0.0,
		"keels":      nil,
		"harbour":    nil,
		"one_zone":   false,
		"spread":     false,
		"driftwood":  false,
		"voyage_s":   max(f.estimate, time.Second).Seconds(),
		"mooring_s":  0.0,
		"tieup_s":    f.checkpointDuration.Seconds(),
		"landfall_s": nil,
		"command":    args,
		"env":        f.env,
		"workdir":    f.workingDir,
		"retries":    f.retries,
		"save_s":     f.checkpointDuration.Seconds(),
	}
	if f.checkpointDuration > 0 {
		fields["mooring_s"] = f.estimate.Seconds()
	}
	if f.deadline > 0 {
		fields["landfall_s"] = f.deadline.Seconds()
	}
	if len(f.after) > 0 {
		fields["tows"] = f.after
	}
	return fields, nil
}

func readJobFile(path string) (map[string]any, error) {
	in := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("job file: %w", err)
		}
		defer f.Close()
		in = f
	}
	var fields map[string]any
	if err := json.NewDecoder(in).Decode(&fields); err != nil {
		return nil, fmt.Errorf("job file %s: %w", path, err)
	}
	return fields, nil
}

// specFields are what a site's workers run; the controllers do not read them.
var specFields = []string{"command", "env", "workdir", "retries", "save_s"}

// submit uploads the description first: a task must never start before it is there.
func (a *apiClient) submit(fields map[string]any, wait bool) error {
	if fields["command"] != nil {
		if a.site == nil {
			return &exitError{2, errors.New("a command needs a site of one's own: use --data")}
		}
		id, _ := fields["id"].(string)
		desc := map[string]any{"id": id, "tasks": fields["strokes"], "cpus": fields["cpus"], "mem_gb": fields["mem_gb"]}
		for _, name := range specFields {
			if fields[name] != nil {
				desc[name] = fields[name]
			}
		}
		// The order of a map's keys would make every upload another one.
		body, err := codec.MarshalSorted(desc)
		if err != nil {
			return &exitError{2, err}
		}
		msg, err := a.requestFrom([]string{a.site.MachinePoolAddr}, "POST", "/descriptions/"+escapePathSegment(id), body)
		if err != nil {
			return err
		}
		if msg.Status >= 300 {
			return &exitError{exitRefused, fmt.Errorf("the description is refused with %d%s", msg.Status, errorDetail(msg.Body))}
		}
	}
	for _, name := range specFields {
		delete(fields, name)
	}
	body, err := codec.Marshal(fields)
	if err != nil {
		return &exitError{2, err}
	}
	if !wait {
		return a.showJobFrom("POST", "/work", body)
	}
	var j jobStatus
	if err := a.send("POST", "/work", body, &j); err != nil {
		return err
	}
	for j.State != "done" && j.State != "cancelled" {
		time.Sleep(200 * time.Millisecond)
		if err := a.get("/work/"+escapePathSegment(j.ID), &j); err != nil {
			return err
		}
	}
	return a.showJob(j)
}
