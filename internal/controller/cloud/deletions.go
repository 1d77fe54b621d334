package cloud

import (
	"net/http"
	"sort"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

// maxRefusedDeletions is the number of refusals after which a deletion of several instances is split.
const maxRefusedDeletions = 2

// Terminate queues the deletion of instances and marks them as Deleting. The deletion is retried until the cloud confirms it. The
// reason only goes into the log. Terminate sorts ids in place and keeps the slice.
func (c *Client) Terminate(ids []string, reason string) {
	sort.Strings(ids)
	for len(ids) > 0 {
		batch := ids[:min(len(ids), maxInstancesPerDeletion)]
		ids = ids[len(batch):]
		for _, id := range batch {
			if instance := c.Instances[id]; instance != nil {
				instance.Deleting = true
			}
			c.log.Info("instance termination requested", logkeys.Instance, id, logkeys.Reason, reason)
		}
		// Deletions go first: they free capacity that a request may be waiting for.
		c.queue.add(urgentCall, func(outbox *client.Outbox) { c.sendDeletion(outbox, batch, 0) })
	}
}

func (c *Client) sendDeletion(outbox *client.Outbox, ids []string, retries int) {
	c.send(outbox, client.Call{
		Method: http.MethodPost,
		Path:   "/hosts/delete",
		Body:   deletionBody(ids),
		Done: func(now time.Time, result client.Result) {
			if result.Status != http.StatusOK {
				c.retryDeletion(now, ids, retries, result)
				return
			}
			for _, id := range ids {
				delete(c.Instances, id)
				c.deletedIDs[id] = true
			}
			c.newDeletions = append(c.newDeletions, ids...)
		},
	})
}

// retryDeletion retries a deletion. A deletion that is refused repeatedly is split in halves, down to the instance that cannot be
// deleted. Otherwise that instance blocks the deletion of up to 99 others.
func (c *Client) retryDeletion(now time.Time, ids []string, retries int, result client.Result) {
	if isRefusal(result) && retries >= maxRefusedDeletions && len(ids) > 1 {
		c.log.Info("instance deletion split", logkeys.Count, len(ids), logkeys.Status, result.Status)
		for _, half := range [][]string{ids[:len(ids)/2], ids[len(ids)/2:]} {
			c.queue.retry(now, urgentCall, retries, func(outbox *client.Outbox) { c.sendDeletion(outbox, half, retries) })
		}
		return
	}
	c.queue.retry(now, urgentCall, retries, func(outbox *client.Outbox) { c.sendDeletion(outbox, ids, retries+1) })
}

// isRefusal reports whether the cloud refused to execute the call, for another reason than overload.
func isRefusal(result client.Result) bool {
	return result.Status >= http.StatusBadRequest &&
		result.Status != http.StatusTooManyRequests && result.Status != http.StatusServiceUnavailable
}
