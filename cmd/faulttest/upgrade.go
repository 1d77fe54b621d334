package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"

	"github.com/spf13/cobra"
)

func upgradeCommand() *cobra.Command {
	var runs int
	var seed uint64
	var older, newer string
	var verbose bool
	cmd := &cobra.Command{
		Use:   "upgrade",
		Short: "Roll controllers from one version to another in drawn orders, with kills, and check what users are told",
		Long: "Each run starts a state service and three controllers of the older program, with workers and a cloud of its own, plays jobs, and\n" +
			"brings the controllers back with the newer program, one after the other in a drawn order; others die before their turn and come\n" +
			"back old. Once all are new, jobs that need others are submitted, and limits that the newer version knows of count.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if older == "" {
				return errors.New("--program-old is missing: the README tells how it is built from the history")
			}
			dir, err := os.MkdirTemp("", "faulttest-upgrade-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			if older, err = filepath.Abs(older); err != nil {
				return err
			}
			if newer, err = program(newer, dir); err != nil {
				return err
			}
			var sum upgradeResult
			for i := range runs {
				r, err := runUpgrade(seed+uint64(i), older, newer, filepath.Join(dir, fmt.Sprint(i)), verbose)
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed+uint64(i), err)
				}
				for _, b := range r.broken {
					fmt.Fprintf(cmd.OutOrStdout(), "seed %d, broken: %s\n", seed+uint64(i), b)
				}
				sum.add(r)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d jobs accepted, %d of them with needs, %d done\n", sum.accepted, sum.dependents, sum.done)
			fmt.Fprintf(
				cmd.OutOrStdout(),
				"%d upgrades, %d rules broken, %d lost, %d doubled, no answer for at most %.1f s, no placing for at most %.1f s\n",
				runs,
				len(sum.broken),
				sum.lost,
				sum.duplicated,
				sum.longestUnanswered.Seconds(),
				sum.longestWithoutPlacement.Seconds(),
			)
			if len(sum.broken) > 0 {
				return errors.New("a rule was broken")
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&runs, "runs", 4, "how many upgrades")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the first run")
	cmd.Flags().StringVar(&older, "program-old", "", "the program that the controllers run at first")
	cmd.Flags().StringVar(&newer, "program-new", "", "the program that they come back with; it is built if none is given")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "show the log of the processes")
	return cmd
}

// upgradeResult is the result of one rolling upgrade.
type upgradeResult struct {
	broken                                     []string
	lost, duplicated                           int
	accepted, done, dependents                 int
	longestUnanswered, longestWithoutPlacement time.Duration // longest time without a response to a user, without a controller that places tasks
}

func (u *upgradeResult) add(r upgradeResult) {
	u.broken = append(u.broken, r.broken...)
	u.lost, u.duplicated = u.lost+r.lost, u.duplicated+r.duplicated
	u.accepted, u.done, u.dependents = u.accepted+r.accepted, u.done+r.done, u.dependents+r.dependents
	u.longestUnanswered, u.longestWithoutPlacement = max(u.longestUnanswered, r.longestUnanswered), max(u.longestWithoutPlacement, r.longestWithoutPlacement)
}

// gapTimer measures the longest time between two events.
type gapTimer struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

func (g *gapTimer) seen(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}

func (g *gapTimer) longestGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longest
}

// watchPlacing polls all controllers for whether they place tasks, until the testbed stops.
func (f *testbed) watchPlacing(g *gapTimer) {
	defer f.wait.Done()
	client := http1.NewClient(8, 2, http1.MaxBodyBytes)
	for {
		select {
		case <-f.stopping:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, addr := range f.publicAddrs {
			var s struct {
				Placing bool `msgpack:"placing"`
			}
			if m, err := client.Do(
				addr,
				"GET",
				"/status",
				nil,
				200*time.Millisecond,
			); err == nil && m.Status == 200 && codec.Unmarshal(m.Body, &s) == nil &&
				s.Placing {
				g.seen(time.Now())
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

func runUpgrade(seed uint64, older, newer, dir string, verbose bool) (upgradeResult, error) {
	var out upgradeResult
	if err := os.Mkdir(dir, 0o700); err != nil {
		return out, err
	}
	f, err := newTestbed(seed, older, dir, verbose)
	if err != nil {
		return out, err
	}
	f.state.path = newer // it belongs to the platform and is not upgraded here
	for i := range controllerCount {
		if err := announceLimits(filepath.Join(dir, fmt.Sprintf("node-%d.json", i))); err != nil {
			return out, err
		}
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return out, err
	}
	var placing gapTimer
	f.wait.Add(1)
	go f.watchPlacing(&placing)
	pause := func(least, more int) { time.Sleep(time.Duration(least+f.rng.IntN(more)) * time.Millisecond) }
	bounce := func(p *process) error {
		p.kill()
		pause(0, 400)
		return p.start()
	}
	pause(2500, 1000)
	order := f.rng.Perm(controllerCount)
	for k, i := range order {
		if f.rng.IntN(2) == 0 { // one crashes before or after its turn
			if err := bounce(f.controllers[order[f.rng.IntN(controllerCount)]]); err != nil {
				return out, err
			}
			pause(200, 1500)
		}
		if k == 1 && f.rng.IntN(3) == 0 { // the state service too, during the upgrade
			if err := bounce(f.state); err != nil {
				return out, err
			}
		}
		f.controllers[i].path = newer
		if err := bounce(f.controllers[i]); err != nil {
			return out, err
		}
		pause(300, 2500)
	}
	f.users.useDependencies.Store(true)
	for range 2 {
		pause(1000, 1500)
		if err := bounce(f.controllers[f.rng.IntN(controllerCount)]); err != nil {
			return out, err
		}
	}
	pause(1500, 500)
	if err := f.users.drain(60 * time.Second); err != nil {
		out.lost++
		out.broken = append(out.broken, err.Error())
	}
	close(f.stopping)
	f.wait.Wait()
	f.checkProbes()
	_, doubled, broken := f.cloud.History.Summary()
	out.broken = slices.Concat(out.broken, broken, f.violations)
	out.duplicated = doubled
	out.accepted, out.done, out.dependents = f.users.acceptedCount(), f.users.doneCount(), f.users.dependentCount()
	out.longestUnanswered, out.longestWithoutPlacement = f.users.answers.longestGap(), placing.longestGap()
	return out, nil
}
