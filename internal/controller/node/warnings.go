package node

import (
	"fmt"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/leader/horizon"
	"gullrudder/internal/controller/workers"
)

// ConfigWarnings tells of settings with which every rule is kept and less is served.
func ConfigWarnings(platform *config.Platform) []string {
	var warnings []string
	if leaseEnd := workers.LeaseExpiry(platform.WorkerLeaseDuration); horizon.Window(platform.CancelTimeout, leaseEnd) <= 0 {
		warnings = append(warnings, fmt.Sprintf("cluster.workers.cancel_s: %v is not above lease_s with its margin (%v): a cancellation is confirmed only once the job's tasks are gone, and a new leader renews no lease before it has read its ledger",
			platform.CancelTimeout, leaseEnd))
	}
	return warnings
}
