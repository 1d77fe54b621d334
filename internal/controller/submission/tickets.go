package submission

import "time"

// ticketQueue holds the retry tickets of one team.
type ticketQueue struct {
	notBefore map[string]time.Time // by job, the time from which a retry is accepted
	queue     []ticket             // all tickets given, by that time; used ones are dropped when they expire
	due       int                  // tickets of the queue whose notBefore is less than minRetryAfter ahead
	unusedDue int                  // due tickets that have not been used
}

type ticket struct {
	jobID     string
	notBefore time.Time
}

func newTicketQueue() ticketQueue { return ticketQueue{notBefore: map[string]time.Time{}} }

func (q *ticketQueue) isEmpty() bool { return len(q.queue) == 0 }

func (q *ticketQueue) isFull() bool { return len(q.queue) >= maxTicketsPerTeam }

// add gives the job a ticket, one interval after the last one, and returns its time.
func (q *ticketQueue) add(now time.Time, jobID string, interval time.Duration) time.Time {
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

// expire counts the tickets that have become due and drops those that are past their lifetime.
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

// remove marks the job's ticket as used. Its place in the queue stays until it expires.
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
