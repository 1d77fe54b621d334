package history

import (
	"slices"
	"time"

	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/wire/outbox"
)

// Tick does the next bit of what is due, one call at a time.
func (k *Keeper) Tick(now time.Time, box *outbox.Box) {
	if k.calling || now.Before(k.pause) {
		return
	}
	switch {
	case k.work != nil:
		k.advance(now, box)
	case len(k.garbage) > 0:
		k.drop(now, box)
	case k.beginMerge():
	case k.beginSeal(now):
	case len(k.gone) > 0:
		k.forget(now)
	}
}

// called books the answer to a call: whatever failed is tried again, ever more slowly.
func (k *Keeper) called(now time.Time, ok bool) bool {
	k.calling = false
	if ok {
		k.delay = 0
		return true
	}
	k.delay = min(max(2*k.delay, 200*time.Millisecond), 10*time.Second)
	k.pause = now.Add(k.delay)
	return false
}

// list reads all parts below a prefix.
func (k *Keeper) list(box *outbox.Box, prefix, from string, got []ledger.Part, then func(now time.Time, parts []ledger.Part, ok bool)) {
	k.led.List(box, prefix, from, func(now time.Time, parts []ledger.Part, more, ok bool) {
		got = append(got, parts...)
		if ok && more && len(parts) > 0 {
			k.list(box, prefix, parts[len(parts)-1].Key, got, then)
			return
		}
		then(now, got, ok)
	})
}

// spare is how many changes may be made now: a tenth of all at most, and none that somebody
// waits for has to stand behind.
func (k *Keeper) spare(now time.Time) int {
	return min(k.writes.Available(now), k.led.Spare(now), k.opt.TxnOps)
}

// drop removes a run's parts: they are listed with their marks, dropped as they were listed,
// and listed again until there are none. The ledger's guards keep away what an earlier leader
// has sent, and the marks what this one has.
func (k *Keeper) drop(now time.Time, box *outbox.Box) {
	g := k.garbage[0]
	if len(g.parts) == 0 {
		k.calling = true
		k.findParts(box, g, indexPrefix(g.number), func(now time.Time) {
			k.calling = true
			k.findParts(box, g, dataPrefix(g.number), func(time.Time) {
				if g.named {
					k.gone = append(k.gone, g.number)
				}
				k.garbage = k.garbage[1:]
			})
		})
		return
	}
	n := min(k.spare(now), len(g.parts))
	if n < 1 {
		return
	}
	k.writes.Take(n)
	k.calling = true
	k.led.Discard(box, g.parts[:n], func(now time.Time, ok bool) {
		if k.called(now, ok) {
			g.parts = g.parts[n:]
		} else {
			g.parts = nil
		}
	})
}

func (k *Keeper) findParts(box *outbox.Box, g *garbage, prefix string, none func(now time.Time)) {
	k.led.List(box, prefix, "", func(now time.Time, parts []ledger.Part, _, ok bool) {
		if !k.called(now, ok) {
			return
		}
		if g.parts = parts; len(parts) == 0 {
			none(now)
		}
	})
}

// mostRuns is how many entries of runs the head may have and still take those that a merge
// adds for a while.
func (k *Keeper) mostRuns() int { return max((k.opt.ValueBytes-256)/64-k.opt.Fan-2, k.opt.Fan+2) }

// beginMerge picks runs of one level, the oldest first.
func (k *Keeper) beginMerge() bool {
	byLevel := map[int][]*Run{}
	levels := 0
	for _, r := range k.runs {
		byLevel[r.Level] = append(byLevel[r.Level], r)
		levels = max(levels, r.Level+1)
	}
	for level := range levels {
		list := byLevel[level]
		if len(list) < k.opt.Fan {
			continue
		}
		list = list[:k.opt.Fan]
		jobs := 0
		for _, r := range list {
			jobs += r.Count
		}
		if jobs > largestRun && len(k.runs) < k.mostRuns()/2 {
			continue
		}
		k.log.Info("merging", "runs", len(list), "jobs", jobs, "into", k.next)
		k.work = &work{sources: slices.Clone(list)}
		return true
	}
	return false
}

// beginSeal picks finished jobs that have been so for a while.
func (k *Keeper) beginSeal(now time.Time) bool {
	if now.Before(k.look) || len(k.runs)+len(k.gone) >= k.mostRuns() {
		return false
	}
	k.look = now.Add(lookEvery)
	names := k.led.Sealable(func(id string) bool {
		_, ok := keyOf(id)
		return ok && k.opt.Ready(now, id)
	})
	if len(names) < k.opt.Least {
		return false
	}
	entries := make([]Entry, 0, len(names))
	for _, id := range names {
		f, ok := k.opt.Final(id)
		if !ok {
			k.log.Error("a job that is to be sealed is not final", "job", id)
			return false
		}
		entries = append(entries, Entry{id, f})
	}
	r, data, index, err := seal(k.next, entries, k.opt.ValueBytes-wirePart)
	if err != nil {
		k.log.Error("finished jobs cannot be sealed", "error", err)
		return false
	}
	k.log.Info("sealing", "jobs", len(names), "run", k.next)
	k.work = &work{names: names}
	k.work.built(r, data, index)
	return true
}

