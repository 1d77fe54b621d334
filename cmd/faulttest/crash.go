package main

import (
	"errors"
	"os"
	"time"

	"gullrudder/internal/simulator/crashtest"

	"github.com/spf13/cobra"
)

// crashRuns are the options of the command.
type crashRuns struct {
	runs, steps     int
	seed            uint64
	points, verbose bool
	path, dir       string
}

func crashCommand() *cobra.Command {
	options := crashRuns{}
	cmd := &cobra.Command{
		Use: "crash", Short: "Kill a state service and its controllers at random moments and check what comes back",
		Long: "Starts one gullrudder state and three gullrudder serve, with workers and a cloud of its own, runs jobs, and kills\n" +
			"processes at random moments, by preference inside snapshots, archiving and compaction. With --points it makes\n" +
			"short runs on a disk that loses what was not synced, crashed at every operation, --runs of them.",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if options.seed == 0 {
				options.seed = uint64(time.Now().UnixNano())
			}
			if options.points {
				return options.runCrashPoints(cmd)
			}
			return options.runKills(cmd)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&options.runs, "runs", 20, "how many kills, or with --points how many short runs")
	flags.IntVar(&options.steps, "steps", 30, "with --points: steps of a short run")
	flags.Uint64Var(&options.seed, "seed", 0, "seed of the random choices; 0: one that is printed")
	flags.BoolVar(&options.points, "points", false, "every crash point of short runs on a disk that loses unsynced writes")
	flags.BoolVar(&options.verbose, "verbose", false, "show the log of the processes")
	flags.StringVar(&options.path, "program", "", "the gullrudder program; it is built if none is given")
	flags.StringVar(&options.dir, "dir", "", "a directory for the run's files, which stays; a temporary one if none is given")
	return cmd
}

// runCrashPoints runs the command with --points.
func (o crashRuns) runCrashPoints(cmd *cobra.Command) error {
	points, tries := 0, 0
	for i := range o.runs {
		result, err := crashtest.RunCrashPoints(o.seed+uint64(i), o.steps)
		points, tries = points+result.CrashPoints, tries+result.Runs
		if err != nil {
			return err
		}
	}
	out := output{w: cmd.OutOrStdout()}
	out.printf("%d runs of %d steps, seeds from %d: %d crash points, %d tries, all as answered\n", o.runs, o.steps, o.seed, points, tries)
	return out.err
}

// runKills runs the command without --points.
func (o crashRuns) runKills(cmd *cobra.Command) (err error) {
	dir := o.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "faulttest-crash-"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	}
	path, err := program(o.path, dir)
	if err != nil {
		return err
	}
	bed, err := newTestbed(o.seed, path, dir, o.verbose)
	if err != nil {
		return err
	}
	defer bed.stop()
	began := time.Now()
	kills, err := o.killUntilBroken(cmd, bed)
	if err == nil {
		err = bed.users.drain(90 * time.Second)
	}
	close(bed.stopping)
	bed.wait.Wait()
	bed.checkProbes()
	_, _, violations := bed.cloud.History.Summary()
	violations = append(violations, bed.violations...)
	if err != nil {
		violations = append(violations, err.Error())
	}
	out := output{w: cmd.OutOrStdout()}
	bed.printSummary(&out, time.Since(began), kills, violations)
	if len(violations) > 0 {
		return errors.New("something was not as it was answered")
	}
	return out.err
}

// killUntilBroken starts the testbed and kills processes until a rule is broken or all runs are made.
func (o crashRuns) killUntilBroken(cmd *cobra.Command, bed *testbed) (kills int, err error) {
	began := time.Now()
	progress := output{w: cmd.ErrOrStderr()}
	for err = bed.start(); err == nil && kills < o.runs; {
		kills++
		if err = bed.killRandomProcess(); err == nil {
			bed.checkProbes()
		}
		if _, _, violations := bed.cloud.History.Summary(); len(violations)+len(bed.violations) > 0 {
			break
		}
		if kills%100 == 0 {
			progress.printf("%d kills, %v\n", kills, time.Since(began).Round(time.Second))
		}
	}
	return kills, err
}

// maxPrintedViolations is how many violations are printed.
const maxPrintedViolations = 10

// printSummary prints what the run did and found. The last line is what scripts read.
func (bed *testbed) printSummary(out *output, took time.Duration, kills int, violations []string) {
	started, duplicated, _ := bed.cloud.History.Summary()
	commits, uncertain := 0, 0
	for _, p := range bed.probes {
		commits, uncertain = commits+p.commits, uncertain+p.uncertainCommits
	}
	out.printf("%v; %d commits of the probes, %d without an answer; %d jobs accepted, %d done; %d tasks started\n",
		took.Round(time.Second), commits, uncertain, bed.users.acceptedCount(), bed.users.doneCount(), started)
	for name, n := range bed.killCounts {
		out.printf("%d kills of %s\n", n, name)
	}
	for _, violation := range violations[:min(len(violations), maxPrintedViolations)] {
		out.printf("broken: %s\n", violation)
	}
	if len(violations) > 0 {
		out.printf("seed %d\n", bed.seed)
	}
	archived, compacted := bed.segmentCounts()
	out.printf("%d archived segments and %d compactions were seen\n", archived, compacted)
	out.printf("%d kills, %d lost, %d duplicated\n", kills, max(len(violations)-duplicated, 0), duplicated)
}
