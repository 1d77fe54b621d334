// Package cloud is the client of the cloud's API: it reads the machine types, lists the instances, requests new ones and deletes
// those that are not needed. It owns the list of instances and the pending requests. It never decides what is requested or
// deleted (package autoscaler does), and has no access to tasks. A Client belongs to one leadership and is used on the
// controller's goroutine only. Design note: docs/design/autoscaler.md.
package cloud

import (
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/controller/cloud/boottime"
	"gullrudder/internal/wire/client"
)

const (
	callTimeout = 5 * time.Second
	// usedRateShare is the share of the cloud's call rate that is used, since the cloud measures the rate by its own clock.
	usedRateShare = 0.95
	// minOverloadPause is the least time without calls after the cloud said that it is overloaded.
	minOverloadPause = 500 * time.Millisecond
)

// Client is a leader's connection with the cloud.
type Client struct {
	// MachineTypes are the types that the cloud offers, by name; empty until they were read.
	MachineTypes map[string]*MachineType
	// Instances are the instances that are listed, requested or reporting, by ID.
	Instances map[string]*Instance
	// CompletedLists counts the lists that were read to their last page.
	CompletedLists int

	log       *slog.Logger
	isClosed  bool
	bootTimes *boottime.Estimator

	callsPerSecond float64
	limiter        *client.RateLimiter
	queue          callQueue
	pausedUntil    time.Time // the cloud is overloaded

	nextTypesRead  time.Time
	isReadingTypes bool
	listing        listing
	deletedIDs     map[string]bool // confirmed deletions; lists lag and still show them
	newDeletions   []string        // confirmed deletions that TakeConfirmedDeletions has not returned yet
	requests       requests
}

// New returns the client of a new leadership. callsPerSecond is the call rate that the cloud allows, listLag how long its lists
// may lag behind.
func New(fencingToken uint64, callsPerSecond float64, listLag time.Duration, log *slog.Logger) *Client {
	return &Client{
		MachineTypes:   map[string]*MachineType{},
		Instances:      map[string]*Instance{},
		log:            log,
		bootTimes:      boottime.New(),
		callsPerSecond: callsPerSecond,
		limiter:        client.NewRateLimiter(callsPerSecond*usedRateShare, rateBurst),
		queue:          newCallQueue(fencingToken, callsPerSecond),
		listing:        listing{lag: listLag},
		deletedIDs:     map[string]bool{},
		requests:       newRequests(fencingToken),
	}
}

// Close ends the client: results that arrive later are ignored.
func (c *Client) Close() { c.isClosed = true }

// Tick sends the calls that are due, as far as the cloud's call rate allows: the read of machine types first, then the calls in
// the queue, then a list.
func (c *Client) Tick(now time.Time, outbox *client.Outbox) {
	if now.Before(c.pausedUntil) {
		return
	}
	if c.canCall(now) && !c.isReadingTypes && !now.Before(c.nextTypesRead) {
		c.spendCall(now)
		c.readMachineTypes(outbox)
	}
	for c.canCall(now) {
		send := c.queue.next(now)
		if send == nil {
			break
		}
		c.spendCall(now)
		send(outbox)
	}
	if c.canCall(now) && !c.listing.inProgress && !now.Before(c.listing.next) {
		c.spendCall(now)
		c.listing.seenIDs = map[string]bool{}
		c.listInstances(outbox, "")
	}
}

// canCall reports whether a call may be sent now.
func (c *Client) canCall(now time.Time) bool {
	return !c.queue.isPaused(now) && c.limiter.Available(now) > 0
}

// spendCall counts a call against the rate.
func (c *Client) spendCall(now time.Time) {
	c.limiter.Take(1)
	c.queue.callSent(now)
}

// send adds a call to the outbox. Its Done is not run once the client is closed.
func (c *Client) send(outbox *client.Outbox, call client.Call) {
	done := call.Done
	call.Destination, call.Timeout = client.CloudAPI, callTimeout
	call.Done = func(now time.Time, result client.Result) {
		if c.isClosed {
			return
		}
		if isOverloaded(result) {
			c.pausedUntil = now.Add(max(result.RetryAfter, minOverloadPause))
		}
		c.queue.observeResult(now, result)
		done(now, result)
	}
	outbox.Add(call)
}

// isOverloaded reports whether the cloud refused a call because of too many calls. A 503 with a body is an answer to the call.
func isOverloaded(result client.Result) bool {
	return result.Status == http.StatusTooManyRequests || result.Status == http.StatusServiceUnavailable && len(result.Body) == 0
}

// IsDeleted reports whether the cloud has confirmed the deletion of the instance.
func (c *Client) IsDeleted(id string) bool { return c.deletedIDs[id] }

// TakeConfirmedDeletions returns the IDs of the instances whose deletion the cloud has confirmed since the last call.
func (c *Client) TakeConfirmedDeletions() []string {
	deleted := c.newDeletions
	c.newDeletions = nil
	return deleted
}

// ObserveHeartbeat records that the worker of an instance sent a heartbeat. The first one gives a sample of the boot time.
func (c *Client) ObserveHeartbeat(now time.Time, id, addr string, kind InstanceKind) {
	instance := c.Instances[id]
	if instance == nil {
		instance = &Instance{ID: id, Addr: addr, RequestedAt: now, Kind: kind, State: StateRunning}
		c.Instances[id] = instance
	}
	if machineType := c.MachineTypes[kind.Type]; machineType != nil && !instance.HasReported && instance.RequestedByThisLeader {
		c.bootTimes.ObserveBoot(kind.Type, now.Sub(instance.RequestedAt), machineType.statedBootTime())
	}
	instance.HasReported, instance.Kind = true, kind
	instance.LastListed = now
}

// ObserveBooting records the ages of the instances that have not reported yet, by machine type.
func (c *Client) ObserveBooting(agesByType map[string][]time.Duration) {
	c.bootTimes.ObserveBooting(agesByType, func(name string) time.Duration {
		if machineType := c.MachineTypes[name]; machineType != nil {
			return machineType.statedBootTime()
		}
		return 0
	})
}

// ExpectedBootTime returns how long an instance of the type is expected to take until its first heartbeat.
func (c *Client) ExpectedBootTime(machineType *MachineType) time.Duration {
	return c.bootTimes.Expected(machineType.Name, machineType.statedBootTime())
}

// RemainingBootTime returns how much longer an instance of that age is expected to take until its first heartbeat.
func (c *Client) RemainingBootTime(machineType *MachineType, age time.Duration) time.Duration {
	return c.bootTimes.Remaining(machineType.Name, age, machineType.statedBootTime())
}

// BootTimeout returns the age from which an instance that has not reported is taken for one that never will.
func (c *Client) BootTimeout(machineType *MachineType) time.Duration {
	return c.bootTimes.Timeout(machineType.Name, machineType.statedBootTime())
}
