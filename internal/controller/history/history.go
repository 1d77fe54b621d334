// Package history keeps finished jobs out of the way of a takeover. They leave the ledger's
// live pages for sealed runs: each has an index, which a leader reads and holds, and data,
// which is read when somebody asks for an old job's counts. Small runs are merged into larger
// ones. The Keeper owns all of this for one leadership; what it writes goes through the
// ledger's guarded commits, after everything that a user waits for.
//
// The package never decides when a job is finished, and never answers a user.
package history

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/wire/outbox"
)

const (
	// largestRun is how many jobs a run may hold as long as there is room for runs: larger
	// ones are not merged again, which bounds what a merge has to write.
	largestRun = 1 << 17
	// mostAsking bounds the questions for old jobs that wait for the state service.
	mostAsking = 64
	// cached is how many parts of data are kept for further questions.
	cached = 64
	// mergeKeys is how many keys a merge takes in one step: about half a millisecond.
	mergeKeys = 2000
	// unreachable is how long reads may fail before old jobs are answered without counts.
	unreachable = 20 * time.Second
	readTimeout = 1200 * time.Millisecond
	wirePart    = 64 // bytes of a part besides its text
	// lookEvery is how often the pages are looked through for finished jobs.
	lookEvery = time.Second
)

// Options of a keeper.
type Options struct {
	ValueBytes int
	TxnOps     int
	WriteRate  float64 // changes a second that the history may make
	ReadRate   float64 // reads a second that the history may make
	Least      int     // jobs that are worth a run
	Fan        int     // runs of a level that are merged
	// Ready reports whether a finished job may leave the live pages by now.
	Ready func(now time.Time, id string) bool
	// Final is what to keep of it.
	Final func(id string) (Final, bool)
	// Sealed is told of the jobs that a durable run holds from now on.
	Sealed func(ids []string)
}

// ErrBusy says that an old job cannot be looked up now.
var ErrBusy = errors.New("too many questions about old jobs")

// Keeper is the history of one leadership.
type Keeper struct {
	opt     Options
	led     *ledger.Ledger
	log     *slog.Logger
	runs    []*Run // by number
	next    uint64 // number of the run that is, or may have been, under construction
	garbage []*garbage
	gone    []uint64 // garbage that the head still names
	look    time.Time

	calling bool // an answer is due
	pause   time.Time
	delay   time.Duration
	work    *work
	writes  *outbox.Limiter
	reads   *outbox.Limiter

	asking  int
	open    map[string][]func(now time.Time, text string, status int) // parts being read
	cache   map[string]string
	order   []string // of the cache, the oldest first
	failing time.Time
}

// garbage are the parts of a run that counts no more, or never did.
type garbage struct {
	number uint64
	named  bool          // in the head
	parts  []ledger.Part // those that were listed last
}

// work is the run under construction.
type work struct {
	names   []string // jobs that are sealed; empty for a merge
	sources []*Run   // runs that are merged
	data    [][]string
	merge   *merge
	run     *Run
	puts    []ledger.Part
	tried   int // how many of them went out together in a try that failed
}

func indexPrefix(run uint64) string { return fmt.Sprintf("%s%08d/", ledger.IndexPrefix, run) }
func dataPrefix(run uint64) string  { return fmt.Sprintf("%s%08d/", ledger.DataPrefix, run) }

func indexKey(run uint64, part int) string { return fmt.Sprintf("%s%05d", indexPrefix(run), part) }
func dataKey(run uint64, part int) string  { return fmt.Sprintf("%s%05d", dataPrefix(run), part) }

const nextName = "next"

func runName(n uint64) string     { return fmt.Sprintf("r%08d", n) }
func garbageName(n uint64) string { return fmt.Sprintf("g%08d", n) }

