package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Day is how everybody was served on a day of troubles.
type Day struct {
	Classes, Teams map[string]Portion
	Largest        map[string]Portion // the top tenth of a class, one at least: by work and by number of tasks
	FirstStart     time.Duration      // the latest first start of a job that is among the largest
	Forgotten      bool               // a rule was broken, and it was this one
	Machines       int                // the most at a time
	Asked, Had     float64            // CPU seconds that were asked for, and that machines had
}

// Least is the least share of any class, team and largest.
func (d Day) Least() (class, team, largest float64) {
	_, class = Least(d.Classes)
	_, team = Least(d.Teams)
	_, largest = Least(d.Largest)
	return class, team, largest
}

// Possible reports whether the machines that there were could have done what was asked for, with a fifth to spare for
// what is lost: a plain model, without places and times.
func (d Day) Possible() bool { return d.Asked*1.2 <= d.Had }

// strikes are the troubles of a day, by name.
var strikes = map[string]func(w *World, span time.Duration, some int, from int, soon time.Duration){
	"deaf machines": func(w *World, span time.Duration, some, _ int, _ time.Duration) {
		w.Cloud.Unhear(8*some, some%2 == 0, span)
	},
	"copies": func(w *World, span time.Duration, _, _ int, _ time.Duration) { w.Cloud.Copy(span) },
	"workers only": func(w *World, span time.Duration, some, _ int, _ time.Duration) {
		w.CutFrom(some%w.Opt.Nodes, FromState|FromControllers, span)
	},
	"cut": func(w *World, span time.Duration, some, from int, _ time.Duration) {
		w.CutFrom(some%w.Opt.Nodes, from, span)
	},
	"short absence": func(w *World, _ time.Duration, some, _ int, soon time.Duration) {
		w.Crash(some%w.Opt.Nodes, soon)
		for range 4 * some {
			w.Cloud.Restart(soon, some%2 == 0)
		}
	},
	"all back at once": func(w *World, _ time.Duration, _, _ int, soon time.Duration) {
		for i := range w.Opt.Nodes {
			w.Crash(i, soon)
		}
	},
	"election": func(w *World, span time.Duration, some, from int, soon time.Duration) {
		w.EndAt(from%moments, span, soon)
		w.State.Refuse(w.State.leader(), 3*time.Second)
	},
	"state away": func(w *World, span time.Duration, _, _ int, _ time.Duration) { w.State.Outage(span / 2) },
	"gap": func(w *World, span time.Duration, _, _ int, soon time.Duration) {
		w.State.Gap(time.Second+soon, min(span, w.Opt.Cancel)+5*time.Second)
		w.At(time.Second, func() { w.Users.Cancel(10) })
	},
	"late writes": func(w *World, span time.Duration, some, _ int, _ time.Duration) {
		w.State.Late(0.1*float64(some), span)
	},
	"slow state": func(w *World, span time.Duration, _, _ int, _ time.Duration) { w.State.Slow(span) },
	"held up": func(w *World, span time.Duration, some, _ int, _ time.Duration) {
		w.Cloud.Hold(8*some, min(span, 8*time.Second))
	},
	"handed on": func(w *World, _ time.Duration, some, _ int, soon time.Duration) {
		w.State.Hand(1+some, time.Second+soon)
	},
	"cancellations": func(w *World, _ time.Duration, some, _ int, _ time.Duration) { w.Users.Cancel(10 * some) },
	"won, not read": func(w *World, span time.Duration, _, _ int, soon time.Duration) {
		w.Users.Cancel(5)
		w.OnceAt(keyWritten, func(string) { w.State.Outage(span) })
		if l := w.Leader(); l >= 0 {
			w.Crash(l, soon)
		}
	},
	"mute machines": func(w *World, span time.Duration, some, _ int, _ time.Duration) { w.Cloud.Mute(8*some, span) },
	"cancelled at the end": func(w *World, span time.Duration, some, _ int, _ time.Duration) {
		w.Users.AtEnd(0.1*float64(some), span)
	},
	"cancelled now": func(w *World, span time.Duration, some, _ int, _ time.Duration) {
		w.Users.CancelNow(5*some, span/2)
	},
	"odd requests": func(w *World, span time.Duration, some, _ int, _ time.Duration) {
		for i := range 5 * some {
			w.At(time.Duration(i)*span/time.Duration(5*some), w.Users.Odd)
		}
	},
	"all away": func(w *World, span time.Duration, _, _ int, _ time.Duration) {
		for i := range w.Opt.Nodes {
			w.Crash(i, span)
		}
	},
	"zone away": func(w *World, span time.Duration, some, from int, _ time.Duration) {
		w.CutZone([]string{"a", "b"}[from%2], []int{some % w.Opt.Nodes}, span)
	},
	"deaths": func(w *World, span time.Duration, some, _ int, _ time.Duration) {
		for range 6 * some {
			w.Cloud.Die()
			w.Cloud.Hang(span)
		}
	},
}

