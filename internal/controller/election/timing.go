package election

import (
	"time"

	"gullrudder/internal/controller/clockdrift"
)

// The deployment sets LeaseDuration and GrantDuration. The intervals of an election are fractions or multiples of these,
// so that they scale with them.

// stateCallTimeout limits the calls to the state service that have no specific timeout below.
const stateCallTimeout = time.Second

// renewalInterval is the time between two renewals of the lease while they succeed.
func (o *Options) renewalInterval() time.Duration { return o.LeaseDuration / 4 }

// renewalTimeout is the time after which a renewal without a response has failed.
func (o *Options) renewalTimeout() time.Duration { return o.LeaseDuration / 3 }

// renewalRetryInterval is the time between a failed renewal and the next.
func (o *Options) renewalRetryInterval() time.Duration { return o.LeaseDuration / 12 }

// slowRenewalThreshold is the time after which a renewal without a response counts as slow, so that the leader suspects the
// state service to be unreachable.
func (o *Options) slowRenewalThreshold() time.Duration { return o.LeaseDuration / 6 }

// readRetryInterval is the time before the leader's key is read again after a failure.
func (o *Options) readRetryInterval() time.Duration { return o.LeaseDuration / 8 }

// absentReadInterval is the time between two reads of the leader's key while it is absent.
func (o *Options) absentReadInterval() time.Duration { return o.LeaseDuration / 6 }

// refusedClaimDelay is the time between a refused claim and the next read of the leader's key. It is short, since a claim
// is usually refused because another controller was elected.
func (o *Options) refusedClaimDelay() time.Duration { return o.LeaseDuration / 30 }

// watchDuration is how long the state service holds a watch of the leader's key open.
func (o *Options) watchDuration() time.Duration { return o.LeaseDuration * 2 }

// deferredCampaignDelay is the campaign delay of a controller that was recently partitioned from the workers. It is the
// longest delay, so that another controller is elected.
func (o *Options) deferredCampaignDelay() time.Duration { return o.LeaseDuration * 3 }

// otherSuccessorDelay is the campaign delay of a controller if the last leader named another controller as its successor.
func (o *Options) otherSuccessorDelay() time.Duration { return o.LeaseDuration / 2 }

// peerReachesStateThreshold is how long a peer, but not the leader, has to reach the state service before the leader
// transfers its leadership.
func (o *Options) peerReachesStateThreshold() time.Duration { return o.LeaseDuration / 5 }

// failedRenewalThreshold is how long renewals have to fail before the leader transfers its leadership. It equals the time
// that the first renewal after an outage may take.
func (o *Options) failedRenewalThreshold() time.Duration { return o.LeaseDuration / 3 }

// pingInterval is the time between two pings of a peer.
func (o *Options) pingInterval() time.Duration { return o.GrantDuration / 5 }

// suspectPingInterval replaces pingInterval while the leader suspects the state service to be unreachable.
func (o *Options) suspectPingInterval() time.Duration { return o.GrantDuration / 10 }

// peerTimeout is the time after which a ping or a leader query without a response has failed.
func (o *Options) peerTimeout() time.Duration { return o.GrantDuration / 3 }

// leaderQueryInterval is the time between two leader queries that a restarted controller sends to a peer.
func (o *Options) leaderQueryInterval() time.Duration { return o.GrantDuration / 10 }

// stateProbeTimeout limits a follower's probe of the state service. A successful probe counts for the same time.
func (o *Options) stateProbeTimeout() time.Duration { return o.GrantDuration / 4 }

// leaderFreshness is how long a follower regards the sender of the last ping as the current leader.
func (o *Options) leaderFreshness() time.Duration { return o.GrantDuration * 2 / 3 }

// shortenForDrift returns how long this controller may rely on a lease or grant of duration d. It is shortened by the
// clock drift and the safety margin, since another process measures the duration with its own clock.
func (o *Options) shortenForDrift(d time.Duration) time.Duration {
	return d - clockdrift.Bound(d) - o.SafetyMargin
}

// extendForDrift returns how long a grant of duration d binds this controller. It is extended by the clock drift and the
// safety margin, since the leader that relies on the grant measures the duration with its own clock.
func (o *Options) extendForDrift(d time.Duration) time.Duration {
	return d + clockdrift.Bound(d) + o.SafetyMargin
}
