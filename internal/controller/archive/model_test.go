package archive_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/simulator"
	"gullrudder/internal/wire/client"

	"pgregory.net/rapid"
)

func drawID(t *rapid.T, first, second string) string {
	n := rapid.IntRange(0, 400).Draw(t, "id")
	switch rapid.IntRange(0, 7).Draw(t, "form") {
	case 0:
		return first
	case 1:
		return second
	case 2:
		return fmt.Sprintf("job-%d", n)
	case 3:
		return fmt.Sprintf("job-%020d", n)
	case 4:
		return fmt.Sprintf("job-%032d", n)
	default:
		return fmt.Sprintf("job-%06d", n)
	}
}

// archiveSchedule is a random schedule of finished jobs, rejected, lost and late commits, and changes of the leader.
type archiveSchedule struct {
	t             *rapid.T
	first, second string // IDs with the same key in the index
	cluster       *simulator.Cluster
	rate          float64
	leader        *leadership
	durable       map[string]jobs.FinalState // the model: jobs that have durably finished
	attempted     map[string]jobs.FinalState // jobs that may have durably finished
	lateCalls     []client.Call              // calls in transit, which are executed later or never
}

func newArchiveSchedule(t *rapid.T, first, second string) *archiveSchedule {
	t.Helper()
	s := &archiveSchedule{
		t: t, first: first, second: second,
		cluster:   simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler)),
		rate:      rapid.SampledFrom([]float64{3, 1000}).Draw(t, "writes a second"),
		durable:   map[string]jobs.FinalState{},
		attempted: map[string]jobs.FinalState{},
	}
	s.leader = becomeLeader(t, s.cluster, time.Unix(5000, 0), 1, s.rate)
	return s
}

// changeLeader ends the leadership and begins another.
func (s *archiveSchedule) changeLeader(number uint64) {
	s.t.Helper()
	s.leader = becomeLeader(s.t, s.cluster, s.leader.now, number, s.rate)
}

// step performs a random action, advances the time, executes the calls and checks one lookup.
func (s *archiveSchedule) step(index int) {
	s.t.Helper()
	switch rapid.IntRange(0, 9).Draw(s.t, "what") {
	case 0, 1, 2, 3:
		if !s.finishJob() {
			return
		}
	case 4:
		if len(s.lateCalls) > 0 {
			s.cluster.State.Exchange(s.lateCalls[0])
			s.lateCalls = s.lateCalls[1:]
		}
	case 5:
		if rapid.IntRange(0, 3).Draw(s.t, "deposed") == 0 {
			s.leader.storage.Close()
			s.changeLeader(uint64(index) + 2)
		}
	}
	s.leader.tick()
	for _, call := range s.leader.outbox.TakeCalls() {
		s.executeOrLose(call)
	}
	if s.leader.storage.IsFenced() {
		s.changeLeader(uint64(index) + 2)
	}
	s.checkLookup(drawID(s.t, s.first, s.second))
}

// finishJob finishes a random job. It returns false if that job has finished before.
func (s *archiveSchedule) finishJob() bool {
	s.t.Helper()
	id := drawID(s.t, s.first, s.second)
	if _, finished := s.attempted[id]; finished {
		return false
	}
	state := jobs.FinalState{
		State: rapid.SampledFrom([]jobs.State{jobs.Done, jobs.Cancelled}).Draw(s.t, "state"),
		Tasks: rapid.SampledFrom([]int{1, 7, 100_000}).Draw(s.t, "tasks"),
	}
	s.attempted[id] = state
	s.leader.finish(s.t, id, state, func() { s.durable[id] = state })
	return true
}

