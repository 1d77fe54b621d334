package election

import "gullrudder/internal/wire/stateapi"

// The messages exchanged with the state service, except the transactions of package stateapi. The tags are the names that the
// state service uses (docs/glossary.md).

// leaderRecord is the value of the leader's key.
type leaderRecord struct {
	Name    string `msgpack:"name"`
	LeaseID uint64 `msgpack:"permit"`
}

// keyResponse is the response to a read of the leader's key. If the key is absent, only Revision is set.
type keyResponse struct {
	Value       leaderRecord `msgpack:"value"`
	ModRevision uint64       `msgpack:"mark"`
	Revision    uint64       `msgpack:"tide"`
}

// watchResponse lists the changes of the watched keys up to a revision.
type watchResponse struct {
	Revision uint64      `msgpack:"tide"`
	Changes  []keyChange `msgpack:"log"`
}

// keyChange is one change: either Written or Deleted is the changed key, and the other is empty.
type keyChange struct {
	Written string `msgpack:"write"`
	Deleted string `msgpack:"drop"`
}

// deletesLeaderKey reports whether the leader's key is absent after the changes.
func (r watchResponse) deletesLeaderKey() bool {
	deleted := false
	for _, change := range r.Changes {
		if change.Deleted == LeaderKey {
			deleted = true
		}
		if change.Written == LeaderKey {
			deleted = false
		}
	}
	return deleted
}

// createLeaseRequest requests a lease that expires after TTLMillis milliseconds without a renewal.
type createLeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"`
}

type createLeaseResponse struct {
	LeaseID uint64 `msgpack:"permit"`
}

// claimRequest returns the transaction that creates the leader's key if it is absent. The key is bound to the record's lease.
func claimRequest(record leaderRecord) stateapi.CommitRequest {
	return stateapi.CommitRequest{
		Preconditions: []stateapi.Precondition{stateapi.RequireAbsent(LeaderKey)},
		Operations:    []stateapi.Operation{{Write: LeaderKey, Value: record, LeaseID: record.LeaseID}},
	}
}
