package admission

import (
	"math"

	"gullrudder/internal/units"
)

// RoundUp returns the CPUs with which a guaranteed job is planned (§3.4.1): the job's CPUs, rounded up to a machine of the
// given size divided by a power of two, or to whole machines.
func RoundUp(cpus, machineCPUs float64) float64 {
	if machineCPUs <= 0 || cpus <= 0 {
		return cpus
	}
	if cpus >= machineCPUs {
		return math.Ceil(cpus/machineCPUs-units.ResourceTolerance) * machineCPUs
	}
	share := machineCPUs
	for share/2 >= cpus-units.ResourceTolerance {
		share /= 2
	}
	return share
}
