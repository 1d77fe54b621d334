package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/site/datadir"
	"gullrudder/internal/wire/codec"

	"github.com/spf13/cobra"
)

// jobFlags are the flags that describe a job without a job file.
type jobFlags struct {
	id, class, team, priority, workingDir  string
	tasks, retries                         int
	cpus, memoryGB                         float64
	deadline, estimate, checkpointDuration time.Duration
	env                                    map[string]string
	wait                                   bool
	after                                  []string
}

// Names of job files.
const (
	stdinName     = "-"
	jobFileSuffix = ".json"
)

// specFields are the fields of a job file that only the workers of a site read.
var specFields = []string{"command", "env", "workdir", "retries", "save_s"}

// submitPollInterval is the time between two polls of submit --wait.
const submitPollInterval = 200 * time.Millisecond

func submitCommand() *cobra.Command {
	var f jobFlags
	cmd := userCommand("submit FILE | submit [flags] -- COMMAND...", "Submit a job",
		"Submit a job: a job file, or a command for the tasks to run.\n\n"+
			"FILE is a job file: JSON with the fields of the protocol.\n"+
			"Its name ends in .json, or is - for standard input.\n"+
			"The flags that describe a job have no effect on a job file.\n"+
			"Its fields command (a list), env, workdir, retries and save_s say what the tasks run\n"+
			"on a local site.\n\n"+
			"COMMAND is what each task runs. {task} in it stands for the task number, from 0.\n\n"+
			"Jobs with the same ID are the same job, so it is safe to submit a file again.\n"+
			"An ID that is in use with another command is refused.\n"+
			"A job is done when all of its tasks have ended, also if some failed.\n"+
			"gullrudder failures lists the failed tasks.",
		cobra.MinimumNArgs(1), func(a *apiClient, args []string) error {
			fields, err := f.jobFields(args)
			if err != nil {
				return &exitError{exitUsage, err}
			}
			return a.submit(fields, f.wait)
		})
	cmd.Flags().StringVar(&f.id, "id", "", "job ID such as job-000412; empty: generated from the time")
	cmd.Flags().StringVar(&f.class, "class", "job", "class of the job")
	cmd.Flags().StringVar(&f.team, "team", datadir.DefaultTeam, "team that owns the job and whose quota applies")
	cmd.Flags().StringVar(&f.priority, "priority", "standard", "priority: critical, high, standard or best_effort")
	cmd.Flags().StringVar(&f.workingDir, "workdir", "", "working directory of the tasks; empty: a separate one for each task")
	cmd.Flags().IntVar(&f.tasks, "tasks", 1, "number of tasks")
	cmd.Flags().IntVar(&f.retries, "retries", 0, "how often a task is run again after an exit status other than 0, before it counts as failed")
	cmd.Flags().Float64Var(&f.cpus, "cpus", 1, "CPUs of each task")
	cmd.Flags().Float64Var(&f.memoryGB, "mem", 0.5, "memory of each task, in GB")
	cmd.Flags().DurationVar(&f.deadline, "deadline", 0, "time from now until the job should be done; 0: no deadline")
	cmd.Flags().DurationVar(&f.estimate, "estimate", time.Minute, "expected run time of a task")
	cmd.Flags().DurationVar(&f.checkpointDuration, "save", 0, "time that a task needs to save its state after SIGTERM; 0: it cannot save")
	cmd.Flags().StringToStringVar(&f.env, "env", nil, "environment variables of the tasks, NAME=value")
	cmd.Flags().StringSliceVar(&f.after, "after", nil,
		"IDs of jobs that must be done before this job starts; if one is cancelled, this job is cancelled too")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the job is done or cancelled")
	// Flags after the first argument belong to the command that the tasks run.
	cmd.Flags().SetInterspersed(false)
	return cmd
}

// jobFields returns the fields of the job to submit: those of a job file if the only argument is "-" or ends in .json, and
// otherwise those of a job that runs the arguments as a command.
func (f *jobFlags) jobFields(args []string) (codec.Object, error) {
	if len(args) == 1 && isJobFile(args[0]) {
		return readJobFile(args[0])
	}
	return f.commandFields(args), nil
}

func isJobFile(arg string) bool {
	return arg == stdinName || len(arg) > len(jobFileSuffix) && strings.HasSuffix(arg, jobFileSuffix)
}

// commandFields returns the fields of a job that runs a command, under the names of the protocol.
func (f *jobFlags) commandFields(command []string) codec.Object {
	id := f.id
	if id == "" {
		id = "job-" + strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	fields := codec.Object{
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
		"command":    command,
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
	return fields
}

func readJobFile(path string) (fields codec.Object, err error) {
	input := os.Stdin
	if path != stdinName {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("job file: %w", err)
		}
		defer func() { _ = file.Close() }() // only read from
		input = file
	}
	if err := json.NewDecoder(input).Decode(&fields); err != nil {
		return nil, fmt.Errorf("job file %s: %w", path, err)
	}
	return fields, nil
}

// submit uploads the spec and then submits the job, since a task needs its spec when it starts. With wait it then waits until
// the job is finished.
func (a *apiClient) submit(fields codec.Object, wait bool) error {
	if fields["command"] != nil {
		if err := a.uploadSpec(fields); err != nil {
			return err
		}
	}
	maps.DeleteFunc(fields, func(name string, _ any) bool { return slices.Contains(specFields, name) })
	body, err := codec.Marshal(fields)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if !wait {
		return a.showJobFrom(http.MethodPost, "/work", body)
	}
	var job jobStatus
	if err := a.send(http.MethodPost, "/work", body, &job); err != nil {
		return err
	}
	return a.waitForJob(job)
}

// uploadSpec uploads the spec of the job's tasks to the machine pool.
func (a *apiClient) uploadSpec(fields codec.Object) error {
	if a.site == nil {
		return &exitError{exitUsage, errors.New("a command needs a local site: use --data DIR, without --server and GULLRUDDER_SERVER")}
	}
	id, _ := fields["id"].(string) // a job file without an ID is refused by the controllers
	// Sorted, since the machine pool refuses a repeated upload whose bytes differ as another spec.
	body, err := codec.MarshalSorted(specObject(id, fields))
	if err != nil {
		return &exitError{exitUsage, err}
	}
	msg, err := a.requestFrom([]string{a.site.MachinePoolAddr}, http.MethodPost, "/descriptions/"+escapePathSegment(id), body)
	if err != nil {
		return err
	}
	if isRefused(msg.Status) {
		return &exitError{exitRefused, fmt.Errorf("job description refused with status %d%s", msg.Status, errorDetail(msg.Body))}
	}
	return nil
}

// specObject returns the spec of a job with these fields; see agent.Spec.
func specObject(id string, fields codec.Object) codec.Object {
	spec := codec.Object{"id": id, "tasks": fields["strokes"], "cpus": fields["cpus"], "mem_gb": fields["mem_gb"]}
	for _, name := range specFields {
		if fields[name] != nil {
			spec[name] = fields[name]
		}
	}
	return spec
}

// waitForJob polls the job until it is finished, and prints it.
func (a *apiClient) waitForJob(job jobStatus) error {
	for !job.isFinished() {
		time.Sleep(submitPollInterval)
		if err := a.get("/work/"+escapePathSegment(job.ID), &job); err != nil {
			return err
		}
	}
	return a.showJob(job)
}
