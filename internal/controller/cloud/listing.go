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
	// readRetryDelay is the delay after a failed read of machine types or instances.
	readRetryDelay = time.Second
	// unlistedGrace is added to three times the lag of lists: an instance that is missing for longer is dropped.
	unlistedGrace = 5 * time.Second
)

// listing is the state of reading the list of instances page by page.
type listing struct {
	lag        time.Duration // how far lists lag behind
	next       time.Time
	inProgress bool
	seenIDs    map[string]bool // instances on the pages of the current list
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

// listInstances requests the page of the list that follows afterID, or the first page if afterID is "".
func (c *Client) listInstances(outbox *client.Outbox, afterID string) {
	c.listing.inProgress = true
	query := url.Values{"most": {strconv.Itoa(listPageSize)}}
	if afterID != "" {
		query.Set("from", afterID)
	}
	c.send(outbox, client.Call{Method: http.MethodGet, Path: "/hosts?" + query.Encode(), Done: c.receiveInstances})
}

// receiveInstances processes a page of the list. Only a complete list shows that an instance no longer exists.
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

// dropUnlisted drops instances that the cloud no longer lists because they were reclaimed or deleted. They only stop counting as
// instances. Package worker decides by their leases whether their tasks have ended.
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
