package connectivity

import (
	"time"

	"gullrudder/internal/wire/workerapi"
)

const (
	// contactWindow is how long a contact counts as recent. A worker tries every controller within this time.
	contactWindow = 10 * time.Second
	// contactRetention is how long a contact is kept. The position in it shows whether a late heartbeat of the worker is a
	// duplicate.
	contactRetention = 2 * time.Minute
	// maxContacts limits the number of machines in a contactTable.
	maxContacts = 20_000
)

// contact is the newest heartbeat of a worker that this controller received as a follower.
type contact struct {
	at       time.Time
	position workerapi.Position
}

// contactTable holds the newest contact of each worker, by the ID of its machine.
type contactTable map[string]contact

// record stores a contact unless its heartbeat is a duplicate or older than the stored one. A full table ignores new
// machines.
func (t contactTable) record(machine string, newest contact) {
	previous, known := t[machine]
	if known && !newest.position.IsAfter(previous.position) || !known && len(t) >= maxContacts {
		return
	}
	t[machine] = newest
}

// countRecent counts the recent contacts and deletes those older than sequenceRetention.
func (t contactTable) countRecent(now time.Time) int {
	count := 0
	for machine, last := range t {
		switch age := now.Sub(last.at); {
		case age > contactRetention:
			delete(t, machine)
		case age <= contactWindow:
			count++
		}
	}
	return count
}
