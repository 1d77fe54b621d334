package worker

// DrainReason is why nothing more starts on a machine.
type DrainReason string

// Why a machine drains.
const (
	NotDraining       DrainReason = ""         // it does not
	DrainReclaimed    DrainReason = "notice"   // the cloud takes it back
	DrainFaulty       DrainReason = "faulty"   // tasks of several jobs failed on it
	DrainSlow         DrainReason = "slow"     // tasks take longer on it than elsewhere
	DrainExpensive    DrainReason = "surplus"  // cheaper ones suffice
	DrainConsolidated DrainReason = "thin"     // it is hardly used, and the others suffice
	DrainUnresponsive DrainReason = "silent"   // nothing is heard of it
	DrainTerminating  DrainReason = "returned" // it is on its way back to the cloud
)

// LeadsToTermination reports whether the machine goes back to the cloud once nothing is on it.
func (d DrainReason) LeadsToTermination() bool {
	return d == DrainFaulty || d == DrainSlow || d == DrainExpensive || d == DrainConsolidated
}