// executeOrLose executes a call, rejects it, or loses the request or the response.
func (s *archiveSchedule) executeOrLose(call client.Call) {
	s.t.Helper()
	if call.Path == "/commit" && !requiresLeaderKey(call) {
		s.t.Fatalf("commit without a precondition on the leader's key: %+v", call.Body)
	}
	now := s.leader.now
	switch rapid.IntRange(0, 11).Draw(s.t, "fate") {
	case 0:
		call.Done(now, client.Result{Status: 503})
	case 1:
		call.Done(now, client.Result{})
	case 2:
		s.cluster.State.Exchange(call)
		call.Done(now, client.Result{})
	case 3:
		if call.Method == http.MethodPost {
			s.lateCalls = append(s.lateCalls, call)
		}
		call.Done(now, client.Result{})
	default:
		call.Done(now, s.cluster.State.Exchange(call))
	}
}

// checkLookup compares the lookup of a job with the model.
func (s *archiveSchedule) checkLookup(jobID string) {
	s.t.Helper()
	want, isDurable := s.durable[jobID]
	attempted, isAttempted := s.attempted[jobID]
	result := s.leader.archive.LookupIndex(jobID)
	falselyDone := result == archive.Done && (want.State == jobs.Cancelled || !isDurable && attempted.State == jobs.Cancelled)
	falselyCancelled := result == archive.Cancelled && isDurable && want.State != jobs.Cancelled
	if falselyDone || falselyCancelled {
		s.t.Fatalf("%s in the index: got %v, want %+v (durable %v)", jobID, result, want, isDurable)
	}
	state, found, ok := s.leader.lookUp(jobID)
	if ok && (found != isDurable && (isDurable || !isAttempted) || isDurable && found && state != want) {
		s.t.Fatalf("%s: got %+v (found %v), want %+v (durable %v)", jobID, state, found, want, isDurable)
	}
}

// end executes all calls in transit, has another leader finish the pending work, and changes the leader once more.
func (s *archiveSchedule) end() {
	s.t.Helper()
	for _, call := range s.lateCalls {
		s.cluster.State.Exchange(call)
	}
	s.changeLeader(9999)
	for range 40 {
		s.leader.tick()
		s.leader.executeAll()
	}
	s.changeLeader(10_000)
}

// checkEnd checks that in the end each finished job is found, and is either in the pages or in one segment.
func (s *archiveSchedule) checkEnd() {
	s.t.Helper()
	for id, state := range s.attempted {
		got, found, ok := s.leader.lookUp(id)
		_, isDurable := s.durable[id]
		if !ok || isDurable && !found || found && got != state {
			s.t.Fatalf("%s: got %+v (found %v, readable %v), want %+v (durable %v)", id, got, found, ok, state, isDurable)
		}
	}
	kept := len(s.leader.finished) + s.leader.archive.JobCount()
	if kept < len(s.durable) || kept > len(s.attempted) {
		s.t.Fatalf("jobs in pages and segments: got %d, want between %d durable and %d attempted", kept, len(s.durable), len(s.attempted))
	}
	if len(s.cluster.Violations) > 0 {
		s.t.Fatalf("violations of the state service: got %v, want none", s.cluster.Violations)
	}
}

// hasCompacted reports whether so many jobs are in so few segments that a compaction must have taken place.
func (s *archiveSchedule) hasCompacted() bool {
	segments := s.leader.archive.SegmentCount()
	return segments > 0 && segments < 3 && s.leader.archive.JobCount() > 12
}

// TestEveryFinishedJobIsStoredOnce checks that every finished job is in exactly one place and is found with its state and
// task count, and that no other job is found. Commits are rejected, lost before or after their execution, executed late,
// or sent by a deposed leader. The model is a map.
func TestEveryFinishedJobIsStoredOnce(t *testing.T) {
	first, second := collidingIDs()
	compacted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newArchiveSchedule(t, first, second)
		for i := range rapid.IntRange(10, 120).Draw(t, "steps") {
			s.step(i)
		}
		s.end()
		s.checkEnd()
		if s.hasCompacted() {
			compacted++
		}
	})
	if compacted == 0 {
		t.Error("schedules that reached a compaction: got 0, want at least 1")
	}
}
