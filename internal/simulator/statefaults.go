package simulator

import (
	"time"
)

// Outage refuses every request with status 503 for a span. At its end every lease has its full TTL again.
func (s *StateService) Outage(span time.Duration) {
	s.outageUntil = s.sim.Now.Add(span)
	s.sim.extendFaults(span)
	for _, l := range s.leases {
		l.expiresAt = s.outageUntil.Add(l.ttl)
	}
	for id := range s.leases {
		s.sim.At(span+s.leases[id].ttl, func() { s.expire(id) })
	}
}

// Refuse refuses the requests of one controller with status 503 for a span.
func (s *StateService) Refuse(controller string, span time.Duration) {
	s.refusedUntil[controller] = s.sim.Now.Add(span)
	s.sim.extendFaults(span)
}

// DelayTransactions delays a share of the transactions for a span. They get no response and are executed 2 to 12 s later, after newer
// transactions.
func (s *StateService) DelayTransactions(share float64, span time.Duration) {
	s.lateUntil, s.lateShare = s.sim.Now.Add(span), share
	s.sim.extendFaults(span + 12*time.Second)
}

// SlowDown delays half of the responses by up to 3 s for a span. Half of the delay passes before the request is executed, half after.
func (s *StateService) SlowDown(span time.Duration) {
	s.slowUntil = s.sim.Now.Add(span)
	s.sim.extendFaults(span + 3*time.Second)
}

// LowerLimits refuses larger values and transactions from now on. Values that are already stored stay readable.
func (s *StateService) LowerLimits(maxValueBytes, maxOperations int) {
	s.maxValueBytes, s.maxOperations = maxValueBytes, maxOperations
}

// HandOverLeadership refuses only the current leader for a span. It repeats this for each next leader, times in total.
func (s *StateService) HandOverLeadership(times int, span time.Duration) {
	for i := range times {
		s.sim.At(time.Duration(i)*span, func() { s.Refuse(s.leaderName(), span) })
	}
}

// RefuseLeaderThenAll refuses only the leader for the time alone, then all controllers for a span.
func (s *StateService) RefuseLeaderThenAll(alone, span time.Duration) {
	s.Refuse(s.leaderName(), alone+span)
	s.sim.At(alone, func() { s.Outage(span) })
}
