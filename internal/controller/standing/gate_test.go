package standing

import (
	"fmt"
	"testing"
	"time"
)

// crowd plays users of two teams at a gate through which ten submissions a second are saved: one
// team sends ten times what can be taken and does not wait as it is told, the other a little.
func crowd(t *testing.T, hammers bool) (waits map[string][]time.Duration, order []int) {
	t.Helper()
	const rate = 10
	g := NewGate(20, rate)
	now := time.Unix(1000, 0)
	type user struct {
		team, id string
		n        int
		first    time.Time
		next     time.Time
	}
	var users []*user
	var inside []string
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
		if tick%(100/rate) == 0 && len(inside) > 0 {
			g.Leave(inside[0])
			inside = inside[1:]
		}
		left := users[:0]
		for _, u := range users {
			if now.Before(u.next) {
				left = append(left, u)
				continue
			}
			ok, retry := g.Enter(now, u.team, u.id)
			if ok {
				inside = append(inside, u.team)
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
			if hammers && u.team == "flood" {
				u.next = now.Add(20 * time.Millisecond)
			}
			if now.Sub(u.first) < time.Minute {
				left = append(left, u)
			}
		}
		users = left
		if g.Pending() != len(inside) || g.Pending() > 20 {
			t.Fatalf("%d are inside, the gate counts %d", len(inside), g.Pending())
		}
	}
	return waits, order
}

// A team that floods does not keep another one out, whether it hammers or not, and gains nothing
// by it; those of a team who keep to what they are told are let in in the order in which they
// first came.
func TestTeamsShareTheGate(t *testing.T) {
	counts := map[bool]int{}
	for _, hammers := range []bool{false, true} {
		waits, order := crowd(t, hammers)
		if n := len(waits["calm"]); n < 76 {
			t.Errorf("hammering %v: %d of 80 submissions of the calm team were let in", hammers, n)
		}
		for _, w := range waits["calm"] {
			if w > 4*time.Second {
				t.Errorf("hammering %v: a submission of the calm team waits %v", hammers, w)
				break
			}
		}
		counts[hammers] = len(waits["flood"])
		if len(order) < 200 {
			t.Errorf("hammering %v: only %d of the flood were let in, of about 320 that can be saved", hammers, len(order))
		}
		late := 0
		for i := 1; i < len(order); i++ {
			if order[i] < order[i-1]-30 { // within the three hundred milliseconds of one
				late++
			}
		}
		if !hammers && late > len(order)/20 {
			t.Errorf("%d of %d were let in after others that came later", late, len(order))
		}
	}
	if counts[true] > counts[false]*11/10 {
		t.Errorf("hammering gains: %d instead of %d", counts[true], counts[false])
	}
}

// Tickets do not pile up: a team whose users never come back is forgotten.
func TestTicketsAreForgotten(t *testing.T) {
	g := NewGate(1, 1)
	now := time.Unix(1000, 0)
	g.Enter(now, "a", "job-1")
	for i := range 3 * mostTickets {
		if ok, _ := g.Enter(now, "b", fmt.Sprintf("job-9%05d", i)); ok {
			t.Fatal("let in beyond the bound")
		}
	}
	if n := len(g.teams["b"].row); n > mostTickets {
		t.Errorf("%d tickets are remembered", n)
	}
	g.Leave("a")
	now = now.Add(2 * mostTickets * time.Second)
	g.Enter(now, "c", "job-2")
	if g.teams["b"] != nil {
		t.Error("a team that is gone is remembered")
	}
}
