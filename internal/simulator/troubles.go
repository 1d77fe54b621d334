package simulator

import (
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/controller/election"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// Far sides that a controller can be cut off from, alone or together.
const (
	FromState = 1 << iota
	FromControllers
	FromWorkers
	FromUsers
	FromCloud
	farSides = iota
)

// apart is a controller that is cut off from some far sides.
type apart struct {
	from  int
	until time.Time
}

// side is which far side of a controller a host is.
func side(host string) int {
	switch {
	case host == "state":
		return FromState
	case host == "cloud":
		return FromCloud
	case host == "user":
		return FromUsers
	case strings.HasPrefix(host, "vm-"):
		return FromWorkers
	}
	return FromControllers
}

// CutFrom cuts a controller off from any set of far sides, both ways.
func (w *World) CutFrom(i, from int, span time.Duration) {
	w.apart[nodeName(i)] = apart{from, w.Now.Add(span)}
	w.trouble(span)
}

// cutUntil is until when what goes from one host to the other does not get through.
func (w *World) cutUntil(from, to string) time.Time {
	until := w.cuts[from+"|"+to]
	for _, ends := range [...][2]string{{from, to}, {to, from}} {
		if a, ok := w.apart[ends[0]]; ok && a.from&side(ends[1]) != 0 && a.until.After(until) {
			until = a.until
		}
	}
	return until
}

// trouble notes that something is wrong for so long.
func (w *World) trouble(span time.Duration) {
	if until := w.Now.Add(span); until.After(w.calm) {
		w.calm = until
	}
}

// Leader is the index of the controller that holds the leader's key; -1: none does.
func (w *World) Leader() int {
	for i := range w.nodes {
		if nodeName(i) == w.State.leader() {
			return i
		}
	}
	return -1
}

// CutOneWay cuts what goes from one host to another; the way back stays open.
func (w *World) CutOneWay(from, to string, span time.Duration) {
	w.cuts[from+"|"+to] = w.Now.Add(span)
	w.trouble(span)
}

// some draws up to so many of the machines whose workers are there.
func (c *Cloud) some(count int) []*machine {
	list := c.running()
	c.w.Rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// Unhear lets up to so many machines hear nobody: their reports arrive, answers and commands do not reach
// them. leaderOnly: only what the leader sends is lost.
func (c *Cloud) Unhear(count int, leaderOnly bool, span time.Duration) {
	for _, m := range c.some(count) {
		for i := range c.w.Opt.Nodes {
			if name := nodeName(i); !leaderOnly || name == c.w.State.leader() {
				c.w.CutOneWay(name, m.id, span)
			}
		}
	}
}

// Copy delivers half of the reports that are sent from now on for a while once more, up to four leases later, to any
// controller.
func (c *Cloud) Copy(span time.Duration) {
	c.copying = c.w.Now.Add(span)
	c.w.trouble(span + 4*c.w.Opt.Lease + time.Second)
}

// Hold holds up what some machines are sent, or all that goes on there, for some seconds each, one after the other.
func (c *Cloud) Hold(count int, span time.Duration) {
	for k, m := range c.some(count) {
		c.w.At(time.Duration(k)*200*time.Millisecond, func() {
			if k%2 == 0 {
				m.hangs = c.w.Now.Add(span)
				return
			}
			for i := range c.w.Opt.Nodes {
				c.w.CutOneWay(nodeName(i), m.id, span)
			}
		})
	}
	c.w.trouble(span + time.Duration(count)*200*time.Millisecond)
}

// copyOf delivers a report again, if reports are copied at present. Nobody hears the answer.
func (c *Cloud) copyOf(raw []byte) {
	if !c.w.Now.Before(c.copying) || c.w.Rng.IntN(2) == 0 {
		return
	}
	late := time.Second + time.Duration(c.w.Rng.Int64N(int64(4*c.w.Opt.Lease)))
	host := nodeName(c.w.Rng.IntN(c.w.Opt.Nodes))
	c.w.At(late, func() { c.w.request(host, false, "POST", "/v1/report", raw, func(int, any) {}) })
}

// Restart ends a machine with all that is on it and starts it again soon, under its name. It goes on counting
// its sessions, or begins again at the first.
func (c *Cloud) Restart(back time.Duration, counts bool) {
	if list := c.running(); len(list) > 0 {
		list[c.w.Rng.IntN(len(list))].restart(back, counts)
	}
	c.w.trouble(back)
}

func (m *machine) restart(back time.Duration, counts bool) {
	m.clear()
	m.up, m.busy, m.token, m.seq = false, false, 0, 0
	m.life++
	m.flight++
	if counts {
		m.session++
	} else {
		m.session = 1
	}
	m.w.At(back, m.start)
}

// Moments of an election at which a controller can end.
const (
	campaignSent = iota
	keyWritten   // and the answer is lost
	promiseGiven
	yieldSent
	moments
)

// trap ends a controller at a moment of an election, once.
type trap struct {
	moment int
	until  time.Time
	back   time.Duration
	do     func(name string) // instead of ending it
}

// EndAt ends the first controller that comes to the moment within a while; it is back soon.
func (w *World) EndAt(moment int, within, back time.Duration) {
	w.traps = append(w.traps, trap{moment: moment, until: w.Now.Add(within), back: back})
	w.trouble(within + back)
}

// OnceAt does something when a controller comes to a moment of an election next.
func (w *World) OnceAt(moment int, do func(name string)) {
	w.traps = append(w.traps, trap{moment: moment, until: w.Now.Add(time.Hour), do: do})
}

// came is told of the moments; who comes to one with a trap ends.
func (w *World) came(moment int, name string) {
	for k, t := range w.traps {
		if t.moment != moment || w.Now.After(t.until) {
			continue
		}
		w.traps = append(w.traps[:k:k], w.traps[k+1:]...)
		if t.do != nil {
			t.do(name)
			return
		}
		for i := range w.nodes {
			if nodeName(i) == name {
				w.Crash(i, t.back)
			}
		}
		return
	}
}

// momentOf is the moment of an election that a call is, -1 for none.
func momentOf(call client.Call, body []byte) int {
	switch {
	case call.Destination == client.StateService && call.Path == "/leases" && call.Method == http.MethodPost:
		return campaignSent
	case call.Destination == client.StateService && call.Path == "/commit":
		var t struct {
			Apply []struct {
				Write string `msgpack:"write"`
			} `msgpack:"apply"`
		}
		if codec.Unmarshal(body, &t) == nil && len(t.Apply) == 1 && t.Apply[0].Write == election.LeaderKey {
			return keyWritten
		}
	case call.Destination == client.PeerController && call.Path == "/peer/hello":
		var h election.PingRequest
		if codec.Unmarshal(body, &h) == nil && h.ReleasedLeaseID != 0 {
			return yieldSent
		}
		return promiseGiven
	}
	return -1
}

// oneActs looks from now on, a hundred times a second, that no two controllers are entitled at once.
func (w *World) oneActs() {
	w.At(10*time.Millisecond, func() {
		var list []string
		for i := range w.nodes {
			if acting, _ := w.acts(i); acting {
				list = append(list, nodeName(i))
			}
		}
		if len(list) > 1 {
			w.breakRule("entitled at once: %v", list)
		}
		w.oneActs()
	})
}
