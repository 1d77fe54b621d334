package connectivity

import (
	"time"

	"gullrudder/internal/wire/workerapi"
)

const (
	// contactWindow is how long a contact counts as recent: a worker tries every controller within that time.
	contactWindow = 10 * time.Second
	// sequenceRetention is how long the position of a contact is kept, to recognize duplicates of its heartbeats.
	sequenceRetention = 2 * time.Minute
	// maxContacts bounds the number of contacts that are kept.
	maxContacts = 20_000
)

// contact is the newest heartbeat of a worker that this controller received as a follower.
type contact struct {
	at       time.Time
	position workerapi.Position
}

// contactTable holds the newest contact of each worker, by the ID of its machine.
type contactTable map[string]contact

// record adds a contact unless it is a duplicate of an earlier one. A full table takes no new machines.
func (t contactTable) record(machine string, newest contact) {
	previous, known := t[machine]
	if known && !newest.position.IsAfter(previous.position) || !known && len(t) >= maxContacts {
		return
	}
	t[machine] = newest
}

// countRecent counts the recent contacts and drops those past their retention.
func (t contactTable) countRecent(now time.Time) int {
	count := 0
	for machine, last := range t {
		switch age := now.Sub(last.at); {
		case age > sequenceRetention:
			delete(t, machine)
		case age <= contactWindow:
			count++
		}
	}
	return count
}
