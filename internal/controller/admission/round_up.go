package admission

import "math"

// cpuTolerance absorbs rounding errors where CPUs are compared.
const cpuTolerance = 1e-6

// RoundUp returns the CPUs with which a guaranteed job is planned (§3.4.1): the job's CPUs, rounded up to a machine of the
// given size divided by a power of two, or to whole machines.
func RoundUp(cpus, machineCPUs float64) float64 {
	if machineCPUs <= 0 || cpus <= 0 {
		return cpus
	}
	if cpus >= machineCPUs {
		return math.Ceil(cpus/machineCPUs-cpuTolerance) * machineCPUs
	}
	share := machineCPUs
	for share/2 >= cpus-cpuTolerance {
		share /= 2
	}
	return share
}
