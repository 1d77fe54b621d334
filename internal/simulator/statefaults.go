package simulator

import (
	"time"
)

// Outage answers every request with 503 for a span; afterwards every lease has its full time again.
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

// Refuse answers one controller with 503 for a span.
func (s *StateService) Refuse(controller string, span time.Duration) {
	s.refusedUntil[controller] = s.sim.Now.Add(span)
	s.sim.extendFaults(span)
}

// DelayTransactions leaves a share of the transactions without a response for a span; they are executed 2 to 12 s after they were
// sent, after newer ones.
func (s *StateService) DelayTransactions(share float64, span time.Duration) {
	s.lateUntil, s.lateShare = s.sim.Now.Add(span), share
	s.sim.extendFaults(span + 12*time.Second)
}

// SlowDown lets every second response take up to 3 s for a span: half of it before the request is executed, half after.
func (s *StateService) SlowDown(span time.Duration) {
	s.slowUntil = s.sim.Now.Add(span)
	s.sim.extendFaults(span + 3*time.Second)
}

// LowerLimits refuses larger values and transactions from now on; what is stored stays readable.
func (s *StateService) LowerLimits(maxValueBytes, maxOperations int) {
	s.maxValueBytes, s.maxOperations = maxValueBytes, maxOperations
}

// HandOverLeadership refuses the present leader alone for a span, a number of times in a row.
func (s *StateService) HandOverLeadership(times int, span time.Duration) {
	for i := range times {
		s.sim.At(time.Duration(i)*span, func() { s.Refuse(s.leaderName(), span) })
	}
}

// RefuseLeaderThenAll refuses the leader alone and then all controllers: a combination of two faults.
func (s *StateService) RefuseLeaderThenAll(alone, span time.Duration) {
	s.Refuse(s.leaderName(), alone+span)
	s.sim.At(alone, func() { s.Outage(span) })
}
