package storage

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"

	"pgregory.net/rapid"
)

// splitSchedule is a random schedule of executed, lost and late commits, changes of the leader, and lowered limits.
type splitSchedule struct {
	t              *rapid.T
	service        *modelStore
	now            time.Time
	outbox         client.Outbox
	store          *Store
	durable        map[string]int // highest number of each entry that was reported as durable
	latest         map[string]int
	lateCommits    []commitBody // commits without a response that may be executed later
	limitsLowered  bool         // the state service's limits have been lowered
	duplicatesSeen int          // number of checks that found an entry on two pages
}

// changeLeader has a new leader load all pages, and checks that no durable entry is missing.
func (s *splitSchedule) changeLeader(valueBytes, txnOps int) {
	s.t.Helper()
	s.store = s.service.newLeader(s.t, s.now, &s.outbox, valueBytes, txnOps)
	entries, _ := s.service.readEntries(s.t)
	s.checkDurable(entries)
	for name := range entries {
		s.store.Reserve(name, 150)
	}
}

func (s *splitSchedule) checkDurable(entries map[string]int) {
	s.t.Helper()
	for name, n := range s.durable {
		if entries[name] < n {
			s.t.Fatalf("%s: got %d, want at least the durable %d", name, entries[name], n)
		}
	}
}

func (s *splitSchedule) set(name string) {
	s.t.Helper()
	s.latest[name]++
	n := s.latest[name]
	padding := strings.Repeat("x", rapid.IntRange(0, 110).Draw(s.t, "room"))
	err := s.store.Set(s.now, name, padded{n, padding}, SetOptions{ReservedBytes: 150, Urgent: true, Done: func(_ time.Time, ok bool) {
		if ok {
			s.durable[name] = max(s.durable[name], n)
		}
	}})
	if err != nil {
		s.t.Fatal(err)
	}
}

// step advances the time and executes the store's calls. If lossy is true, commits or their responses may be lost.
func (s *splitSchedule) step(lossy bool) {
	s.t.Helper()
	s.now = s.now.Add(time.Duration(100+rapid.IntRange(0, 900).Draw(s.t, "ms")) * time.Millisecond)
	s.store.Flush(s.now, &s.outbox)
	for _, call := range s.outbox.TakeCalls() {
		outcome := 0
		if lossy && call.Method == http.MethodPost {
			outcome = rapid.IntRange(0, 5).Draw(s.t, "fate")
		}
		switch outcome {
		case 1: // executed, but the response is lost
			s.service.serve(s.t, call)
			call.Done(s.now, client.Result{})
		case 2: // lost before it is executed
			call.Done(s.now, client.Result{})
		case 3: // may be executed later
			s.lateCommits = append(s.lateCommits, decodeCommitCall(s.t, call))
			call.Done(s.now, client.Result{})
		default:
			call.Done(s.now, s.service.serve(s.t, call))
		}
	}
}

// fill sets entries under the old limits and waits until they are written.
func (s *splitSchedule) fill(names int) {
	s.t.Helper()
	for i := range names {
		s.set(fmt.Sprintf("job-%04d", i))
		if i%10 == 9 {
			s.step(false)
		}
	}
	for range 20 {
		s.step(false)
	}
}

// randomAction performs one random action of the schedule.
func (s *splitSchedule) randomAction(names int) {
	s.t.Helper()
	switch rapid.IntRange(0, 9).Draw(s.t, "what") {
	case 0:
		if !s.limitsLowered {
			s.limitsLowered = true
			s.service.lowerLimits()
		}
	case 1:
		s.changeLeader(newValueBytes, newTxnOps)
	case 2:
		if len(s.lateCommits) > 0 {
			s.service.commit(s.lateCommits[0])
			s.lateCommits = s.lateCommits[1:]
		}
	case 3, 4, 5:
		s.set(fmt.Sprintf("job-%04d", rapid.IntRange(0, names+5).Draw(s.t, "name")))
	default:
		s.step(true)
	}
	s.replaceFencedLeader()
}

// replaceFencedLeader changes the leader if the store is fenced, which happens if the outcome of a lost commit cannot be determined.
func (s *splitSchedule) replaceFencedLeader() {
	s.t.Helper()
	if s.store.IsFenced() {
		s.changeLeader(newValueBytes, newTxnOps)
	}
}

// checkCopies checks that each entry is on one page until the limits are lowered. It counts the checks that find duplicates afterwards.
func (s *splitSchedule) checkCopies() {
	s.t.Helper()
	_, duplicated := s.service.readEntries(s.t)
	if duplicated && !s.limitsLowered {
		s.t.Fatal("entry on two pages before the limits are lowered, want one")
	}
	if duplicated {
		s.duplicatesSeen++
	}
}

