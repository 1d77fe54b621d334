package workers

// Drain is why nothing more starts on a machine.
type Drain string

// Why a machine drains.
const (
	InUse    Drain = ""         // it does not
	Noticed  Drain = "notice"   // the cloud takes it back
	Faulty   Drain = "faulty"   // tasks of several jobs failed on it
	Slow     Drain = "slow"     // tasks take longer on it than elsewhere
	Surplus  Drain = "surplus"  // cheaper ones suffice
	Thin     Drain = "thin"     // it is hardly used, and the others suffice
	Silent   Drain = "silent"   // nothing is heard of it
	Returned Drain = "returned" // it is on its way back to the cloud
)

// Leaving reports whether the machine goes back to the cloud once nothing is on it.
func (d Drain) Leaving() bool { return d == Faulty || d == Slow || d == Surplus || d == Thin }
