package submission

import (
	"fmt"
	"testing"
	"time"
)

const (
	testSaveRate   = 10 // submissions a second
	testMaxPending = 20
	testTick       = 10 * time.Millisecond
)

// user submits one job and retries for a minute.
type user struct {
	team, jobID string
	number      int
	firstAt     time.Time
	nextAt      time.Time
}

// simulation simulates the users of two teams that share a limiter. For 20 s, team "flood" submits ten times as many jobs as
// can be saved. For 40 s, team "calm" submits two jobs a second.
type simulation struct {
	limiter           *Limiter
	ignoresRetryAfter bool // users of flood ignore Retry-After
	now               time.Time
	users             []*user
	pending           []string                   // teams of the pending submissions, oldest first
	waits             map[string][]time.Duration // of accepted submissions, by team
	floodOrder        []int                      // numbers of accepted users of flood, in the order of acceptance
}

func simulateTwoTeams(t *testing.T, ignoresRetryAfter bool) *simulation {
	t.Helper()
	s := &simulation{
		limiter:           New(testMaxPending, testSaveRate),
		ignoresRetryAfter: ignoresRetryAfter,
		now:               time.Unix(1000, 0),
		waits:             map[string][]time.Duration{},
	}
	for tick := range 4000 {
		s.now = s.now.Add(testTick)
		s.addUsers(tick)
		if tick%(100/testSaveRate) == 0 && len(s.pending) > 0 {
			s.limiter.Release(s.pending[0])
			s.pending = s.pending[1:]
		}
		s.submit(t)
		if got := s.limiter.pending; got != len(s.pending) || got > testMaxPending {
			t.Fatalf("pending submissions: limiter counts %d, want %d and at most %d", got, len(s.pending), testMaxPending)
		}
	}
	return s
}

func (s *simulation) addUsers(tick int) {
	if tick < 2000 && tick%10 == 0 {
		for range 10 {
			s.users = append(
				s.users,
				&user{team: "flood", jobID: fmt.Sprintf("job-1%06d", len(s.users)), number: len(s.users), firstAt: s.now, nextAt: s.now},
			)
		}
	}
	if tick%50 == 0 {
		s.users = append(s.users, &user{team: "calm", jobID: fmt.Sprintf("job-2%06d", tick), number: tick, firstAt: s.now, nextAt: s.now})
	}
}

// submit submits or retries the job of each user that is due.
func (s *simulation) submit(t *testing.T) {
	t.Helper()
	remaining := s.users[:0]
	for _, u := range s.users {
		if s.now.Before(u.nextAt) {
			remaining = append(remaining, u)
			continue
		}
		accepted, retryAfter := s.limiter.Acquire(s.now, u.team, u.jobID)
		if accepted {
			s.accept(u)
			continue
		}
		if retryAfter < time.Second || retryAfter > 30*time.Second {
			t.Fatalf("retry after: got %v, want 1s to 30s", retryAfter)
		}
		u.nextAt = s.now.Add(retryAfter)
		if s.ignoresRetryAfter && u.team == "flood" {
			u.nextAt = s.now.Add(20 * time.Millisecond)
		}
		if s.now.Sub(u.firstAt) < time.Minute {
			remaining = append(remaining, u)
		}
	}
	s.users = remaining
}

func (s *simulation) accept(u *user) {
	s.pending = append(s.pending, u.team)
	s.waits[u.team] = append(s.waits[u.team], s.now.Sub(u.firstAt))
	if u.team == "flood" {
		s.floodOrder = append(s.floodOrder, u.number)
	}
}

// outOfOrder counts the users of flood that were accepted right after a user that first submitted more than 300 ms later.
func (s *simulation) outOfOrder() int {
	count := 0
	for i := 1; i < len(s.floodOrder); i++ {
		if s.floodOrder[i] < s.floodOrder[i-1]-30 { // 30 users arrive within 300 ms
			count++
		}
	}
	return count
}

// TestTeamsShareTheLimiter checks that a team that floods the limiter does not block another team, whether or not its users
// obey Retry-After. Users of the flooding team who obey it are accepted in the order of their first submissions.
func TestTeamsShareTheLimiter(t *testing.T) {
	for _, c := range []struct {
		name              string
		ignoresRetryAfter bool
	}{{"users of the flooding team obey Retry-After", false}, {"users of the flooding team retry immediately", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := simulateTwoTeams(t, c.ignoresRetryAfter)
			if n := len(s.waits["calm"]); n < 76 {
				t.Errorf("accepted submissions of the calm team: got %d of 80, want at least 76", n)
			}
			for _, wait := range s.waits["calm"] {
				if wait > 4*time.Second {
					t.Errorf("wait of a submission of the calm team: got %v, want at most 4s", wait)
					break
				}
			}
			if n := len(s.floodOrder); n < 200 {
				t.Errorf("accepted submissions of the flooding team: got %d, want at least 200 of about 320", n)
			}
			if n := s.outOfOrder(); !c.ignoresRetryAfter && n > len(s.floodOrder)/20 {
				t.Errorf("submissions accepted out of order: got %d of %d, want at most a twentieth", n, len(s.floodOrder))
			}
		})
	}
}

// TestImmediateRetriesGainNothing checks that immediate retries increase the accepted submissions by at most a tenth.
func TestImmediateRetriesGainNothing(t *testing.T) {
	waiting, retrying := len(simulateTwoTeams(t, false).waits["flood"]), len(simulateTwoTeams(t, true).waits["flood"])
	if retrying > waiting*11/10 {
		t.Errorf("accepted with immediate retries: got %d, want at most a tenth more than %d", retrying, waiting)
	}
}

// TestTicketsExpire checks a team whose users never retry: the number of its tickets is bounded, the tickets expire, and then
// the team is removed.
func TestTicketsExpire(t *testing.T) {
	limiter := New(1, 1)
	now := time.Unix(1000, 0)
	limiter.Acquire(now, "a", "job-1")
	for i := range 3 * maxTicketsPerTeam {
		if accepted, _ := limiter.Acquire(now, "b", fmt.Sprintf("job-9%05d", i)); accepted {
			t.Fatalf("submission %d beyond the limit: accepted, want refused", i)
		}
	}
	if n := len(limiter.teams["b"].tickets.queue); n > maxTicketsPerTeam {
		t.Errorf("tickets kept: got %d, want at most %d", n, maxTicketsPerTeam)
	}
	limiter.Release("a")
	now = now.Add(2 * maxTicketsPerTeam * time.Second)
	limiter.Acquire(now, "c", "job-2")
	if limiter.teams["b"] != nil {
		t.Error("team with expired tickets: kept, want removed")
	}
}
