package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/wire/codec"
)

// storeProbe commits to keys that no other client uses, and checks that the state service keeps all acknowledged writes.
type storeProbe struct {
	testbed          *testbed
	id               int
	rng              *rand.Rand
	model            map[string]probeKey   // acknowledged content, by key
	uncertainCommit  []crashtest.Operation // operations of a commit of unknown outcome
	revision         uint64                // highest revision in a response
	valueNumber      int
	commits          int
	uncertainCommits int
}

// probeKey is the value of a key and the revision of its last write.
type probeKey struct {
	value       string
	modRevision uint64
}

// prefix is the prefix of the probe's keys.
func (p *storeProbe) prefix() string { return fmt.Sprintf("probe/%d/", p.id) }

// run commits until the testbed stops. After a commit of unknown outcome, it compares the store with the model before the next.
func (p *storeProbe) run() {
	defer p.testbed.wait.Done()
	for {
		select {
		case <-p.testbed.stopping:
			return
		default:
		}
		p.testbed.probeLock.RLock()
		if p.uncertainCommit == nil {
			p.commit()
		} else {
			p.compare()
		}
		p.testbed.probeLock.RUnlock()
		time.Sleep(time.Duration(p.rng.IntN(3000)) * time.Microsecond)
	}
}

// commit commits random writes and deletes of one to four keys, each on the condition that its mod revision is unchanged.
func (p *storeProbe) commit() {
	var preconditions []crashtest.Precondition
	var operations []crashtest.Operation
	chosen := map[string]bool{}
	for range 1 + p.rng.IntN(4) {
		key := fmt.Sprintf("%s%02d", p.prefix(), p.rng.IntN(40))
		if chosen[key] {
			continue
		}
		chosen[key] = true
		p.valueNumber++
		operation := crashtest.Operation{Key: key, Value: fmt.Sprintf("%d-%0*d", p.valueNumber, 1+p.rng.IntN(400), 0)}
		if p.rng.IntN(5) == 0 && p.model[key].modRevision > 0 {
			operation.Value = ""
		}
		preconditions = append(preconditions, crashtest.Precondition{Key: key, ModRevision: p.model[key].modRevision})
		operations = append(operations, operation)
	}
	request := crashtest.CommitRequest(preconditions, operations)
	response, err := p.testbed.client.Do(p.testbed.stateAddr, request.Method, request.Target, request.Body, 2*time.Second)
	var result struct {
		Revision uint64 `msgpack:"tide"`
	}
	switch {
	case err != nil:
		p.uncertainCommit = operations
		p.uncertainCommits++
	case response.Status == http.StatusOK && codec.Unmarshal(response.Body, &result) == nil:
		if result.Revision <= p.revision {
			p.testbed.reportViolation("probe %d: commit got revision %d, want one above %d", p.id, result.Revision, p.revision)
		}
		p.commits++
		p.applyCommit(operations, result.Revision)
	case response.Status == http.StatusServiceUnavailable:
	default:
		p.testbed.reportViolation("probe %d: commit with the acknowledged mod revisions got status %d, want 200", p.id, response.Status)
	}
}

// applyCommit applies to the model a commit that the state service executed at a revision.
func (p *storeProbe) applyCommit(operations []crashtest.Operation, revision uint64) {
	p.revision = max(p.revision, revision)
	p.uncertainCommit = nil
	for _, operation := range operations {
		if operation.Value == "" {
			delete(p.model, operation.Key)
		} else {
			p.model[operation.Key] = probeKey{operation.Value, revision}
		}
	}
}

// compare checks that the store holds what was acknowledged. A commit of unknown outcome must be stored as a whole or not at all.
// It does nothing if the state service does not respond.
func (p *storeProbe) compare() {
	stored, revision, ok := p.listKeys()
	if !ok {
		return
	}
	if revision < p.revision {
		p.testbed.reportViolation("probe %d: store is at revision %d, want at least %d", p.id, revision, p.revision)
	}
	if p.uncertainCommit != nil {
		p.resolveUncertainCommit(stored, revision)
	}
	for key, want := range p.model {
		if got := stored[key]; got != want {
			p.testbed.reportViolation("probe %d: %s: got %.20q at revision %d, want %.20q at revision %d",
				p.id, key, got.value, got.modRevision, want.value, want.modRevision)
		}
	}
	for key, got := range stored {
		if _, ok := p.model[key]; !ok {
			p.testbed.reportViolation("probe %d: %s exists at revision %d, want no such key", p.id, key, got.modRevision)
		}
	}
}

// resolveUncertainCommit applies the commit of unknown outcome to the model if the stored keys show that it was executed.
func (p *storeProbe) resolveUncertainCommit(stored map[string]probeKey, revision uint64) {
	executed := false
	for _, operation := range p.uncertainCommit {
		current, exists := stored[operation.Key]
		switch {
		case operation.Value != "" && exists && current.value == operation.Value:
			executed = true
			revision = current.modRevision
		case operation.Value == "" && !exists:
			executed = true
		}
	}
	operations := p.uncertainCommit
	p.uncertainCommit = nil
	if !executed {
		return
	}
	p.applyCommit(operations, revision)
	for _, operation := range operations { // a commit of deletes alone leaves no mod revision to read
		if key, ok := p.model[operation.Key]; ok {
			key.modRevision = stored[operation.Key].modRevision
			p.model[operation.Key] = key
		}
	}
}

// listKeys reads the probe's keys and the revision. It returns false if the state service does not respond.
func (p *storeProbe) listKeys() (map[string]probeKey, uint64, bool) {
	keys := map[string]probeKey{}
	query := url.Values{"starts": {p.prefix()}}
	response, err := p.testbed.client.Do(p.testbed.stateAddr, "GET", "/keys?"+query.Encode(), nil, 2*time.Second)
	var result struct {
		Entries []struct {
			Key         string `msgpack:"path"`
			Value       string `msgpack:"value"`
			ModRevision uint64 `msgpack:"mark"`
		} `msgpack:"entries"`
		Revision uint64 `msgpack:"tide"`
	}
	if err != nil || response.Status != http.StatusOK || codec.Unmarshal(response.Body, &result) != nil {
		return nil, 0, false
	}
	for _, entry := range result.Entries {
		keys[entry.Key] = probeKey{entry.Value, entry.ModRevision}
	}
	return keys, result.Revision, true
}

// checkProbes compares the store with the model of every probe while no commit is in flight.
func (bed *testbed) checkProbes() {
	bed.probeLock.Lock()
	defer bed.probeLock.Unlock()
	for _, p := range bed.probes {
		p.compare()
	}
}
