package crashtest

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/faultydisk"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

func text(value []byte) string {
	var s string
	if err := msgpack.Unmarshal(value, &s); err != nil {
		return "not a text: " + err.Error()
	}
	return s
}

// Player plays random requests on a store and keeps a plain history of them. What it does with
// the store is what the store's service does, one thing after the other.
type Player struct {
	disk  *faultydisk.Disk
	rng   *rand.Rand
	state *kvserver.State
	log   *kvserver.Storage
	snap  *kvserver.SnapshotWriter
	now   time.Time

	acked  *Plain   // what has been answered
	may    []*Plain // what may be there instead, since nobody knows
	open   bool     // the log waits for a new segment
	ends   map[uint64]time.Time
	Broken string // a promise that was not kept
}

const ttl = 5 * time.Second

// NewPlayer begins on an empty disk.
func NewPlayer(disk *faultydisk.Disk, rng *rand.Rand) *Player {
	return &Player{disk: disk, rng: rng, acked: NewPlain(), now: time.Unix(1000, 0), ends: map[uint64]time.Time{}}
}

// Open brings the store back, on another disk if one is given, and compares it with the history.
func (p *Player) Open(disk *faultydisk.Disk) bool {
	if disk != nil {
		p.disk = disk
	}
	state, log, _, err := kvserver.Open(p.disk, config.DefaultKVServerOptions(), p.now, slog.New(slog.DiscardHandler))
	if errors.Is(err, faultydisk.ErrCrashed) {
		return false
	}
	if err != nil {
		if p.disk.FailAt == 0 {
			p.Broken = fmt.Sprintf("cannot be opened: %v", err)
		}
		return false
	}
	why := p.acked.Differs(state)
	for _, m := range p.may {
		if why == "" {
			break
		}
		if m.Differs(state) == "" {
			why, p.acked = "", m
		}
	}
	if why != "" {
		p.Broken = fmt.Sprintf("comes back otherwise: %s; %d more might be there", why, len(p.may))
		return false
	}
	p.may, p.state, p.log, p.snap, p.open = nil, state, log, nil, false
	p.ends = map[uint64]time.Time{}
	for id := range p.acked.Leases {
		p.ends[id] = p.now.Add(ttl)
	}
	return true
}

func (p *Player) key() string { return fmt.Sprintf("k/%d", p.rng.IntN(12)) }

// request makes a random request, and what the model says to it.
func (p *Player) request(m *Plain) (r kvserver.Request, check func(kvserver.Response) string) {
	want := 200
	switch p.rng.IntN(10) {
	case 0:
		id := m.Grant()
		r = post("/leases", map[string]any{"ttl_ms": ttl.Milliseconds()})
		p.ends[id] = p.now.Add(ttl)
	case 1:
		id := uint64(1)
		for l := range m.Leases {
			id = max(id, l)
		}
		if !m.Leases[id] {
			want = 404
		}
		m.End(id)
		r = kvserver.Request{Method: "DELETE", Target: fmt.Sprintf("/leases/%d", id)}
	default:
		var guards []Guard
		var ops []Op
		for range p.rng.IntN(3) {
			k := p.key()
			g := Guard{k, m.Keys[k].Mark}
			if p.rng.IntN(6) == 0 {
				g.Mark++
			}
			guards = append(guards, g)
		}
		for range 1 + p.rng.IntN(3) {
			o := Op{Key: p.key()}
			if p.rng.IntN(4) > 0 {
				o.Value = fmt.Sprintf("%d-%0*d", p.rng.IntN(1000), 1+p.rng.IntN(900), 7)
				if p.rng.IntN(5) == 0 {
					o.Lease = uint64(1 + p.rng.IntN(4))
				}
			}
			ops = append(ops, o)
		}
		want, _ = m.Commit(guards, ops)
		r = Commit(guards, ops)
	}
	return r, func(got kvserver.Response) string {
		if got.Status != want {
			return fmt.Sprintf("%s %s is answered %d, want %d", r.Method, r.Target, got.Status, want)
		}
		return ""
	}
}

func post(target string, body any) kvserver.Request {
	raw, err := codec.Marshal(body)
	if err != nil {
		panic(err) // of plain maps
	}
	return kvserver.Request{Method: "POST", Target: target, Body: raw}
}

// Commit is the request of a commit.
func Commit(guards []Guard, ops []Op) kvserver.Request {
	g, a := []any{}, []any{}
	for _, x := range guards {
		g = append(g, map[string]any{"path": x.Key, "mark": x.Mark})
	}
	for _, o := range ops {
		switch {
		case o.Value == "":
			a = append(a, map[string]any{"drop": o.Key})
		case o.Lease == 0:
			a = append(a, map[string]any{"write": o.Key, "value": o.Value})
		default:
			a = append(a, map[string]any{"write": o.Key, "value": o.Value, "permit": o.Lease})
		}
	}
	return post("/commit", map[string]any{"guards": g, "apply": a})
}

