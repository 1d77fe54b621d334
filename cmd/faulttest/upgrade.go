package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"

	"github.com/spf13/cobra"
)

// upgradeRuns are the options of the command.
type upgradeRuns struct {
	runs         int
	seed         uint64
	older, newer string
	verbose      bool
}

func upgradeCommand() *cobra.Command {
	options := upgradeRuns{}
	cmd := &cobra.Command{
		Use:   "upgrade",
		Short: "Roll controllers from one version to another in drawn orders, with kills, and check what users are told",
		Long: "Each run starts a state service and three controllers of the older program, with workers and a cloud of its own, runs\n" +
			"jobs, and brings the controllers back with the newer program, one after the other in a drawn order; others crash before\n" +
			"their turn and come back old. Once all are new, jobs that depend on others are submitted, and limits that the newer\n" +
			"version knows of count.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.runs, "runs", 4, "how many upgrades")
	flags.Uint64Var(&options.seed, "seed", 1, "of the first run")
	flags.StringVar(&options.older, "program-old", "", "the program that the controllers run at first")
	flags.StringVar(&options.newer, "program-new", "", "the program that they come back with; it is built if none is given")
	flags.BoolVar(&options.verbose, "verbose", false, "show the log of the processes")
	return cmd
}

func (o upgradeRuns) run(cmd *cobra.Command) (err error) {
	if o.older == "" {
		return errors.New("--program-old is missing: the README tells how it is built from the history")
	}
	dir, err := os.MkdirTemp("", "faulttest-upgrade-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	if o.older, err = filepath.Abs(o.older); err != nil {
		return err
	}
	if o.newer, err = program(o.newer, dir); err != nil {
		return err
	}
	out := output{w: cmd.OutOrStdout()}
	var sum upgradeResult
	for i := range o.runs {
		seed := o.seed + uint64(i)
		result, err := o.runUpgrade(seed, filepath.Join(dir, strconv.Itoa(i)))
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		for _, violation := range result.broken {
			out.printf("seed %d, broken: %s\n", seed, violation)
		}
		sum.add(result)
	}
	out.printf("%d jobs accepted, %d of them with needs, %d done\n", sum.accepted, sum.dependents, sum.done)
	out.printf("%d upgrades, %d rules broken, %d lost, %d doubled, no answer for at most %.1f s, no placing for at most %.1f s\n",
		o.runs, len(sum.broken), sum.lost, sum.duplicated, sum.longestUnanswered.Seconds(), sum.longestWithoutPlacement.Seconds())
	if len(sum.broken) > 0 {
		return errors.New("a rule was broken")
	}
	return out.err
}

// upgradeResult is the result of one rolling upgrade.
type upgradeResult struct {
	broken                     []string
	lost, duplicated           int
	accepted, done, dependents int
	longestUnanswered          time.Duration // longest time without a response to a user
	longestWithoutPlacement    time.Duration // longest time without a controller that places tasks
}

// add takes in the result of another upgrade.
func (u *upgradeResult) add(r upgradeResult) {
	u.broken = append(u.broken, r.broken...)
	u.lost, u.duplicated = u.lost+r.lost, u.duplicated+r.duplicated
	u.accepted += r.accepted
	u.done += r.done
	u.dependents += r.dependents
	u.longestUnanswered = max(u.longestUnanswered, r.longestUnanswered)
	u.longestWithoutPlacement = max(u.longestWithoutPlacement, r.longestWithoutPlacement)
}

// gapTimer measures the longest time between two events.
type gapTimer struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

// seen records an event.
func (g *gapTimer) seen(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}

// longestGap is the longest time between two events so far.
func (g *gapTimer) longestGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longest
}

