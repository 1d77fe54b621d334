package election

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// modelStateService is a state service with leases and the leader's key only.
type modelStateService struct {
	t                    *testing.T
	ignoresPreconditions bool

	leaseExpiry map[uint64]time.Time
	lastLeaseID uint64
	holder      leaderRecord // value of the leader's key, which is absent if LeaseID is 0
	modRevision uint64       // revision of the last write of the leader's key
	revision    uint64
}

// wireCommit is a commit request as the state service decodes it.
type wireCommit struct {
	Preconditions []struct {
		Key         string `msgpack:"path"`
		ModRevision uint64 `msgpack:"mark"`
	} `msgpack:"guards"`
	Writes []struct {
		Key   string `msgpack:"write"`
		Value struct {
			Name    string `msgpack:"name"`
			LeaseID uint64 `msgpack:"permit"`
		} `msgpack:"value"`
		LeaseID uint64 `msgpack:"permit"`
	} `msgpack:"apply"`
}

// expireLeases ends the leases that have expired.
func (s *modelStateService) expireLeases(now time.Time) {
	for id, expiry := range s.leaseExpiry {
		if !now.Before(expiry) {
			s.endLease(id)
		}
	}
}

func (s *modelStateService) endLease(id uint64) {
	delete(s.leaseExpiry, id)
	if s.holder.LeaseID == id {
		s.holder.LeaseID = 0
		s.revision++
	}
}

// execute performs a call and returns its result.
func (s *modelStateService) execute(now time.Time, call client.Call) client.Result {
	switch {
	case call.Method == http.MethodDelete:
		s.endLease(s.parseLeaseID(call.Path, "/leases/%d"))
		return client.Result{Status: http.StatusOK}
	case call.Path == "/leases":
		s.lastLeaseID++
		s.leaseExpiry[s.lastLeaseID] = now.Add(modelLease)
		return success(s.t, map[string]any{"permit": s.lastLeaseID})
	case strings.HasSuffix(call.Path, "/touch"):
		return s.renew(now, s.parseLeaseID(call.Path, "/leases/%d/touch"))
	case call.Path == "/commit":
		return s.commit(call.Body)
	case s.holder.LeaseID == 0:
		return client.Result{Status: http.StatusNotFound, Body: encode(s.t, map[string]any{"tide": s.revision})}
	}
	return success(s.t, map[string]any{"value": s.holder, "mark": s.modRevision})
}

func (s *modelStateService) parseLeaseID(path, format string) (id uint64) {
	s.t.Helper()
	scan(s.t, path, format, &id)
	return id
}

func (s *modelStateService) renew(now time.Time, id uint64) client.Result {
	if _, ok := s.leaseExpiry[id]; !ok {
		return client.Result{Status: http.StatusNotFound}
	}
	s.leaseExpiry[id] = now.Add(modelLease)
	return client.Result{Status: http.StatusOK}
}

// commit performs a claim of the leader's key. Any other transaction fails the test.
func (s *modelStateService) commit(body any) client.Result {
	var commit wireCommit
	if err := codec.Unmarshal(encode(s.t, body), &commit); err != nil {
		s.t.Fatal(err)
	}
	if len(commit.Preconditions) != 1 || len(commit.Writes) != 1 {
		s.t.Fatalf("commit: got %+v, want one precondition and one write", commit)
	}
	precondition, write := commit.Preconditions[0], commit.Writes[0]
	if precondition.Key != LeaderKey || precondition.ModRevision != 0 || write.Key != LeaderKey || write.LeaseID != write.Value.LeaseID {
		s.t.Fatalf("commit: got %+v, want a claim of the absent leader's key with the lease in its record", commit)
	}
	if _, ok := s.leaseExpiry[write.LeaseID]; !ok {
		return client.Result{Status: http.StatusBadRequest}
	}
	if s.holder.LeaseID != 0 && !s.ignoresPreconditions {
		return client.Result{Status: http.StatusConflict}
	}
	s.revision++
	s.holder = leaderRecord{Name: write.Value.Name, LeaseID: write.LeaseID}
	s.modRevision = s.revision
	return success(s.t, map[string]any{"tide": s.revision})
}

// keyDeleted returns the result of a watch after the leader's key was deleted.
func (s *modelStateService) keyDeleted() client.Result {
	deletion := map[string]any{"drop": LeaderKey, "mark": s.revision}
	return success(s.t, map[string]any{"tide": s.revision, "log": []any{deletion}})
}

// encode returns the encoding of a message.
func encode(t *testing.T, message any) []byte {
	t.Helper()
	raw, err := codec.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// success returns a result with status 200 and the message as its body.
func success(t *testing.T, message any) client.Result {
	t.Helper()
	return client.Result{Status: http.StatusOK, Body: encode(t, message)}
}
