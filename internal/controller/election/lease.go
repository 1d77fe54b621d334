package election

import (
	"fmt"
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
)

// stateLease is the lease in the state service that the leader's key is bound to.
type stateLease struct {
	id         uint64 // 0 if no lease is held
	validUntil time.Time

	renewalPending bool
	nextRenewalAt  time.Time
	renewalSentAt  time.Time // when the last renewal was sent

	failedRenewals     int       // consecutive failures
	firstFailureSentAt time.Time // when the first of these renewals was sent
}

// resetRenewal clears the state of renewals of an earlier leadership.
func (l *stateLease) resetRenewal() {
	l.renewalPending = false
	l.failedRenewals = 0
}

// isRenewalSlow reports whether the pending renewal has been without a response for longer than limit.
func (l *stateLease) isRenewalSlow(now time.Time, limit time.Duration) bool {
	return l.renewalPending && now.Sub(l.renewalSentAt) > limit
}

// recordFailure counts the failure of a renewal that was sent at sentAt.
func (l *stateLease) recordFailure(sentAt time.Time) {
	l.failedRenewals++
	if l.failedRenewals == 1 {
		l.firstFailureSentAt = sentAt
	}
}

// renewLease sends a renewal of the leader's lease if one is due.
func (e *Election) renewLease(now time.Time, outbox *client.Outbox) {
	lease := &e.lease
	if lease.renewalPending || now.Before(lease.nextRenewalAt) {
		return
	}
	sentAt := now
	lease.renewalPending, lease.renewalSentAt = true, sentAt
	outbox.Add(client.Call{
		Destination: client.StateService, Method: http.MethodPost, Path: fmt.Sprintf("/leases/%d/touch", lease.id),
		Timeout: e.options.renewalTimeout(),
		Done: e.inEpoch(func(now time.Time, result client.Result) {
			e.completeRenewal(now, outbox, sentAt, result)
		}),
	})
}

// completeRenewal handles the result of a renewal. The duration of a renewed lease counts from when the renewal was sent.
func (e *Election) completeRenewal(now time.Time, outbox *client.Outbox, sentAt time.Time, result client.Result) {
	lease := &e.lease
	lease.renewalPending = false
	e.contact.recordStateService(now, result)
	switch result.Status {
	case http.StatusOK:
		lease.failedRenewals = 0
		e.leader.peerReachesStateSince = time.Time{}
		lease.validUntil = sentAt.Add(e.options.shortenForDrift(e.options.LeaseDuration))
		lease.nextRenewalAt = sentAt.Add(e.options.renewalInterval())
	case http.StatusNotFound:
		lease.id = 0
		e.StepDown(now, outbox, "lease expired at the state service")
	default:
		lease.recordFailure(sentAt)
		lease.nextRenewalAt = now.Add(e.options.renewalRetryInterval())
	}
}

// suspectsStateService reports whether renewals fail or the pending one is slow.
func (e *Election) suspectsStateService(now time.Time) bool {
	return e.lease.failedRenewals > 0 || e.isRenewalSlow(now)
}

// isRenewalSlow reports whether a renewal has been pending for longer than slowRenewalThreshold.
func (e *Election) isRenewalSlow(now time.Time) bool {
	return e.lease.isRenewalSlow(now, e.options.slowRenewalThreshold())
}

// revokeLease revokes the lease that this controller holds, if any.
func (e *Election) revokeLease(outbox *client.Outbox) {
	if e.lease.id != 0 {
		outbox.Add(revocation(e.lease.id))
	}
	e.lease.id = 0
}

// revocation returns the call that revokes a lease. Its result does not matter: if the call fails, the lease expires.
func revocation(leaseID uint64) client.Call {
	return client.Call{
		Destination: client.StateService, Method: http.MethodDelete, Path: fmt.Sprintf("/leases/%d", leaseID),
		Timeout: stateCallTimeout, Done: ignoreResult,
	}
}

// ignoreResult is the Done function of a call whose result does not matter.
func ignoreResult(time.Time, client.Result) {}
