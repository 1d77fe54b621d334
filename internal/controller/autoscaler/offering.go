package autoscaler

import (
	"sort"
	"time"

	"gullrudder/internal/controller/cloud"
)

const (
	// expectedServiceTime is how long an instance is expected to be useful after it has booted.
	expectedServiceTime = 3 * time.Minute
	// cpusPerGPU is the number of CPUs that a GPU counts as when prices are compared.
	cpusPerGPU = 8
	// minComparedCPUs is the size, in CPUs, of a machine type without CPUs and GPUs when prices are compared.
	minComparedCPUs = 0.1
	// requiredBacklogDivisor divides the option ScaleOutBacklog. The result is how long the work must last to justify the cheapest
	// kind.
	requiredBacklogDivisor = 3
)

// offering is a kind of instances that can be requested.
type offering struct {
	kind        cloud.InstanceKind
	machineType *cloud.MachineType
	price       float64 // per CPU and hour, with the cost of the boot time spread over expectedServiceTime
}

// offerings returns the kinds of instances that the cloud offers, the cheapest first.
func (s *Scaler) offerings() []offering {
	var list []offering
	for _, machineType := range s.cloud.MachineTypes {
		size := max(machineType.CPUs, machineType.GPUs*cpusPerGPU, minComparedCPUs)
		// An instance is paid for while it boots.
		size *= expectedServiceTime.Seconds() / (expectedServiceTime + s.cloud.ExpectedBootTime(machineType)).Seconds()
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				list = append(list, offering{
					kind:        cloud.InstanceKindOf(machineType, zone, spot),
					machineType: machineType,
					price:       machineType.HourlyPriceFor(spot) / size,
				})
			}
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].isBefore(&list[b]) })
	return list
}

// isBefore orders offerings by price, then by machine type and zone.
func (o *offering) isBefore(other *offering) bool {
	if o.price != other.price {
		return o.price < other.price
	}
	if o.kind.Type != other.kind.Type {
		return o.kind.Type < other.kind.Type
	}
	return o.kind.Zone < other.kind.Zone
}

// requiredBacklog returns how many seconds the waiting work must last on the present capacity to justify a request for a kind of
// the given price. It is proportional to the price. If the platform has objectives, expensive kinds may also be requested because
// of these.
func (s *Scaler) requiredBacklog(price, cheapest float64) float64 {
	return s.options.ScaleOutBacklog.Seconds() * priceRatio(price, cheapest) / requiredBacklogDivisor
}

// priceRatio returns a price as a multiple of the cheapest one, or 1 if the cheapest is free.
func priceRatio(price, cheapest float64) float64 {
	if cheapest <= 0 {
		return 1
	}
	return price / cheapest
}

// maxRequestable returns how many instances of a kind may be requested now.
func (s *Scaler) maxRequestable(now time.Time, kind cloud.InstanceKind) int {
	if !s.cloud.CanRequest(now, kind) {
		return 0
	}
	return s.zones.MaxRequestable(now, kind.Zone, s.cloud.MaxRequestable())
}
