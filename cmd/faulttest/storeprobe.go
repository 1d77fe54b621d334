package main

import (
	"fmt"
	"math/rand/v2"
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

type probeKey struct {
	value       string
	modRevision uint64
}

func (p *storeProbe) prefix() string { return fmt.Sprintf("probe/%d/", p.id) }

func (p *storeProbe) run() {
	defer p.testbed.wait.Done()
	for {
		select {
		case <-p.testbed.stopping:
			return
		default:
		}
		p.testbed.pause.RLock()
		if p.uncertainCommit == nil {
			p.commit()
		} else {
			p.compare()
		}
		p.testbed.pause.RUnlock()
		time.Sleep(time.Duration(p.rng.IntN(3000)) * time.Microsecond)
	}
}

func (p *storeProbe) commit() {
	var guards []crashtest.Precondition
	var ops []crashtest.Operation
	seen := map[string]bool{}
	for range 1 + p.rng.IntN(4) {
		key := fmt.Sprintf("%s%02d", p.prefix(), p.rng.IntN(40))
		if seen[key] {
			continue
		}
		seen[key] = true
		p.valueNumber++
		o := crashtest.Operation{Key: key, Value: fmt.Sprintf("%d-%0*d", p.valueNumber, 1+p.rng.IntN(400), 0)}
		if p.rng.IntN(5) == 0 && p.model[key].modRevision > 0 {
			o.Value = ""
		}
		guards = append(guards, crashtest.Precondition{Key: key, ModRevision: p.model[key].modRevision})
		ops = append(ops, o)
	}
	r := crashtest.CommitRequest(guards, ops)
	m, err := p.testbed.client.Do(p.testbed.stateAddr, r.Method, r.Target, r.Body, 2*time.Second)
	var a struct {
		Tide uint64 `msgpack:"tide"`
	}
	switch {
	case err != nil:
		p.uncertainCommit = ops
		p.uncertainCommits++
	case m.Status == 200 && codec.Unmarshal(m.Body, &a) == nil:
		if a.Tide <= p.revision {
			p.testbed.reportViolation("probe %d: revision %d after %d", p.id, a.Tide, p.revision)
		}
		p.commits++
		p.applyCommit(ops, a.Tide)
	case m.Status == 503:
	default:
		p.testbed.reportViolation("probe %d: a commit with the marks that were answered gets %d", p.id, m.Status)
	}
}

func (p *storeProbe) applyCommit(ops []crashtest.Operation, tide uint64) {
	p.revision = max(p.revision, tide)
	p.uncertainCommit = nil
	for _, o := range ops {
		if o.Value == "" {
			delete(p.model, o.Key)
		} else {
			p.model[o.Key] = probeKey{o.Value, tide}
		}
	}
}

// compare compares what is stored with what was acknowledged. A commit of unknown outcome is stored as a
// whole or not at all.
func (p *storeProbe) compare() {
	there, tide, ok := p.listKeys()
	if !ok {
		return
	}
	if tide < p.revision {
		p.testbed.reportViolation("probe %d: revision %d, answered was %d", p.id, tide, p.revision)
	}
	if p.uncertainCommit != nil {
		executed := false
		for _, o := range p.uncertainCommit {
			now, have := there[o.Key]
			if o.Value != "" && have && now.value == o.Value {
				executed = true
				tide = now.modRevision
			}
			if o.Value == "" && !have {
				executed = true
			}
		}
		ops := p.uncertainCommit
		p.uncertainCommit = nil
		if executed {
			p.applyCommit(ops, tide)
			for _, o := range ops { // a commit of drops alone leaves no mod revision to read
				if k, ok := p.model[o.Key]; ok {
					k.modRevision = there[o.Key].modRevision
					p.model[o.Key] = k
				}
			}
		}
	}
	for key, want := range p.model {
		if there[key] != want {
			p.testbed.reportViolation("probe %d: %s is %.20q at %d, answered was %.20q at %d", p.id, key, there[key].value, there[key].modRevision, want.value, want.modRevision)
		}
	}
	for key, k := range there {
		if _, ok := p.model[key]; !ok {
			p.testbed.reportViolation("probe %d: %s has come back at %d", p.id, key, k.modRevision)
		}
	}
}

func (p *storeProbe) listKeys() (map[string]probeKey, uint64, bool) {
	there := map[string]probeKey{}
	q := url.Values{"starts": {p.prefix()}}
	m, err := p.testbed.client.Do(p.testbed.stateAddr, "GET", "/keys?"+q.Encode(), nil, 2*time.Second)
	var a struct {
		Entries []struct {
			Key   string `msgpack:"path"`
			Value string `msgpack:"value"`
			Mark  uint64 `msgpack:"mark"`
		} `msgpack:"entries"`
		Tide uint64 `msgpack:"tide"`
	}
	if err != nil || m.Status != 200 || codec.Unmarshal(m.Body, &a) != nil {
		return nil, 0, false
	}
	for _, e := range a.Entries {
		there[e.Key] = probeKey{e.Value, e.Mark}
	}
	return there, a.Tide, true
}

// checkProbes makes every probe compare while no commit is in flight.
func (f *testbed) checkProbes() {
	f.pause.Lock()
	defer f.pause.Unlock()
	for _, p := range f.probes {
		p.compare()
	}
}
