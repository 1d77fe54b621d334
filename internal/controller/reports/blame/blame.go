// Package blame tells a job that was submitted with a mistake, and fails wherever it is tried, from a
// machine on which whatever is tried fails. Its Book owns which jobs have failed on which machines, and
// when a job that is taken for mistaken is tried again. It stops and starts nothing: the clerk asks it
// for each failure.
//
// Before, a machine on which two jobs had failed was given back, and on a day with mistaken jobs that
// was five machines that were well, while a job of 667 tasks failed all of them twice.
package blame

import (
	"maps"
	"math"
	"slices"
	"time"
)

// What is taken to hold before anything has failed, and how much a failure says. The exact posterior of
// small cases, which the tests compute, uses the same.
const (
	mistakes = 0.02  // of all jobs, those that fail everywhere
	faults   = 0.005 // of all machines, those that are faulty
	hit      = 0.7   // how likely a job's tasks fail on a faulty machine
	noise    = 0.003 // how likely they fail though both are well
	// wells is how many completions speak for a machine at most: one that has turned faulty is not
	// protected by a long life.
	wells = 3
	// sureOfJob and sureOfMachine are how certain a verdict has to be. A job's costs it all but one of its
	// tasks at a time, and one completed task ends it; a machine's costs the machine.
	sureOfJob     = 0.95
	sureOfMachine = 0.8
	// verdict is how likely a job is mistaken that was found to be.
	verdict = 0.995
	// fewest machines on which a job has failed for a verdict.
	fewest = 2
	// deep is how far evidence is followed from job to machine to job, wide how many neighbours count,
	// the newest: a failure must not cost more the more of them there are.
	deep, wide = 3, 8
	// forgotten is after how long without a failure a job or a machine is forgotten.
	forgotten = 10 * time.Minute
)

// Retries of jobs that are taken for mistaken.
const (
	firstRetry = 2 * time.Second
	lastRetry  = time.Minute
	// A retry takes a place that another job could have: all of them share a budget that refills.
	refill = 500 * time.Millisecond // for one retry
	stored = 6                      // retries at most
)

type job struct {
	machines []string // on which it has failed, the newest last
	well     bool     // a task of it has completed: it is not mistaken
	last     time.Time
	tries    int // since it is taken for mistaken
	mistaken bool
}

type machine struct {
	jobs []string // that have failed on it, the newest last
	well int      // completions since the last of these
	last time.Time
}

// Book keeps what has failed where.
type Book struct {
	jobs     map[string]*job
	machines map[string]*machine
	budget   float64
	filled   time.Time
	pruned   time.Time
}

// New makes the book of a new leadership.
func New() *Book {
	return &Book{jobs: map[string]*job{}, machines: map[string]*machine{}, budget: stored}
}

func add(list []string, name string) []string {
	if i := slices.Index(list, name); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, name)
	return list[max(len(list)-4*wide, 0):]
}

// Failed takes in that a task of the job has failed on the machine. done is how many tasks of the job have
// completed so far.
func (b *Book) Failed(now time.Time, id, on string, done int) {
	b.prune(now)
	j := b.jobs[id]
	if j == nil {
		j = &job{}
		b.jobs[id] = j
	}
	m := b.machines[on]
	if m == nil {
		m = &machine{}
		b.machines[on] = m
	}
	if done > 0 {
		j.well, j.mistaken = true, false
	}
	j.machines, j.last = add(j.machines, on), now
	m.jobs, m.last, m.well = add(m.jobs, id), now, 0
	if !j.well && len(j.machines) >= fewest && b.ofJob(id, "", deep) > sureOfJob {
		j.mistaken = true
	}
}

// Done takes in that a task of the job has completed on the machine: the job is not mistaken, whatever
// was thought of it.
func (b *Book) Done(id, on string) {
	if j := b.jobs[id]; j != nil {
		j.well, j.mistaken = true, false
	}
	if m := b.machines[on]; m != nil {
		m.well = min(m.well+1, wells)
	}
}