func (w *work) built(r *Run, data, index []string) {
	w.run = r
	for i, text := range data {
		w.puts = append(w.puts, ledger.Part{Key: dataKey(r.Number, i), Text: text})
	}
	for i, text := range index {
		w.puts = append(w.puts, ledger.Part{Key: indexKey(r.Number, i), Text: text})
	}
}

// advance takes the run under construction a step further: the data of the runs that are
// merged, the merge, the new parts, and last the commit that makes them count.
func (k *Keeper) advance(now time.Time, box *outbox.Box) {
	w := k.work
	switch {
	case w.run != nil && len(w.puts) > 0:
		k.write(now, box)
	case w.run != nil:
		k.commit(now)
	case len(w.data) < len(w.sources):
		if k.reads.Available(now) < 1 {
			return
		}
		k.reads.Take(1)
		k.calling = true
		k.list(box, dataPrefix(w.sources[len(w.data)].Number), "", nil, func(now time.Time, parts []ledger.Part, ok bool) {
			if !k.called(now, ok) {
				return
			}
			texts := make([]string, 0, len(parts))
			for _, p := range parts {
				texts = append(texts, p.Text)
			}
			w.data = append(w.data, texts)
		})
	default:
		k.mergeStep(now)
	}
}

func (k *Keeper) mergeStep(now time.Time) {
	w := k.work
	fail := func(err error) {
		// Nothing is lost: the runs stay as they are.
		k.log.Error("runs cannot be merged", "error", err)
		k.work, k.pause = nil, now.Add(time.Minute)
	}
	if w.merge == nil {
		level := 0
		w.merge = &merge{}
		for i, r := range w.sources {
			s, err := newSource(r, w.data[i])
			if err != nil {
				fail(err)
				return
			}
			w.merge.sources = append(w.merge.sources, s)
			level = max(level, r.Level+1)
		}
		w.merge.out = newBuilder(k.next, level, k.opt.ValueBytes-wirePart)
	}
	done, err := w.merge.step(mergeKeys)
	if err != nil {
		fail(err)
		return
	}
	if !done {
		return
	}
	r, data, index, err := w.merge.out.finish()
	if err != nil {
		fail(err)
		return
	}
	w.merge, w.data = nil, nil
	w.built(r, data, index)
}

func (k *Keeper) write(now time.Time, box *outbox.Box) {
	w := k.work
	n, bytes, spare := 0, 0, k.spare(now)
	for most := min(spare, len(w.puts)); n < most && bytes+len(w.puts[n].Text) < ledger.TxnBytes; n++ {
		bytes += len(w.puts[n].Text) + wirePart
	}
	if w.tried > 0 {
		n = w.tried // a failed try may be executed yet: the next one is the same
	}
	if n == 0 || n > spare {
		return
	}
	k.writes.Take(n)
	k.calling = true
	w.tried = n
	k.led.Store(box, w.puts[:n], func(now time.Time, ok bool) {
		if k.called(now, ok) {
			w.puts, w.tried = w.puts[n:], 0
		}
	})
}

// commit makes the run count: in one transaction the head names it and the jobs leave their
// pages, or the runs that were merged leave the head.
func (k *Keeper) commit(now time.Time) {
	w := k.work
	head := map[string]any{runName(w.run.Number): w.run.record(), nextName: k.next + 1}
	for _, r := range w.sources {
		head[runName(r.Number)] = nil
		head[garbageName(r.Number)] = r.record()
	}
	k.move(now, w.names, head, func(now time.Time) {
		k.runs = append(slices.DeleteFunc(k.runs, func(r *Run) bool { return slices.Contains(w.sources, r) }), w.run)
		k.next++
		k.work = nil
		for _, r := range w.sources {
			k.garbage = append(k.garbage, &garbage{number: r.Number, named: true})
		}
		if len(w.names) > 0 {
			k.opt.Sealed(w.names)
		}
		k.log.Info("sealed", "run", w.run.Number, "level", w.run.Level, "jobs", w.run.Count, "runs", len(k.runs))
	})
}

// forget takes garbage that is gone out of the head.
func (k *Keeper) forget(now time.Time) { k.move(now, nil, map[string]any{}, nil) }

// move has a commit of the head made, once the budget allows it.
func (k *Keeper) move(now time.Time, names []string, head map[string]any, then func(now time.Time)) {
	gone := len(k.gone)
	for _, n := range k.gone {
		head[garbageName(n)] = nil
	}
	cost := k.led.MoveCost(names)
	if k.writes.Available(now) < cost {
		return
	}
	k.writes.Take(cost)
	k.calling = true
	err := k.led.Move(names, head, func(now time.Time, ok bool) {
		if !k.called(now, ok) {
			return
		}
		k.gone = k.gone[gone:]
		if then != nil {
			then(now)
		}
	})
	if err != nil {
		k.log.Error("the history's head cannot be written", "error", err)
		k.called(now, false)
	}
}
