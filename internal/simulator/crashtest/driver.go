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

// decodeText decodes a value of the store. All values in this package are strings.
func decodeText(value []byte) string {
	var s string
	if err := msgpack.Unmarshal(value, &s); err != nil {
		return "not a string: " + err.Error()
	}
	return s
}

// Driver sends random requests to a store and applies them to a model. It calls the store in the same order as the store's
// server does, but in one goroutine. It is not safe for concurrent use.
type Driver struct {
	disk           *faultydisk.Disk
	rng            *rand.Rand
	state          *kvserver.State
	storage        *kvserver.Storage
	snapshotWriter *kvserver.SnapshotWriter
	now            time.Time

	acknowledged   *Model   // contains every acknowledged transaction
	possibleModels []*Model // other states that the store may recover, because the outcome of a write is unknown
	needsRepair    bool     // the log rejects writes until Repair has begun a new segment
	leaseExpiry    map[uint64]time.Time
	Violation      string // describes the first violated guarantee; empty if none was violated
}

const leaseDuration = 5 * time.Second

// NewDriver returns a driver for an empty disk. Call Open before Step.
func NewDriver(disk *faultydisk.Disk, rng *rand.Rand) *Driver {
	return &Driver{disk: disk, rng: rng, acknowledged: NewModel(), now: time.Unix(1000, 0), leaseExpiry: map[uint64]time.Time{}}
}

// Open recovers the store and compares it with the model. If disk is not nil, it replaces the driver's disk. Open returns
// false after a crash, a violation, or an error on a disk with injected faults.
func (d *Driver) Open(disk *faultydisk.Disk) bool {
	if disk != nil {
		d.disk = disk
	}
	state, storage, _, err := kvserver.Open(d.disk, config.DefaultKVServerOptions(), d.now, slog.New(slog.DiscardHandler))
	if errors.Is(err, faultydisk.ErrCrashed) {
		return false
	}
	if err != nil {
		if d.disk.FailAt == 0 {
			d.Violation = fmt.Sprintf("open the store on a disk without faults: %v", err)
		}
		return false
	}
	difference := d.acknowledged.Difference(state)
	for _, model := range d.possibleModels {
		if difference == "" {
			break
		}
		if model.Difference(state) == "" {
			difference, d.acknowledged = "", model
		}
	}
	if difference != "" {
		d.Violation = fmt.Sprintf("recovered state differs from the acknowledged one: %s; it also differs from %d other allowed states",
			difference, len(d.possibleModels))
		return false
	}
	d.possibleModels, d.state, d.storage, d.snapshotWriter, d.needsRepair = nil, state, storage, nil, false
	d.leaseExpiry = map[uint64]time.Time{}
	for id := range d.acknowledged.Leases {
		d.leaseExpiry[id] = d.now.Add(leaseDuration)
	}
	return true
}

func (d *Driver) randomKey() string { return fmt.Sprintf("k/%d", d.rng.IntN(12)) }

// randomRequest returns a random request and a check of the store's response, and applies the request to the model. The
// check returns a description of a wrong response.
func (d *Driver) randomRequest(model *Model) (request kvserver.Request, check func(kvserver.Response) string) {
	want := http.StatusOK
	switch d.rng.IntN(10) {
	case 0:
		leaseID := model.GrantLease()
		request = newPostRequest("/leases", map[string]any{"ttl_ms": leaseDuration.Milliseconds()})
		d.leaseExpiry[leaseID] = d.now.Add(leaseDuration)
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
		preconditions := d.randomPreconditions(model)
		operations := d.randomOperations()
		want, _ = model.Commit(preconditions, operations)
		request = CommitRequest(preconditions, operations)
	}
	return request, func(got kvserver.Response) string {
		if got.Status != want {
			return fmt.Sprintf("status of %s %s: got %d, want %d", request.Method, request.Target, got.Status, want)
		}
		return ""
	}
}

// randomPreconditions returns up to two preconditions. Some of them fail.
func (d *Driver) randomPreconditions(model *Model) []Precondition {
	var list []Precondition
	for range d.rng.IntN(3) {
		key := d.randomKey()
		precondition := Precondition{key, model.Keys[key].ModRevision}
		if d.rng.IntN(6) == 0 {
			precondition.ModRevision++
		}
		list = append(list, precondition)
	}
	return list
}

// randomOperations returns one to three writes and deletions. Some writes name a lease that may not exist.
func (d *Driver) randomOperations() []Operation {
	var list []Operation
	for range 1 + d.rng.IntN(3) {
		operation := Operation{Key: d.randomKey()}
		if d.rng.IntN(4) > 0 {
			operation.Value = fmt.Sprintf("%d-%0*d", d.rng.IntN(1000), 1+d.rng.IntN(900), 7)
			if d.rng.IntN(5) == 0 {
				operation.LeaseID = uint64(1 + d.rng.IntN(4))
			}
		}
		list = append(list, operation)
	}
	return list
}

func newPostRequest(target string, body any) kvserver.Request {
	raw, err := codec.Marshal(body)
	if err != nil {
		panic(err) // maps of numbers and strings can always be encoded
	}
	return kvserver.Request{Method: "POST", Target: target, Body: raw}
}

