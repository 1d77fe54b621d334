package controller

import (
	"fmt"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/worker"
)

// shortCancelTimeoutWarning warns of a cancel timeout that is too short for a new leader to renew leases before it has loaded its state.
const shortCancelTimeoutWarning = "cluster.workers.cancel_s: %v is not above lease_s with its margin (%v): a cancellation is confirmed " +
	"only once the job's tasks are gone, and a new leader renews no lease before it has read its ledger"

// ConfigWarnings returns warnings about settings that keep every guarantee and reduce availability.
func ConfigWarnings(platform *config.Platform) []string {
	leaseExpiry := worker.LeaseExpiry(platform.WorkerLeaseDuration)
	if renewal.Window(platform.CancelTimeout, leaseExpiry) > 0 {
		return nil
	}
	return []string{fmt.Sprintf(shortCancelTimeoutWarning, platform.CancelTimeout, leaseExpiry)}
}
