package ageing

import (
	"fmt"
	"testing"
	"time"
)

// submitFromTwoTeams plays users of two teams at a gate through which ten submissions a second are saved: one
// team sends ten times what can be taken and does not wait as it is told, the other a little.
func submitFromTwoTeams(t *testing.T, retriesAtOnce bool) (waits map[string][]time.Duration, order []int) {
	t.Helper()
	const rate = 10
	limiter := NewSubmissionLimiter(20, rate)
	now := time.Unix(1000, 0)
	type user struct {
		team, id string
		n        int
		first    time.Time
		next     time.Time
	}
	var users []*user
	var pending []string
	waits = map[string][]time.Duration{}
	for tick := range 4000 { // forty seconds, in steps of 10 ms
		now = now.Add(10 * time.Millisecond)
		if tick < 2000 && tick%10 == 0 {
			for range 10 {
				users = append(users, &user{team: "flood", id: fmt.Sprintf("job-1%06d", len(users)), n: len(users), first: now, next: now})
			}
		}
		if tick%50 == 0 {
			users = append(users, &user{team: "calm", id: fmt.Sprintf("job-2%06d", tick), n: tick, first: now, next: now})
		}
		if tick%(100/rate) == 0 && len(pending) > 0 {
			limiter.Release(pending[0])
			pending = pending[1:]
		}
		remaining := users[:0]
		for _, u := range users {
			if now.Before(u.next) {
				remaining = append(remaining, u)
				continue
			}
			ok, retry := limiter.Acquire(now, u.team, u.id)
			if ok {
				pending = append(pending, u.team)
				waits[u.team] = append(waits[u.team], now.Sub(u.first))
				if u.team == "flood" {
					order = append(order, u.n)
				}
				continue
			}
			if retry < time.Second || retry > 30*time.Second {
				t.Fatalf("told to come back after %v", retry)
			}
			u.next = now.Add(retry)
			if retriesAtOnce && u.team == "flood" {
				u.next = now.Add(20 * time.Millisecond)
			}
			if now.Sub(u.first) < time.Minute {
				remaining = append(remaining, u)
			}
		}
		users = remaining
		if limiter.Pending() != len(pending) || limiter.Pending() > 20 {
			t.Fatalf("%d are inside, the gate counts %d", len(pending), limiter.Pending())
		}
	}
	return waits, order
}

// A team that floods does not keep another one out, whether it hammers or not, and gains nothing
// by it; those of a team who keep to what they are told are let in in the order in which they
// first came.
func TestTeamsShareTheLimiter(t *testing.T) {
	counts := map[bool]int{}
	for _, retriesAtOnce := range []bool{false, true} {
		waits, order := submitFromTwoTeams(t, retriesAtOnce)
		if n := len(waits["calm"]); n < 76 {
			t.Errorf("hammering %v: %d of 80 submissions of the calm team were let in", retriesAtOnce, n)
		}
		for _, w := range waits["calm"] {
			if w > 4*time.Second {
				t.Errorf("hammering %v: a submission of the calm team waits %v", retriesAtOnce, w)
				break
			}
		}
		counts[retriesAtOnce] = len(waits["flood"])
		if len(order) < 200 {
			t.Errorf("hammering %v: only %d of the flood were let in, of about 320 that can be saved", retriesAtOnce, len(order))
		}
		outOfOrder := 0
		for i := 1; i < len(order); i++ {
			if order[i] < order[i-1]-30 { // within the three hundred milliseconds of one
				outOfOrder++
			}
		}
		if !retriesAtOnce && outOfOrder > len(order)/20 {
			t.Errorf("%d of %d were let in after others that came later", outOfOrder, len(order))
		}
	}
	if counts[true] > counts[false]*11/10 {
		t.Errorf("hammering gains: %d instead of %d", counts[true], counts[false])
	}
}

// Tickets do not pile up: a team whose users never come back is forgotten.
func TestTicketsExpire(t *testing.T) {
	limiter := NewSubmissionLimiter(1, 1)
	now := time.Unix(1000, 0)
	limiter.Acquire(now, "a", "job-1")
	for i := range 3 * maxTicketsPerTeam {
		if ok, _ := limiter.Acquire(now, "b", fmt.Sprintf("job-9%05d", i)); ok {
			t.Fatal("let in beyond the bound")
		}
	}
	if n := len(limiter.teams["b"].queue); n > maxTicketsPerTeam {
		t.Errorf("%d tickets are remembered", n)
	}
	limiter.Release("a")
	now = now.Add(2 * maxTicketsPerTeam * time.Second)
	limiter.Acquire(now, "c", "job-2")
	if limiter.teams["b"] != nil {
		t.Error("a team that is gone is remembered")
	}
}
