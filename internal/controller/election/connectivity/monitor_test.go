package connectivity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const heartbeatInterval = 4 * time.Second

// A leader of a thousand machines knows within a second that none reaches it, one of three within the
// time in which all should have reported; a leader that is heard is never deaf, whatever the jitter.
func TestPartitionDetection(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, machines := range []int{3, 40, 1000} {
		h := New(heartbeatInterval)
		now := time.Unix(1000, 0)
		h.StartLeadership(now)
		next := make([]time.Time, machines)
		for i := range next {
			next[i] = now.Add(time.Duration(rng.Int64N(int64(heartbeatInterval))))
		}
		cut := now.Add(10 * time.Minute)
		found := time.Time{}
		for ; now.Before(cut.Add(time.Minute)) && found.IsZero(); now = now.Add(50 * time.Millisecond) {
			for i, at := range next {
				if at.Before(now) {
					next[i] = at.Add(heartbeatInterval*3/4 + time.Duration(rng.Int64N(int64(heartbeatInterval/2))))
					if now.Before(cut) {
						h.RecordHeartbeat(now)
					}
				}
			}
			h.Tick(now, machines, 0)
			if h.SuspectsPartition(now) {
				found = now
			}
		}
		took := found.Sub(cut)
		if most := max(
			heartbeatInterval*5/4+time.Second,
			0,
		); found.IsZero() || took < 0 || took > most ||
			machines == 1000 && took > 1200*time.Millisecond {
			t.Errorf("%d machines: suspects after %v", machines, took)
		}
		if h.IsPartitioned(found) {
			t.Error("deaf before any machine was asked")
		}
		for range 3 {
			h.RecordProbe(found, true, false)
		}
		if !h.IsPartitioned(found) || h.IsPartitioned(found.Add(probeWindow+1)) {
			t.Error("not deaf though nobody answers, or for ever")
		}
		if h.RecordProbe(found, true, true); h.IsPartitioned(found) {
			t.Error("deaf though a machine answered")
		}
	}
}

// Machines that have booted since are heard, and most are not: it is the leader still. Half of a site is
// rather a zone.
func TestOverdueShare(t *testing.T) {
	for _, c := range []struct {
		machines, overdue int
		want              bool
	}{{30, 20, true}, {30, 19, false}, {30, 15, false}, {3, 2, true}, {2, 2, false}, {4, 2, false}} {
		h, now := New(heartbeatInterval), time.Unix(1000, 0)
		h.StartLeadership(now)
		h.Tick(now, c.machines, c.overdue)
		h.RecordHeartbeat(now)
		if got := h.SuspectsPartition(now); got != c.want {
			t.Errorf("%+v: suspects %v", c, got)
		}
	}
}

// Machines that report and do not answer hear nothing of us; that many of them call elsewhere is the second
// kind of evidence. Neither alone hands a leadership over.
func TestAsymmetricPartition(t *testing.T) {
	for _, c := range []struct {
		callers, answer, silent int
		want                    bool
	}{{60, 0, 8, true}, {60, 2, 8, true}, {60, 3, 8, false}, {40, 0, 8, false}, {60, 0, 2, false}} {
		h, now := New(heartbeatInterval), time.Unix(1000, 0)
		h.StartLeadership(now)
		h.Tick(now, 400, 0)
		h.RecordHeartbeat(now)
		h.RecordPeerWorkers("b", c.callers)
		for range c.answer {
			h.RecordProbe(now, false, true)
		}
		for range c.silent {
			h.RecordProbe(now, false, false)
			h.RecordProbe(now, true, false) // the dead ones tell nothing here
		}
		if got := h.IsPartitioned(now); got != c.want {
			t.Errorf("%+v: deaf %v", c, got)
		}
	}
}

// A process that stood still has heard nobody in that time, and nobody is to blame for it.
func TestPauseIsNotSilence(t *testing.T) {
	h, now := New(heartbeatInterval), time.Unix(1000, 0)
	h.StartLeadership(now)
	h.Tick(now, 100, 0)
	now = now.Add(20 * time.Second)
	h.Tick(now, 100, 0)
	if h.SuspectsPartition(now) {
		t.Error("suspects for a time in which it stood still")
	}
}

func TestSuccessor(t *testing.T) {
	for _, c := range []struct {
		machines, a, b int
		want           string
	}{
		{400, 49, 10, ""}, // an eighth have to call elsewhere
		{400, 50, 10, "a"},
		{400, 10, 90, "b"},
		{4, 2, 0, ""}, // three of a few
		{4, 3, 0, "a"},
		{2, 0, 2, ""}, // a lost report each is enough for that
		{0, 9, 9, ""}, // nobody is expected: nothing is missing
	} {
		h, now := New(heartbeatInterval), time.Unix(1000, 0)
		h.StartLeadership(now)
		h.Tick(now, c.machines, 0)
		h.RecordPeerWorkers("a", c.a)
		h.RecordPeerWorkers("b", c.b)
		if got := h.Successor(now); got != "" {
			t.Errorf("%+v: handed to %q while the silence is short", c, got)
		}
		for range 200 {
			now = now.Add(50 * time.Millisecond)
			h.Tick(now, c.machines, 0)
			h.RecordProbe(now, true, false)
		}
		if got := h.Successor(now); got != c.want {
			t.Errorf("%+v: handed to %q", c, got)
		}
	}
}

// A follower counts the workers that came of late, and does not send them to a leader that says that it hears
// none, until it hears again.
func TestRecentWorkers(t *testing.T) {
	h, now := New(heartbeatInterval), time.Unix(1000, 0)
	for i := range 7 {
		h.RecordWorkerContact(now, fmt.Sprint("vm-", i), 1, 1)
		h.RecordWorkerContact(now.Add(time.Second), fmt.Sprint("vm-", i), 1, 2)
	}
	if n := h.RecentWorkers(now.Add(time.Second)); n != 7 || h.RedirectsSuspended(now) {
		t.Errorf("%d of 7 callers", n)
	}
	if n := h.RecentWorkers(now.Add(time.Second + contactWindow + 1)); n != 0 {
		t.Errorf("%d callers are remembered for ever", n)
	}
	h.RecordLeaderStatus(now, true)
	if !h.RedirectsSuspended(now) || h.RedirectsSuspended(now.Add(redirectSuspension)) {
		t.Error("a leader that is deaf is named, or one that is silent itself not named for ever")
	}
	h.RecordLeaderStatus(now, false)
	if h.RedirectsSuspended(now) {
		t.Error("a leader that hears again is not named")
	}
}

// Copies of reports that a controller has had are no callers, however late they come.
func TestDuplicateHeartbeatsNotCounted(t *testing.T) {
	h, now := New(time.Second), time.Unix(1000, 0)
	for i := range 5 {
		h.RecordWorkerContact(now, fmt.Sprint("vm-", i), 2, 7)
	}
	if n := h.RecentWorkers(now); n != 5 {
		t.Fatalf("%d callers", n)
	}
	now = now.Add(time.Minute)
	h.RecordWorkerContact(now, "vm-0", 2, 7)
	h.RecordWorkerContact(now, "vm-1", 1, 90)
	h.RecordWorkerContact(now, "vm-2", 2, 8)
	h.RecordWorkerContact(now, "vm-3", 3, 1)
	if n := h.RecentWorkers(now); n != 2 {
		t.Errorf("%d callers, of which two are copies", n)
	}
}
