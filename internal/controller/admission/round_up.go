package admission

import "math"

const cpuTolerance = 1e-6

// RoundUp is the room that a guaranteed job is planned with: a power-of-two share of a
// machine of the given size, or whole machines.
func RoundUp(cpus, machine float64) float64 {
	if machine <= 0 || cpus <= 0 {
		return cpus
	}
	if cpus >= machine {
		return math.Ceil(cpus/machine-cpuTolerance) * machine
	}
	share := machine
	for share/2 >= cpus-cpuTolerance {
		share /= 2
	}
	return share
}
