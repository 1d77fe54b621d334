package node

import (
	"sort"
	"time"

	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/workers"
)

// option is a kind of machine that can be rented, with its price per CPU.
type option struct {
	kind  fleet.Kind
	typ   *fleet.Type
	price float64
}

// serving is how long a rented machine is expected to be of use.
const serving = 3 * time.Minute

func (n *Node) options() []option {
	var list []option
	for _, t := range n.lead.cloud.Types {
		size := max(t.CPUs, t.Cards*8, 0.1)
		// A machine is paid for while it boots: spread over the time it is likely to serve.
		size *= serving.Seconds() / (serving + t.Boot()).Seconds()
		for _, z := range t.Zones {
			list = append(list, option{kindOf(t, z, false), t, t.Price / size}, option{kindOf(t, z, true), t, t.SpotPrice / size})
		}
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.price != y.price {
			return x.price < y.price
		}
		if x.kind.Type != y.kind.Type {
			return x.kind.Type < y.kind.Type
		}
		return x.kind.Zone < y.kind.Zone
	})
	return list
}

// size rents what the waiting work justifies and gives back what stands idle.
func (n *Node) size(now time.Time) {
	l := n.lead
	n.rank(now)
	n.giveBack(now)
	// What an earlier leader has rented last is not listed yet; only where the ledger
	// holds nothing at all is there no earlier leader.
	if len(l.cloud.Types) == 0 || !l.first && (l.cloud.Lists == 0 || now.Sub(l.since) < n.cfg.ListLag) {
		return
	}
	opts := n.options()
	if len(opts) == 0 {
		return
	}
	cheapest := opts[0].price
	// Room that is there or coming, per machine; the waiting tasks are laid into it.
	f := n.forecast(now)
	work := n.workAhead()
	n.shed(now, opts, work)
	asked := map[fleet.Kind]int{}
	for _, e := range l.order {
		j := e.Job
		if j.Waiting() == 0 {
			continue
		}
		want := n.wanted(j)
		want -= f.lay(j, want)
		lacking := needed(j) - f.capacity(j)
		for _, o := range opts {
			per := place.PerMachine(j, o.typ)
			if want <= 0 {
				break
			}
			if per == 0 || !place.KindAllowed(j, o.kind) || !l.cloud.Askable(now, o.kind) {
				continue
			}
			worth := n.worth(o.price, cheapest)
			total := work.within(worth)
			for want > 0 && asked[o.kind] < l.cloud.MostAsked() && (lacking > 0 || total > f.cpus*worth) {
				asked[o.kind]++
				f.add(o.kind, o.typ)
				lacking -= per
				want -= f.take(len(f.open)-1, j, min(per, want))
			}
		}
	}
	for _, o := range opts {
		if asked[o.kind] > 0 {
			l.cloud.Rent(now, o.kind, asked[o.kind])
		}
	}
}

// ahead is the work at hand, in CPU seconds, by team.
type ahead []teamWork

type teamWork struct{ work, limit float64 }

func (n *Node) workAhead() ahead {
	at := map[string]int{}
	var list ahead
	for _, e := range n.lead.order {
		i, ok := at[e.Job.Team]
		if !ok {
			i = len(list)
			at[e.Job.Team] = i
			list = append(list, teamWork{limit: n.teams[e.Job.Team].CPULimit})
		}
		list[i].work += e.Work
	}
	return list
}

// within is how much of the work could be done in so many seconds with any number of
// machines: no team gets further than its limit.
func (a ahead) within(seconds float64) float64 {
	sum := 0.0
	for _, t := range a {
		if t.limit > 0 {
			t.work = min(t.work, t.limit*seconds)
		}
		sum += t.work
	}
	return sum
}

// forecast is the room of the machines that are there or booting.
type forecast struct {
	cpus  float64
	open  []slot // those on which something may still fit
	kinds map[fleet.Kind]*kindRoom
	least float64 // CPUs of the smallest task that waits
}

type slot struct {
	kind fleet.Kind
	free workers.Room
}

type kindRoom struct {
	size  workers.Room
	count int
}

func (n *Node) forecast(now time.Time) *forecast {
	l := n.lead
	f := &forecast{kinds: map[fleet.Kind]*kindRoom{}, least: l.least}
	for id, h := range l.cloud.Hosts {
		t := l.cloud.Types[h.Kind.Type]
		if t == nil || h.Deleting || h.State == fleet.Failed {
			continue
		}
		m := l.fleet.Machines[id]
		if m == nil || !m.Up {
			f.add(h.Kind, t)
			continue
		}
		if m.Draining == workers.InUse && !l.fleet.Expired(now, m) {
			f.add(h.Kind, t)
			f.open[len(f.open)-1].free = m.Free()
		}
	}
	return f
}

func (f *forecast) add(k fleet.Kind, t *fleet.Type) {
	f.cpus += t.CPUs
	f.open = append(f.open, slot{k, place.Size(t)})
	r := f.kinds[k]
	if r == nil {
		r = &kindRoom{size: place.Size(t)}
		f.kinds[k] = r
	}
	r.count++
}

