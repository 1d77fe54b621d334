package admission

import (
	"math"

	"gullrudder/internal/units"
)

// RoundUp rounds up the CPUs of a guaranteed job for planning (§3.4.1). A job of at least one machine is rounded up to whole
// machines, a smaller one to the machine size divided by a power of two. A value of 0 or less for either argument turns
// rounding off.
func RoundUp(cpus, machineCPUs float64) float64 {
	if machineCPUs <= 0 || cpus <= 0 {
		return cpus
	}
	if cpus >= machineCPUs {
		return math.Ceil(cpus/machineCPUs-units.ResourceTolerance) * machineCPUs
	}
	rounded := machineCPUs
	for rounded/2 >= cpus-units.ResourceTolerance {
		rounded /= 2
	}
	return rounded
}
