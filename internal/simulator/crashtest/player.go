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

func decodeText(value []byte) string {
	var s string
	if err := msgpack.Unmarshal(value, &s); err != nil {
		return "not a text: " + err.Error()
	}
	return s
}

// Player makes random requests to a store and applies them to a model. It drives
// the store as its server does, but one step after the other.
type Player struct {
	disk           *faultydisk.Disk
	rng            *rand.Rand
	state          *kvserver.State
	storage        *kvserver.Storage
	snapshotWriter *kvserver.SnapshotWriter
	now            time.Time

	acknowledged *Model   // every transaction that was acknowledged
	uncertain    []*Model // other states that the store may recover, since a write had no outcome
	needsRepair  bool     // the log refuses writes until a new segment is begun
	leaseExpiry  map[uint64]time.Time
	Violation    string // the first guarantee that was broken, empty if none was
}

const leaseDuration = 5 * time.Second

// NewPlayer returns a player for an empty disk; Open has to be called first.
func NewPlayer(disk *faultydisk.Disk, rng *rand.Rand) *Player {
	return &Player{disk: disk, rng: rng, acknowledged: NewModel(), now: time.Unix(1000, 0), leaseExpiry: map[uint64]time.Time{}}
}

// Open recovers the store, on another disk if one is given, and compares it with the model. It returns false after a crash or a violation.
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
			p.Violation = fmt.Sprintf("cannot be opened: %v", err)
		}
		return false
	}
	why := p.acknowledged.Difference(state)
	for _, m := range p.uncertain {
		if why == "" {
			break
		}
		if m.Difference(state) == "" {
			why, p.acknowledged = "", m
		}
	}
	if why != "" {
		p.Violation = fmt.Sprintf("comes back otherwise: %s; %d more might be there", why, len(p.uncertain))
		return false
	}
	p.uncertain, p.state, p.storage, p.snapshotWriter, p.needsRepair = nil, state, log, nil, false
	p.leaseExpiry = map[uint64]time.Time{}
	for id := range p.acknowledged.Leases {
		p.leaseExpiry[id] = p.now.Add(leaseDuration)
	}
	return true
}

func (p *Player) key() string { return fmt.Sprintf("k/%d", p.rng.IntN(12)) }

// randomRequest makes a random request, and what the model says to it.
func (p *Player) randomRequest(m *Model) (r kvserver.Request, check func(kvserver.Response) string) {
	want := 200
	switch p.rng.IntN(10) {
	case 0:
		id := m.GrantLease()
		r = post("/leases", map[string]any{"ttl_ms": leaseDuration.Milliseconds()})
		p.leaseExpiry[id] = p.now.Add(leaseDuration)
	case 1:
		id := uint64(1)
		for l := range m.Leases {
			id = max(id, l)
		}
		if !m.Leases[id] {
			want = 404
		}
		m.EndLease(id)
		r = kvserver.Request{Method: "DELETE", Target: fmt.Sprintf("/leases/%d", id)}
	default:
		var guards []Precondition
		var ops []Operation
		for range p.rng.IntN(3) {
			k := p.key()
			g := Precondition{k, m.Keys[k].ModRevision}
			if p.rng.IntN(6) == 0 {
				g.ModRevision++
			}
			guards = append(guards, g)
		}
		for range 1 + p.rng.IntN(3) {
			o := Operation{Key: p.key()}
			if p.rng.IntN(4) > 0 {
				o.Value = fmt.Sprintf("%d-%0*d", p.rng.IntN(1000), 1+p.rng.IntN(900), 7)
				if p.rng.IntN(5) == 0 {
					o.LeaseID = uint64(1 + p.rng.IntN(4))
				}
			}
			ops = append(ops, o)
		}
		want, _ = m.Commit(guards, ops)
		r = CommitRequest(guards, ops)
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
		panic(err) // maps of numbers and strings can always be encoded
	}
	return kvserver.Request{Method: "POST", Target: target, Body: raw}
}

// CommitRequest is the request for a transaction as the store's server receives it.
func CommitRequest(guards []Precondition, ops []Operation) kvserver.Request {
	g, a := []any{}, []any{}
	for _, x := range guards {
		g = append(g, map[string]any{"path": x.Key, "mark": x.ModRevision})
	}
	for _, o := range ops {
		switch {
		case o.Value == "":
			a = append(a, map[string]any{"drop": o.Key})
		case o.LeaseID == 0:
			a = append(a, map[string]any{"write": o.Key, "value": o.Value})
		default:
			a = append(a, map[string]any{"write": o.Key, "value": o.Value, "permit": o.LeaseID})
		}
	}
	return post("/commit", map[string]any{"guards": g, "apply": a})
}

// Step runs one step. It returns false after a crash or a violation.
func (p *Player) Step() bool {
	p.now = p.now.Add(time.Duration(p.rng.IntN(900)) * time.Millisecond)
	if p.needsRepair {
		if !p.repair() {
			return false
		}
	}
	if !p.needsRepair && (!p.expireLeases() || !p.sendRequests()) {
		return false
	}
	return p.snapshot()
}

