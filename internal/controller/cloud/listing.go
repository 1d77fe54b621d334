package cloud

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

const (
	typesInterval   = time.Minute
	minListInterval = 2 * time.Second
	// readRetryDelay is the wait after a read of types or instances that failed.
	readRetryDelay = time.Second
	// unlistedGrace is what an instance may be missing from lists beyond three times their lag.
	unlistedGrace = 5 * time.Second
)

// listing is the state of reading the list of instances, which comes in pages.
type listing struct {
	lag        time.Duration // how long lists lag behind
	next       time.Time
	inProgress bool
	seenIDs    map[string]bool // instances on the pages of the present list
}

func (c *Client) readMachineTypes(outbox *client.Outbox) {
	c.isReadingTypes = true
	c.send(outbox, client.Call{Method: http.MethodGet, Path: "/flavors", Done: c.receiveMachineTypes})
}

func (c *Client) receiveMachineTypes(now time.Time, result client.Result) {
	c.isReadingTypes = false
	var response machineTypesResponse
	if result.Status != http.StatusOK || codec.Unmarshal(result.Body, &response) != nil || len(response.Types) == 0 {
		c.nextTypesRead = now.Add(readRetryDelay)
		return
	}
	c.nextTypesRead = now.Add(typesInterval)
	c.MachineTypes = map[string]*MachineType{}
	for _, machineType := range response.Types {
		c.MachineTypes[machineType.Name] = machineType
	}
}

// listInstances reads the page of the list that follows an instance ID, the first one for "".
func (c *Client) listInstances(outbox *client.Outbox, afterID string) {
	c.listing.inProgress = true
	query := url.Values{"most": {strconv.Itoa(listPageSize)}}
	if afterID != "" {
		query.Set("from", afterID)
	}
	c.send(outbox, client.Call{Method: http.MethodGet, Path: "/hosts?" + query.Encode(), Done: c.receiveInstances})
}

// receiveInstances takes in a page of the list. Only a complete list says that an instance is gone.
func (c *Client) receiveInstances(now time.Time, result client.Result) {
	c.listing.inProgress = false
	var page instancesResponse
	if result.Status != http.StatusOK || codec.Unmarshal(result.Body, &page) != nil {
		c.listing.next = now.Add(readRetryDelay)
		return
	}
	for i := range page.Instances {
		c.receiveInstance(now, &page.Instances[i])
	}
	if page.More && len(page.Instances) > 0 {
		c.listing.inProgress = true
		lastID := page.Instances[len(page.Instances)-1].ID
		c.queue.add(ordinaryCall, func(outbox *client.Outbox) { c.listInstances(outbox, lastID) })
		return
	}
	c.CompletedLists++
	c.listing.next = now.Add(max(minListInterval, c.listing.lag/2))
	c.dropUnlisted(now)
}

func (c *Client) receiveInstance(now time.Time, listed *listedInstance) {
	c.listing.seenIDs[listed.ID] = true
	if c.deletedIDs[listed.ID] {
		return
	}
	instance := c.Instances[listed.ID]
	if instance == nil {
		instance = &Instance{ID: listed.ID, RequestedAt: now.Add(-listed.age())}
		c.Instances[listed.ID] = instance
	}
	instance.updateFromList(now, listed)
}

// dropUnlisted drops instances that the cloud no longer lists: reclaimed or deleted. They only cease to be counted; package
// worker decides by their leases whether tasks on them have ended.
func (c *Client) dropUnlisted(now time.Time) {
	for id, instance := range c.Instances {
		if c.listing.seenIDs[id] {
			continue
		}
		if instance.unseenFor(now) > 3*c.listing.lag+unlistedGrace {
			c.log.Info("instance no longer listed", logkeys.Instance, id)
			delete(c.Instances, id)
		}
	}
}