// Strikes lists the troubles of a day by name.
func Strikes() []string { return slices.Sorted(maps.Keys(strikes)) }

// Day plays a day: the work of a famine four times over, for four minutes ten troubles of these kinds, two at a time, then
// as long again without any.
func (w *World) Day(kinds []string) (Day, error) {
	const submits, begins, lasts, day = 240 * time.Second, 40 * time.Second, 240 * time.Second, 640 * time.Second
	for _, k := range kinds {
		if strikes[k] == nil {
			return Day{}, fmt.Errorf("no trouble is called %q", k)
		}
	}
	d := Day{Classes: map[string]Portion{}, Teams: map[string]Portion{}, Largest: map[string]Portion{}}
	n := 0
	for _, k := range famineWork {
		for at := time.Duration(0); at < submits; at += k.every / 4 {
			s := k.spec
			s.ID, s.Image, s.ImageGB, s.AllowsSpot, s.RunTimeEstimate = fmt.Sprintf("job-%07d", n), s.Class, 0.5, true, k.run
			if n++; n%25 == 0 {
				s.Tasks *= 10
			}
			run := time.Duration(float64(k.run) * (0.7 + 0.6*w.Rng.Float64()))
			w.At(at+time.Duration(w.Rng.Int64N(int64(time.Second))), func() { w.Users.Send(s, run) })
		}
	}
	for i := range 5 {
		at := begins + time.Duration(i)*lasts/5
		for range 2 {
			strike := strikes[kinds[w.Rng.IntN(len(kinds))]]
			span := time.Duration(3000+w.Rng.IntN(40_000)) * time.Millisecond
			some, from, soon := 1+w.Rng.IntN(3), 1+w.Rng.IntN(1<<farSides-1), time.Duration(1+w.Rng.IntN(900))*time.Millisecond
			w.At(at+time.Duration(w.Rng.IntN(8000))*time.Millisecond, func() { strike(w, span, some, from, soon) })
		}
	}
	for at := 5 * time.Second; at < day; at += 5 * time.Second {
		w.At(at, func() {
			up := w.Cloud.running()
			d.Machines = max(d.Machines, len(up))
			for _, m := range up {
				d.Had += 5 * m.flavor.CPUs
			}
		})
	}
	w.Run(day)
	d.Forgotten = len(w.Broken) > 0 && strings.Contains(w.Broken[0], "forgotten:")
	byClass := map[string][]*modelJob{}
	for _, id := range w.Users.ids {
		j := w.model.jobs[id]
		if j.accepted.IsZero() || j.asked {
			continue // what its user has cancelled is not to be served
		}
		d.Asked += float64(j.spec.Tasks) * j.spec.CPUs * j.run.Seconds()
		byClass[j.spec.Class] = append(byClass[j.spec.Class], j)
		d.Classes[j.spec.Class] = d.Classes[j.spec.Class].with(j)
		d.Teams[j.spec.Team] = d.Teams[j.spec.Team].with(j)
	}
	for class, list := range byClass {
		for name, size := range map[string]func(*modelJob) float64{
			"by work": func(j *modelJob) float64 {
				return float64(j.spec.Tasks) * j.spec.RunTimeEstimate.Seconds() * j.spec.CPUs
			},
			"by tasks": func(j *modelJob) float64 { return float64(j.spec.Tasks) },
		} {
			slices.SortStableFunc(list, func(a, b *modelJob) int { return cmp.Compare(size(b), size(a)) })
			for _, j := range list[:max(len(list)/10, 1)] {
				d.Largest[class+" "+name] = d.Largest[class+" "+name].with(j)
				began := day
				if !j.began.IsZero() {
					began = j.began.Sub(j.sent)
				}
				d.FirstStart = max(d.FirstStart, began)
			}
		}
	}
	return d, nil
}

func (p Portion) with(j *modelJob) Portion {
	if len(j.done) == j.spec.Tasks {
		p.Done++
	}
	return Portion{p.Done, p.All + 1}
}
