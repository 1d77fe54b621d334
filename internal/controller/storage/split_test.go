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

// splitSchedule is a random schedule of lost, late and executed commits, new leaders, and limits that are lowered in between.
type splitSchedule struct {
	t       *rapid.T
	service *modelStore
	now     time.Time
	outbox  client.Outbox
	store   *Store
	durable map[string]int // least number of each entry that was called durable
	latest  map[string]int
	late    []commitBody // commits that may be executed later
	lowered bool         // the limits have been lowered
	copied  int          // how often an entry was seen on two pages
}

// changeLeader lets a new leader load all pages, and checks that durable entries are there.
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
	room := strings.Repeat("x", rapid.IntRange(0, 110).Draw(s.t, "room"))
	err := s.store.Set(s.now, name, padded{n, room}, SetOptions{ReservedBytes: 150, Urgent: true, Done: func(_ time.Time, ok bool) {
		if ok {
			s.durable[name] = max(s.durable[name], n)
		}
	}})
	if err != nil {
		s.t.Fatal(err)
	}
}

// step lets some time pass and executes the calls of the store. If lossy, commits may be lost.
func (s *splitSchedule) step(lossy bool) {
	s.t.Helper()
	s.now = s.now.Add(time.Duration(100+rapid.IntRange(0, 900).Draw(s.t, "ms")) * time.Millisecond)
	s.store.Flush(s.now, &s.outbox)
	for _, call := range s.outbox.TakeCalls() {
		fate := 0
		if lossy && call.Method == http.MethodPost {
			fate = rapid.IntRange(0, 5).Draw(s.t, "fate")
		}
		switch fate {
		case 1: // executed, and the answer is lost
			s.service.serve(s.t, call)
			call.Done(s.now, client.Result{})
		case 2: // neither executed nor answered
			call.Done(s.now, client.Result{})
		case 3: // executed later
			s.late = append(s.late, decodeCommitCall(s.t, call))
			call.Done(s.now, client.Result{})
		default:
			call.Done(s.now, s.service.serve(s.t, call))
		}
	}
}

// fill sets entries under the old limits.
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
		if !s.lowered {
			s.lowered = true
			s.service.lowerLimits()
		}
	case 1:
		s.changeLeader(newValueBytes, newTxnOps)
	case 2:
		if len(s.late) > 0 {
			s.service.commit(s.late[0])
			s.late = s.late[1:]
		}
	case 3, 4, 5:
		s.set(fmt.Sprintf("job-%04d", rapid.IntRange(0, names+5).Draw(s.t, "name")))
	default:
		s.step(true)
	}
	s.replaceFencedLeader()
}

// replaceFencedLeader has another leader read all pages if the outcome of a lost commit could not be told.
func (s *splitSchedule) replaceFencedLeader() {
	s.t.Helper()
	if s.store.IsFenced() {
		s.changeLeader(newValueBytes, newTxnOps)
	}
}

// checkCopies checks that each entry is on one page until the limits are lowered.
func (s *splitSchedule) checkCopies() {
	s.t.Helper()
	_, twice := s.service.readEntries(s.t)
	if twice && !s.lowered {
		s.t.Fatal("entry on two pages before the limits are lowered, want one")
	}
	if twice {
		s.copied++
	}
}

// checkEnd checks that in the end all pages are within the limits and each entry is on one of them.
func (s *splitSchedule) checkEnd() {
	s.t.Helper()
	for key, value := range s.service.pages {
		if n := jsonSize(value); n > newValueBytes {
			s.t.Fatalf("size of %s in the end: got %d bytes, want at most %d", key, n, newValueBytes)
		}
	}
	entries, twice := s.service.readEntries(s.t)
	if twice {
		s.t.Fatal("entry on two pages in the end, want one")
	}
	s.checkDurable(entries)
}

// TestPagesAreSplitForLowerLimits checks that pages of an earlier version that exceed lowered limits are split, despite
// lost responses, limits lowered in between and changes of the leader. No durable entry is lost or becomes older, each
// entry is on one page until the limits are lowered, and in the end all pages are within the limits.
func TestPagesAreSplitForLowerLimits(t *testing.T) {
	lowered, copied := 0, 0
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
		if s.lowered {
			lowered++
		}
		copied += s.copied
		s.service.lowerLimits()
		for range 200 {
			s.replaceFencedLeader()
			s.step(false)
		}
		s.changeLeader(newValueBytes, newTxnOps)
		s.checkEnd()
	})
	if lowered == 0 || copied == 0 {
		t.Errorf("coverage: limits lowered %d times, copies seen %d times, want both above 0", lowered, copied)
	}
}

// lateCopy is a store whose first copy of entries to new pages is held back.
type lateCopy struct {
	t       *testing.T
	service *modelStore
	now     time.Time
	outbox  client.Outbox
	store   *Store
	held    *commitBody
}

// step executes the calls of the store. If hold, the first commit of several pages is held back without a response.
func (l *lateCopy) step(hold bool) {
	l.t.Helper()
	l.now = l.now.Add(time.Second)
	l.store.Flush(l.now, &l.outbox)
	for _, call := range l.outbox.TakeCalls() {
		if hold && call.Method == http.MethodPost && l.held == nil {
			if parsed := decodeCommitCall(l.t, call); len(parsed.Apply) > 1 {
				l.held = &parsed
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

// holdCopy lowers the limits and steps until a copy has been held.
func (l *lateCopy) holdCopy() {
	l.t.Helper()
	l.service.lowerLimits()
	l.store = l.service.newLeader(l.t, l.now, &l.outbox, newValueBytes, newTxnOps)
	for i := 0; i < 10 && !l.store.splits.limitsLowered; i++ {
		l.step(false) // refused for its size
	}
	for i := 0; i < 10 && l.held == nil; i++ {
		l.step(true)
	}
	if l.held == nil {
		l.t.Fatal("no copy of entries to new pages was sent, want one")
	}
}

// TestLateCopyIsRefused checks that a copy without a response has no effect when it is executed after the next attempt.
func TestLateCopyIsRefused(t *testing.T) {
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
	for i := 0; i < 30 && len(l.store.pages.byKey) < pages+3; i++ { // it is read back, invalidated, and tried again
		l.step(false)
	}
	if status, _ := l.service.commit(*l.held); status != http.StatusConflict {
		t.Errorf("late copy: got status %d, want 409", status)
	}
	l.steps(30)
	if entries, twice := l.service.readEntries(t); twice || len(entries) != 60 {
		t.Errorf("in the end: %d entries, some on two pages %v, want 60, false", len(entries), twice)
	}
}
