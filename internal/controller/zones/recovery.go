package zones

import "time"

const (
	// probeInterval is the time between two requests for a probe instance, which shows whether an unavailable zone has recovered. A
	// zone is probed only if it has no machine left whose heartbeat would show that.
	probeInterval = 20 * time.Second
	// sentinelShare is the share of an unavailable zone's machines that are kept although they are silent (sentinels), at least
	// minSentinels. Their first heartbeat shows the recovery immediately, while a probe takes up to probeInterval and a boot.
	sentinelShare = 0.03
	minSentinels  = 2
	// firstRecoveryStep is the number of instances that may be requested in the first step of a zone's recovery. The limit doubles
	// every recoveryStepInterval, up to maxRecoveryStep.
	firstRecoveryStep    = 8
	recoveryStepInterval = 2 * time.Second
	maxRecoveryStep      = 1 << 16
	// recoveryHeartbeats is the number of heartbeat intervals for which a zone must be reachable before it is Healthy again.
	recoveryHeartbeats = 4
)

// MaxRequestable returns how many instances may be requested in the zone now, at most maxCount. In an Unavailable zone this is one
// instance in each probeInterval, and only if no machine there would show its recovery. In a Suspected zone it is 0. In a
// Recovering zone it is what the present step still allows.
func (t *Tracker) MaxRequestable(now time.Time, name string, maxCount int) int {
	z := t.zones[name]
	if z == nil {
		return maxCount
	}
	switch z.state {
	case Unavailable:
		if z.machines.expected+z.machines.sentinels > 0 || now.Sub(z.recovery.lastProbe) < probeInterval {
			return 0
		}
		return min(maxCount, 1)
	case Suspected:
		return 0
	case Recovering:
		return max(min(maxCount, z.recovery.limit-z.recovery.requested), 0)
	}
	return maxCount
}

// RecordRequest records that instances are requested in the zone. It must be called for each request.
func (t *Tracker) RecordRequest(now time.Time, name string, count int) {
	z := t.zones[name]
	switch {
	case z == nil:
	case z.state == Unavailable:
		z.recovery.lastProbe = now
	case z.state == Recovering:
		z.recovery.requested += count
	}
}

// SentinelCount returns how many silent machines of the zone must be kept to detect its recovery. It is 0 unless the zone is
// Unavailable.
func (t *Tracker) SentinelCount(name string) int {
	z := t.zones[name]
	if z == nil || z.state != Unavailable {
		return 0
	}
	return max(int(sentinelShare*float64(z.machinesBeforeOutage)), minSentinels)
}

// recoveryPeriod returns how long the zone must be reachable before it is Healthy again.
func (t *Tracker) recoveryPeriod(z *zone) time.Duration {
	return recoveryHeartbeats * t.heartbeatInterval << z.repeatedOutages()
}

// start begins the first recovery step.
func (r *recovery) start(now time.Time) {
	r.stepStart, r.requested, r.limit = now, 0, firstRecoveryStep
}

// advanceRecovery begins the recovery steps that are due.
func (z *zone) advanceRecovery(now time.Time) {
	if z.state != Recovering {
		return
	}
	interval := recoveryStepInterval << z.repeatedOutages()
	for now.Sub(z.recovery.stepStart) >= interval {
		z.recovery.stepStart = z.recovery.stepStart.Add(interval)
		z.recovery.requested = 0
		z.recovery.limit = min(2*z.recovery.limit, maxRecoveryStep)
	}
}
