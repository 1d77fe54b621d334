package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"gullrudder/internal/simulator/crashtest"

	"github.com/spf13/cobra"
)

// crashFlags holds the flags of `faulttest crash`.
type crashFlags struct {
	runs, steps     int
	seed            uint64
	points, verbose bool
	program, dir    string
}

func crashCommand() *cobra.Command {
	options := crashFlags{}
	cmd := &cobra.Command{
		Use: "crash", Short: "Kill processes of a cluster and check what it recovers",
		Long: "Kill processes of a cluster and check what it recovers.\n\nStart a state service, three controllers and an emulated cloud " +
			"with workers. Run jobs, and\nkill processes at random moments, preferably during snapshots, archiving and compaction.\n" +
			"With --points, run only the store of a state service on a simulated disk that loses\nunsynced writes, and crash it at every operation.",
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
	flags.IntVar(&options.runs, "runs", 20, "number of kills; with --points: number of runs on the simulated disk")
	flags.IntVar(&options.steps, "steps", 30, "requests and other steps of each run; only with --points")
	flags.Uint64Var(&options.seed, "seed", 0,
		"seed of the random choices; 0: taken from the clock, printed with the result of --points and with violations")
	flags.BoolVar(&options.points, "points", false, "crash a simulated disk at every operation instead of killing processes")
	flags.BoolVar(&options.verbose, "verbose", false, "print the logs of all started processes")
	flags.StringVar(&options.program, "program", "", "path of the gullrudder program; empty: build it")
	flags.StringVar(&options.dir, "dir", "",
		"existing directory for the files of the run, which are kept; empty: a temporary directory, removed at the end")
	return cmd
}

// runCrashPoints runs the command with --points.
func (o crashFlags) runCrashPoints(cmd *cobra.Command) error {
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
func (o crashFlags) runKills(cmd *cobra.Command) (err error) {
	dir := o.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "faulttest-crash-"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	}
	path, err := resolveProgram(o.program, dir)
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
		return fmt.Errorf("%d violations after %d kills, expected none", len(violations), kills)
	}
	return out.err
}

// killUntilBroken starts the testbed and kills processes until a rule is broken or --runs kills were done.
func (o crashFlags) killUntilBroken(cmd *cobra.Command, bed *testbed) (kills int, err error) {
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

// maxPrintedViolations limits the violations in the summary.
const maxPrintedViolations = 10

// printSummary prints the counts and violations of the run. Scripts read the last line.
func (bed *testbed) printSummary(out *output, took time.Duration, kills int, violations []string) {
	started, duplicated, _ := bed.cloud.History.Summary()
	commits, uncertain := 0, 0
	for _, p := range bed.probes {
		commits, uncertain = commits+p.commits, uncertain+p.uncertainCommits
	}
	out.printf("%v: %d commits of the probes, %d without a response; %d jobs accepted, %d done; %d tasks started\n",
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
	out.printf("%d segments archived and %d segments compacted, according to the logs\n", archived, compacted)
	out.printf("%d kills, %d lost, %d duplicated\n", kills, max(len(violations)-duplicated, 0), duplicated)
}
