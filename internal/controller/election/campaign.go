package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/stateapi"
)

// maxCampaignJitter is the maximum random delay of a campaign. It spreads the campaigns of several followers, so that one
// of them wins without a conflict.
const maxCampaignJitter = 60 * time.Millisecond

// candidacy states when a follower may campaign, and which other controller is preferred.
type candidacy struct {
	campaignAt         time.Time
	preferredSuccessor string // the controller that the last leader named as its successor; empty if any may lead
}

// campaignDelay returns the time between finding the leader's key absent and campaigning.
func (e *Election) campaignDelay(now time.Time) time.Duration {
	jitter := time.Duration(e.rng.Int64N(int64(maxCampaignJitter)))
	successor := e.follower.candidacy.preferredSuccessor
	switch {
	case e.connectivity.ShouldDeferCampaign(now):
		return jitter + e.options.deferredCampaignDelay()
	case successor != "" && successor != e.options.Name:
		return jitter + e.options.otherSuccessorDelay()
	}
	return jitter
}

// campaign makes this controller a candidate and requests a lease for the leader's key.
func (e *Election) campaign(now time.Time, outbox *client.Outbox) {
	e.becomeCandidate()
	sentAt := now
	outbox.Add(client.Call{
		Destination: client.StateService, Method: http.MethodPost, Path: "/leases", Timeout: stateCallTimeout,
		Body: createLeaseRequest{TTLMillis: e.options.LeaseDuration.Milliseconds()},
		Done: e.inEpoch(func(now time.Time, result client.Result) {
			var response createLeaseResponse
			if result.Status != http.StatusOK || codec.Unmarshal(result.Body, &response) != nil || response.LeaseID == 0 {
				e.becomeFollower(now.Add(e.options.readRetryInterval()))
				return
			}
			e.lease.id = response.LeaseID
			e.claimLeaderKey(outbox, sentAt)
		}),
	})
}

// claimLeaderKey tries to create the leader's key with the candidate's lease, which was requested at leaseSentAt.
func (e *Election) claimLeaderKey(outbox *client.Outbox, leaseSentAt time.Time) {
	outbox.Add(client.Call{
		Destination: client.StateService, Method: http.MethodPost, Path: stateapi.CommitPath, Timeout: stateCallTimeout,
		Body: claimRequest(e.leaderRecord()),
		Done: e.inEpoch(func(now time.Time, result client.Result) {
			var response stateapi.CommitResponse
			switch {
			case result.Status == http.StatusOK && codec.Unmarshal(result.Body, &response) == nil && response.Revision > 0:
				e.becomeLeader(now, outbox, response.Revision, leaseSentAt)
			case result.IsUncertain():
				e.verifyClaim(outbox, leaseSentAt)
			default:
				e.revokeLease(outbox)
				e.becomeFollower(now.Add(e.options.refusedClaimDelay()))
			}
		}),
	})
}

// verifyClaim reads the leader's key after a claim whose outcome is unknown. If the key does not belong to this candidate,
// its lease is revoked, so that the state service refuses the claim if it arrives later.
func (e *Election) verifyClaim(outbox *client.Outbox, leaseSentAt time.Time) {
	outbox.Add(client.Call{
		Destination: client.StateService, Method: http.MethodGet, Path: leaderKeyPath, Timeout: stateCallTimeout,
		Done: e.inEpoch(func(now time.Time, result client.Result) {
			var response keyResponse
			if result.Status == http.StatusOK && codec.Unmarshal(result.Body, &response) == nil &&
				response.ModRevision > 0 && response.Value == e.leaderRecord() {
				e.becomeLeader(now, outbox, response.ModRevision, leaseSentAt)
				return
			}
			e.revokeLease(outbox)
			e.becomeFollower(now.Add(e.options.readRetryInterval()))
		}),
	})
}

// leaderRecord returns the value with which this controller claims the leader's key under its current lease.
func (e *Election) leaderRecord() leaderRecord {
	return leaderRecord{Name: e.options.Name, LeaseID: e.lease.id}
}
