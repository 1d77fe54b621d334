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

// upgradeFlags holds the flags of `faulttest upgrade`.
type upgradeFlags struct {
	runs                   int
	seed                   uint64
	oldProgram, newProgram string
	verbose                bool
}

func upgradeCommand() *cobra.Command {
	options := upgradeFlags{}
	cmd := &cobra.Command{
		Use:   "upgrade",
		Short: "Upgrade controllers one by one and check the responses",
		Long: "Upgrade controllers one by one and check the responses.\n\nIn each run, start a state service, three controllers of the old " +
			"version and an emulated\ncloud with workers, and submit jobs. Restart the controllers with the new version, one at a\n" +
			"time in a random order. Some controllers crash before or after their turn and restart with\nthe version that they had. Once all " +
			"run the new version, submit jobs that depend on other\njobs. From then on, limits apply that only the new version knows.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.runs, "runs", 4, "number of upgrades; each uses the next seed")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the first upgrade")
	flags.StringVar(&options.oldProgram, "program-old", "", "path of the program that the controllers run before the upgrade; required")
	flags.StringVar(&options.newProgram, "program-new", "", "path of the program that the controllers are upgraded to; empty: build it")
	flags.BoolVar(&options.verbose, "verbose", false, "print the logs of all started processes")
	return cmd
}

func (o upgradeFlags) run(cmd *cobra.Command) (err error) {
	if o.oldProgram == "" {
		return errors.New("--program-old is empty: expected the path of the old program; the README describes how to build it from the history")
	}
	dir, err := os.MkdirTemp("", "faulttest-upgrade-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	if o.oldProgram, err = filepath.Abs(o.oldProgram); err != nil {
		return err
	}
	if o.newProgram, err = resolveProgram(o.newProgram, dir); err != nil {
		return err
	}
	out := output{w: cmd.OutOrStdout()}
	var total upgradeResult
	for i := range o.runs {
		seed := o.seed + uint64(i)
		result, err := o.runUpgrade(seed, filepath.Join(dir, strconv.Itoa(i)))
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		for _, violation := range result.broken {
			out.printf("seed %d, broken: %s\n", seed, violation)
		}
		total.add(result)
	}
	out.printf("%d jobs accepted, %d of them with dependencies, %d done\n", total.accepted, total.dependents, total.done)
	out.printf("%d upgrades, %d rules broken, %d lost, %d doubled, longest time without a response %.1f s, without placement %.1f s\n",
		o.runs, len(total.broken), total.lost, total.duplicated, total.longestWithoutResponse.Seconds(), total.longestWithoutPlacement.Seconds())
	if len(total.broken) > 0 {
		return fmt.Errorf("%d rules broken in %d upgrades, expected none", len(total.broken), o.runs)
	}
	return out.err
}

// upgradeResult is the result of one rolling upgrade.
type upgradeResult struct {
	broken                     []string
	lost, duplicated           int
	accepted, done, dependents int
	longestWithoutResponse     time.Duration // longest time between two successful responses to users
	longestWithoutPlacement    time.Duration // longest time in which no controller reported that it places tasks
}

func (u *upgradeResult) add(r upgradeResult) {
	u.broken = append(u.broken, r.broken...)
	u.lost, u.duplicated = u.lost+r.lost, u.duplicated+r.duplicated
	u.accepted += r.accepted
	u.done += r.done
	u.dependents += r.dependents
	u.longestWithoutResponse = max(u.longestWithoutResponse, r.longestWithoutResponse)
	u.longestWithoutPlacement = max(u.longestWithoutPlacement, r.longestWithoutPlacement)
}

// gapTimer measures the longest time between two successive events. It is safe for concurrent use.
type gapTimer struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

func (g *gapTimer) record(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}

// longestGap returns the longest time between two successive events, 0 before the second event.
func (g *gapTimer) longestGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longest
}

// watchPlacement polls the status of all controllers until the testbed stops, and records each time that one places tasks.
func (bed *testbed) watchPlacement(placements *gapTimer) {
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
				placements.record(time.Now())
			}
		}
	}
}

// announceLimits adds upcoming limits to a controller's configuration file. The old version ignores them.
func announceLimits(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	text := strings.Replace(string(raw), `"txn_ops":12}`, `"txn_ops":12,"next":{"value_kb":2,"txn_ops":5,"write_rps":400}}`, 1)
	return os.WriteFile(file, []byte(text), 0o600)
}

// runUpgrade runs one rolling upgrade in a new directory.
func (o upgradeFlags) runUpgrade(seed uint64, dir string) (upgradeResult, error) {
	var result upgradeResult
	if err := os.Mkdir(dir, 0o700); err != nil {
		return result, err
	}
	bed, err := newTestbed(seed, o.oldProgram, dir, o.verbose)
	if err != nil {
		return result, err
	}
	// The state service belongs to the platform. It runs the new version from the start: only controllers are upgraded.
	bed.state.path = o.newProgram
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
	go bed.watchPlacement(&placements)
	if err := bed.rollControllers(o.newProgram); err != nil {
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
	result.longestWithoutResponse, result.longestWithoutPlacement = bed.users.responses.longestGap(), placements.longestGap()
	return result, nil
}

// pause sleeps for a random time of at least minMillis and less than minMillis+spreadMillis milliseconds.
func (bed *testbed) pause(minMillis, spreadMillis int) {
	time.Sleep(time.Duration(minMillis+bed.rng.IntN(spreadMillis)) * time.Millisecond)
}

// restart kills a process and starts it again after a short random time.
func (bed *testbed) restart(p *process) error {
	p.kill()
	bed.pause(0, 400)
	return p.start()
}

// rollControllers restarts the controllers with another program, one at a time in a random order. In between it restarts
// controllers, and sometimes the state service, without an upgrade. Once all controllers are upgraded, it lets users submit jobs
// with dependencies and restarts a random controller twice.
func (bed *testbed) rollControllers(newProgram string) error {
	bed.pause(2500, 1000)
	order := bed.rng.Perm(controllerCount)
	for k, i := range order {
		if bed.rng.IntN(2) == 0 { // a random controller crashes before or after its turn
			if err := bed.restart(bed.controllers[order[bed.rng.IntN(controllerCount)]]); err != nil {
				return err
			}
			bed.pause(200, 1500)
		}
		if k == 1 && bed.rng.IntN(3) == 0 { // the state service crashes during the upgrade
			if err := bed.restart(bed.state); err != nil {
				return err
			}
		}
		bed.controllers[i].path = newProgram
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
