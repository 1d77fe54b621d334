package worker

// DrainReason is why a machine drains. No more tasks start on a draining machine. The values are part of the status that users see.
type DrainReason string

// The drain reasons.
const (
	NotDraining       DrainReason = ""
	DrainReclaimed    DrainReason = "notice"   // the cloud has given notice that it reclaims the machine
	DrainFaulty       DrainReason = "faulty"   // tasks of several jobs failed on it (package failures)
	DrainSlow         DrainReason = "slow"     // tasks take longer on it than elsewhere (package straggler)
	DrainExpensive    DrainReason = "surplus"  // cheaper machines are sufficient
	DrainConsolidated DrainReason = "thin"     // its utilization is low, and its tasks fit on other machines
	DrainUnresponsive DrainReason = "silent"   // it sends no heartbeats, or does not respond to probes
	DrainTerminating  DrainReason = "returned" // its termination was requested
)

// LeadsToTermination reports whether a machine with this drain reason is terminated once it has no attempts.
func (d DrainReason) LeadsToTermination() bool {
	return d == DrainFaulty || d == DrainSlow || d == DrainExpensive || d == DrainConsolidated
}
