package worker

// DrainReason is why nothing more starts on a machine. The status that users see has its value.
type DrainReason string

// The reasons for which a machine drains.
const (
	NotDraining       DrainReason = ""
	DrainReclaimed    DrainReason = "notice"   // the cloud has given notice that it reclaims the machine
	DrainFaulty       DrainReason = "faulty"   // tasks of several jobs failed on it (package failures)
	DrainSlow         DrainReason = "slow"     // tasks take longer on it than elsewhere (package straggler)
	DrainExpensive    DrainReason = "surplus"  // cheaper machines suffice
	DrainConsolidated DrainReason = "thin"     // it is little used, and its tasks fit on other machines
	DrainUnresponsive DrainReason = "silent"   // no heartbeats, or no answer to probes
	DrainTerminating  DrainReason = "returned" // its termination was requested
)

// LeadsToTermination reports whether the machine is terminated once no attempt is left on it.
func (d DrainReason) LeadsToTermination() bool {
	return d == DrainFaulty || d == DrainSlow || d == DrainExpensive || d == DrainConsolidated
}