// New reads the history that the ledger has loaded. An error means that it cannot be told
// which jobs there were: then nobody may be answered.
func New(led *ledger.Ledger, opt Options, log *slog.Logger) (*Keeper, error) {
	k := &Keeper{opt: opt, led: led, log: log, open: map[string][]func(time.Time, string, int){}, cache: map[string]string{},
		writes: outbox.NewLimiter(opt.WriteRate, time.Duration(float64(opt.TxnOps+1)/opt.WriteRate*float64(time.Second))),
		reads:  outbox.NewLimiter(opt.ReadRate, time.Second)}
	index := led.TakeIndex()
	for _, name := range led.HeadNames() {
		if name == nextName {
			if err := led.HeadEntry(name, &k.next); err != nil {
				return nil, err
			}
			continue
		}
		var rec Record
		if err := led.HeadEntry(name, &rec); err != nil {
			return nil, err
		}
		n, err := strconv.ParseUint(name[1:], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("entry %q of the history's head: %w", name, err)
		}
		if name[0] == 'g' {
			k.garbage = append(k.garbage, &garbage{number: n, named: true})
			continue
		}
		var parts []string
		for i := range rec.Index {
			key := indexKey(n, i)
			text, ok := index[key]
			if !ok {
				return nil, fmt.Errorf("run %d: part %d of its index is missing", n, i)
			}
			parts = append(parts, text)
			delete(index, key)
		}
		r, err := parse(n, rec, parts)
		if err != nil {
			return nil, err
		}
		k.runs = append(k.runs, r)
	}
	// What is left of an unfinished run has the next number; a write that came very late may
	// have left parts of others.
	left := map[uint64]bool{k.next: true}
	for key := range index {
		n, err := strconv.ParseUint(strings.TrimLeft(strings.Split(strings.TrimPrefix(key, ledger.IndexPrefix), "/")[0], "0"), 10, 64)
		if err == nil && !slices.ContainsFunc(k.garbage, func(g *garbage) bool { return g.number == n }) {
			left[n] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(left)) {
		k.garbage = append(k.garbage, &garbage{number: n})
	}
	slices.SortFunc(k.runs, func(a, b *Run) int { return int(int64(a.Number) - int64(b.Number)) })
	return k, nil
}

// Tune takes other values for how many jobs are worth a run, and how many runs are merged.
func (k *Keeper) Tune(least, fan int) { k.opt.Least, k.opt.Fan = least, fan }

// Jobs counts the jobs of all runs.
func (k *Keeper) Jobs() int {
	n := 0
	for _, r := range k.runs {
		n += r.Count
	}
	return n
}

// Runs counts the runs.
func (k *Keeper) Runs() int { return len(k.runs) }

// Answer is what the index alone says of a job.
type Answer int

// What the index may say.
const (
	Absent    Answer = iota // no run holds it
	Done                    // a run holds it; its counts are in the data
	Cancelled               // a run holds it
	Perhaps                 // the data has to tell
)

// Know asks the index.
func (k *Keeper) Know(id string) Answer {
	key, ok := keyOf(id)
	if !ok {
		return Absent
	}
	for _, r := range k.runs {
		if !r.ids.Contains(key) {
			continue
		}
		switch {
		case key >= wide:
			return Perhaps
		case r.cancelled.Contains(key):
			return Cancelled
		}
		return Done
	}
	return Absent
}

// Unreachable reports that the data could not be read for a while.
func (k *Keeper) Unreachable(now time.Time) bool {
	return !k.failing.IsZero() && now.Sub(k.failing) > unreachable
}

// Resolve asks the data. then is called exactly once, perhaps at once: known is true if the
// job is in a run; an error means that it cannot be told now.
func (k *Keeper) Resolve(now time.Time, box *outbox.Box, id string, then func(now time.Time, f Final, known bool, err error)) {
	if k.asking >= mostAsking {
		then(now, Final{}, false, ErrBusy)
		return
	}
	key, ok := keyOf(id)
	if !ok {
		then(now, Final{}, false, nil)
		return
	}
	k.asking++
	k.resolve(now, box, id, key, map[uint64]bool{}, func(now time.Time, f Final, known bool, err error) {
		k.asking--
		then(now, f, known, err)
	})
}

func (k *Keeper) resolve(now time.Time, box *outbox.Box, id string, key uint64, tried map[uint64]bool, then func(time.Time, Final, bool, error)) {
	i := slices.IndexFunc(k.runs, func(r *Run) bool { return !tried[r.Number] && r.ids.Contains(key) })
	if i < 0 {
		then(now, Final{}, false, nil)
		return
	}
	r := k.runs[i]
	part, place := r.part(r.rank(key))
	name := dataKey(r.Number, part)
	k.part(now, box, name, func(now time.Time, text string, status int) {
		switch {
		case status == 404 && !slices.Contains(k.runs, r):
			// It has been merged into another run, and its parts are gone.
			tried[r.Number] = true
			k.resolve(now, box, id, key, tried, then)
			return
		case status != 200:
			then(now, Final{}, false, fmt.Errorf("%s cannot be read: status %d", name, status))
			return
		}
		f, known, err := find(text, place, key, id)
		if err != nil {
			k.log.Error("a part of the history cannot be read", "key", name, "error", err)
		}
		if err != nil || known {
			then(now, f, known, err)
			return
		}
		tried[r.Number] = true
		k.resolve(now, box, id, key, tried, then)
	})
}

// part reads a part of the data; questions for the same part share one request.
func (k *Keeper) part(now time.Time, box *outbox.Box, name string, then func(now time.Time, text string, status int)) {
	if text, ok := k.cache[name]; ok {
		then(now, text, 200)
		return
	}
	waiting, open := k.open[name]
	if !open && k.reads.Available(now) < 1 {
		then(now, "", 429)
		return
	}
	k.open[name] = append(waiting, then)
	if open {
		return
	}
	k.reads.Take(1)
	k.led.Read(box, name, readTimeout, func(now time.Time, text string, status int) {
		switch {
		case status == 200:
			k.failing = time.Time{}
			k.keep(name, text)
		case status != 404 && k.failing.IsZero():
			k.failing = now
		}
		waiting := k.open[name]
		delete(k.open, name)
		for _, w := range waiting {
			w(now, text, status)
		}
	})
}

func (k *Keeper) keep(name, text string) {
	if len(k.order) >= cached {
		delete(k.cache, k.order[0])
		k.order = append(k.order[:0], k.order[1:]...)
	}
	k.cache[name] = text
	k.order = append(k.order, name)
}
