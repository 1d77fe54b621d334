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

// storeProbe commits to keys of its own and checks that the state service keeps what it acknowledged.
type storeProbe struct {
	testbed          *testbed
	id               int
	rng              *rand.Rand
	model            map[string]probeKey
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

// run commits, and compares after a commit of unknown outcome, until the testbed stops.
func (p *storeProbe) run() {
	defer p.testbed.wait.Done()
	for {
		select {
		case <-p.testbed.stopping:
			return
		default:
		}
		p.testbed.probing.RLock()
		if p.uncertainCommit == nil {
			p.commit()
		} else {
			p.compare()
		}
		p.testbed.probing.RUnlock()
		time.Sleep(time.Duration(p.rng.IntN(3000)) * time.Microsecond)
	}
}

// commit commits random changes of a few keys.
func (p *storeProbe) commit() {
	var preconditions []crashtest.Precondition
	var operations []crashtest.Operation
	drawn := map[string]bool{}
	for range 1 + p.rng.IntN(4) {
		key := fmt.Sprintf("%s%02d", p.prefix(), p.rng.IntN(40))
		if drawn[key] {
			continue
		}
		drawn[key] = true
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
	var answer struct {
		Revision uint64 `msgpack:"tide"`
	}
	switch {
	case err != nil:
		p.uncertainCommit = operations
		p.uncertainCommits++
	case response.Status == http.StatusOK && codec.Unmarshal(response.Body, &answer) == nil:
		if answer.Revision <= p.revision {
			p.testbed.reportViolation("probe %d: revision %d after %d", p.id, answer.Revision, p.revision)
		}
		p.commits++
		p.applyCommit(operations, answer.Revision)
	case response.Status == http.StatusServiceUnavailable:
	default:
		p.testbed.reportViolation("probe %d: a commit with the mod revisions that were answered gets %d", p.id, response.Status)
	}
}

// applyCommit applies a commit that was executed at a revision to the model.
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

// compare compares what is stored with what was acknowledged. A commit of unknown outcome is stored as a
// whole or not at all.
func (p *storeProbe) compare() {
	stored, revision, ok := p.listKeys()
	if !ok {
		return
	}
	if revision < p.revision {
		p.testbed.reportViolation("probe %d: revision %d, answered was %d", p.id, revision, p.revision)
	}
	if p.uncertainCommit != nil {
		p.resolveUncertainCommit(stored, revision)
	}
	for key, want := range p.model {
		if got := stored[key]; got != want {
			p.testbed.reportViolation("probe %d: %s is %.20q at %d, answered was %.20q at %d",
				p.id, key, got.value, got.modRevision, want.value, want.modRevision)
		}
	}
	for key, got := range stored {
		if _, ok := p.model[key]; !ok {
			p.testbed.reportViolation("probe %d: %s has come back at %d", p.id, key, got.modRevision)
		}
	}
}

// resolveUncertainCommit finds out whether the commit of unknown outcome was executed, and applies it to the model if it was.
func (p *storeProbe) resolveUncertainCommit(stored map[string]probeKey, revision uint64) {
	executed := false
	for _, operation := range p.uncertainCommit {
		now, exists := stored[operation.Key]
		switch {
		case operation.Value != "" && exists && now.value == operation.Value:
			executed = true
			revision = now.modRevision
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
	for _, operation := range operations { // a commit of drops alone leaves no mod revision to read
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
	var answer struct {
		Entries []struct {
			Key         string `msgpack:"path"`
			Value       string `msgpack:"value"`
			ModRevision uint64 `msgpack:"mark"`
		} `msgpack:"entries"`
		Revision uint64 `msgpack:"tide"`
	}
	if err != nil || response.Status != http.StatusOK || codec.Unmarshal(response.Body, &answer) != nil {
		return nil, 0, false
	}
	for _, entry := range answer.Entries {
		keys[entry.Key] = probeKey{entry.Value, entry.ModRevision}
	}
	return keys, answer.Revision, true
}

// checkProbes makes every probe compare while no commit is in flight.
func (bed *testbed) checkProbes() {
	bed.probing.Lock()
	defer bed.probing.Unlock()
	for _, p := range bed.probes {
		p.compare()
	}
}
