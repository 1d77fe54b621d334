// Package cloud is the client of the cloud's API. It reads the machine types, lists the instances, requests new ones and deletes
// those that are not needed. It owns the list of instances and the pending requests. Package autoscaler decides what is requested
// or deleted. The client has no access to tasks.
//
// A Client belongs to one leadership and is used on the controller's goroutine only. Design note: docs/design/autoscaler.md.
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
	// usedRateShare is the share of the cloud's call rate that is used. It is below 1 because the cloud measures the rate by its
	// own clock.
	usedRateShare = 0.95
	// minOverloadPause is the minimum time without calls after the cloud responded that it is overloaded.
	minOverloadPause = 500 * time.Millisecond
)

// Client calls the cloud's API for a leader. It is not safe for concurrent use: only the controller's goroutine uses it.
type Client struct {
	// MachineTypes are the types that the cloud offers, by name. The map is empty until they have been read.
	MachineTypes map[string]*MachineType
	// Instances are the instances that were listed or requested, or that sent a heartbeat, by ID.
	Instances map[string]*Instance
	// CompletedLists counts the lists of instances that were read to their last page.
	CompletedLists int

	log       *slog.Logger
	isClosed  bool
	bootTimes *boottime.Estimator

	callsPerSecond float64
	limiter        *client.RateLimiter
	queue          callQueue
	pausedUntil    time.Time // the cloud is overloaded: no call is sent before this time

	nextTypesRead  time.Time
	isReadingTypes bool
	listing        listing
	deletedIDs     map[string]bool // confirmed deletions; lists lag and may still show them
	newDeletions   []string        // confirmed deletions that TakeConfirmedDeletions has not returned yet
	requests       requests
}

// New returns the client for a new leadership. callsPerSecond is the call rate that the cloud allows. listLag is how far its
// lists may lag behind.
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

// Close ends the client. Results that arrive later are ignored.
func (c *Client) Close() { c.isClosed = true }

// Tick adds the calls that are due to the outbox, within the cloud's call rate. It reads the machine types first, then sends the
// queued calls, then lists the instances.
func (c *Client) Tick(now time.Time, outbox *client.Outbox) {
	if now.Before(c.pausedUntil) {
		return
	}
	if c.canCall(now) && !c.isReadingTypes && !now.Before(c.nextTypesRead) {
		c.countCall(now)
		c.readMachineTypes(outbox)
	}
	for c.canCall(now) {
		send := c.queue.next(now)
		if send == nil {
			break
		}
		c.countCall(now)
		send(outbox)
	}
	if c.canCall(now) && !c.listing.inProgress && !now.Before(c.listing.next) {
		c.countCall(now)
		c.listing.seenIDs = map[string]bool{}
		c.listInstances(outbox, "")
	}
}

func (c *Client) canCall(now time.Time) bool {
	return !c.queue.isPaused(now) && c.limiter.Available(now) > 0
}

// countCall counts a call against the call rate.
func (c *Client) countCall(now time.Time) {
	c.limiter.Take(1)
	c.queue.recordSent(now)
}

// send adds a call to the outbox. Its Done does not run once the client is closed.
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

// isOverloaded reports whether the cloud refused a call because of too many calls. A 503 with a body is a response to the call
// itself.
func isOverloaded(result client.Result) bool {
	return result.Status == http.StatusTooManyRequests || result.Status == http.StatusServiceUnavailable && len(result.Body) == 0
}

// IsDeleted reports whether the cloud has confirmed the deletion of the instance.
func (c *Client) IsDeleted(id string) bool { return c.deletedIDs[id] }

// TakeConfirmedDeletions returns the IDs of the instances whose deletion the cloud has confirmed since the previous call, or nil.
func (c *Client) TakeConfirmedDeletions() []string {
	deleted := c.newDeletions
	c.newDeletions = nil
	return deleted
}

// ObserveHeartbeat records a heartbeat from the worker of an instance and adds the instance if it is unknown. The first heartbeat
// of an instance that this leader requested is a sample of the boot time.
func (c *Client) ObserveHeartbeat(now time.Time, id, addr string, kind InstanceKind) {
	instance := c.Instances[id]
	if instance == nil {
		instance = &Instance{ID: id, Addr: addr, RequestedAt: now, Kind: kind, State: StateRunning}
		c.Instances[id] = instance
	}
	if machineType := c.MachineTypes[kind.Type]; machineType != nil && !instance.HasSentHeartbeat && instance.RequestedByThisLeader {
		c.bootTimes.ObserveBoot(kind.Type, now.Sub(instance.RequestedAt), machineType.nominalBootTime())
	}
	instance.HasSentHeartbeat, instance.Kind = true, kind
	instance.LastSeenAt = now
}

// ObserveBooting replaces the recorded ages of the instances that have sent no heartbeat yet, by machine type. Only the first
// ages of a type count, so the caller passes the highest ones first.
func (c *Client) ObserveBooting(agesByType map[string][]time.Duration) {
	c.bootTimes.ObserveBooting(agesByType, func(name string) time.Duration {
		if machineType := c.MachineTypes[name]; machineType != nil {
			return machineType.nominalBootTime()
		}
		return 0
	})
}

// ExpectedBootTime returns how long an instance of the type is expected to take until its first heartbeat.
func (c *Client) ExpectedBootTime(machineType *MachineType) time.Duration {
	return c.bootTimes.Expected(machineType.Name, machineType.nominalBootTime())
}

// RemainingBootTime returns how much longer an instance of the given age is expected to take until its first heartbeat.
func (c *Client) RemainingBootTime(machineType *MachineType, age time.Duration) time.Duration {
	return c.bootTimes.Remaining(machineType.Name, age, machineType.nominalBootTime())
}

// BootTimeout returns the age from which an instance that has sent no heartbeat counts as failed.
func (c *Client) BootTimeout(machineType *MachineType) time.Duration {
	return c.bootTimes.Timeout(machineType.Name, machineType.nominalBootTime())
}