func (f *forecast) take(i int, j *jobs.Job, count int) int {
	f.open[i].free = f.open[i].free.Take(j, count)
	return count
}

// lay takes room for up to want tasks of the job and returns how many found some. What is
// full is dropped on the way, so that a fleet under load is walked only once.
func (f *forecast) lay(j *jobs.Job, want int) int {
	found, left := 0, 0
	for i := range f.open {
		if found >= want {
			if left == i {
				return found
			}
			left += copy(f.open[left:], f.open[i:])
			f.open = f.open[:left]
			return found
		}
		if fit := f.open[i].free.Fits(j); fit > 0 && place.KindAllowed(j, f.open[i].kind) {
			found += f.take(i, j, min(fit, want-found))
		}
		if f.open[i].free.CPUs >= f.least-1e-6 {
			f.open[left] = f.open[i]
			left++
		}
	}
	f.open = f.open[:left]
	return found
}

// needed is how many of its tasks must have a place at the same time for a job ever to
// get anywhere.
func needed(j *jobs.Job) int {
	if j.Gang || j.Service {
		return j.Tasks
	}
	return 1
}

// capacity is how many tasks of the job the machines would hold if nothing else ran.
// However small the work at hand: what has no place at all gets one.
func (f *forecast) capacity(j *jobs.Job) int {
	n := 0
	for k, r := range f.kinds {
		if place.KindAllowed(j, k) {
			n += r.count * r.size.Fits(j)
		}
	}
	return n
}

// worth is how long, in seconds, the work at hand must last for a kind to be rented: the
// dearer it is, the longer.
func (n *Node) worth(price, cheapest float64) float64 {
	return n.lead.options.Backlog.Seconds() * price / cheapest / 3
}

// minCharge is what the cloud charges at least for a machine that is deleted.
const minCharge = time.Minute

// paidFor is how long a machine has been paid for already beyond now.
func (n *Node) paidFor(now time.Time, id string) time.Duration {
	h := n.lead.cloud.Hosts[id]
	if h == nil {
		return 0
	}
	return max(minCharge-now.Sub(h.Born), 0)
}

// shed stops to use the dearer kinds once the cheaper machines that are up would get
// through the work well before the dearer ones were worth renting.
func (n *Node) shed(now time.Time, opts []option, work ahead) {
	l := n.lead
	up := map[fleet.Kind][]*workers.Machine{}
	for _, m := range l.fleet.Machines {
		if m.Up && (m.Draining == workers.InUse || m.Draining == workers.Surplus) {
			up[place.Kind(m)] = append(up[place.Kind(m)], m)
		}
	}
	cheaper := 0.0
	for _, o := range opts {
		worth := n.worth(o.price, opts[0].price)
		spare := o.price > 1.5*opts[0].price && work.within(worth) < cheaper*worth/2
		for _, m := range up[o.kind] {
			cheaper += m.CPUs
			switch {
			case spare && m.Draining == workers.InUse && n.paidFor(now, m.ID) == 0:
				m.Draining = workers.Surplus
			case !spare && m.Draining == workers.Surplus:
				m.Draining = workers.InUse
			}
		}
	}
}

// giveBack returns machines that are idle, faulty, failed, never up or lost.
func (n *Node) giveBack(now time.Time) {
	l := n.lead
	why := map[string][]string{}
	waiting := 0
	for _, e := range l.order {
		waiting += n.wanted(e.Job)
	}
	for id, h := range l.cloud.Hosts {
		if h.Deleting {
			continue
		}
		t := l.cloud.Types[h.Kind.Type]
		m := l.fleet.Machines[id]
		reason := ""
		switch {
		case h.State == fleet.Failed:
			reason = "failed"
		case m == nil || !m.Up:
			if t != nil && now.Sub(h.Born) > 5*t.Boot()/2+30*time.Second && now.Sub(l.since) > n.leaseEnd() {
				reason = "never up"
			}
		case l.fleet.Expired(now, m):
			if now.Sub(m.Answered) > n.leaseEnd()+15*time.Second {
				reason = "lost"
			}
		case m.Draining.Leaving() && len(m.Attempts) == 0:
			reason = string(m.Draining)
		case m.Draining != workers.InUse || len(m.Attempts) > 0 || n.paidFor(now, id) > 0:
		case waiting == 0 && now.Sub(m.IdleSince) > n.lead.options.IdleAfter, now.Sub(m.IdleSince) > 3*n.lead.options.IdleAfter:
			reason = "idle"
		}
		if reason == "" {
			continue
		}
		if m != nil && (m.Draining == workers.InUse || m.Draining.Leaving()) {
			m.Draining = workers.Returned
		}
		why[reason] = append(why[reason], id)
	}
	for reason, ids := range why {
		l.cloud.Return(now, ids, reason)
	}
}
