package node

import (
	"fmt"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/leader/horizon"
	"gullrudder/internal/controller/workers"
)

// Warnings tells of settings with which every rule is kept and less is served.
func Warnings(cfg *config.Platform) []string {
	var list []string
	if end := workers.LeaseEnd(cfg.WorkerLease); horizon.Window(cfg.CancelWithin, end) <= 0 {
		list = append(list, fmt.Sprintf("cluster.workers.cancel_s: %v is not above lease_s with its margin (%v): a cancellation is confirmed only once the job's tasks are gone, and a new leader renews no lease before it has read its ledger",
			cfg.CancelWithin, end))
	}
	return list
}