// watchPlacing polls all controllers for whether they place tasks, until the testbed stops.
func (bed *testbed) watchPlacing(placements *gapTimer) {
	defer bed.wait.Done()
	client := http1.NewClient(8, 2, http1.MaxBodyBytes)
	for {
		select {
		case <-bed.stopping:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, addr := range bed.publicAddrs {
			var status struct {
				Placing bool `msgpack:"placing"`
			}
			response, err := client.Do(addr, "GET", "/status", nil, 200*time.Millisecond)
			if err == nil && response.Status == http.StatusOK && codec.Unmarshal(response.Body, &status) == nil && status.Placing {
				placements.seen(time.Now())
			}
		}
	}
}

// announceLimits adds the limits to come to a controller's configuration; the older version ignores them.
func announceLimits(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	text := strings.Replace(string(raw), `"txn_ops":12}`, `"txn_ops":12,"next":{"value_kb":2,"txn_ops":5,"write_rps":400}}`, 1)
	return os.WriteFile(file, []byte(text), 0o600)
}

// runUpgrade runs one rolling upgrade in a new directory.
func (o upgradeRuns) runUpgrade(seed uint64, dir string) (upgradeResult, error) {
	var result upgradeResult
	if err := os.Mkdir(dir, 0o700); err != nil {
		return result, err
	}
	bed, err := newTestbed(seed, o.older, dir, o.verbose)
	if err != nil {
		return result, err
	}
	bed.state.path = o.newer // it belongs to the platform and is not upgraded here
	for i := range controllerCount {
		if err := announceLimits(filepath.Join(dir, fmt.Sprintf("node-%d.json", i))); err != nil {
			return result, err
		}
	}
	defer bed.stop()
	if err := bed.start(); err != nil {
		return result, err
	}
	var placements gapTimer
	bed.wait.Add(1)
	go bed.watchPlacing(&placements)
	if err := bed.rollControllers(o.newer); err != nil {
		return result, err
	}
	if err := bed.users.drain(60 * time.Second); err != nil {
		result.lost++
		result.broken = append(result.broken, err.Error())
	}
	close(bed.stopping)
	bed.wait.Wait()
	bed.checkProbes()
	_, duplicated, broken := bed.cloud.History.Summary()
	result.broken = slices.Concat(result.broken, broken, bed.violations)
	result.duplicated = duplicated
	result.accepted, result.done, result.dependents = bed.users.acceptedCount(), bed.users.doneCount(), bed.users.dependentCount()
	result.longestUnanswered, result.longestWithoutPlacement = bed.users.answers.longestGap(), placements.longestGap()
	return result, nil
}

// pause sleeps for a random time, in milliseconds.
func (bed *testbed) pause(least, more int) {
	time.Sleep(time.Duration(least+bed.rng.IntN(more)) * time.Millisecond)
}

// restart kills a process and starts it again after a short random time.
func (bed *testbed) restart(p *process) error {
	p.kill()
	bed.pause(0, 400)
	return p.start()
}

// rollControllers brings the controllers back with another program in a random order, restarts others in between, and lets users
// submit jobs with dependencies once all are new.
func (bed *testbed) rollControllers(newer string) error {
	bed.pause(2500, 1000)
	order := bed.rng.Perm(controllerCount)
	for k, i := range order {
		if bed.rng.IntN(2) == 0 { // one crashes before or after its turn
			if err := bed.restart(bed.controllers[order[bed.rng.IntN(controllerCount)]]); err != nil {
				return err
			}
			bed.pause(200, 1500)
		}
		if k == 1 && bed.rng.IntN(3) == 0 { // the state service too, during the upgrade
			if err := bed.restart(bed.state); err != nil {
				return err
			}
		}
		bed.controllers[i].path = newer
		if err := bed.restart(bed.controllers[i]); err != nil {
			return err
		}
		bed.pause(300, 2500)
	}
	bed.users.useDependencies.Store(true)
	for range 2 {
		bed.pause(1000, 1500)
		if err := bed.restart(bed.controllers[bed.rng.IntN(controllerCount)]); err != nil {
			return err
		}
	}
	bed.pause(1500, 500)
	return nil
}