// checkEnd checks that in the end all pages are within the limits and each entry is on exactly one page.
func (s *splitSchedule) checkEnd() {
	s.t.Helper()
	for key, value := range s.service.pages {
		if n := jsonSize(value); n > newValueBytes {
			s.t.Fatalf("size of %s in the end: got %d bytes, want at most %d", key, n, newValueBytes)
		}
	}
	entries, duplicated := s.service.readEntries(s.t)
	if duplicated {
		s.t.Fatal("entry on two pages in the end, want one")
	}
	s.checkDurable(entries)
}

// TestPagesAreSplitForLowerLimits checks that pages which exceed lowered limits are split, despite lost responses, limits
// that are lowered during the split, and changes of the leader. No durable entry is lost or reverts to an older value.
// Each entry is on one page until the limits are lowered. In the end all pages are within the limits.
func TestPagesAreSplitForLowerLimits(t *testing.T) {
	lowered, duplicatesSeen := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := &splitSchedule{
			t: t, service: newModelStore(), now: time.Unix(1000, 0), durable: map[string]int{}, latest: map[string]int{},
		}
		s.changeLeader(oldValueBytes, oldTxnOps)
		names := rapid.IntRange(20, 120).Draw(t, "names")
		s.fill(names)
		s.changeLeader(newValueBytes, newTxnOps)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			s.randomAction(names)
			s.checkCopies()
		}
		if s.limitsLowered {
			lowered++
		}
		duplicatesSeen += s.duplicatesSeen
		s.service.lowerLimits()
		for range 200 {
			s.replaceFencedLeader()
			s.step(false)
		}
		s.changeLeader(newValueBytes, newTxnOps)
		s.checkEnd()
	})
	if lowered == 0 || duplicatesSeen == 0 {
		t.Errorf("coverage: limits lowered %d times, copies seen %d times, want both above 0", lowered, duplicatesSeen)
	}
}

// lateCopy is a store whose first copy of entries to new pages is held back and executed late.
type lateCopy struct {
	t          *testing.T
	service    *modelStore
	now        time.Time
	outbox     client.Outbox
	store      *Store
	heldCommit *commitBody
}

// step executes the store's calls. If hold is true, the first commit of several pages is held back without a response.
func (l *lateCopy) step(hold bool) {
	l.t.Helper()
	l.now = l.now.Add(time.Second)
	l.store.Flush(l.now, &l.outbox)
	for _, call := range l.outbox.TakeCalls() {
		if hold && call.Method == http.MethodPost && l.heldCommit == nil {
			if parsed := decodeCommitCall(l.t, call); len(parsed.Operations) > 1 {
				l.heldCommit = &parsed
				call.Done(l.now, client.Result{})
				continue
			}
		}
		call.Done(l.now, l.service.serve(l.t, call))
	}
}

func (l *lateCopy) steps(n int) {
	l.t.Helper()
	for range n {
		l.step(false)
	}
}

// holdCopy lowers the limits and steps until a copy has been held back.
func (l *lateCopy) holdCopy() {
	l.t.Helper()
	l.service.lowerLimits()
	l.store = l.service.newLeader(l.t, l.now, &l.outbox, newValueBytes, newTxnOps)
	for i := 0; i < 10 && !l.store.splits.limitsLowered; i++ {
		l.step(false) // rejected for its size
	}
	for i := 0; i < 10 && l.heldCommit == nil; i++ {
		l.step(true)
	}
	if l.heldCommit == nil {
		l.t.Fatal("no copy of entries to new pages was sent, want one")
	}
}

// TestLateCopyIsRejected checks that a copy without a response is rejected if it is executed after the next attempt.
func TestLateCopyIsRejected(t *testing.T) {
	l := &lateCopy{t: t, service: newModelStore(), now: time.Unix(1000, 0)}
	l.store = l.service.newLeader(t, l.now, &l.outbox, oldValueBytes, oldTxnOps)
	for i := range 60 {
		entry, options := padded{i, strings.Repeat("x", 100)}, SetOptions{ReservedBytes: 150, Urgent: true}
		if err := l.store.Set(l.now, fmt.Sprintf("job-%04d", i), entry, options); err != nil {
			t.Fatal(err)
		}
	}
	l.steps(10)
	l.holdCopy()
	pages := len(l.store.pages.byKey)
	for i := 0; i < 30 && len(l.store.pages.byKey) < pages+3; i++ { // until it was read back, invalidated and tried again
		l.step(false)
	}
	if status, _ := l.service.commit(*l.heldCommit); status != http.StatusConflict {
		t.Errorf("late copy: got status %d, want 409", status)
	}
	l.steps(30)
	if entries, duplicated := l.service.readEntries(t); duplicated || len(entries) != 60 {
		t.Errorf("in the end: %d entries, some on two pages %v, want 60, false", len(entries), duplicated)
	}
}