// CommitRequest returns the HTTP request of a transaction as the store's server receives it.
func CommitRequest(preconditions []Precondition, operations []Operation) kvserver.Request {
	encodedPreconditions, encodedOperations := []any{}, []any{}
	for _, precondition := range preconditions {
		encodedPreconditions = append(encodedPreconditions, map[string]any{"path": precondition.Key, "mark": precondition.ModRevision})
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
	return newPostRequest("/commit", map[string]any{"guards": encodedPreconditions, "apply": encodedOperations})
}

// Step advances the time by less than a second, repairs a broken log, expires leases, sends requests, and advances a
// snapshot. It returns false after a crash or a violation.
func (d *Driver) Step() bool {
	d.now = d.now.Add(time.Duration(d.rng.IntN(900)) * time.Millisecond)
	if d.needsRepair {
		if !d.repair() {
			return false
		}
	}
	if !d.needsRepair && (!d.expireLeases() || !d.sendRequests()) {
		return false
	}
	return d.advanceSnapshot()
}

// expireLeases lets the store expire leases, and checks that none expires early or late.
func (d *Driver) expireLeases() bool {
	effects := d.state.Step(d.now, nil)
	next := d.acknowledged.Clone()
	exists := map[uint64]bool{}
	for _, leaseID := range d.state.LeaseIDs() {
		exists[leaseID] = true
	}
	for _, leaseID := range slices.Sorted(maps.Keys(d.acknowledged.Leases)) {
		wantExists := d.now.Before(d.leaseExpiry[leaseID])
		if exists[leaseID] != wantExists {
			d.Violation = fmt.Sprintf("lease %d exists: got %v, want %v, at %v before its expiry",
				leaseID, exists[leaseID], wantExists, d.leaseExpiry[leaseID].Sub(d.now))
			return false
		}
		if !exists[leaseID] {
			next.EndLease(leaseID)
		}
	}
	return d.appendStep(effects, next)
}

// sendRequests sends up to three requests in one step.
func (d *Driver) sendRequests() bool {
	for id := range d.acknowledged.Leases {
		// The end of an expired lease could not be written. The next step tries it again.
		if d.needsRepair || !d.now.Before(d.leaseExpiry[id]) {
			return true
		}
	}
	if d.needsRepair {
		return true
	}
	next := d.acknowledged.Clone()
	var requests []kvserver.Request
	var checks []func(kvserver.Response) string
	for range 1 + d.rng.IntN(3) {
		request, check := d.randomRequest(next)
		requests, checks = append(requests, request), append(checks, check)
	}
	effects := d.state.Step(d.now, requests)
	for i, check := range checks {
		if violation := check(effects.Responses[i]); violation != "" {
			d.Violation = violation
			return false
		}
	}
	return d.appendStep(effects, next)
}

// appendStep appends the records of a step to the log and updates the models according to the result.
func (d *Driver) appendStep(effects kvserver.Effects, next *Model) bool {
	if len(effects.Records) == 0 {
		return true
	}
	err := d.storage.Append(effects.Records)
	switch {
	case err == nil:
		d.acknowledged = next
		d.storage.RecordAppended(len(effects.Records))
		return true
	case errors.Is(err, faultydisk.ErrCrashed):
		d.possibleModels = append(d.possibleModels, next)
		return false
	case errors.Is(err, kvserver.ErrNotWritten):
		d.state.Undo(effects)
	default:
		d.state.Undo(effects)
		d.possibleModels = append(d.possibleModels, next)
	}
	if difference := d.acknowledged.Difference(d.state); difference != "" {
		d.Violation = "state after the undo of a failed step: " + difference
		return false
	}
	d.refuseWritesIfBroken()
	return true
}

// refuseWritesIfBroken makes the store reject writes after its log has broken.
func (d *Driver) refuseWritesIfBroken() {
	if d.storage.IsBroken() && !d.needsRepair {
		d.needsRepair = true
		d.state.SetWritesFailing(d.now, true)
	}
}

// repair begins a new log segment. If that fails, it checks that the store rejects writes.
func (d *Driver) repair() bool {
	err := d.storage.Repair(d.state.Revision())
	if errors.Is(err, faultydisk.ErrCrashed) {
		return false
	}
	if err != nil {
		effects := d.state.Step(d.now, []kvserver.Request{CommitRequest(nil, []Operation{{Key: "k/0", Value: "no"}})})
		if len(effects.Responses) != 1 || effects.Responses[0].Status != http.StatusServiceUnavailable || len(effects.Records) > 0 {
			d.Violation = fmt.Sprintf("commit while the log is broken: got responses %+v and %d records, want one with status 503 and no records",
				effects.Responses, len(effects.Records))
			return false
		}
		return true
	}
	// The new segment discards writes with an unknown outcome.
	d.needsRepair, d.possibleModels = false, nil
	d.state.SetWritesFailing(d.now, false)
	for id := range d.acknowledged.Leases {
		d.leaseExpiry[id] = d.now.Add(leaseDuration)
	}
	return true
}

// advanceSnapshot advances the snapshot in progress. If there is none, it begins one in a fifth of the calls.
func (d *Driver) advanceSnapshot() bool {
	if d.snapshotWriter == nil {
		if d.needsRepair || d.rng.IntN(5) > 0 {
			return true
		}
		writer, err := d.storage.BeginSnapshot(d.state.Freeze())
		if errors.Is(err, faultydisk.ErrCrashed) {
			return false
		}
		if err != nil {
			d.refuseWritesIfBroken()
			return true
		}
		d.storage.RecordSnapshotBegun()
		d.snapshotWriter = writer
		return true
	}
	done, err := d.snapshotWriter.Step()
	switch {
	case errors.Is(err, faultydisk.ErrCrashed):
		return false
	case err != nil:
		if errors.Is(d.snapshotWriter.Abort(), faultydisk.ErrCrashed) {
			return false
		}
		d.storage.RecordSnapshotDone(d.snapshotWriter, false)
		d.snapshotWriter = nil
	case done:
		if errors.Is(d.storage.Prune(d.snapshotWriter), faultydisk.ErrCrashed) {
			return false
		}
		d.storage.RecordSnapshotDone(d.snapshotWriter, true)
		d.snapshotWriter = nil
	}
	return true
}
