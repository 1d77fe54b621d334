package election

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// stateKey encodes a state of the model. Two states have the same key if they behave the same from then on: times are
// relative to now, and fencing tokens and leases are replaced by their rank.
type stateKey struct {
	text           strings.Builder
	now            time.Time
	tokens, leases []uint64 // sorted, without duplicates
}

// zeroTime stands for the zero time in a key.
const zeroTime = -99

// add writes values to the key.
func (k *stateKey) add(values ...any) { fmt.Fprintln(&k.text, values...) }

// offset returns the time from now to t in milliseconds. It is clamped, since more distant times do not change the
// behavior.
func (k *stateKey) offset(t time.Time) int {
	if t.IsZero() {
		return zeroTime
	}
	return int(min(max(t.Sub(k.now), -2*time.Second), 5*time.Second) / time.Millisecond)
}

// rank returns how many values of the sorted list are lower.
func rank(list []uint64, value uint64) int {
	position, _ := slices.BinarySearch(list, value)
	return position
}

// Key encodes everything that the further behavior of the model depends on.
func (m *electionModel) Key() string {
	k := &stateKey{now: m.now, tokens: []uint64{m.service.modRevision}, leases: []uint64{m.service.holder.LeaseID}}
	for _, e := range m.controllers {
		k.tokens = append(k.tokens, e.leader.fencingToken, e.follower.grant.fencingToken)
		k.leases = append(k.leases, e.lease.id, e.follower.releasedLeaseID)
	}
	slices.Sort(k.tokens)
	slices.Sort(k.leases)
	k.tokens, k.leases = slices.Compact(k.tokens), slices.Compact(k.leases)

	k.add(m.faultsLeft, m.stateLinks, m.peerLinks)
	for _, message := range m.delayed {
		k.add(message.key)
	}
	k.addService(&m.service)
	for _, e := range m.controllers {
		k.addRole(e)
		k.addFollower(&e.follower)
		k.addGrants(e)
	}
	k.addPending(m)
	return k.text.String()
}

func (k *stateKey) addService(s *modelStateService) {
	id := s.holder.LeaseID
	k.add(rank(k.leases, id), s.holder.Name, rank(k.tokens, s.modRevision), k.offset(s.leaseExpiry[id]))
	for _, id := range k.leases {
		if expiry, ok := s.leaseExpiry[id]; ok {
			k.add(rank(k.leases, id), k.offset(expiry))
		}
	}
}

func (k *stateKey) addRole(e *Election) {
	lease := &e.lease
	k.add(e.role, rank(k.tokens, e.leader.fencingToken), k.offset(e.leader.peerReachesStateSince))
	k.add(rank(k.leases, lease.id), k.offset(lease.validUntil), k.offset(lease.nextRenewalAt),
		lease.renewalPending, lease.failedRenewals, k.offset(lease.firstFailureSentAt))
}

func (k *stateKey) addFollower(f *followerState) {
	k.add(k.offset(f.grant.until), rank(k.tokens, f.grant.fencingToken), f.grant.leaderName, k.offset(f.grant.pingedAt))
	k.add(len(f.restart.notLeading), k.offset(f.restart.startedAt), k.offset(f.restart.nextLeaderQueryAt))
	k.add(f.key.readPending, k.offset(f.key.nextReadAt), f.key.absent)
	k.add(k.offset(f.candidacy.campaignAt), f.candidacy.preferredSuccessor, rank(k.leases, f.releasedLeaseID))
	k.add(f.stateProbe.requested, f.stateProbe.pending, k.offset(f.stateProbe.succeededAt))
}

func (k *stateKey) addGrants(e *Election) {
	for _, name := range []string{"0", "1", "2"} {
		if grant := e.leader.grants[name]; grant != nil {
			k.add(name, grant.requestPending, grant.granted, k.offset(grant.nextRequestAt), k.offset(grant.sentAt))
		}
		k.add(e.follower.restart.notLeading[name])
	}
}

func (k *stateKey) addPending(m *electionModel) {
	var list []string
	for _, p := range m.pending {
		if !p.settled && m.incarnations[p.controller] == p.incarnation {
			path, _, _ := strings.Cut(p.call.Path, "?")
			list = append(list, fmt.Sprint(p.controller, path, p.call.Addr, k.offset(p.expiresAt)))
		}
	}
	slices.SortFunc(list, cmp.Compare[string])
	k.add(list)
}
