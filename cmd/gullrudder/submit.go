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

// jobFlags describe a job without a job file.
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
		"Submit a job: described by a JSON file with the fields of the protocol ('-' reads standard input), or a command,\n"+
			"in which {task} stands for the task's number. In a file, 'command' (a list), 'env', 'workdir', 'retries' and\n"+
			"'save_s' say what its tasks run on a site of one's own. The same file may be submitted again: the id makes it\n"+
			"one job; with another command it is refused.",
		cobra.MinimumNArgs(1), func(a *apiClient, args []string) error {
			fields, err := f.jobFields(args)
			if err != nil {
				return &exitError{exitUsage, err}
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
	// Flags after the first word belong to the command that the tasks run.
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
		defer func() { _ = file.Close() }() // it was only read
		input = file
	}
	if err := json.NewDecoder(input).Decode(&fields); err != nil {
		return nil, fmt.Errorf("job file %s: %w", path, err)
	}
	return fields, nil
}

// submit uploads the spec and then submits the job: a task must not start before its spec is there. With wait it then waits
// until the job is finished.
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

// uploadSpec sends what the tasks of the job run to the machine pool.
func (a *apiClient) uploadSpec(fields codec.Object) error {
	if a.site == nil {
		return &exitError{exitUsage, errors.New("a command needs a site of one's own: use --data")}
	}
	id, _ := fields["id"].(string) // a job file without an ID is refused by the controllers
	// With the keys in no fixed order the same spec would be refused as another one when it is uploaded again.
	body, err := codec.MarshalSorted(specObject(id, fields))
	if err != nil {
		return &exitError{exitUsage, err}
	}
	msg, err := a.requestFrom([]string{a.site.MachinePoolAddr}, http.MethodPost, "/descriptions/"+escapePathSegment(id), body)
	if err != nil {
		return err
	}
	if isRefused(msg.Status) {
		return &exitError{exitRefused, fmt.Errorf("the description is refused with %d%s", msg.Status, errorDetail(msg.Body))}
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

// waitForJob asks for the job until it is finished, and prints it.
func (a *apiClient) waitForJob(job jobStatus) error {
	for !job.isFinished() {
		time.Sleep(submitPollInterval)
		if err := a.get("/work/"+escapePathSegment(job.ID), &job); err != nil {
			return err
		}
	}
	return a.showJob(job)
}