// Step plays one step; false once the machine has ended or a promise was broken.
func (p *Player) Step() bool {
	p.now = p.now.Add(time.Duration(p.rng.IntN(900)) * time.Millisecond)
	if p.open {
		if !p.repair() {
			return false
		}
	}
	if !p.open && (!p.expire() || !p.ask()) {
		return false
	}
	return p.snapshot()
}

// expire lets time end leases: none early, and none late.
func (p *Player) expire() bool {
	e := p.state.Step(p.now, nil)
	next := p.acked.Clone()
	left := map[uint64]bool{}
	for _, id := range p.state.LeaseIDs() {
		left[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(p.acked.Leases)) {
		early := p.now.Before(p.ends[id])
		if left[id] != early {
			p.Broken = fmt.Sprintf("lease %d is there: %v, %v before its end", id, left[id], p.ends[id].Sub(p.now))
			return false
		}
		if !left[id] {
			next.End(id)
		}
	}
	return p.keep(e, next)
}

// ask sends a few requests in one step.
func (p *Player) ask() bool {
	for id := range p.acked.Leases {
		// Its end could not be kept, and is tried again.
		if p.open || !p.now.Before(p.ends[id]) {
			return true
		}
	}
	if p.open {
		return true
	}
	next := p.acked.Clone()
	var batch []kvserver.Request
	var checks []func(kvserver.Response) string
	for range 1 + p.rng.IntN(3) {
		r, check := p.request(next)
		batch, checks = append(batch, r), append(checks, check)
	}
	e := p.state.Step(p.now, batch)
	for i, check := range checks {
		if why := check(e.Responses[i]); why != "" {
			p.Broken = why
			return false
		}
	}
	return p.keep(e, next)
}

// keep brings a step into the log, as far as the disk lets it.
func (p *Player) keep(e kvserver.Effects, next *Plain) bool {
	if len(e.Records) == 0 {
		return true
	}
	err := p.log.Append(e.Records)
	switch {
	case err == nil:
		p.acked = next
		p.log.RecordAppended(len(e.Records))
		return true
	case errors.Is(err, faultydisk.ErrCrashed):
		p.may = append(p.may, next)
		return false
	case errors.Is(err, kvserver.ErrNotWritten):
		p.state.Undo(e)
	default:
		p.state.Undo(e)
		p.may = append(p.may, next)
	}
	if why := p.acked.Differs(p.state); why != "" {
		p.Broken = "not taken back: " + why
		return false
	}
	p.failed()
	return true
}

func (p *Player) failed() {
	if p.log.IsBroken() && !p.open {
		p.open = true
		p.state.SetWritesFailing(p.now, true)
	}
}

// repair goes on in a new segment; while the disk fails, the store is read and not written.
func (p *Player) repair() bool {
	err := p.log.Repair(p.state.Revision())
	if errors.Is(err, faultydisk.ErrCrashed) {
		return false
	}
	if err != nil {
		e := p.state.Step(p.now, []kvserver.Request{Commit(nil, []Op{{Key: "k/0", Value: "no"}})})
		if len(e.Responses) != 1 || e.Responses[0].Status != 503 || len(e.Records) > 0 {
			p.Broken = fmt.Sprintf("a commit that cannot be kept: %+v", e.Responses)
			return false
		}
		return true
	}
	// What nobody knew of is void from now on.
	p.open, p.may = false, nil
	p.state.SetWritesFailing(p.now, false)
	for id := range p.acked.Leases {
		p.ends[id] = p.now.Add(ttl)
	}
	return true
}

// snapshot begins one now and then, or takes the one under way a step further.
func (p *Player) snapshot() bool {
	if p.snap == nil {
		if p.open || p.rng.IntN(5) > 0 {
			return true
		}
		snap, err := p.log.BeginSnapshot(p.state.Freeze())
		if errors.Is(err, faultydisk.ErrCrashed) {
			return false
		}
		if err != nil {
			p.failed()
			return true
		}
		p.log.RecordSnapshotBegun()
		p.snap = snap
		return true
	}
	done, err := p.snap.Step()
	switch {
	case errors.Is(err, faultydisk.ErrCrashed):
		return false
	case err != nil:
		if errors.Is(p.snap.Abort(), faultydisk.ErrCrashed) {
			return false
		}
		p.log.RecordSnapshotDone(p.snap, false)
		p.snap = nil
	case done:
		if errors.Is(p.log.Prune(p.snap), faultydisk.ErrCrashed) {
			return false
		}
		p.log.RecordSnapshotDone(p.snap, true)
		p.snap = nil
	}
	return true
}
