package submission

import "time"

// ticketQueue holds the retry tickets of one team.
type ticketQueue struct {
	notBefore map[string]time.Time // unused tickets: by job ID, the time from which a retry is accepted
	queue     []ticket             // used and unused tickets that have not expired, by notBefore
	due       int                  // number of tickets in queue whose notBefore has passed or is less than minRetryAfter away
	unusedDue int                  // number of due tickets that have not been used
}

type ticket struct {
	jobID     string
	notBefore time.Time
}

func newTicketQueue() ticketQueue { return ticketQueue{notBefore: map[string]time.Time{}} }

func (q *ticketQueue) isEmpty() bool { return len(q.queue) == 0 }

func (q *ticketQueue) isFull() bool { return len(q.queue) >= maxTicketsPerTeam }

// issue adds a ticket for the job and returns its notBefore. It is at least minRetryAfter from now, and at least one interval
// after the notBefore of the last ticket.
func (q *ticketQueue) issue(now time.Time, jobID string, interval time.Duration) time.Time {
	notBefore := now.Add(minRetryAfter)
	if !q.isEmpty() {
		if next := q.queue[len(q.queue)-1].notBefore.Add(interval); next.After(notBefore) {
			notBefore = next
		}
	}
	q.notBefore[jobID] = notBefore
	q.queue = append(q.queue, ticket{jobID, notBefore})
	return notBefore
}

// expire counts tickets that have become due and drops tickets that are past their lifetime.
func (q *ticketQueue) expire(now time.Time) {
	for q.due < len(q.queue) && q.queue[q.due].notBefore.Sub(now) < minRetryAfter {
		if _, isUnused := q.notBefore[q.queue[q.due].jobID]; isUnused {
			q.unusedDue++
		}
		q.due++
	}
	for q.due > 0 && now.Sub(q.queue[0].notBefore) > ticketLifetime {
		q.remove(q.queue[0].jobID)
		q.queue = q.queue[1:]
		q.due--
	}
}

// remove marks the job's ticket as used, if it has one. The ticket stays in the queue until it expires.
func (q *ticketQueue) remove(jobID string) {
	notBefore, ok := q.notBefore[jobID]
	if !ok {
		return
	}
	delete(q.notBefore, jobID)
	if q.due > 0 && !notBefore.After(q.queue[q.due-1].notBefore) {
		q.unusedDue--
	}
}