// expireLeases lets leases expire and checks that none does so early or late.
func (p *Player) expireLeases() bool {
	e := p.state.Step(p.now, nil)
	next := p.acknowledged.Clone()
	left := map[uint64]bool{}
	for _, id := range p.state.LeaseIDs() {
		left[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(p.acknowledged.Leases)) {
		early := p.now.Before(p.leaseExpiry[id])
		if left[id] != early {
			p.Violation = fmt.Sprintf("lease %d is there: %v, %v before its end", id, left[id], p.leaseExpiry[id].Sub(p.now))
			return false
		}
		if !left[id] {
			next.EndLease(id)
		}
	}
	return p.appendStep(e, next)
}

// sendRequests sends up to three requests in one step.
func (p *Player) sendRequests() bool {
	for id := range p.acknowledged.Leases {
		// Its end could not be written and is tried again.
		if p.needsRepair || !p.now.Before(p.leaseExpiry[id]) {
			return true
		}
	}
	if p.needsRepair {
		return true
	}
	next := p.acknowledged.Clone()
	var batch []kvserver.Request
	var checks []func(kvserver.Response) string
	for range 1 + p.rng.IntN(3) {
		r, check := p.randomRequest(next)
		batch, checks = append(batch, r), append(checks, check)
	}
	e := p.state.Step(p.now, batch)
	for i, check := range checks {
		if why := check(e.Responses[i]); why != "" {
			p.Violation = why
			return false
		}
	}
	return p.appendStep(e, next)
}

// appendStep appends the records of a step to the log and updates the model by the outcome.
func (p *Player) appendStep(e kvserver.Effects, next *Model) bool {
	if len(e.Records) == 0 {
		return true
	}
	err := p.storage.Append(e.Records)
	switch {
	case err == nil:
		p.acknowledged = next
		p.storage.RecordAppended(len(e.Records))
		return true
	case errors.Is(err, faultydisk.ErrCrashed):
		p.uncertain = append(p.uncertain, next)
		return false
	case errors.Is(err, kvserver.ErrNotWritten):
		p.state.Undo(e)
	default:
		p.state.Undo(e)
		p.uncertain = append(p.uncertain, next)
	}
	if why := p.acknowledged.Difference(p.state); why != "" {
		p.Violation = "not taken back: " + why
		return false
	}
	p.noteFailure()
	return true
}

func (p *Player) noteFailure() {
	if p.storage.IsBroken() && !p.needsRepair {
		p.needsRepair = true
		p.state.SetWritesFailing(p.now, true)
	}
}

// repair begins a new segment. While the disk fails, the store has to refuse writes.
func (p *Player) repair() bool {
	err := p.storage.Repair(p.state.Revision())
	if errors.Is(err, faultydisk.ErrCrashed) {
		return false
	}
	if err != nil {
		e := p.state.Step(p.now, []kvserver.Request{CommitRequest(nil, []Operation{{Key: "k/0", Value: "no"}})})
		if len(e.Responses) != 1 || e.Responses[0].Status != 503 || len(e.Records) > 0 {
			p.Violation = fmt.Sprintf("a commit that cannot be kept: %+v", e.Responses)
			return false
		}
		return true
	}
	// Writes of unknown outcome are dropped by the new segment.
	p.needsRepair, p.uncertain = false, nil
	p.state.SetWritesFailing(p.now, false)
	for id := range p.acknowledged.Leases {
		p.leaseExpiry[id] = p.now.Add(leaseDuration)
	}
	return true
}

// snapshot begins a snapshot now and then, or advances the one that is being written.
func (p *Player) snapshot() bool {
	if p.snapshotWriter == nil {
		if p.needsRepair || p.rng.IntN(5) > 0 {
			return true
		}
		snap, err := p.storage.BeginSnapshot(p.state.Freeze())
		if errors.Is(err, faultydisk.ErrCrashed) {
			return false
		}
		if err != nil {
			p.noteFailure()
			return true
		}
		p.storage.RecordSnapshotBegun()
		p.snapshotWriter = snap
		return true
	}
	done, err := p.snapshotWriter.Step()
	switch {
	case errors.Is(err, faultydisk.ErrCrashed):
		return false
	case err != nil:
		if errors.Is(p.snapshotWriter.Abort(), faultydisk.ErrCrashed) {
			return false
		}
		p.storage.RecordSnapshotDone(p.snapshotWriter, false)
		p.snapshotWriter = nil
	case done:
		if errors.Is(p.storage.Prune(p.snapshotWriter), faultydisk.ErrCrashed) {
			return false
		}
		p.storage.RecordSnapshotDone(p.snapshotWriter, true)
		p.snapshotWriter = nil
	}
	return true
}
