package controller

import (
	"fmt"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/worker"
)

// shortCancelTimeoutWarning warns of a cancel timeout that is too short for a new leader to renew leases before it has loaded its state.
const shortCancelTimeoutWarning = "cluster.workers.cancel_s: %v is too short, expected more than lease_s with its margin (%v): " +
	"a new leader cannot renew leases before it has loaded its state, and confirms a cancellation only once the job's tasks have ended"

// ConfigWarnings returns warnings about settings that are safe but reduce availability. It returns nil if there are none.
func ConfigWarnings(platform *config.Platform) []string {
	leaseExpiry := worker.LeaseExpiry(platform.WorkerLeaseDuration)
	if renewal.Window(platform.CancelTimeout, leaseExpiry) > 0 {
		return nil
	}
	return []string{fmt.Sprintf(shortCancelTimeoutWarning, platform.CancelTimeout, leaseExpiry)}
}
