package election

import (
	"time"

	"gullrudder/internal/controller/clockdrift"
)

// The intervals of an election are fractions of LeaseDuration and GrantDuration, which the deployment sets, so that
// all of them scale with it.

// stateCallTimeout limits the calls to the state service that have no timeout below.
const stateCallTimeout = time.Second

// renewalInterval is the time between two renewals of the lease while they succeed.
func (o *Options) renewalInterval() time.Duration { return o.LeaseDuration / 4 }

// renewalTimeout is the time after which a renewal without a response has failed.
func (o *Options) renewalTimeout() time.Duration { return o.LeaseDuration / 3 }

// renewalRetryInterval is the time between a failed renewal and the next.
func (o *Options) renewalRetryInterval() time.Duration { return o.LeaseDuration / 12 }

// slowRenewalThreshold is the time after which a renewal without a response makes the state service suspected.
func (o *Options) slowRenewalThreshold() time.Duration { return o.LeaseDuration / 6 }

// readRetryInterval is the time before the leader's key is read again after a failure.
func (o *Options) readRetryInterval() time.Duration { return o.LeaseDuration / 8 }

// absentReadInterval is the time between two reads of the leader's key while it is absent.
func (o *Options) absentReadInterval() time.Duration { return o.LeaseDuration / 6 }

// refusedClaimDelay is the time before the leader's key is read after a refused claim, when another controller was elected.
func (o *Options) refusedClaimDelay() time.Duration { return o.LeaseDuration / 30 }

// watchDuration is how long the state service holds a watch of the leader's key open.
func (o *Options) watchDuration() time.Duration { return o.LeaseDuration * 2 }

// deferredCampaignDelay is the campaign delay of a controller that workers did not reach recently. It is the longest
// delay, so that another controller is elected.
func (o *Options) deferredCampaignDelay() time.Duration { return o.LeaseDuration * 3 }

// otherSuccessorDelay is the campaign delay of a controller if the last leader named another one as its successor.
func (o *Options) otherSuccessorDelay() time.Duration { return o.LeaseDuration / 2 }

// servedPeerThreshold is how long the state service has to answer a peer and not the leader before the leader
// transfers its leadership.
func (o *Options) servedPeerThreshold() time.Duration { return o.LeaseDuration / 5 }

// failedRenewalThreshold is how long renewals have to fail before the leader transfers its leadership: as long as the
// first renewal after an outage may take.
func (o *Options) failedRenewalThreshold() time.Duration { return o.LeaseDuration / 3 }

// pingInterval is the time between two pings of a peer.
func (o *Options) pingInterval() time.Duration { return o.GrantDuration / 5 }

// suspectPingInterval replaces pingInterval while the state service is suspected to be unreachable.
func (o *Options) suspectPingInterval() time.Duration { return o.GrantDuration / 10 }

// peerTimeout is the time after which a ping or a vote query without a response has failed.
func (o *Options) peerTimeout() time.Duration { return o.GrantDuration / 3 }

// voteQueryInterval is the time between two vote queries of a restarted controller.
func (o *Options) voteQueryInterval() time.Duration { return o.GrantDuration / 10 }

// stateProbeTimeout limits a follower's probe of the state service, and is how long its success counts.
func (o *Options) stateProbeTimeout() time.Duration { return o.GrantDuration / 4 }

// leaderFreshness is how long after its last ping a leader counts as the leader.
func (o *Options) leaderFreshness() time.Duration { return o.GrantDuration * 2 / 3 }

// reliedDuration returns a duration that this controller relies on and another one counts, shortened by the clock
// drift and the safety margin.
func (o *Options) reliedDuration(d time.Duration) time.Duration {
	return d - clockdrift.Bound(d) - o.SafetyMargin
}

// boundDuration returns a duration that binds this controller and that another one relies on, extended likewise.
func (o *Options) boundDuration(d time.Duration) time.Duration {
	return d + clockdrift.Bound(d) + o.SafetyMargin
}