// Keep takes over a verdict of an earlier leader.
func (b *Book) Keep(now time.Time, id string) { b.jobs[id] = &job{mistaken: true, last: now} }

// Mistaken reports whether the job is taken for one that fails everywhere.
func (b *Book) Mistaken(id string) bool { return b.jobs[id] != nil && b.jobs[id].mistaken }

// Machines is on how many machines the job has failed, as far as is remembered.
func (b *Book) Machines(id string) int {
	if j := b.jobs[id]; j != nil {
		return len(j.machines)
	}
	return 0
}

// Faulty reports whether the machine is taken for faulty: different jobs have failed on it that do well
// elsewhere, or of which nothing else is known.
func (b *Book) Faulty(on string) bool {
	m := b.machines[on]
	return m != nil && len(m.jobs) >= fewest && b.ofMachine(on, "", deep) > sureOfMachine
}

// Gone forgets a machine.
func (b *Book) Gone(on string) { delete(b.machines, on) }

// Retry is when a job that is taken for mistaken may be tried again: later each time, and no more often
// than the budget of all such jobs allows.
func (b *Book) Retry(now time.Time, id string) time.Time {
	j := b.jobs[id]
	if j == nil {
		return now
	}
	wait := lastRetry
	if j.tries < 5 {
		wait = firstRetry << j.tries
	}
	j.tries++
	b.budget = min(b.budget+now.Sub(b.filled).Seconds()/refill.Seconds(), stored)
	b.filled = now
	b.budget--
	if b.budget < 0 { // the places that are given out already come first
		wait = max(wait, time.Duration(-b.budget*float64(refill)))
	}
	return now.Add(wait)
}

func logit(p float64) float64 { return math.Log(p / (1 - p)) }

func chance(odds float64) float64 { return 1 / (1 + math.Exp(-odds)) }

// newest are the neighbours that count, without one.
func newest(list []string, but string) []string {
	keep := make([]string, 0, wide)
	for i := len(list) - 1; i >= 0 && len(keep) < wide; i-- {
		if list[i] != but {
			keep = append(keep, list[i])
		}
	}
	return keep
}

// ofJob is how likely the job is mistaken, by all machines that it failed on but one. What is known of each
// machine from other jobs counts: to fail on a faulty one says nothing of the job.
func (b *Book) ofJob(id, but string, depth int) float64 {
	j := b.jobs[id]
	if j == nil {
		return mistakes
	}
	switch {
	case j.well:
		return 0
	case j.mistaken:
		return verdict // what it was found by may have been an earlier leader's, or be forgotten
	}
	odds := logit(mistakes)
	for _, on := range newest(j.machines, but) {
		q := faults
		if depth > 0 {
			q = b.ofMachine(on, id, depth-1)
		}
		odds -= math.Log(q*hit + (1-q)*noise)
	}
	return chance(odds)
}

// ofMachine is how likely the machine is faulty, by all jobs that failed on it but one.
func (b *Book) ofMachine(on, but string, depth int) float64 {
	m := b.machines[on]
	if m == nil {
		return faults
	}
	odds := logit(faults) + float64(m.well)*math.Log((1-hit)/(1-noise))
	for _, id := range newest(m.jobs, but) {
		p := mistakes
		if j := b.jobs[id]; j != nil && j.well {
			p = 0
		} else if depth > 0 {
			p = b.ofJob(id, on, depth-1)
		}
		odds += math.Log((p + (1-p)*hit) / (p + (1-p)*noise))
	}
	return chance(odds)
}

// prune forgets what has not failed for long.
func (b *Book) prune(now time.Time) {
	if now.Sub(b.pruned) < forgotten/10 {
		return
	}
	b.pruned = now
	maps.DeleteFunc(b.jobs, func(_ string, j *job) bool { return now.Sub(j.last) > forgotten })
	maps.DeleteFunc(b.machines, func(_ string, m *machine) bool { return now.Sub(m.last) > forgotten })
}

// Over forgets a job that is over.
func (b *Book) Over(id string) { delete(b.jobs, id) }
