package crashtest

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/faultydisk"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// decodeText decodes a value, all of which are texts here.
func decodeText(value []byte) string {
	var s string
	if err := msgpack.Unmarshal(value, &s); err != nil {
		return "no text: " + err.Error()
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
			p.Violation = fmt.Sprintf("the store cannot be opened: %v", err)
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
		p.Violation = fmt.Sprintf("the recovered state differs: %s; it may also be one of %d others", why, len(p.uncertain))
		return false
	}
	p.uncertain, p.state, p.storage, p.snapshotWriter, p.needsRepair = nil, state, log, nil, false
	p.leaseExpiry = map[uint64]time.Time{}
	for id := range p.acknowledged.Leases {
		p.leaseExpiry[id] = p.now.Add(leaseDuration)
	}
	return true
}

// key draws a key.
func (p *Player) key() string { return fmt.Sprintf("k/%d", p.rng.IntN(12)) }

// randomRequest draws a request, applies it to the model, and returns a check of the store's response.
func (p *Player) randomRequest(model *Model) (request kvserver.Request, check func(kvserver.Response) string) {
	want := http.StatusOK
	switch p.rng.IntN(10) {
	case 0:
		leaseID := model.GrantLease()
		request = post("/leases", map[string]any{"ttl_ms": leaseDuration.Milliseconds()})
		p.leaseExpiry[leaseID] = p.now.Add(leaseDuration)
	case 1:
		leaseID := uint64(1)
		for other := range model.Leases {
			leaseID = max(leaseID, other)
		}
		if !model.Leases[leaseID] {
			want = http.StatusNotFound
		}
		model.EndLease(leaseID)
		request = kvserver.Request{Method: "DELETE", Target: fmt.Sprintf("/leases/%d", leaseID)}
	default:
		preconditions := p.randomPreconditions(model)
		operations := p.randomOperations()
		want, _ = model.Commit(preconditions, operations)
		request = CommitRequest(preconditions, operations)
	}
	return request, func(got kvserver.Response) string {
		if got.Status != want {
			return fmt.Sprintf("%s %s is answered %d, want %d", request.Method, request.Target, got.Status, want)
		}
		return ""
	}
}

// randomPreconditions draws up to two preconditions, some of which fail.
func (p *Player) randomPreconditions(model *Model) []Precondition {
	var list []Precondition
	for range p.rng.IntN(3) {
		key := p.key()
		precondition := Precondition{key, model.Keys[key].ModRevision}
		if p.rng.IntN(6) == 0 {
			precondition.ModRevision++
		}
		list = append(list, precondition)
	}
	return list
}

// randomOperations draws one to three writes and drops, some with a lease that may not exist.
func (p *Player) randomOperations() []Operation {
	var list []Operation
	for range 1 + p.rng.IntN(3) {
		operation := Operation{Key: p.key()}
		if p.rng.IntN(4) > 0 {
			operation.Value = fmt.Sprintf("%d-%0*d", p.rng.IntN(1000), 1+p.rng.IntN(900), 7)
			if p.rng.IntN(5) == 0 {
				operation.LeaseID = uint64(1 + p.rng.IntN(4))
			}
		}
		list = append(list, operation)
	}
	return list
}

// post is a POST request with an encoded body.
func post(target string, body any) kvserver.Request {
	raw, err := codec.Marshal(body)
	if err != nil {
		panic(err) // maps of numbers and strings can always be encoded
	}
	return kvserver.Request{Method: "POST", Target: target, Body: raw}
}

// CommitRequest is the request for a transaction as the store's server receives it.
func CommitRequest(preconditions []Precondition, operations []Operation) kvserver.Request {
	encodedGuards, encodedOperations := []any{}, []any{}
	for _, precondition := range preconditions {
		encodedGuards = append(encodedGuards, map[string]any{"path": precondition.Key, "mark": precondition.ModRevision})
	}
	for _, operation := range operations {
		switch {
		case operation.Value == "":
			encodedOperations = append(encodedOperations, map[string]any{"drop": operation.Key})
		case operation.LeaseID == 0:
			encodedOperations = append(encodedOperations, map[string]any{"write": operation.Key, "value": operation.Value})
		default:
			write := map[string]any{"write": operation.Key, "value": operation.Value, "permit": operation.LeaseID}
			encodedOperations = append(encodedOperations, write)
		}
	}
	return post("/commit", map[string]any{"guards": encodedGuards, "apply": encodedOperations})
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
	effects := p.state.Step(p.now, nil)
	next := p.acknowledged.Clone()
	remaining := map[uint64]bool{}
	for _, leaseID := range p.state.LeaseIDs() {
		remaining[leaseID] = true
	}
	for _, leaseID := range slices.Sorted(maps.Keys(p.acknowledged.Leases)) {
		isValid := p.now.Before(p.leaseExpiry[leaseID])
		if remaining[leaseID] != isValid {
			p.Violation = fmt.Sprintf("lease %d exists: got %v, want %v, %v before its expiry",
				leaseID, remaining[leaseID], isValid, p.leaseExpiry[leaseID].Sub(p.now))
			return false
		}
		if !remaining[leaseID] {
			next.EndLease(leaseID)
		}
	}
	return p.appendStep(effects, next)
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
		request, check := p.randomRequest(next)
		batch, checks = append(batch, request), append(checks, check)
	}
	effects := p.state.Step(p.now, batch)
	for i, check := range checks {
		if why := check(effects.Responses[i]); why != "" {
			p.Violation = why
			return false
		}
	}
	return p.appendStep(effects, next)
}

// appendStep appends the records of a step to the log and updates the model by the outcome.
func (p *Player) appendStep(effects kvserver.Effects, next *Model) bool {
	if len(effects.Records) == 0 {
		return true
	}
	err := p.storage.Append(effects.Records)
	switch {
	case err == nil:
		p.acknowledged = next
		p.storage.RecordAppended(len(effects.Records))
		return true
	case errors.Is(err, faultydisk.ErrCrashed):
		p.uncertain = append(p.uncertain, next)
		return false
	case errors.Is(err, kvserver.ErrNotWritten):
		p.state.Undo(effects)
	default:
		p.state.Undo(effects)
		p.uncertain = append(p.uncertain, next)
	}
	if why := p.acknowledged.Difference(p.state); why != "" {
		p.Violation = "a failed step is not undone: " + why
		return false
	}
	p.recordFailure()
	return true
}

// recordFailure lets the store refuse writes if its log is broken.
func (p *Player) recordFailure() {
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
		effects := p.state.Step(p.now, []kvserver.Request{CommitRequest(nil, []Operation{{Key: "k/0", Value: "no"}})})
		if len(effects.Responses) != 1 || effects.Responses[0].Status != http.StatusServiceUnavailable || len(effects.Records) > 0 {
			p.Violation = fmt.Sprintf("a commit while the log is broken: got %+v and %d records, want one response 503 and none",
				effects.Responses, len(effects.Records))
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
			p.recordFailure()
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
