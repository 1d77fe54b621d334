package simulator

import (
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// StateService is the simulated state service: a key-value store with revisions, leases, watches and transactions.
type StateService struct {
	sim                   *Cluster
	revision              uint64
	keys                  map[string]*stateKey
	leases                map[uint64]*stateLease
	lastLeaseID           uint64
	changeLog             []stateChange
	watches               []func()
	outageUntil           time.Time            // every request gets 503 until then
	refusedUntil          map[string]time.Time // controller -> time until which it gets 503
	lateUntil             time.Time            // some transactions are executed late until then
	lateShare             float64              // share of transactions that are executed late, 0 to 1
	slowUntil             time.Time            // responses are slow until then
	oversizedTransactions int                  // number of transactions refused for their size
	maxValueBytes         int                  // limit of a value since LowerLimits was called; 0: not called
	maxOperations         int                  // limit of a transaction since LowerLimits was called
}

// stateKey is the stored value of a key with its metadata.
type stateKey struct {
	value       msgpack.RawMessage
	modRevision uint64
	leaseID     uint64
}

// stateLease is a lease of the state service. Renewals and outages postpone expiresAt.
type stateLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// stateChange is a change of one key as a watch returns it.
type stateChange struct {
	WrittenKey  string             `msgpack:"write,omitempty"`
	DeletedKey  string             `msgpack:"drop,omitempty"`
	Value       msgpack.RawMessage `msgpack:"value,omitempty"`
	ModRevision uint64             `msgpack:"mark"`
}

func newStateService(sim *Cluster) *StateService {
	return &StateService{sim: sim, keys: map[string]*stateKey{}, leases: map[uint64]*stateLease{}, refusedUntil: map[string]time.Time{}}
}

// expire ends a lease if its TTL has passed.
func (s *StateService) expire(leaseID uint64) {
	lease := s.leases[leaseID]
	if lease == nil || s.sim.Now.Before(lease.expiresAt) {
		return
	}
	s.endLease(leaseID)
}

// endLease ends a lease and deletes the keys attached to it.
func (s *StateService) endLease(leaseID uint64) {
	delete(s.leases, leaseID)
	var deleted []string
	for k, v := range s.keys {
		if v.leaseID == leaseID {
			deleted = append(deleted, k)
		}
	}
	sort.Strings(deleted)
	if len(deleted) > 0 {
		s.revision++
	}
	for _, k := range deleted {
		delete(s.keys, k)
		s.changeLog = append(s.changeLog, stateChange{DeletedKey: k, ModRevision: s.revision})
	}
	s.notifyWatches()
}

// notifyWatches makes every open watch check for changes.
func (s *StateService) notifyWatches() {
	watches := s.watches
	s.watches = nil
	for _, notify := range watches {
		notify()
	}
}

// isRefusing reports whether a controller's requests get 503.
func (s *StateService) isRefusing(controller string) bool {
	return s.sim.Now.Before(s.outageUntil) || s.sim.Now.Before(s.refusedUntil[controller])
}

// serve handles a controller's request. Depending on the active faults it refuses, delays or executes it.
func (s *StateService) serve(controller, method, target string, body []byte, respond responder) {
	if s.isRefusing(controller) {
		respond(http.StatusServiceUnavailable, nil)
		return
	}
	if u, err := url.Parse(target); err == nil && u.Path == "/watch" {
		query := u.Query()
		from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.watch(controller, query.Get("starts"), from, s.sim.Now.Add(time.Duration(wait)*time.Millisecond), respond)
		return
	}
	if target == "/commit" && s.sim.Now.Before(s.lateUntil) && s.sim.Rand.Float64() < s.lateShare {
		s.sim.At(2*time.Second+time.Duration(s.sim.Rand.IntN(10_000))*time.Millisecond, func() {
			if !s.sim.Now.Before(s.outageUntil) {
				s.execute(method, target, body, ignoreResponse)
			}
		})
		return
	}
	if s.sim.Now.Before(s.slowUntil) && s.sim.Rand.IntN(2) == 0 {
		half := time.Duration(s.sim.Rand.IntN(1500)) * time.Millisecond
		s.sim.At(half, func() {
			if s.isRefusing(controller) {
				respond(http.StatusServiceUnavailable, nil)
				return
			}
			s.execute(method, target, body, func(status int, body any) { s.sim.At(half, func() { respond(status, body) }) })
		})
		return
	}
	s.execute(method, target, body, respond)
}

// Exchange executes a call and returns its result immediately, without the simulated network and faults. It does not support watches.
func (s *StateService) Exchange(call client.Call) (result client.Result) {
	body, err := encode(call.Body)
	if err != nil {
		s.sim.reportViolation(RuleMalformed, "a body cannot be encoded: %v", err)
	}
	s.execute(call.Method, call.Path, body, func(status int, body any) {
		raw, err := encode(body)
		if err != nil {
			s.sim.reportViolation(RuleMalformed, "a response cannot be encoded: %v", err)
		}
		result = client.Result{Status: status, Body: raw}
	})
	return result
}

// execute handles every request except watches.
func (s *StateService) execute(method, target string, body []byte, respond responder) {
	u, err := url.Parse(target)
	if err != nil {
		respond(http.StatusBadRequest, nil)
		return
	}
	query := u.Query()
	switch {
	case u.Path == "/leases":
		var request struct {
			TTL int64 `msgpack:"ttl_ms"`
		}
		if codec.Unmarshal(body, &request) != nil {
			respond(http.StatusBadRequest, nil)
			return
		}
		s.lastLeaseID++
		id, ttl := s.lastLeaseID, time.Duration(request.TTL)*time.Millisecond
		s.leases[id] = &stateLease{ttl, s.sim.Now.Add(ttl)}
		s.sim.At(ttl, func() { s.expire(id) })
		respond(http.StatusOK, map[string]uint64{"permit": id})
	case strings.HasPrefix(u.Path, "/leases/"):
		s.serveLease(strings.TrimPrefix(u.Path, "/leases/"), method, respond)
	case u.Path == "/commit":
		s.commit(body, respond)
	case strings.HasPrefix(u.Path, "/keys/"):
		key := s.keys[strings.TrimPrefix(u.Path, "/keys/")]
		if key == nil {
			respond(http.StatusNotFound, map[string]uint64{"tide": s.revision})
			return
		}
		respond(http.StatusOK, map[string]any{"path": u.Path[6:], "value": key.value, "mark": key.modRevision})
	case u.Path == "/keys":
		s.listKeys(query, respond)
	default:
		respond(http.StatusBadRequest, nil)
	}
}

// serveLease renews or ends a lease.
func (s *StateService) serveLease(path, method string, respond responder) {
	number, _, isRenewal := strings.Cut(path, "/touch")
	id, err := strconv.ParseUint(number, 10, 64)
	lease := s.leases[id]
	switch {
	case err != nil:
		respond(http.StatusBadRequest, nil)
	case lease == nil:
		respond(http.StatusNotFound, nil)
	case isRenewal:
		lease.expiresAt = s.sim.Now.Add(lease.ttl)
		s.sim.At(lease.ttl, func() { s.expire(id) })
		respond(http.StatusOK, nil)
	case method == "DELETE":
		s.endLease(id)
		respond(http.StatusOK, nil)
	}
}

// transaction is the body of a commit request.
type transaction struct {
	Preconditions []struct {
		Path        string `msgpack:"path"`
		ModRevision uint64 `msgpack:"mark"`
	} `msgpack:"guards"`
	Operations []struct {
		WrittenKey string             `msgpack:"write"`
		DeletedKey string             `msgpack:"drop"`
		Value      msgpack.RawMessage `msgpack:"value"`
		LeaseID    uint64             `msgpack:"permit"`
	} `msgpack:"apply"`
}

// Limits of a transaction. A controller that exceeds one breaks RuleMalformed.
const (
	maxTransactionOperations = 8
	maxPreconditions         = 4 * maxTransactionOperations
	maxTransactionBytes      = 64 << 10
)

// commit executes a transaction.
func (s *StateService) commit(body []byte, respond responder) {
	var t transaction
	if err := codec.Unmarshal(body, &t); err != nil {
		s.sim.reportViolation(RuleMalformed, "the state service received a malformed transaction: %v", err)
		return
	}
	if len(t.Operations) > maxTransactionOperations || len(t.Preconditions) > maxPreconditions || len(body) > maxTransactionBytes {
		s.sim.reportViolation(RuleMalformed, "a transaction exceeds the limits: %d operations, %d preconditions, %d bytes",
			len(t.Operations), len(t.Preconditions), len(body))
		return
	}
	if refusal := s.refusal(t); refusal != "" {
		respond(http.StatusBadRequest, map[string]string{"error": refusal})
		return
	}
	if key, ok := s.failedPrecondition(t); ok {
		respond(http.StatusConflict, map[string]any{"failed": []string{key}, "tide": s.revision})
		return
	}
	s.apply(t)
	respond(http.StatusOK, map[string]uint64{"tide": s.revision})
	s.notifyWatches()
}

// refusal returns why a transaction cannot be executed regardless of its preconditions. It is empty if the transaction is valid.
func (s *StateService) refusal(t transaction) string {
	for _, operation := range t.Operations {
		if s.maxValueBytes > 0 && (len(operation.Value) > s.maxValueBytes || len(t.Operations) > s.maxOperations) {
			s.oversizedTransactions++
			return "too large"
		}
		if operation.LeaseID != 0 && s.leases[operation.LeaseID] == nil {
			return "no such lease"
		}
	}
	return ""
}

// failedPrecondition returns the first key whose mod revision differs from the one that the transaction requires.
func (s *StateService) failedPrecondition(t transaction) (key string, failed bool) {
	for _, precondition := range t.Preconditions {
		modRevision := uint64(0)
		if stored := s.keys[precondition.Path]; stored != nil {
			modRevision = stored.modRevision
		}
		if modRevision != precondition.ModRevision {
			return precondition.Path, true
		}
	}
	return "", false
}

// apply executes all operations of a transaction under one new revision.
func (s *StateService) apply(t transaction) {
	s.revision++
	for _, operation := range t.Operations {
		if operation.DeletedKey != "" {
			delete(s.keys, operation.DeletedKey)
			s.changeLog = append(s.changeLog, stateChange{DeletedKey: operation.DeletedKey, ModRevision: s.revision})
			continue
		}
		s.keys[operation.WrittenKey] = &stateKey{operation.Value, s.revision, operation.LeaseID}
		s.changeLog = append(s.changeLog, stateChange{WrittenKey: operation.WrittenKey, Value: operation.Value, ModRevision: s.revision})
	}
}

// listKeys lists keys by prefix, starting after the key in query parameter from.
func (s *StateService) listKeys(query url.Values, respond responder) {
	limit, _ := strconv.Atoi(query.Get("most"))
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, query.Get("starts")) && k > query.Get("from") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	more := limit > 0 && len(names) > limit
	if more {
		names = names[:limit]
	}
	list := []any{}
	for _, k := range names {
		list = append(list, map[string]any{"path": k, "value": s.keys[k].value, "mark": s.keys[k].modRevision})
	}
	respond(http.StatusOK, map[string]any{"entries": list, "has_next": more, "tide": s.revision})
}

// watch responds with the changes since a revision as soon as there are any, or with none at the given time. While the state service
// refuses the controller it does not respond.
func (s *StateService) watch(controller, prefix string, from uint64, until time.Time, respond responder) {
	var found []stateChange
	for _, change := range s.changeLog {
		if change.ModRevision > from && strings.HasPrefix(change.WrittenKey+change.DeletedKey, prefix) {
			found = append(found, change)
		}
	}
	if !s.isRefusing(controller) && (len(found) > 0 || !s.sim.Now.Before(until)) {
		respond(http.StatusOK, map[string]any{"tide": s.revision, "log": found})
		return
	}
	retry := func() { s.watch(controller, prefix, from, until, respond) }
	if s.sim.Now.Before(until) {
		fired := false
		once := func() {
			if !fired {
				fired = true
				retry()
			}
		}
		s.watches = append(s.watches, once)
		s.sim.At(until.Sub(s.sim.Now), once)
		return
	}
	s.sim.At(200*time.Millisecond, retry)
}
