package election

import (
	"time"

	"gullrudder/internal/controller/clockdrift"
)

// The intervals of an election are fractions of LeaseDuration and GrantDuration, which the deployment sets, so that
// all of them scale with it.

// stateCallTimeout limits a call to the state service that has no fraction of its own.
const stateCallTimeout = time.Second

// renewalInterval is the time between two renewals of the lease while they succeed.
func (o *Options) renewalInterval() time.Duration { return o.LeaseDuration / 4 }

// renewalTimeout is when a renewal without a response has failed.
func (o *Options) renewalTimeout() time.Duration { return o.LeaseDuration / 3 }

// renewalRetryInterval is the time between a failed renewal and the next.
func (o *Options) renewalRetryInterval() time.Duration { return o.LeaseDuration / 12 }

// slowRenewalThreshold is when a renewal without a response makes the state service suspect.
func (o *Options) slowRenewalThreshold() time.Duration { return o.LeaseDuration / 6 }

// readRetryInterval is the time before the leader's key is read again after a failure.
func (o *Options) readRetryInterval() time.Duration { return o.LeaseDuration / 8 }

// absentReadInterval is the time between two reads of the leader's key while it is absent.
func (o *Options) absentReadInterval() time.Duration { return o.LeaseDuration / 6 }

// refusedClaimDelay is the time before the leader's key is read after a refused claim: another controller has won.
func (o *Options) refusedClaimDelay() time.Duration { return o.LeaseDuration / 30 }

// watchDuration is how long the state service holds a watch of the leader's key open.
func (o *Options) watchDuration() time.Duration { return o.LeaseDuration * 2 }

// deferredCampaignDelay is how long a controller that workers did not reach recently leaves the leadership to others.
// It is the longest delay, so that the leadership does not come back to it.
func (o *Options) deferredCampaignDelay() time.Duration { return o.LeaseDuration * 3 }

// otherSuccessorDelay is how long a controller waits for the one that the last leader named as its successor.
func (o *Options) otherSuccessorDelay() time.Duration { return o.LeaseDuration / 2 }

// servedPeerThreshold is for how long the state service has to answer a peer, and not the leader, before the leader
// transfers its leadership.
func (o *Options) servedPeerThreshold() time.Duration { return o.LeaseDuration / 5 }

// failedRenewalThreshold is for how long renewals have to fail before the leader transfers its leadership: as long as
// a renewal needs after an outage that has just ended.
func (o *Options) failedRenewalThreshold() time.Duration { return o.LeaseDuration / 3 }

// pingInterval is the time between two pings of a peer.
func (o *Options) pingInterval() time.Duration { return o.GrantDuration / 5 }

// suspectPingInterval replaces pingInterval while the state service is suspected to be unreachable.
func (o *Options) suspectPingInterval() time.Duration { return o.GrantDuration / 10 }

// peerTimeout is when a ping or a vote query without a response has failed.
func (o *Options) peerTimeout() time.Duration { return o.GrantDuration / 3 }

// voteQueryInterval is the time between two vote queries of a restarted controller.
func (o *Options) voteQueryInterval() time.Duration { return o.GrantDuration / 10 }

// stateProbeTimeout is when a follower's probe of the state service has failed, and for how long a success counts.
func (o *Options) stateProbeTimeout() time.Duration { return o.GrantDuration / 4 }

// leaderFreshness is for how long after its last ping a leader is named to others.
func (o *Options) leaderFreshness() time.Duration { return o.GrantDuration * 2 / 3 }

// reliedDuration shortens a duration that this controller relies on and another one counts: by the drift of both
// clocks and the safety margin.
func (o *Options) reliedDuration(d time.Duration) time.Duration {
	return d - clockdrift.Bound(d) - o.SafetyMargin
}

// boundDuration extends a duration that binds this controller and that another one relies on.
func (o *Options) boundDuration(d time.Duration) time.Duration {
	return d + clockdrift.Bound(d) + o.SafetyMargin
}
