package controller

import (
	"fmt"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/worker"
)

// ConfigWarnings tells of settings with which every rule is kept and less is served.
func ConfigWarnings(platform *config.Platform) []string {
	var warnings []string
	if leaseEnd := worker.LeaseExpiry(platform.WorkerLeaseDuration); renewal.Window(platform.CancelTimeout, leaseEnd) <= 0 {
		warnings = append(
			warnings,
			fmt.Sprintf(
				"cluster.workers.cancel_s: %v is not above lease_s with its margin (%v): a cancellation is confirmed only once the job's tasks are gone, and a new leader renews no lease before it has read its ledger",
				platform.CancelTimeout,
				leaseEnd,
			),
		)
	}
	return warnings
}
